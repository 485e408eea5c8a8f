"""Entries that others keep in the store: workers and the configuration."""

from collections.abc import Callable

from ..store import KeyValue, WatchEvent
from .decisions import DecisionLog
from .mirror import decode_or_skip
from .model import DesiredState, WorkerEntry


class WorkerRegistry:
    """Listener of the workers' own entries.

    Args:
        decode: Makes an entry of a worker id and a stored value.
        log: Decision log.

    Attributes:
        on_change: Called after entries have changed.
    """

    def __init__(self, decode: Callable[[str, bytes], WorkerEntry], log: DecisionLog):
        self.on_change: Callable[[], None] | None = None
        self._decode = decode
        self._log = log
        self._entries: dict[str, WorkerEntry] = {}

    @property
    def entries(self) -> dict[str, WorkerEntry]:
        """Readable entries by worker id."""
        return self._entries

    def replace(self, items: list[KeyValue], revision: int) -> None:
        """Take all entries."""
        self._entries.clear()
        self.change([WatchEvent(item.key, item) for item in items])

    def change(self, events: list[WatchEvent]) -> None:
        """Take changed entries."""
        for event in events:
            self._set(event)
        if self.on_change is not None:
            self.on_change()

    def _set(self, event: WatchEvent) -> None:
        worker_id = event.key.rpartition("/")[2]
        entry = None
        if event.item is not None:
            entry = decode_or_skip(self._log, event.item, self._decode, worker_id)
        if entry is None:
            self._entries.pop(worker_id, None)
        else:
            self._entries[worker_id] = entry


class ConfigListener:
    """Listener of the operator's configuration; versions never go back.

    Args:
        key: Key of the configuration.
        decode: Makes a desired state of a stored value.
        apply: Puts a newer desired state into force.
        log: Decision log.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[bytes], DesiredState],
        apply: Callable[[DesiredState], None],
        log: DecisionLog,
    ):
        self._key = key
        self._decode = decode
        self._apply = apply
        self._log = log
        self._version = -1

    def replace(self, items: list[KeyValue], revision: int) -> None:
        """Take the content of the operator's keys."""
        for item in items:
            self._take(item)

    def change(self, events: list[WatchEvent]) -> None:
        """Take changes of the operator's keys."""
        for event in events:
            if event.item is not None:
                self._take(event.item)

    def _take(self, item: KeyValue) -> None:
        if item.key != self._key:
            return
        desired = decode_or_skip(self._log, item, self._decode)
        if desired is None or desired.version <= self._version:
            return
        self._version = desired.version
        self._apply(desired)
        self._log.write(
            "configuration in force",
            version=desired.version,
            revision=item.mod_revision,
            queues=len(desired.queues),
        )
