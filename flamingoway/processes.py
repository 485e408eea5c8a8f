"""Table of live entry processes, kept through store outages."""

from collections.abc import Iterable

from .messages import ProcessInfo

# After a store outage all sessions may have expired. Processes register again within
# the longest retry delay, 1 s, plus the time of a few calls.
RETENTION_S = 3.0


class ProcessTable:
    """Live processes by id.

    Until the time given to :meth:`retain`, processes whose keys vanish stay listed,
    so that a store outage in which all leases expire does not empty the list.
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
        """Tell whether the process's key existed at the last update from the store."""
        return process_id in self._registered

    def retain(self, until: float) -> None:
        """Keep processes whose keys vanish listed until clock time ``until``."""
        self._retain_until = max(self._retain_until, until)

    def replace(self, processes: Iterable[ProcessInfo], now: float) -> None:
        """Replace the registered processes by those read from the store."""
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
        """Remove a process whose key has vanished, or retain it; see :meth:`retain`."""
        process = self._registered.pop(process_id, None)
        if process is not None and now < self._retain_until:
            self._retained[process_id] = process

    def expire(self, now: float) -> bool:
        """Drop retained processes once their time is over; tell if any was dropped."""
        if not self._retained or now < self._retain_until:
            return False
        self._retained.clear()
        return True
