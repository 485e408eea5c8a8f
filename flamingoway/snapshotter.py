"""Decides when a shard's log is replaced by a snapshot, and writes it."""

import asyncio
from collections.abc import Callable

from .commit import GroupCommitter, LogPosition
from .snapshot import SnapshotWriter
from .store import Store
from .store.keys import Keys

# The log is replaced by a snapshot once it reaches either size.
SNAPSHOT_GROUPS = 2000
SNAPSHOT_LOG_BYTES = 1024 * 1024


class Snapshotter:
    """Writes snapshots of one shard while its groups are committed.

    Args:
        store: Receives the snapshots.
        keys: Key layout of the cell.
        position: Length of the log; reduced after each snapshot.
        committer: Reports when everything that a snapshot contains is committed.
    """

    def __init__(
        self,
        store: Store,
        keys: Keys,
        position: LogPosition,
        committer: GroupCommitter,
    ):
        self._position = position
        self._committer = committer
        self._writer = SnapshotWriter(
            store, keys, position.shard, position.epoch_revision
        )
        self._committed: asyncio.Queue[tuple[list[bytes], int]] = asyncio.Queue()
        self._in_progress = False

    def take_if_due(self, snapshot: Callable[[], list[bytes]]) -> None:
        """Take a snapshot if the log is long enough.

        All decisions must have been added to the committer before.
        """
        position = self._position
        many_groups = position.groups >= SNAPSHOT_GROUPS
        if self._in_progress or not (
            many_groups or position.log_bytes >= SNAPSHOT_LOG_BYTES
        ):
            return
        self._in_progress = True
        # The ledger contains decisions that are not committed yet. The snapshot is
        # written only once the marker is reached, when they are committed.
        parts = snapshot()
        self._committer.add_marker(lambda seq: self._committed.put_nowait((parts, seq)))

    async def run(self) -> None:
        """Write snapshots until cancelled.

        Raises:
            Fenced: If another process owns the shard.
        """
        position = self._position
        while True:
            parts, seq = await self._committed.get()
            groups, log_bytes = position.groups, position.log_bytes
            await self._writer.write(parts, seq, position.generation + 1)
            position.generation += 1
            position.groups -= groups
            position.log_bytes -= log_bytes
            self._in_progress = False
