"""Mirror listeners for the workers' registry entries and the configuration."""

from collections.abc import Callable

from ..store import KeyValue, WatchEvent
from .decisions import DecisionLog
from .faults import FaultReporter
from .model import DesiredState, WorkerEntry


class WorkerRegistry:
    """Mirror listener that holds the registry entries of the workers.

    Args:
        decode: Decodes an entry, given the worker id and the stored value.
        faults: Reports entries that are not valid.

    Attributes:
        on_change: Called after entries have changed.
    """

    def __init__(
        self, decode: Callable[[str, bytes], WorkerEntry], faults: FaultReporter
    ):
        self.on_change: Callable[[], None] | None = None
        self._decode = decode
        self._faults = faults
        self._entries: dict[str, WorkerEntry] = {}

    @property
    def entries(self) -> dict[str, WorkerEntry]:
        """Valid entries by worker id; one that is no longer valid counts as gone."""
        return self._entries

    def replace(self, items: list[KeyValue], revision: int) -> None:
        """Replace all entries."""
        self._entries.clear()
        self.apply_changes([WatchEvent(item.key, item) for item in items])

    def apply_changes(self, events: list[WatchEvent]) -> None:
        """Apply changes to the entries."""
        for event in events:
            self._set(event)
        self.notify()

    def notify(self) -> None:
        """Let the listener look at all entries again."""
        if self.on_change is not None:
            self.on_change()

    def _set(self, event: WatchEvent) -> None:
        worker_id = event.key.rpartition("/")[2]
        entry = None
        if event.item is not None:
            entry = self._faults.decode("worker", event.item, self._decode, worker_id)
        if entry is None:
            self._entries.pop(worker_id, None)
        else:
            self._entries[worker_id] = entry


class ConfigListener:
    """Mirror listener for the operator's configuration; ignores older versions.

    Args:
        key: Key of the configuration.
        decode: Decodes the desired state from a stored value.
        apply: Called with each newer desired state.
        log: Decision log.
        faults: Reports configurations that are not valid.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[bytes], DesiredState],
        apply: Callable[[DesiredState], None],
        log: DecisionLog,
        faults: FaultReporter,
    ):
        self._key = key
        self._decode = decode
        self._apply = apply
        self._log = log
        self._faults = faults
        self._version = -1

    def replace(self, items: list[KeyValue], revision: int) -> None:
        """Apply the configuration among the operator's keys."""
        for item in items:
            self._apply_item(item)

    def apply_changes(self, events: list[WatchEvent]) -> None:
        """Apply changes of the configuration."""
        for event in events:
            if event.item is not None:
                self._apply_item(event.item)

    def _apply_item(self, item: KeyValue) -> None:
        if item.key != self._key:
            return
        desired = self._faults.decode("configuration", item, self._decode)
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
