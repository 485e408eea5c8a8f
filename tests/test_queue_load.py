"""Checks service levels of the planner under simulated load of the benchmarks."""

import dataclasses

import pytest

from benchmarks.queue_load import play
from benchmarks.queue_traffic import scenario

# Share of urgent checks in time that users require on a day without bursts.
CHECKS_IN_TIME_SHARE = 0.95


def results(base, seeds=2):
    return [play(base, seed) for seed in range(seeds)]


@pytest.mark.parametrize("bursts", [False, True], ids=["calm", "bursts"])
def test_urgent_checks_are_in_time_beside_gangs_and_sorts(bursts):
    """Guards against checks that wait behind reserved workers or slow advice."""
    for result in results(scenario("today", bursts)):
        checks = next(k for k in result.kinds if k.queue == "checks")
        assert checks.in_time >= CHECKS_IN_TIME_SHARE


def test_the_largest_jobs_are_served_half_as_often_as_their_kind():
    """Guards against an order by size that starves the largest jobs forever.

    The largest tenth of one run is only three or four plans, so the counts of several
    runs are added.
    """
    runs = results(scenario("today"), seeds=8)
    for kinds in zip(*(result.kinds for result in runs), strict=True):
        served = sum(kind.in_time + kind.late for kind in kinds)
        largest = sum(kind.largest_served for kind in kinds)
        assert largest >= served / 2, kinds[0].queue


def test_an_overload_of_sorts_does_not_delay_checks():
    """Guards against checks delayed by sorts at three times their rate.

    That rate is well beyond the capacity of the workers.
    """
    base = scenario("today", bursts=False)
    burst = dataclasses.replace(scenario("today").bursts[0], factor=3.0, seconds=15.0)
    overloaded = dataclasses.replace(base, bursts=(burst,))
    for result in results(overloaded):
        checks = next(k for k in result.kinds if k.queue == "checks")
        assert checks.in_time >= CHECKS_IN_TIME_SHARE


def test_workers_that_fail_everything_do_not_hold_up_checks():
    base = dataclasses.replace(scenario("today", bursts=False), failing_workers=0.1)
    for result in results(base):
        checks = next(k for k in result.kinds if k.queue == "checks")
        assert checks.in_time + checks.late >= CHECKS_IN_TIME_SHARE


@pytest.mark.parametrize("seed", [0, 1])
@pytest.mark.parametrize("deployment", ["first", "second"])
def test_no_gang_waits_beside_idle_workers_after_a_flood(deployment, seed):
    """Guards against gangs that do not start, or never end, once traffic has ceased."""
    result = play(scenario("grown", deployment=deployment), seed)
    assert not result.violations, "\n".join(map(str, result.violations))


def test_runs_with_the_same_seed_are_equal():
    first, second = (play(scenario("today"), 3) for _ in range(2))
    assert first.kinds == second.kinds
