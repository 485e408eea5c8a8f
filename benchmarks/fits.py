"""Straight-line fits of measured points."""

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True, slots=True)
class Fit:
    """A line ``y = intercept + slope * x``.

    Attributes:
        r2: Part of the variance of ``y`` that the line explains, 0 to 1.
        points: Number of points.
    """

    intercept: float
    slope: float
    r2: float
    points: int

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.intercept + self.slope * x


def fit_line(xs: list[float], ys: list[float]) -> Fit:
    """Fit a line by least squares; needs two different ``xs``."""
    slope, intercept = np.polyfit(xs, ys, 1)
    residual = np.sum((np.array(ys) - (intercept + slope * np.array(xs))) ** 2)
    total = np.sum((np.array(ys) - np.mean(ys)) ** 2)
    r2 = 1 - residual / total if total else 1.0
    return Fit(float(intercept), float(slope), float(r2), len(xs))
