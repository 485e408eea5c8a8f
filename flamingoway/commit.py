"""Group commit: holds effects back until the records behind them are durable."""

import asyncio
import itertools
import uuid
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec
from absl import logging

from .context import Context
from .core.effects import Batch, Effect
from .errors import Fenced, StoreOutcomeUnknown, StoreUnavailable
from .records import ENCODER, AnyRecord, Group, decode_group, encode_group
from .snapshot import decode_head
from .store import Compare, KeyValue, Put, Store, TxnResult
from .store.keys import Keys

# A store value holds at most 1 MB; a single record may take up to half of it.
MAX_GROUP_BYTES = 512 * 1024
MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
# A write that takes longer counts as an outage: nothing new is accepted or placed.
STALL_S = 1.0
FAILURE_LOG_INTERVAL_S = 5


@dataclass(slots=True)
class LogPosition:
    """End of a shard's log and identity of the owner that appends to it.

    Attributes:
        epoch_revision: Store revision at which the owner wrote the epoch key; a newer
            owner changes it.
        next_seq: Sequence number of the next group.
        groups: Number of groups in the log since the last snapshot.
        log_bytes: Size of these groups in bytes.
        generation: Generation of the current snapshot; 0 if there is none.
    """

    shard: str
    epoch: int
    epoch_revision: int
    next_seq: int = 1
    groups: int = 0
    log_bytes: int = 0
    generation: int = 0


@dataclass(slots=True)
class PendingPart:
    """Part of a group that is not committed yet.

    Attributes:
        on_reached: Called with the sequence number of the last group once everything
            queued before is committed.
    """

    records: list[AnyRecord] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)
    size: int = 0
    on_reached: Callable[[int], None] | None = None


@dataclass(slots=True)
class AbandonedEffects:
    """Effects that were not released when an owner stepped down.

    Attributes:
        unresolved: Effects of a group that may have been committed.
        discarded: Effects of groups that were certainly not committed.
    """

    unresolved: list[Effect] = field(default_factory=list)
    discarded: list[Effect] = field(default_factory=list)


class GroupCommitter:
    """Writes groups to the log of one shard, one write at a time.

    Args:
        context: Settings and clocks.
        store: Holds the log.
        position: End of the log; updated with each committed group.
        on_committed: Receives the effects of committed groups in the order in which
            they were added.
        on_confirmed: Receives the clock time at which a write was sent that confirmed
            the epoch.
    """

    def __init__(
        self,
        context: Context,
        store: Store,
        position: LogPosition,
        on_committed: Callable[[list[Effect]], None],
        on_confirmed: Callable[[float], None] = lambda sent_at: None,
    ):
        settings = context.settings
        self._context = context
        self._store = store
        self._keys = Keys(settings.cell)
        self._position = position
        self._on_committed = on_committed
        self._on_confirmed = on_confirmed
        self._interval_s = len(settings.shards) / settings.limits.writes_per_second
        self._pending: deque[PendingPart] = deque()
        self._in_flight: list[PendingPart] = []
        self._maybe_applied = False
        self._unresolved_since: float | None = None
        self._last_write_at = float("-inf")
        self._has_pending = asyncio.Event()
        self._drained = asyncio.Event()
        self._drained.set()

    @property
    def idle(self) -> bool:
        """Whether everything that was added is committed."""
        return not self._pending and not self._in_flight

    @property
    def stalled(self) -> bool:
        """Whether the current write takes so long that the store counts as down."""
        if self._unresolved_since is None:
            return False
        return self._context.clock() - self._unresolved_since > STALL_S

    def add(self, batch: Batch) -> None:
        """Queue a batch; effects without records wait only for earlier batches."""
        if batch.empty:
            return
        if not batch.records and self.idle:
            self._on_committed(batch.effects)
            return
        self._pending.extend(split_batch(batch))
        self._wake()

    def add_marker(self, on_reached: Callable[[int], None]) -> None:
        """Call back with the last group's number once earlier batches are committed."""
        self._pending.append(PendingPart(on_reached=on_reached))
        self._wake()

    def pending_records(self) -> Iterator[AnyRecord]:
        """Yield the records that are not committed yet."""
        for item in itertools.chain(self._in_flight, self._pending):
            yield from item.records

    def pending_effects(self) -> Iterator[Effect]:
        """Yield the effects that wait for a commit."""
        for item in itertools.chain(self._in_flight, self._pending):
            yield from item.effects

    async def flush(self) -> None:
        """Wait until everything that was added is committed."""
        await self._drained.wait()

    async def run(self) -> None:
        """Commit groups until cancelled.

        Raises:
            Fenced: If another process owns the shard.
        """
        while True:
            await self._has_pending.wait()
            if any(item.records for item in self._pending):
                await self._wait_for_write_interval()
            self._in_flight = self._take_group()
            await self._commit(self._in_flight)
            self._finish(self._in_flight)

    def abandon(self) -> AbandonedEffects:
        """Drop all pending groups; return the effects that were not released."""
        abandoned = AbandonedEffects()
        held = [effect for item in self._in_flight for effect in item.effects]
        if self._maybe_applied:
            abandoned.unresolved = held
        else:
            abandoned.discarded = held
        for item in self._pending:
            abandoned.discarded.extend(item.effects)
        self._in_flight = []
        self._pending.clear()
        self._drained.set()
        return abandoned

    def _wake(self) -> None:
        self._drained.clear()
        self._has_pending.set()

    async def _wait_for_write_interval(self) -> None:
        wait_s = self._last_write_at + self._interval_s - self._context.clock()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        self._last_write_at = self._context.clock()

    def _take_group(self) -> list[PendingPart]:
        taken: list[PendingPart] = []
        size = 0
        while self._pending:
            item = self._pending[0]
            if taken and size + item.size > MAX_GROUP_BYTES:
                break
            taken.append(self._pending.popleft())
            size += item.size
            if item.on_reached is not None:
                break
        return taken

    async def _commit(self, items: list[PendingPart]) -> None:
        records = [record for item in items for record in item.records]
        if not records:
            return
        group = Group(uuid.uuid4().hex, self._position.epoch, records)
        data = encode_group(group)
        self._unresolved_since = self._context.clock()
        await self._write(group.write_id, data)
        self._unresolved_since = None
        self._position.next_seq += 1
        self._position.groups += 1
        self._position.log_bytes += len(data)

    def _finish(self, items: list[PendingPart]) -> None:
        self._in_flight = []
        self._maybe_applied = False
        if not self._pending:
            self._has_pending.clear()
            self._drained.set()
        self._on_committed([effect for item in items for effect in item.effects])
        for item in items:
            if item.on_reached is not None:
                item.on_reached(self._position.next_seq - 1)

    async def _write(self, write_id: str, data: bytes) -> None:
        backoff_s = MIN_BACKOFF_S
        while True:
            earlier_unresolved = self._maybe_applied
            self._maybe_applied = True
            sent_at = self._context.clock()
            try:
                result = await self._send(data)
            except StoreUnavailable as exc:
                self._maybe_applied = earlier_unresolved
                self._log_failure(exc)
            except StoreOutcomeUnknown as exc:
                self._log_failure(exc)
            else:
                if result.succeeded:
                    self._on_confirmed(sent_at)
                else:
                    self._resolve(result, write_id, earlier_unresolved)
                return
            await asyncio.sleep(backoff_s * self._context.rng.uniform(0.5, 1.5))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _send(self, data: bytes) -> TxnResult:
        shard = self._position.shard
        epoch_key = self._keys.epoch(shard)
        log_key = self._keys.log_entry(shard, self._position.next_seq)
        return await self._store.txn(
            [
                Compare(epoch_key, "mod_revision", self._position.epoch_revision),
                Compare(log_key, "create_revision", 0),
            ],
            [Put(log_key, data)],
            [log_key, self._keys.snapshot_head(shard)],
        )

    def _resolve(
        self, result: TxnResult, write_id: str, earlier_unresolved: bool
    ) -> None:
        """Return if an earlier attempt was applied, else raise ``Fenced``."""
        shard, seq = self._position.shard, self._position.next_seq
        entry = result.reads.get(self._keys.log_entry(shard, seq))
        if entry is not None and _write_id(entry) == write_id:
            return
        # A new owner may have replaced the log by a snapshot that contains this group;
        # its absence from the log then does not prove that it was not committed.
        head = result.reads.get(self._keys.snapshot_head(shard))
        may_be_in_snapshot = (
            entry is None and head is not None and decode_head(head.value).seq >= seq
        )
        self._maybe_applied = earlier_unresolved and may_be_in_snapshot
        raise Fenced(
            f"shard {shard}: epoch {self._position.epoch} is no longer current"
        )

    def _log_failure(self, exc: StoreUnavailable | StoreOutcomeUnknown) -> None:
        logging.log_every_n_seconds(
            logging.WARNING,
            "shard %s: commit of group %d failed, retrying: %s",
            FAILURE_LOG_INTERVAL_S,
            self._position.shard,
            self._position.next_seq,
            exc.message,
        )


def split_batch(batch: Batch) -> list[PendingPart]:
    """Split a batch into parts that each fit in a group; the last has the effects."""
    parts = _split_records(batch.records)
    parts[-1].effects = batch.effects
    return parts


def _split_records(records: list[AnyRecord]) -> list[PendingPart]:
    size = len(ENCODER.encode(records))
    if size <= MAX_GROUP_BYTES or len(records) < 2:
        return [PendingPart(records, size=size)]
    middle = len(records) // 2
    return _split_records(records[:middle]) + _split_records(records[middle:])


def _write_id(entry: KeyValue) -> str:
    try:
        return decode_group(entry.value).write_id
    except msgspec.DecodeError:
        return ""
