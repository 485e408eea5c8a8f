"""Retries: jittered exponential backoff and a budget in proportion to traffic."""

import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
        base_s: Largest delay before the first retry, in seconds.
        cap_s: Largest delay before any retry, in seconds.
        floor: Smallest delay as a part of the largest, 0 to 1.
    """

    base_s: float
    cap_s: float
    floor: float = 0.0

    def delay(self, retries: int, rng: random.Random) -> float:
        """Return the delay in seconds before the next retry.

        Args:
            retries: Retries made so far, from 0.
            rng: Source of the jitter.
        """
        # The exponent is capped as a large one would overflow.
        largest = min(self.cap_s, self.base_s * 2.0 ** min(retries, 60))
        return largest * rng.uniform(self.floor, 1.0)


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    Args:
        ratio: Retries allowed for each first attempt.
        reserve: Tokens at the start, for retries before any traffic.
        limit: Most tokens that can be saved up for a burst of retries.
        per_s: Tokens added each second regardless of traffic.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        reserve: float = 10.0,
        limit: float = 100.0,
        per_s: float = 0.0,
    ):
        self._ratio = ratio
        self._limit = max(limit, reserve)
        self._per_s = per_s
        self._tokens = reserve
        self._updated: float | None = None

    @property
    def tokens(self) -> float:
        """Tokens left, without those that time has added since the last retry."""
        return self._tokens

    def note_attempt(self) -> None:
        """Count a first attempt."""
        self._add(self._ratio)

    def withdraw(self, now: float = 0.0) -> bool:
        """Take one retry out of the budget; ``False`` if there is none left.

        Args:
            now: Monotonic time in seconds; needed only with ``per_s``.
        """
        if self._updated is not None:
            self._add(self._per_s * max(0.0, now - self._updated))
        self._updated = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _add(self, tokens: float) -> None:
        self._tokens = min(self._limit, self._tokens + tokens)
