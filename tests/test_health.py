"""Guards against workers that fail every task and jobs that fail on every worker."""

import random

import pytest
from scheduling import Rig, spec, worker

from flamingoway.core.effects import StopTask
from flamingoway.core.reports import Attempt, WorkerReport
from flamingoway.core.retry import Backoff, RetryBudget
from flamingoway.model import Resources
from flamingoway.records import JobRemoved
from flamingoway.status import Code

ONE_TASK_CAPACITY = Resources(1000, 2048)
WORKER_IDS = [f"w{n}" for n in range(1, 6)]


def run_until_final(rig, job_id, fails):
    """Run a job to its final state; return the workers of its starts, in order.

    Args:
        rig: Schedules the job.
        job_id: The job to run.
        fails: Returns whether a task fails on the worker with this id.
    """
    used = []
    for _ in range(200):
        for task_id in rig.schedule(5.0):
            used.append(rig.ledger.tasks[task_id].worker_id)
            rig.end(task_id, "failed" if fails(used[-1]) else "succeeded")
        if rig.scheduler.view(job_id).state.final:
            break
    return used


# Failing workers, allowed attempts, final state, code, number of starts.
JOBS = {
    "fails everywhere": (WORKER_IDS, 3, "failed", Code.RETRIES_EXHAUSTED, 3),
    "single attempt": (WORKER_IDS, 1, "failed", Code.JOB_FAILED, 1),
    "fails on one worker": (["w1"], 2, "succeeded", 0, 2),
}


@pytest.mark.parametrize("case", JOBS.values(), ids=JOBS.keys())
def test_failing_job_ends_after_several_healthy_workers(case):
    failing, attempts, state, code, starts = case
    rig = Rig(WORKER_IDS)
    rig.submit(spec("j", max_attempts=attempts))
    used = run_until_final(rig, "j", lambda worker_id: worker_id in failing)
    job = rig.scheduler.view("j")
    assert (job.state, job.code, len(used)) == (state, code, starts)
    assert len(set(used)) == starts


def test_worker_that_fails_every_task_is_quarantined_and_no_job_fails():
    rig = Rig([worker(name, ONE_TASK_CAPACITY) for name in WORKER_IDS])
    rig.submit(*(spec(f"j{n}", max_attempts=2) for n in range(40)))
    failures = 0
    for _ in range(100):
        for task_id in rig.schedule(1.0):
            worker_id = rig.ledger.tasks[task_id].worker_id
            failures += worker_id == "w1"
            rig.end(task_id, "failed" if worker_id == "w1" else "succeeded")
    states = {rig.scheduler.view(f"j{n}").state.value for n in range(40)}
    assert states == {"succeeded"}
    assert failures <= 6


def test_worker_after_quarantine_first_gets_one_probe_task():
    rig = Rig(["w1"])
    for n in range(3):
        rig.submit(spec(f"bad{n}", max_attempts=9))
        rig.schedule()
        rig.end(f"bad{n}/0", "failed")
        rig.scheduler.cancel(f"bad{n}", "e", "m", None, rig.now, rig.now)
    rig.submit(*(spec(f"j{n}") for n in range(4)))
    assert rig.schedule() == []
    probe = rig.schedule(31.0)
    assert len(probe) == 1
    rig.end(probe[0])
    assert len(rig.schedule()) == 3


def quarantine_w1(rig):
    """Quarantine the only worker, then add w2."""
    for n in range(3):
        rig.submit(spec(f"bad{n}", max_attempts=9))
        rig.schedule()
        rig.end(f"bad{n}/0", "failed")
        rig.scheduler.cancel(f"bad{n}", "e", "m", None, rig.now, rig.now)
    rig.scheduler.set_worker(worker("w2"), True)


def test_probe_with_a_job_that_failed_on_a_healthy_worker_is_inconclusive():
    """Guards against a healthy worker that a faulty job keeps out of service."""
    rig = Rig(["w1"])
    quarantine_w1(rig)
    rig.submit(spec("faulty", max_attempts=9), spec("sound"))
    assert sorted(rig.schedule()) == ["faulty/0", "sound/0"]
    assert rig.end("faulty/0", "failed") == "w2"
    assert rig.end("sound/0") == "w2"
    rig.scheduler.set_worker(worker("w2"), False)
    assert rig.schedule(31.0) == ["faulty/0"]
    assert rig.end("faulty/0", "failed") == "w1"
    rig.submit(spec("next"))
    assert rig.schedule() == ["next/0"]


def test_probe_that_fails_a_job_which_failed_on_another_failing_worker_counts():
    rig = Rig(["w1"])
    quarantine_w1(rig)
    rig.submit(spec("j", max_attempts=9))
    rig.schedule()
    assert rig.end("j/0", "failed") == "w2"
    rig.scheduler.set_worker(worker("w2"), False)
    assert rig.schedule(31.0) == ["j/0"]
    assert rig.end("j/0", "failed") == "w1"
    rig.submit(spec("next"))
    assert rig.schedule() == []


def test_flood_of_faulty_jobs_does_not_quarantine_most_workers():
    rig = Rig([worker(f"w{n}", ONE_TASK_CAPACITY) for n in range(12)])
    rig.submit(*(spec(f"j{n}", max_attempts=2) for n in range(300)))
    for _ in range(60):
        for task_id in rig.schedule(1.0):
            rig.end(task_id, "failed")
    assert len(rig.scheduler._state.health.unhealthy) <= 3


def test_task_that_still_runs_elsewhere_is_not_placed_again():
    rig = Rig(["w1", "w2"])
    rig.submit(spec("j"))
    rig.schedule()
    first = rig.ledger.tasks["j/0"].worker_id
    rig.scheduler.on_worker_lost(first, rig.now, rig.now)
    orphan = WorkerReport(first, 1, ONE_TASK_CAPACITY, [Attempt("j/0", 1)])
    rig.scheduler.on_report(orphan, rig.now, rig.now)
    assert rig.effects(StopTask) == [StopTask(first, "j/0", 1)]
    assert rig.schedule() == []
    rig.scheduler.on_report(
        WorkerReport(first, 2, ONE_TASK_CAPACITY, []), rig.now, rig.now
    )
    assert rig.schedule() == ["j/0"]


def test_job_that_fits_no_worker_fails_after_a_grace_period():
    rig = Rig([worker("big", Resources(8000, 8192)), "w1"])
    rig.submit(spec("j", resources=Resources(8000, 1024)))
    rig.scheduler.remove_worker("big")
    rig.schedule(10.0)
    rig.schedule(800.0)
    assert rig.scheduler.view("j").state == "queued"
    rig.schedule(200.0)
    assert rig.scheduler.view("j").code == Code.JOB_IMPOSSIBLE


def test_finished_jobs_are_removed_after_a_day():
    rig = Rig(["w1"])
    rig.submit(spec("j"))
    rig.schedule()
    rig.end("j/0")
    rig.schedule(23 * 3600.0)
    assert rig.scheduler.view("j") is not None
    rig.now += 2 * 3600.0
    rig.scheduler.schedule(rig.now, rig.now)
    assert rig.scheduler.take_batch().records == [JobRemoved("j")]
    assert rig.ledger.tasks == {}


@pytest.mark.parametrize(
    ("retries", "low", "high"), [(0, 0.5, 1), (3, 4, 8), (500, 30, 60)]
)
def test_backoff_grows_to_its_cap(retries, low, high):
    backoff = Backoff(base_s=1.0, cap_s=60.0, floor=0.5)
    rng = random.Random(1)
    delays = [backoff.delay(retries, rng) for _ in range(200)]
    assert low <= min(delays) < max(delays) <= high


def test_retries_stay_within_a_ratio_of_the_attempts():
    budget = RetryBudget(ratio=0.1, reserve=5, limit=50)
    granted = 0
    for _ in range(1000):
        budget.note_attempt()
        granted += budget.withdraw()
    assert 100 <= granted <= 105
