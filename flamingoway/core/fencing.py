"""When a task of an unreachable worker may be placed again.

A worker measures a lease from the moment at which it sent the report that the
renewing command acknowledges. The owner received that report later, so a lease
counted from the receipt never ends before the worker's own, apart from the drift
between the two clocks. All times are monotonic seconds on the owner's clock.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """Times that bound how long a task may run without contact.

    Attributes:
        lease_s: Task lease.
        drift: Largest relative difference in speed of two clocks.
        horizon_s: Longest time for which an owner renews leases without contact
            with the store.
    """

    lease_s: float = 15.0
    drift: float = 0.1
    horizon_s: float = 4200.0

    def with_drift(self, seconds: float) -> float:
        """Return how long to wait here until any clock has counted ``seconds``."""
        return seconds * (1.0 + self.drift)


@dataclass(slots=True)
class WorkerLease:
    """What bounds the leases of the tasks on one worker.

    Attributes:
        taken_over_at: When this owner took over the shard.
        reached_at: When the first report in this owner's epoch arrived; from then on
            the worker refuses former owners.
        acked_at: When the newest report arrived that this owner has acknowledged in
            a command with starts or renewals.
    """

    taken_over_at: float
    reached_at: float | None = None
    acked_at: float | None = None

    def note_report(self, received_at: float) -> None:
        """Note a report of the worker in this owner's epoch."""
        if self.reached_at is None:
            self.reached_at = received_at

    def note_ack(self, received_at: float) -> None:
        """Note a command with starts or renewals.

        Args:
            received_at: When the report that it acknowledges arrived.
        """
        if self.acked_at is None or received_at > self.acked_at:
            self.acked_at = received_at

    def safe_at(self, terms: LeaseTerms, deposed_at: float | None) -> float:
        """Return the time from which no task of the worker can run.

        Args:
            terms: Lengths of lease and horizon, and clock drift.
            deposed_at: When the former owner was confirmed dead or deposed, or the
                time of takeover if there was none; ``None`` if not confirmed.
        """
        lease_s = terms.with_drift(terms.lease_s)
        if self.reached_at is not None:
            # A lease of a former owner began before the worker reached this one.
            acked_at = self.reached_at if self.acked_at is None else self.acked_at
            return max(self.reached_at, acked_at) + lease_s
        unconfirmed = self.taken_over_at + terms.with_drift(terms.horizon_s) + lease_s
        if deposed_at is None:
            return unconfirmed
        # The former owner may have renewed leases until then.
        return min(unconfirmed, max(self.taken_over_at, deposed_at) + lease_s)
