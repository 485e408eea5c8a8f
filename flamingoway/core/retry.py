"""How many retries are allowed: a share of the traffic, so that they never add up."""

RETRY_RATIO = 0.2
RETRY_BURST = 10.0


class RetryBudget:
    """Allows retries in proportion to first attempts.

    Args:
        ratio: Retries for each first attempt.
        burst: Retries that can be saved up.
    """

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def add_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def take(self) -> bool:
        """Use one retry; return whether it is allowed."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
