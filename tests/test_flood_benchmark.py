"""Tests the flood benchmark at its smallest sizes."""

import pytest

from benchmarks import flood


@pytest.mark.parametrize("workers", [1, 2])
def test_the_steady_member_is_served_without_a_flood(workers):
    """Guards against a division by zero in runs with few workers."""
    row = flood.measure(workers, seed=1, resumable=True)
    assert row["steady_done_calm"] > 0 and row["urgent_tasks"] > 0
