"""Whether a worker does its work: quarantine after failures, and probing.

Answers the load in which some workers fail or stall all that they start while
their registry entry looks sound.
"""

from dataclasses import dataclass

# Failures in a row, without a success, after which a worker gets no work. Jobs
# fail of their own in one run of twenty, so three in a row are no accident.
QUARANTINE_FAILURES = 3
# A failing worker is tried again with one task after this time; it doubles with
# each failed try.
QUARANTINE_S = 2.0
QUARANTINE_MAX_S = 8.0


@dataclass(slots=True)
class WorkerHealth:
    """Recent outcomes of one worker.

    Attributes:
        failures: Failures since the last success.
        blocked_until: No work before this time.
        probing: Whether a single task may test the worker.
    """

    failures: int = 0
    blocked_until: float = float("-inf")
    probing: bool = False
    _penalty_s: float = QUARANTINE_S

    def limit(self, now: float) -> int | None:
        """Return how many runs the worker may have; ``None`` for no limit."""
        if now < self.blocked_until:
            return 0
        return 1 if self.probing else None

    def note_success(self) -> None:
        """Take in a task that ended well."""
        self.failures = 0
        self.probing = False
        self._penalty_s = QUARANTINE_S

    def note_failure(self, now: float) -> bool:
        """Take in a failed task; return whether the worker is blocked by it."""
        self.failures += 1
        if self.failures < QUARANTINE_FAILURES and not self.probing:
            return False
        self.block(now)
        return True

    def block(self, now: float) -> None:
        """Give the worker no work for a while, then one task as a probe."""
        if now < self.blocked_until:
            return
        self.blocked_until = now + self._penalty_s
        self._penalty_s = min(QUARANTINE_MAX_S, self._penalty_s * 2)
        self.probing = True
