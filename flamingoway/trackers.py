"""Known processes and shard owners, kept up to date by store watches."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec
from absl import logging

from .messages import OwnerInfo, ProcessInfo
from .ownership import decode_owner
from .processes import RETENTION_S, ProcessTable
from .session import decode_process
from .store import KeyValue, WatchBatch, WatchEvent


@dataclass(frozen=True, slots=True)
class ProcessesChanged:
    """The list of live processes changed."""

    processes: dict[str, ProcessInfo]


@dataclass(frozen=True, slots=True)
class OwnersChanged:
    """The owner of a shard changed; ``owner`` is ``None`` while it is free."""

    shard: str
    owner: OwnerInfo | None


class ProcessTracker:
    """Listener of ``process/`` that fills a ``ProcessTable``.

    Args:
        prefix: The prefix ``process/`` of the cell.
        clock: Monotonic clock in seconds.
        is_suspect: Tells whether the store may just have had an outage. A deleted key
            then does not show that its process has ended.
        publish: Called with each change of the list.
    """

    def __init__(
        self,
        prefix: str,
        clock: Callable[[], float],
        is_suspect: Callable[[], bool],
        publish: Callable[[ProcessesChanged], None],
    ):
        self._prefix = prefix
        self._clock = clock
        self._is_suspect = is_suspect
        self._publish = publish
        self._table = ProcessTable()
        self._watch_interrupted = False

    @property
    def live(self) -> dict[str, ProcessInfo]:
        """Live processes by id."""
        return self._table.live

    def is_registered(self, process_id: str) -> bool:
        """Tell whether the process's key existed at the last update from the store."""
        return self._table.is_registered(process_id)

    def on_snapshot(self, items: list[KeyValue]) -> None:
        """Load all processes; after an interruption, retain those that vanished."""
        if self._watch_interrupted:
            self._retain()
        self._watch_interrupted = False
        processes = [_decode_process_item(item) for item in items]
        with self._publish_if_changed():
            self._table.replace([p for p in processes if p], self._clock())

    def on_change(self, batch: WatchBatch) -> None:
        """Apply new registrations and ended sessions."""
        with self._publish_if_changed():
            for event in batch.events:
                self._apply(event)

    def on_interrupted(self) -> None:
        """Record that sessions may expire unseen until the next ``on_snapshot``."""
        self._watch_interrupted = True

    def expire(self) -> None:
        """Drop retained processes that did not register again after an outage."""
        with self._publish_if_changed():
            self._table.expire(self._clock())

    def _apply(self, event: WatchEvent) -> None:
        if event.item is not None:
            process = _decode_process_item(event.item)
            if process is not None:
                self._table.put(process)
            return
        if self._is_suspect():
            self._retain()
        self._table.remove(event.key.removeprefix(self._prefix), self._clock())

    def _retain(self) -> None:
        self._table.retain(self._clock() + RETENTION_S)

    @contextmanager
    def _publish_if_changed(self) -> Iterator[None]:
        before = self._table.live
        yield
        after = self._table.live
        if after != before:
            self._publish(ProcessesChanged(after))


class OwnerTracker:
    """Listener of the key ``shard/<s>/owner`` of one shard.

    Args:
        shard: Name of the shard.
        key: The shard's owner key.
        clock: Monotonic clock in seconds.
        publish: Called with each change of the owner.
    """

    def __init__(
        self,
        shard: str,
        key: str,
        clock: Callable[[], float],
        publish: Callable[[OwnersChanged], None],
    ):
        self._shard = shard
        self._key = key
        self._clock = clock
        self._publish = publish
        self._owner: OwnerInfo | None = None
        self._free_since: float | None = None

    @property
    def owner(self) -> OwnerInfo | None:
        """Last known owner, ``None`` if the shard is free or was not read yet."""
        return self._owner

    @property
    def free_since(self) -> float | None:
        """Clock time at which the shard was first seen free, ``None`` if it is not."""
        return self._free_since

    def on_snapshot(self, items: list[KeyValue]) -> None:
        """Load the current owner."""
        self._update(next((item for item in items if item.key == self._key), None))

    def on_change(self, batch: WatchBatch) -> None:
        """Apply a change of the owner."""
        for event in batch.events:
            if event.key == self._key:
                self._update(event.item)

    def on_interrupted(self) -> None:
        """Keep the last known owner."""

    def _update(self, item: KeyValue | None) -> None:
        if item is None:
            self._mark_free()
            return
        # An owner whose value cannot be decoded still owns the shard.
        self._free_since = None
        try:
            owner = decode_owner(item.value)
        except msgspec.DecodeError as exc:
            logging.error("cannot decode the shard owner at %s: %s", item.key, exc)
            return
        self._update_owner(owner)

    def _mark_free(self) -> None:
        if self._free_since is None:
            self._free_since = self._clock()
        self._update_owner(None)

    def _update_owner(self, owner: OwnerInfo | None) -> None:
        if owner != self._owner:
            self._owner = owner
            self._publish(OwnersChanged(self._shard, owner))


def _decode_process_item(item: KeyValue) -> ProcessInfo | None:
    """Decode a key under ``process/``; ``None``, with a log line, if it is invalid."""
    try:
        return decode_process(item.value)
    except msgspec.DecodeError as exc:
        logging.error("cannot decode the process at %s: %s", item.key, exc)
        return None
