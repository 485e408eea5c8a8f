"""Faults, rate limits and call counts of the key-value service stand-in."""

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

WINDOW_S = 1.0


class RateLimit:
    """Allows at most ``limit`` calls in any window of one second.

    Args:
        limit: Calls a second.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, limit: int, clock: Callable[[], float]):
        self._limit = limit
        self._clock = clock
        self._times: deque[float] = deque()

    def admit(self) -> bool:
        """Count a call; tell whether it is within the limit."""
        now = self._clock()
        while self._times and self._times[0] <= now - WINDOW_S:
            self._times.popleft()
        if len(self._times) >= self._limit:
            return False
        self._times.append(now)
        return True


@dataclass(slots=True)
class Faults:
    """Faults in force.

    Attributes:
        slow_s: Added delay before each call takes effect, in seconds. A write
            takes effect after it even if its caller has given up.
        down: Whether all calls are refused without effect.
        drop: Number of coming writes that are applied without an answer.
        drop_mode: ``error``: the connection breaks; ``hang``: no answer comes.
    """

    slow_s: float = 0.0
    down: bool = False
    drop: int = 0
    drop_mode: str = "error"


@dataclass(slots=True)
class Counts:
    """Calls by kind, and the outcomes of faults and limits.

    Attributes:
        calls: Every call by kind; an open watch is one call.
        open_watches: Watches that are open now.
        limited: Calls answered with RESOURCE_EXHAUSTED, by ``read`` or ``write``.
        refused: Calls refused while down.
        dropped: Writes applied without an answer.
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
