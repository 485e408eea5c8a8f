"""Health of workers: quarantine after failures, and probing.

Guards against workers that fail or stall every task while their registry entry looks
healthy.
"""

from dataclasses import dataclass

# Consecutive failures after which a worker is quarantined. One run in twenty fails
# through its job's own fault, so three in a row point to the worker.
QUARANTINE_FAILURES = 3
# A quarantined worker gets one task as a probe after this time, which doubles up to
# the maximum with each failed probe.
QUARANTINE_S = 2.0
QUARANTINE_MAX_S = 8.0
# A worker that is idle for this long after its quarantine may have several tasks
# without a probe, because a gang may need more than one place on it.
PROBE_WAIT_S = 1.0
# A probe that runs this long, typically a lasting task, no longer limits its worker.
PROBE_PASS_S = 12.0


@dataclass(slots=True)
class WorkerHealth:
    """Recent outcomes of one worker.

    Attributes:
        failures: Failures since the last success.
        quarantined_until: End of the current quarantine.
        probing: Whether the next failure begins another quarantine; until then the
            worker may have only one run, as a probe, unless that takes long.
    """

    failures: int = 0
    quarantined_until: float = float("-inf")
    probing: bool = False
    _quarantine_s: float = QUARANTINE_S
    _busy: bool = False
    _changed_at: float = float("-inf")

    def limit(self, now: float) -> int | None:
        """Return the maximum number of runs of the worker; ``None`` for no limit."""
        if now < self.quarantined_until:
            return 0
        if not self.probing:
            return None
        since = max(self._changed_at, self.quarantined_until)
        limited_s = PROBE_PASS_S if self._busy else PROBE_WAIT_S
        return 1 if now < since + limited_s else None

    def note_busy(self, busy: bool, now: float) -> None:
        """Record whether the worker has runs."""
        if busy != self._busy:
            self._busy = busy
            self._changed_at = now

    def note_success(self) -> None:
        """Record a successful task."""
        self.failures = 0
        self.probing = False
        self._quarantine_s = QUARANTINE_S

    def note_failure(self, now: float) -> bool:
        """Record a failed task; return whether it causes a quarantine."""
        self.failures += 1
        if self.failures < QUARANTINE_FAILURES and not self.probing:
            return False
        self.quarantine(now)
        return True

    def quarantine(self, now: float) -> None:
        """Quarantine the worker, after which it gets one task as a probe.

        Has no effect during a quarantine.
        """
        if now < self.quarantined_until:
            return
        self.quarantined_until = now + self._quarantine_s
        self._quarantine_s = min(QUARANTINE_MAX_S, self._quarantine_s * 2)
        self.probing = True
