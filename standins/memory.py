"""The ``Store`` port in memory, with faults set by the test that uses it."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable

from flamingoway.errors import BadRequest, StoreOutcomeUnknown, StoreUnavailable
from flamingoway.store import (
    ChangeSet,
    Compare,
    Delete,
    KeyValue,
    LeaseExpired,
    Put,
    RangeResult,
    RevisionCompacted,
    TxnResult,
    WatchBatch,
    WatchEvent,
)
from flamingoway.store.keys import prefix_end

from . import kv

# Interval at which a waiting watch checks for expired leases.
EXPIRY_POLL_S = 0.1


class MemoryStore:
    """A client of an engine; several clients may share one engine.

    Args:
        engine: Shared engine; a new one if ``None``.
        clock: Clock of a new engine, in seconds.

    Attributes:
        calls: Number of calls by method name, including failed ones.
        silent_watches: Whether :meth:`changes` reports no changes. The first regular
            call for a prefix after that fails, because its watch missed changes.
        gaps_reported: Whether that call fails. If not, only the calls that wait when
            the watches are broken fail, so a client between two calls learns nothing
            of the changes that it missed.
        watch_delay_s: Time in which a call of :meth:`changes` reaches the store. Until
            then the store cannot break its watch.
        on_lost_answer: Called when a write is not answered, if set.
    """

    def __init__(
        self,
        engine: kv.Engine | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.engine = engine or kv.Engine(clock)
        self.calls: Counter[str] = Counter()
        self._calls_to_fail = 0
        self._responses_to_drop = 0
        self._requests_to_drop = 0
        self._down = False
        self._hold_answers = False
        self._resumed = asyncio.Event()
        self._resumed.set()
        # Ordered, so that histories with one seed are alike.
        self._watches: dict[asyncio.Queue, None] = {}
        self._late_delays_s: list[float] = []
        self.silent_watches = False
        self.gaps_reported = True
        self.watch_delay_s = 0.0
        self.on_lost_answer: Callable[[], None] | None = None
        self._gap_prefixes: set[str] = set()

    @property
    def down(self) -> bool:
        """Whether every call fails without effect."""
        return self._down

    @down.setter
    def down(self, value: bool) -> None:
        self._down = value
        if value:
            self.break_watches()

    def fail_next(self, count: int = 1) -> None:
        """Make the next calls raise ``StoreUnavailable`` without effect."""
        self._calls_to_fail += count

    def drop_answers(self, count: int = 1) -> None:
        """Apply the next writes, then raise ``StoreOutcomeUnknown``."""
        self._responses_to_drop += count

    def drop_requests(self, count: int = 1) -> None:
        """Raise ``StoreOutcomeUnknown`` for the next writes without applying them."""
        self._requests_to_drop += count

    def apply_late(self, delay_s: float) -> None:
        """Raise ``StoreOutcomeUnknown`` for one write; apply it ``delay_s`` later."""
        self._late_delays_s.append(delay_s)

    def pause(self, hold_answers: bool = False) -> None:
        """Block all calls until :meth:`resume`; they take effect only then.

        Args:
            hold_answers: Whether watches that wait already return only then too, with
                the changes known before, as if the client did not run meanwhile.
        """
        self._resumed.clear()
        self._hold_answers = hold_answers

    def resume(self) -> None:
        """Let blocked calls continue."""
        self._resumed.set()

    def heal(self) -> None:
        """Reset failures and dropped calls, come back up and resume calls."""
        self._calls_to_fail = self._responses_to_drop = self._requests_to_drop = 0
        self.down = False
        self.resume()

    def break_watches(self) -> None:
        """End all open watches of this client with ``StoreUnavailable``."""
        for queue in self._watches:
            queue.put_nowait(None)

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or ``None``."""
        await self._begin("get")
        answer = self.engine.range(kv.RangeOp(key.encode()))
        return _to_item(answer.entries[0]) if answer.entries else None

    async def range(self, prefix: str, start: str = "", limit: int = 0) -> RangeResult:
        """Return the keys that begin with ``prefix``."""
        await self._begin("range")
        first = (start or prefix).encode()
        op = kv.RangeOp(first, prefix_end(prefix).encode(), limit)
        entries = self.engine.range(op).entries
        return RangeResult([_to_item(e) for e in entries], self.engine.revision)

    async def txn(
        self,
        compares: list[Compare],
        operations: list[Put | Delete],
        read_on_failure: list[str] | None = None,
    ) -> TxnResult:
        """Apply ``operations`` atomically if all ``compares`` hold."""
        await self._begin("txn")
        reads = [kv.RangeOp(key.encode()) for key in read_on_failure or []]
        conditions = [_to_condition(c) for c in compares]
        changes = [_to_op(op) for op in operations]
        answer = self._write(lambda: self.engine.txn(conditions, changes, reads))
        found = {}
        if not answer.succeeded:
            items = [_to_item(e) for r in answer.results for e in r.entries]
            found = {item.key: item for item in items}
        return TxnResult(answer.succeeded, answer.revision, found)

    async def grant_lease(self, ttl: int) -> int:
        """Return the id of a new lease of ``ttl`` seconds."""
        await self._begin("grant_lease")
        return self._write(lambda: self.engine.grant(ttl))

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""
        await self._begin("keep_alive")
        return float(self._write(lambda: self.engine.keep_alive(lease_id)))

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; no error if it has expired."""
        await self._begin("revoke_lease")
        try:
            self._write(lambda: self.engine.revoke(lease_id))
        except LeaseExpired:
            pass

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[WatchBatch]:
        """Yield changes under ``prefix`` from ``start_revision`` on."""
        await self._begin("watch")
        queue: asyncio.Queue[kv.Changes | None] = asyncio.Queue()
        first, end = prefix.encode(), prefix_end(prefix).encode()
        try:
            watcher = self.engine.watch(first, end, start_revision, queue.put_nowait)
        except kv.Compacted as exc:
            raise StoreUnavailable(f"cannot start the watch: {exc}") from None
        self._watches[queue] = None
        try:
            while (batch := await queue.get()) is not None:
                yield _to_batch(batch)
        finally:
            self._watches.pop(queue, None)
            self.engine.unwatch(watcher)
        raise StoreUnavailable("watch closed by the store")

    async def changes(self, prefix: str, after: int, wait_s: float) -> ChangeSet:
        """Return changes under ``prefix`` after a revision; wait for one if none.

        Raises:
            RevisionCompacted: If the changes are no longer kept.
            StoreUnavailable: If the store is down or the watch breaks.
        """
        await self._begin("changes")
        if self.watch_delay_s:
            await asyncio.sleep(self.watch_delay_s)
        if self.silent_watches and not self.gaps_reported:
            return await self._wait_silently(wait_s)
        if self.silent_watches:
            # Changes made meanwhile are skipped, so the next regular call fails.
            self._gap_prefixes.add(prefix)
            await asyncio.sleep(wait_s)
            return ChangeSet(self.engine.revision, [])
        if prefix in self._gap_prefixes:
            self._gap_prefixes.discard(prefix)
            raise StoreUnavailable("watch closed: it missed changes")
        queue: asyncio.Queue[kv.Changes | None] = asyncio.Queue()
        first, end = prefix.encode(), prefix_end(prefix).encode()
        try:
            watcher = self.engine.watch(first, end, after + 1, queue.put_nowait)
        except kv.Compacted as exc:
            raise RevisionCompacted(str(exc)) from None
        self._watches[queue] = None
        try:
            batches = await self._collect(queue, wait_s)
        finally:
            self._watches.pop(queue, None)
            self.engine.unwatch(watcher)
        revision = self.engine.revision
        if self._hold_answers:
            await self._resumed.wait()
        if self._down or None in batches:
            raise StoreUnavailable("watch closed by the store")
        events = [event for batch in batches for event in _to_batch(batch).events]
        last_change = max((batch.revision for batch in batches), default=0)
        return ChangeSet(revision, events, last_change)

    async def _wait_silently(self, wait_s: float) -> ChangeSet:
        """Wait without reporting changes, unless the watch is broken meanwhile."""
        queue: asyncio.Queue[kv.Changes | None] = asyncio.Queue()
        self._watches[queue] = None
        try:
            async with asyncio.timeout(wait_s):
                await queue.get()
        except TimeoutError:
            return ChangeSet(self.engine.revision, [])
        finally:
            self._watches.pop(queue, None)
        raise StoreUnavailable("watch closed by the store")

    async def _collect(self, queue: asyncio.Queue, wait_s: float) -> list:
        """Wait up to ``wait_s`` for a change, then return all queued batches."""
        loop = asyncio.get_running_loop()
        end = loop.time() + wait_s
        while queue.empty() and loop.time() < end:
            # Leases expire only when the engine is called.
            self.engine.expire()
            try:
                async with asyncio.timeout(min(EXPIRY_POLL_S, end - loop.time())):
                    return [await queue.get(), *_drain(queue)]
            except TimeoutError:
                continue
        return _drain(queue)

    async def close(self) -> None:
        """Break open watches."""
        self.break_watches()

    async def _begin(self, method: str) -> None:
        self.calls[method] += 1
        await self._resumed.wait()
        if self._down:
            raise StoreUnavailable("the store is down")
        if self._calls_to_fail:
            self._calls_to_fail -= 1
            raise StoreUnavailable("injected failure")

    def _write(self, apply: Callable):
        if self._requests_to_drop:
            self._requests_to_drop -= 1
            raise self._lost_answer()
        if self._late_delays_s:
            delay_s = self._late_delays_s.pop(0)
            asyncio.get_running_loop().call_later(delay_s, _apply_unanswered, apply)
            raise self._lost_answer()
        try:
            answer = apply()
        except kv.LeaseNotFound as exc:
            raise LeaseExpired(f"lease {exc} has expired") from None
        except kv.InvalidRequest as exc:
            raise BadRequest(str(exc)) from None
        if self._responses_to_drop:
            self._responses_to_drop -= 1
            raise self._lost_answer()
        return answer

    def _lost_answer(self) -> StoreOutcomeUnknown:
        if self.on_lost_answer is not None:
            self.on_lost_answer()
        return StoreOutcomeUnknown("no response from the store")


def _apply_unanswered(apply: Callable) -> None:
    """Apply a write on the conditions that hold now; nobody reads its outcome."""
    try:
        apply()
    except (kv.LeaseNotFound, kv.InvalidRequest):
        return


def _drain(queue: asyncio.Queue) -> list:
    return [queue.get_nowait() for _ in range(queue.qsize())]


def _to_item(entry: kv.Entry) -> KeyValue:
    return KeyValue(
        entry.key.decode(),
        entry.value,
        entry.create_revision,
        entry.mod_revision,
        entry.lease,
    )


def _to_batch(batch: kv.Changes) -> WatchBatch:
    events = [
        WatchEvent(
            change.key.decode(), _to_item(change.entry) if change.entry else None
        )
        for change in batch.changes
    ]
    return WatchBatch(batch.revision, events)


def _to_condition(compare: Compare) -> kv.Condition:
    return kv.Condition(compare.key.encode(), compare.target, compare.expected)


def _to_op(op: Put | Delete) -> kv.Op:
    if isinstance(op, Put):
        return kv.PutOp(op.key.encode(), op.value, op.lease)
    return kv.DeleteOp(op.key.encode(), op.end.encode())
