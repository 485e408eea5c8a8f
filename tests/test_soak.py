"""Short seeded runs of the soak, and the seeds that failed before."""

import asyncio

import pytest

from tests import soak

# Seeds with which the whole set of faults is played.
SEEDS = [1, 2]
# Seeds that failed once, with the cause.
REGRESSIONS = [
    # An announcement on a channel that was just closed raised an unexpected error.
    127,
    # Two faults of the harness started the same process twice.
    100,
]


@pytest.mark.parametrize("seed", SEEDS + REGRESSIONS)
def test_promises_hold_under_faults_from_outside(seed):
    """Guards against lost, doubled and early work when faults overlap."""
    broken, _, accepted = asyncio.run(soak.play(seed))
    assert broken == []
    assert accepted > 20


def test_the_ledger_tells_broken_promises():
    """Guards against a soak that would pass whatever happens."""
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
