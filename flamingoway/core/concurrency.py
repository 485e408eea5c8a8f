"""Concurrency limit of one entry process, adapted to the latency of the targets.

While the latency of a kind of check is near its baseline, the limit grows to its
maximum, the slots that the process may use. When answers take much longer than the
baseline, requests queue inside the targets, and sending more only adds latency.
"""

import math

WINDOW_S = 0.5
MIN_WINDOW_SAMPLES = 8
# Service times vary with the request; only a clear rise of the mean counts.
LATENCY_TOLERANCE = 2.0
LIMIT_SMOOTHING = 0.3
# The baseline drifts towards the mean, so that a lasting change becomes normal.
BASELINE_DRIFT = 0.02
MEAN_SMOOTHING = 0.1
MIN_LIMIT_SHARE = 0.25
DEFAULT_SERVICE_S = 0.02


class ConcurrencyLimit:
    """Number of requests that may be at the targets at once.

    Args:
        maximum: Upper bound; see :meth:`set_maximum`.
    """

    def __init__(self, maximum: int = 1):
        self._maximum = maximum
        self._limit = float(maximum)
        self._window_end = 0.0
        self._window: dict[str, tuple[float, int]] = {}
        self._baseline: dict[str, float] = {}
        self._mean: dict[str, float] = {}

    @property
    def value(self) -> int:
        """The limit."""
        return max(1, math.floor(self._limit)) if self._maximum else 0

    def service_s(self, kind: str) -> float:
        """Return the expected latency of a kind, in seconds."""
        return self._mean.get(kind, DEFAULT_SERVICE_S)

    def set_maximum(self, maximum: int) -> None:
        """Change the upper bound; a limit at its bound follows it."""
        at_bound = self._limit >= self._maximum
        self._maximum = maximum
        self._limit = maximum if at_bound else self._bounded(self._limit)

    def record(self, kind: str, latency_s: float, now: float) -> None:
        """Record the latency of one answer, in seconds."""
        mean = self._mean.get(kind, latency_s)
        self._mean[kind] = mean + MEAN_SMOOTHING * (latency_s - mean)
        total, count = self._window.get(kind, (0.0, 0))
        self._window[kind] = (total + latency_s, count + 1)
        samples = sum(count for _, count in self._window.values())
        if now >= self._window_end and samples >= MIN_WINDOW_SAMPLES:
            self._adapt()
            self._window.clear()
            self._window_end = now + WINDOW_S

    def _adapt(self) -> None:
        ratio = self._latency_ratio()
        gradient = min(1.0, max(0.5, LATENCY_TOLERANCE / ratio))
        target = self._limit * gradient + math.sqrt(self._limit)
        smoothed = self._limit + LIMIT_SMOOTHING * (target - self._limit)
        self._limit = self._bounded(smoothed)

    def _latency_ratio(self) -> float:
        """Return the mean ratio of latency to baseline over the window."""
        weighted = 0.0
        samples = 0
        for kind, (total, count) in self._window.items():
            mean = total / count
            baseline = min(mean, self._baseline.get(kind, mean))
            weighted += mean / max(baseline, 1e-6) * count
            samples += count
            drift = BASELINE_DRIFT * (mean - baseline)
            self._baseline[kind] = baseline + drift
        return weighted / samples

    def _bounded(self, limit: float) -> float:
        lowest = max(1.0, MIN_LIMIT_SHARE * self._maximum)
        return max(lowest, min(limit, float(self._maximum)))
