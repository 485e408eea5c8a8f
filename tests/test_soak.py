"""Short seeded runs of the soak test, including seeds that once failed."""

import asyncio

import pytest

from tests import soak

# Seeds that run with all kinds of faults.
SEEDS = [1, 2]
# Seeds that failed with all of these kinds, with the cause.
LATER_REGRESSIONS = [
    # A call of another process was cancelled, and the outcome of its job left unread.
    900,
    901,
    925,
]
# Faults from which the seeds below drew when they failed.
FORMER_FAULTS = sorted(
    soak.FAULTS.keys() - {"write_invalid_records", "submit_invalid_jobs"}
)
# Seeds that failed once, with the cause.
REGRESSIONS = [
    # A second task of a term that had failed left its exception unread.
    2,
    # An announcement on a channel that was just closed raised an unexpected error.
    127,
    # Two faults of the test harness started the same process twice.
    100,
    # An exception of a term that had failed was left unread.
    306,
    # A start in flight ran on a restarted worker while its task was started elsewhere.
    309,
    311,
    316,
]


@pytest.mark.parametrize(
    "seed, faults",
    [(seed, None) for seed in SEEDS + LATER_REGRESSIONS]
    + [(seed, FORMER_FAULTS) for seed in REGRESSIONS],
)
def test_guarantees_hold_under_external_faults(seed, faults):
    """Guards against lost, duplicate and early runs when faults overlap."""
    violations, _, accepted = asyncio.run(soak.play(seed, faults))
    assert violations == []
    assert accepted > 20


def test_the_ledger_reports_violations():
    """Guards against a soak test that can't fail."""
    ledger = soak.Ledger()
    steps = [{"count": 2, "cpu": 9000}, {"count": 1, "cpu": 1000, "after": [0]}]
    ledger.jobs["a"] = soak.Submitted("/p/a", {"steps": steps})
    workers = [soak.WorkerStandin(f"w{index}") for index in range(2)]
    ledger.observe("start", "a.0.0.0", workers[0])
    ledger.observe("start", "a.0.0.1", workers[0])
    ledger.observe("start", "a.0.0.0", workers[1])
    ledger.observe("start", "a.0.1.0", workers[1])
    ledger.observe("start", "b.0.0.0", workers[1])
    kinds = [line.split()[0] for line in ledger.broken]
    assert kinds == ["LIMIT", "TWICE", "ORDER", "UNASKED"]
