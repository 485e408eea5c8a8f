"""Time limit of a reservation that keeps capacity or quota idle without progress."""

from dataclasses import dataclass

from ..model import Resources

# Time for which an entry waits before it may get a reservation.
RESERVATION_DELAY_S = 10.0
# Time without progress after which a reservation is suspended at first. Other work may
# use what it kept idle for as long afterwards.
FIRST_HOLD_S = 30.0


@dataclass(slots=True)
class Hold:
    """Progress of a reservation between its reviews.

    A reservation that keeps nothing idle is not suspended, as nothing is gained.

    Attributes:
        duration_s: Time between two reviews.
        review_at: Monotonic time of the next review.
        available: Largest share of the reserved amount seen free so far.
    """

    duration_s: float
    review_at: float
    available: float

    @property
    def next_duration_s(self) -> float:
        """Time between two reviews after a suspension.

        It doubles each time, so that it exceeds the run time of any task in the end.
        """
        return 2 * self.duration_s

    def review(self, available: float, now: float) -> bool:
        """Return whether the reservation may last until the next review.

        Args:
            available: Share of the reserved amount that is free now.
            now: Monotonic time of the review.
        """
        if 0.0 < available <= self.available:
            return False
        self.available = max(self.available, available)
        self.extend(now)
        return True

    def extend(self, now: float) -> None:
        """Postpone the next review."""
        self.review_at = now + self.duration_s


def available_share(need: Resources, free: Resources) -> float:
    """Return the share of ``need`` that is free, by its scarcest resource."""
    pairs = (
        (need.cores_milli, free.cores_milli),
        (need.memory_mb, free.memory_mb),
        (need.accelerators, free.accelerators),
    )
    shares = [max(0, min(want, have)) / want for want, have in pairs if want > 0]
    return min(shares, default=1.0)
