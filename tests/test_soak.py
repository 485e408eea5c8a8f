"""Short seeded runs of the soak test, including seeds that once failed."""

import asyncio

import pytest

from standins.platform import Work, WorkerRun
from tests import soak

# Seeds that run with all kinds of faults.
SEEDS = [1, 2]
# Faults from which the seeds below drew when they failed.
LATER_FAULTS = sorted(
    soak.FAULTS.keys()
    - {
        "change_routes",
        "delay_orders",
        "delay_writes",
        "drop_history",
        "lose_order_answers",
    }
)
# Seeds that failed with all of these kinds, with the cause.
LATER_REGRESSIONS = [
    # A call of another process was cancelled, and the outcome of its job left unread.
    900,
    901,
    925,
]
# Faults from which the seeds below drew when they failed.
FORMER_FAULTS = sorted(
    set(LATER_FAULTS) - {"write_invalid_records", "submit_invalid_jobs"}
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
    [(seed, None) for seed in SEEDS]
    + [(seed, LATER_FAULTS) for seed in LATER_REGRESSIONS]
    + [(seed, FORMER_FAULTS) for seed in REGRESSIONS],
)
def test_guarantees_hold_under_external_faults(seed, faults):
    """Guards against lost, duplicate and early runs when faults overlap."""
    violations, _, accepted = asyncio.run(soak.play(seed, faults))
    assert violations == []
    assert accepted > 20


class Reports:
    """A ledger with one job, and the reports of workers to it."""

    def __init__(self, steps):
        self.ledger = soak.Ledger()
        self.job = soak.Submitted("/p/a", {"spec": "x", "steps": steps})
        self.ledger.jobs["a"] = self.job
        self.workers = [soak.WorkerStandin(f"w{index}") for index in range(2)]

    def start(self, task, worker=0, late=False, after_s=0.0, **order):
        """Report a start, some time after the cancellation of the job."""
        order = {"task": task, "run": 1, "spec": "x", "fencingToken": 1} | order
        run = WorkerRun(self.workers[worker], order, Work(9.0, 1.0), late)
        run.started_at = (self.job.cancelled_at or 0.0) + after_s
        self.workers[worker].observed = run
        self.ledger.observe("start", task, self.workers[worker])
        return run

    def cancel(self):
        self.job.cancel_sent_at = self.job.cancelled_at = 1000.0

    def disrupt(self, subject, begin_s, end_s):
        """Record a disruption, at times relative to the cancellation."""
        self.ledger.disruptions.append(
            soak.Disruption(subject, 1000.0 + begin_s, 1000.0 + end_s)
        )

    def found_at(self, after_s):
        """Return the violations known some time after the cancellation."""
        self.ledger.broken.clear()
        self.ledger.check_cancellations(1000.0 + after_s)
        return [" ".join(line.split()[:2]) for line in self.ledger.broken]


def test_the_ledger_reports_violations():
    """Guards against a soak test that can't fail."""
    steps = [{"count": 2, "cpu": 9000}, {"count": 1, "cpu": 1000, "after": [0]}]
    reports = Reports(steps)
    reports.start("a.0.0.0")
    reports.start("a.0.0.1")
    reports.start("a.0.0.0", worker=1)
    reports.start("a.0.1.0", worker=1)
    reports.start("b.0.0.0", worker=1)
    kinds = [line.split()[0] for line in reports.ledger.broken]
    assert kinds == ["LIMIT", "TWICE", "ORDER", "UNASKED"]


def test_the_ledger_reports_orders_that_nobody_asked_for():
    """Guards against a start of other work than was submitted, unseen."""
    steps = [{"count": 2, "cpu": 1}, {"count": 2, "cpu": 1, "gang": True}]
    reports = Reports(steps)
    own = reports.start("a.0.0.0")
    own.checkpoints.append("c1")
    member = reports.start("a.0.1.0")
    member.checkpoints.append("c2")
    reports.start("a.0.0.0", run=2, checkpoint="c1")
    reports.start("a.0.1.1", run=2, checkpoint="c2")
    assert [b for b in reports.ledger.broken if "UNASKED" in b] == []
    reports.ledger.broken.clear()
    reports.ledger.running.clear()
    reports.start("a.0.0.2")
    reports.start("a.0.0.1", spec="y")
    reports.start("a.0.0.1", worker=1, run=2, checkpoint="c1")
    reports.start("a.0.1.0", worker=1, run=2, checkpoint="")
    kinds = [" ".join(b.split()[:2]) for b in reports.ledger.broken]
    assert kinds == [
        "UNASKED a.0.0.2",
        "UNASKED spec",
        "UNASKED checkpoint",
        "TWICE a.0.0.1",
        "UNASKED checkpoints",
    ]


def test_the_ledger_reports_a_start_after_a_cancellation():
    """Guards against work that is started after its cancellation, unseen."""
    reports = Reports([{"count": 4, "cpu": 1}])
    reports.ledger.leaders.append((0.0, "n0", 0))
    reports.cancel()
    reports.start("a.0.0.0", after_s=2.9).ended_at = 1000.0
    reports.start("a.0.0.1", after_s=20.0, late=True).ended_at = 1000.0
    assert reports.found_at(60.0) == []
    reports.start("a.0.0.2", after_s=3.1).ended_at = 1000.0
    assert reports.found_at(60.0) == ["UNASKED start"]
    reports.disrupt("n1", 1.0, 2.0)
    reports.disrupt("w0", 1.0, 2.0)
    assert reports.found_at(60.0) == ["UNASKED start"]
    reports.disrupt("n0", -1.0, 0.2)
    assert reports.found_at(60.0) == []
    reports.start("a.0.0.3", after_s=3.3).ended_at = 1000.0
    assert reports.found_at(60.0) == ["UNASKED start"]


def test_the_ledger_reports_a_run_that_goes_on_after_a_cancellation():
    """Guards against cancelled work that is not stopped, unseen."""
    reports = Reports([{"count": 2, "cpu": 1}])
    reports.ledger.leaders += [(0.0, "n0", 1), (1010.0, "n1", 2)]
    reports.cancel()
    run = reports.start("a.0.0.0")
    assert reports.found_at(3.8) == []
    assert reports.found_at(4.0) == ["UNASKED run"]
    reports.disrupt("n1", 2.0, 3.0)
    reports.disrupt("w1", 2.0, 3.0)
    assert reports.found_at(4.0) == ["UNASKED run"]
    reports.disrupt("w0", 1.0, 2.0)
    reports.disrupt("n0", -1.0, -0.5)
    assert reports.found_at(6.3) == []
    assert reports.found_at(6.5) == ["UNASKED run"]
    run.ended_at = 1006.0
    reports.start("a.0.0.1", late=True, after_s=20.0)
    assert reports.found_at(26.8) == []
    assert reports.found_at(27.0) == ["UNASKED run"]
