"""Snapshots of a shard's ledger in the store, and loading of snapshot and log."""

import asyncio
import hashlib
from dataclasses import dataclass, field

import msgspec

from .errors import Fenced, FlamingowayError, StoreOutcomeUnknown, StoreUnavailable
from .records import AnyRecord, decode_group
from .store import Compare, Delete, Put, Store, TxnResult
from .store.keys import Keys, prefix_end

RETRY_INTERVAL_S = 0.5
# Log entries per read; a group is at most 512 KiB, usually about 1 KiB.
LOG_PAGE_KEYS = 64


class SnapshotHead(msgspec.Struct, frozen=True):
    """The value of ``shard/<s>/head``: the current snapshot.

    Attributes:
        parts: Number of parts.
        seq: Sequence number of the last group whose records the snapshot contains.
        digest: SHA-256 of all parts in order.
    """

    generation: int
    parts: int
    seq: int
    digest: str


@dataclass(slots=True)
class LoadedShard:
    """Snapshot of a shard and the log after it.

    Attributes:
        snapshot: Parts of the ledger's snapshot; empty if there is none.
        generation: Generation of the snapshot; 0 if there is none.
        next_seq: Sequence number of the next group.
        groups: Number of groups in the log.
        log_bytes: Size of these groups in bytes.
        records: Records of the groups after the snapshot, in order.
    """

    snapshot: list[bytes] = field(default_factory=list)
    generation: int = 0
    next_seq: int = 1
    groups: int = 0
    log_bytes: int = 0
    records: list[AnyRecord] = field(default_factory=list)


def decode_head(data: bytes) -> SnapshotHead:
    """Decode the value of the head key."""
    return msgspec.msgpack.decode(data, type=SnapshotHead)


class SnapshotWriter:
    """Writes snapshots of a shard on behalf of one of its owners.

    Args:
        store: Receives the snapshots.
        keys: Key layout of the cell.
        shard: Name of the shard.
        epoch_revision: Revision of the owner's epoch key; each write depends on it.
    """

    def __init__(self, store: Store, keys: Keys, shard: str, epoch_revision: int):
        self._store = store
        self._keys = keys
        self._shard = shard
        self._epoch_unchanged = Compare(
            keys.epoch(shard), "mod_revision", epoch_revision
        )

    async def write(self, parts: list[bytes], seq: int, generation: int) -> None:
        """Write the parts, then update the head and delete what it replaces.

        Args:
            parts: Snapshot of the ledger after group ``seq``, each part at most
                512 KiB.
            seq: Sequence number of the last group that the snapshot contains.
            generation: Higher than that of the current snapshot.

        Raises:
            Fenced: If another process owns the shard.
        """
        replaced = await self._read_head_revision()
        for index, part in enumerate(parts):
            key = self._keys.snapshot_part(self._shard, generation, index)
            await self._apply([Put(key, part)])
        head = SnapshotHead(generation, len(parts), seq, _digest(parts))
        await self._update_head(head, replaced)

    def _head_update(self, head: SnapshotHead) -> list[Put | Delete]:
        keys, shard = self._keys, self._shard
        value = msgspec.msgpack.encode(head)
        after = keys.snapshot_part(shard, head.generation, head.parts)
        return [
            Put(keys.snapshot_head(shard), value),
            Delete(keys.log(shard), keys.log_entry(shard, head.seq + 1)),
            Delete(keys.snapshots(shard), keys.snapshot(shard, head.generation)),
            # Surplus parts left behind by an interrupted snapshot of this generation.
            Delete(after, prefix_end(keys.snapshots(shard))),
        ]

    async def _read_head_revision(self) -> int:
        while True:
            try:
                entry = await self._store.get(self._keys.snapshot_head(self._shard))
            except StoreUnavailable:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            return entry.mod_revision if entry is not None else 0

    async def _update_head(self, head: SnapshotHead, replaced: int) -> None:
        # A late copy of this write must not replace the head of a newer snapshot, whose
        # parts it would delete, so it depends on the head that it replaces.
        key = self._keys.snapshot_head(self._shard)
        unchanged = Compare(key, "mod_revision", replaced)
        operations = self._head_update(head)
        result = await self._send([unchanged], operations, [key])
        found = result.reads.get(key)
        applied_before = found is not None and decode_head(found.value) == head
        if not result.succeeded and not applied_before:
            raise self._fenced_error()

    async def _apply(self, operations: list[Put | Delete]) -> None:
        if not (await self._send([], operations, [])).succeeded:
            raise self._fenced_error()

    async def _send(
        self, compares: list[Compare], operations: list[Put | Delete], reads: list[str]
    ) -> TxnResult:
        """Send a write until it is answered, again after a lost answer."""
        while True:
            try:
                return await self._store.txn(
                    [self._epoch_unchanged, *compares], operations, reads
                )
            except (StoreUnavailable, StoreOutcomeUnknown):
                await asyncio.sleep(RETRY_INTERVAL_S)

    def _fenced_error(self) -> Fenced:
        return Fenced(f"shard {self._shard} has another owner")


async def load(store: Store, keys: Keys, shard: str) -> LoadedShard:
    """Read the current snapshot and the log after it.

    The caller must have raised the epoch, so that no other owner writes meanwhile.

    Raises:
        StoreUnavailable: If the store cannot be reached.
        FlamingowayError: If the snapshot or the log is damaged.
    """
    loaded = LoadedShard()
    entry = await store.get(keys.snapshot_head(shard))
    if entry is not None:
        head = decode_head(entry.value)
        loaded.snapshot = await _read_parts(store, keys, shard, head)
        loaded.generation = head.generation
        loaded.next_seq = head.seq + 1
    await _read_log(store, keys, shard, loaded)
    return loaded


async def _read_parts(
    store: Store, keys: Keys, shard: str, head: SnapshotHead
) -> list[bytes]:
    parts = []
    for index in range(head.parts):
        entry = await store.get(keys.snapshot_part(shard, head.generation, index))
        if entry is None:
            raise FlamingowayError(
                f"shard {shard}: part {index} of snapshot {head.generation} is missing"
            )
        parts.append(entry.value)
    if _digest(parts) != head.digest:
        raise FlamingowayError(
            f"shard {shard}: snapshot {head.generation} is damaged: its digest differs"
        )
    return parts


async def _read_log(store: Store, keys: Keys, shard: str, loaded: LoadedShard) -> None:
    while True:
        start = keys.log_entry(shard, loaded.next_seq)
        page = await store.range(keys.log(shard), start, LOG_PAGE_KEYS)
        for entry in page.items:
            if entry.key != keys.log_entry(shard, loaded.next_seq):
                raise FlamingowayError(
                    f"shard {shard}: group {loaded.next_seq} is missing from the log"
                )
            loaded.records.extend(decode_group(entry.value).records)
            loaded.next_seq += 1
            loaded.groups += 1
            loaded.log_bytes += len(entry.value)
        if len(page.items) < LOG_PAGE_KEYS:
            return


def _digest(parts: list[bytes]) -> str:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(part)
    return digest.hexdigest()
