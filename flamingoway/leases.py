"""When the tasks of a worker that cannot be reached are sure to have ended.

A worker counts a lease from the moment it sent the report that a command
acknowledges. The owner received that report later, so a lease counted from the
receipt, with an allowance for clock drift, never ends before the worker's own.
"""

from dataclasses import dataclass

from .settings import LimitSettings


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Times in seconds; ``drift`` is the largest relative difference of clocks."""

    lease_s: float
    drift: float
    horizon_s: float

    @classmethod
    def of(cls, limits: LimitSettings) -> "LeaseTerms":
        """Return the terms that the settings give."""
        return cls(limits.task_lease_s, limits.clock_drift, limits.lease_horizon_s)

    def after(self, seconds: float) -> float:
        """Return ``seconds`` on the slowest other clock, measured on this one."""
        return seconds * (1 + self.drift)


@dataclass(slots=True)
class WorkerLease:
    """What bounds the leases of one worker's tasks.

    Attributes:
        taken_over_at: When this owner became the owner.
        reached_at: When the first report arrived; from then on the worker refuses
            the former owner.
        acked_at: When the newest report arrived that this owner has acknowledged
            in a command with starts or renewals.
    """

    taken_over_at: float
    reached_at: float | None = None
    acked_at: float | None = None

    def note_report(self, received_at: float) -> None:
        """Note a report of the worker."""
        if self.reached_at is None:
            self.reached_at = received_at

    def note_ack(self, received_at: float) -> None:
        """Note that the report that arrived at ``received_at`` is acknowledged."""
        if self.acked_at is None or received_at > self.acked_at:
            self.acked_at = received_at

    def safe_at(self, terms: LeaseTerms, deposed_at: float | None) -> float:
        """Return when no task of the worker can run any more without contact.

        Args:
            terms: Lengths of lease and horizon.
            deposed_at: When the former owner was proved dead or deposed; ``None``
                without proof, or the time of takeover without a former owner.
        """
        lease_s = terms.after(terms.lease_s)
        if self.reached_at is not None:
            return max(self.reached_at, self.acked_at or self.reached_at) + lease_s
        if deposed_at is not None:
            return max(self.taken_over_at, deposed_at) + lease_s
        # The former owner may still renew leases until its horizon has passed.
        return self.taken_over_at + terms.after(terms.horizon_s) + lease_s
