"""Faults, rate limits and call counts of the key-value service stand-in."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

WINDOW_S = 1.0


class RateLimit:
    """Allows at most ``limit`` calls in any window of one second.

    Args:
        limit: Calls per second.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, limit: int, clock: Callable[[], float]):
        self._limit = limit
        self._clock = clock
        self._admitted_at: deque[float] = deque()

    def admit(self) -> bool:
        """Return whether a call is within the limit, and count it if it is."""
        now = self._clock()
        while self._admitted_at and self._admitted_at[0] <= now - WINDOW_S:
            self._admitted_at.popleft()
        if len(self._admitted_at) >= self._limit:
            return False
        self._admitted_at.append(now)
        return True


@dataclass(slots=True)
class Faults:
    """Faults of the service that are in force.

    Attributes:
        slow_s: Added delay before each call takes effect, in seconds. A write
            takes effect after it even if its caller has cancelled the call.
        down: Whether all calls are refused without effect.
        drop: Number of coming writes that are applied without a response.
        drop_mode: ``error``: the call fails as if the connection had closed;
            ``hang``: no response is sent.
    """

    slow_s: float = 0.0
    down: bool = False
    drop: int = 0
    drop_mode: str = "error"


@dataclass(slots=True)
class Counts:
    """Calls by kind, and the outcomes of faults and limits.

    Attributes:
        calls: All calls by kind; opening a watch counts as one call.
        open_watches: Watches that are open now.
        limited: Calls rejected with RESOURCE_EXHAUSTED, by ``read`` or ``write``.
        refused: Calls refused while down.
        dropped: Writes applied without a response.
    """

    calls: Counter = field(default_factory=Counter)
    open_watches: int = 0
    limited: Counter = field(default_factory=Counter)
    refused: int = 0
    dropped: int = 0

    def to_json(self) -> dict:
        """Return the counts as plain values."""
        return {
            "calls": dict(self.calls),
            "total": self.calls.total(),
            "open_watches": self.open_watches,
            "limited": dict(self.limited),
            "refused": self.refused,
            "dropped": self.dropped,
        }
