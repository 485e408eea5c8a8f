"""Table of live entry processes, kept through store outages."""

from collections.abc import Iterable

from .messages import ProcessInfo

# After an outage of the store all sessions have lapsed. Processes register again
# within the longest retry delay of 1 s and a few calls.
RETENTION_S = 3.0


class ProcessTable:
    """Live processes by id.

    While ``retain_until`` lies ahead, processes whose keys vanish stay listed, so
    that an outage in which all leases lapsed does not empty the list.
    """

    def __init__(self):
        self._registered: dict[str, ProcessInfo] = {}
        self._retained: dict[str, ProcessInfo] = {}
        self._retain_until = float("-inf")

    @property
    def live(self) -> dict[str, ProcessInfo]:
        """Registered and retained processes by id."""
        return self._retained | self._registered

    def is_registered(self, process_id: str) -> bool:
        """Tell whether the process's key exists, as far as is known."""
        return process_id in self._registered

    def retain(self, until: float) -> None:
        """Keep vanished processes listed until clock time ``until``."""
        self._retain_until = max(self._retain_until, until)

    def replace(self, processes: Iterable[ProcessInfo], now: float) -> None:
        """Take the whole content of the store."""
        current = {process.process_id: process for process in processes}
        for process_id in list(self._registered):
            if process_id not in current:
                self.remove(process_id, now)
        self._registered = current
        self._retained = {k: p for k, p in self._retained.items() if k not in current}

    def put(self, process: ProcessInfo) -> None:
        """Add or replace one process."""
        self._registered[process.process_id] = process
        self._retained.pop(process.process_id, None)

    def remove(self, process_id: str, now: float) -> None:
        """Take out a process whose key has vanished."""
        process = self._registered.pop(process_id, None)
        if process is not None and now < self._retain_until:
            self._retained[process_id] = process

    def expire(self, now: float) -> bool:
        """Drop retained processes that did not return; tell if any was dropped."""
        if not self._retained or now < self._retain_until:
            return False
        self._retained.clear()
        return True
