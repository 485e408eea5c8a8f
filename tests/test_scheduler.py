"""Guards the life cycle of jobs and tasks in the scheduler."""

import random

import pytest
from scheduling import CAPACITY, Rig, document, spec, worker

from flamingoway.core import retention, withdrawals
from flamingoway.core.effects import AckResult, Reply, StartTask, StopTask
from flamingoway.core.ledger import Ledger
from flamingoway.core.reports import (
    Attempt,
    FinishedAttempt,
    RefusedStart,
    WorkerReport,
)
from flamingoway.core.scheduler import Scheduler
from flamingoway.model import Policy, Resources, TaskState
from flamingoway.status import Code


def scheduler_with_job(names=("w1",), **changes):
    """Return a scheduler whose only job has been submitted and scheduled once."""
    scheduler = Scheduler("s", random.Random(1))
    for name in names:
        scheduler.set_worker(worker(name), True)
    scheduler.submit(spec(**changes), "t", 0.0, 0.0)
    scheduler.schedule(0.0, 0.0)
    return scheduler


def effects(scheduler, kind):
    return [e for e in scheduler.take_batch().effects if isinstance(e, kind)]


def report(name="w1", running=(), finished=(), refused=(), acked_starts=False):
    return WorkerReport(
        name,
        1,
        CAPACITY,
        list(running),
        list(finished),
        list(refused),
        {},
        acked_starts,
    )


def test_job_is_accepted_placed_and_finished():
    scheduler = scheduler_with_job()
    batch = scheduler.take_batch()
    assert [type(e) for e in batch.effects] == [Reply, StartTask]
    scheduler.on_report(
        report(finished=[FinishedAttempt("j1/0", 1, "succeeded", b"1")]), 1.0, 1.0
    )
    assert scheduler.view("j1").state == "succeeded"
    assert effects(scheduler, AckResult) == [AckResult("w1", "j1/0", 1)]
    assert scheduler.ledger.used_on("w1") == Resources()


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({"resources": Resources(5000, 1)}, Code.NEVER_FITS),
        ({"policy": Policy.GANG, "tasks": 5}, Code.NEVER_FITS),
        ({"policy": Policy.GANG, "tasks": 4}, Code.ACCEPTED),
    ],
)
def test_jobs_that_never_fit_are_refused(changes, code):
    scheduler = scheduler_with_job(**changes)
    assert effects(scheduler, Reply)[0].code == code


def test_submission_without_known_workers_is_refused():
    scheduler = scheduler_with_job(names=())
    assert effects(scheduler, Reply)[0].code == Code.OVERLOADED


@pytest.mark.parametrize(
    ("digest", "code"), [("a", Code.ALREADY_ACCEPTED), ("b", Code.KEY_REUSED)]
)
def test_repeated_submission_is_recognised(digest, code):
    scheduler = scheduler_with_job(request_digest="a")
    scheduler.take_batch()
    scheduler.submit(spec(request_digest=digest), "t2", 1.0, 1.0)
    batch = scheduler.take_batch()
    assert (batch.records, batch.effects[0].code) == ([], code)


LATE_REPORTS = {
    "result of an unknown task": report(finished=[FinishedAttempt("x/0", 1, "failed")]),
    "result of another attempt": report(
        finished=[FinishedAttempt("j1/0", 7, "failed")]
    ),
    "result from another worker": report(
        "w9", finished=[FinishedAttempt("j1/0", 1, "failed")]
    ),
    "refusal of another attempt": report(refused=[RefusedStart("j1/0", 7, "capacity")]),
    "duplicate of the same attempt": report(
        running=[Attempt("j1/0", 1)], refused=[RefusedStart("j1/0", 1, "duplicate")]
    ),
    "missing before the start was sent": report(),
}


@pytest.mark.parametrize("late", LATE_REPORTS.values(), ids=LATE_REPORTS.keys())
def test_late_reports_change_nothing(late):
    scheduler = scheduler_with_job()
    scheduler.take_batch()
    scheduler.on_report(late, 1.0, 1.0)
    scheduler.on_report(late, 2.0, 2.0)
    batch = scheduler.take_batch()
    assert batch.records == []
    assert len([e for e in batch.effects if isinstance(e, AckResult)]) == 2 * len(
        late.finished
    )
    assert scheduler.ledger.tasks["j1/0"].state is TaskState.ASSIGNED


REQUEUES = {
    "refused": lambda s: s.on_report(
        report(refused=[RefusedStart("j1/0", 1, "capacity")]), 1.0, 1.0
    ),
    "lost worker": lambda s: s.on_worker_lost("w1", 1.0, 1.0),
    "not running": lambda s: s.on_report(report(acked_starts=True), 1.0, 1.0),
    "stopped": lambda s: s.on_report(
        report(finished=[FinishedAttempt("j1/0", 1, "stopped")]), 1.0, 1.0
    ),
}


@pytest.mark.parametrize("event", REQUEUES.values(), ids=REQUEUES.keys())
def test_unfinished_attempts_are_queued_again(event):
    scheduler = scheduler_with_job()
    event(scheduler)
    assert scheduler.ledger.used_on("w1") == Resources()
    assert scheduler.schedule(2.0, 2.0) == 1
    starts = effects(scheduler, StartTask)
    assert [start.attempt for start in starts] == [1, 2]


def test_orphan_attempt_is_stopped():
    scheduler = scheduler_with_job()
    scheduler.take_batch()
    orphan = Attempt("j1/0", 9)
    scheduler.on_report(report(running=[Attempt("j1/0", 1), orphan]), 1.0, 1.0)
    assert effects(scheduler, StopTask) == [StopTask("w1", "j1/0", 9)]


def test_cancelled_job_holds_resources_until_its_tasks_ended():
    scheduler = scheduler_with_job(tasks=6)
    scheduler.cancel("j1", "e", "m", "c", 1.0, 1.0)
    assert scheduler.view("j1").state == "cancelled"
    assert scheduler.ledger.used_on("w1").cores_milli == 4000
    assert scheduler.schedule(1.0, 1.0) == 0
    finished = [FinishedAttempt(f"j1/{i}", 1, "stopped") for i in range(4)]
    scheduler.on_report(report(finished=finished), 2.0, 2.0)
    assert scheduler.ledger.used_on("w1") == Resources()
    assert scheduler.schedule(2.0, 2.0) == 0


def test_job_of_another_member_cannot_be_cancelled():
    scheduler = scheduler_with_job()
    scheduler.cancel("j1", "e", "other", "c", 1.0, 1.0)
    assert effects(scheduler, Reply)[-1].code == Code.NOT_FOUND


def test_restored_scheduler_resends_only_the_same_attempt():
    scheduler = scheduler_with_job(tasks=6)
    parts = scheduler.ledger.snapshot()
    restored = Scheduler("s", random.Random(1), Ledger.restore(parts))
    assert restored.ledger.snapshot() == parts
    restored.set_worker(worker(), True)
    assert restored.schedule(5.0, 5.0) == 0
    starts = restored.starts_to_resend("w1", [Attempt("j1/0", 1), Attempt("j1/1", 1)])
    assert [(s.task_id, s.attempt) for s in starts] == [("j1/2", 1), ("j1/3", 1)]
    assert restored.queued == 2


def test_explanation_names_the_reason():
    rig = Rig(["w1", "w2"])
    rig.scheduler.set_document("e", document(quotas={"m": 5}), 1.0)
    rig.submit(spec("running", tasks=4), spec("retry", member="p"))
    rig.schedule()
    rig.end("retry/0", "failed")
    rig.submit(spec("over", tasks=2))
    rig.submit(spec("gang", member="n", policy=Policy.GANG, tasks=5))
    rig.schedule()
    gang = " ".join(rig.scheduler.explain("gang", rig.now))
    assert "too few workers have room" in gang
    rig.submit(spec("full", member="o", tasks=9))
    rig.schedule()
    explained = {
        job_id: " ".join(rig.scheduler.explain(job_id, rig.now))
        for job_id in ("running", "over", "full", "retry", "none")
    }
    expected = {
        "running": "the job is running",
        "over": "of its quota of 5 cores",
        "full": "no worker has 1 cores",
        "retry": "wait for a retry",
        "none": "no such job",
    }
    for job_id, text in expected.items():
        assert text in explained[job_id], job_id


def test_failed_task_does_not_wait_for_a_worker_full_of_services():
    """Guards against an endless wait beside the idle worker on which it failed."""
    rig = Rig(["w1"])
    rig.scheduler.set_document("e", document(services=[("viewer", 4)]), 1.0)
    rig.schedule()
    rig.scheduler.set_worker(worker("w2"), True)
    rig.submit(spec("j"))
    assert rig.schedule() == ["j/0"]
    rig.end("j/0", "failed")
    assert rig.schedule(60.0) + rig.schedule(60.0) == ["j/0"]


@pytest.mark.parametrize("policy", [Policy.BATCH, Policy.GANG])
def test_failed_task_does_not_wait_for_a_worker_full_of_long_tasks(policy):
    """Guards against a wait of hours beside the idle worker on which it failed."""
    rig = Rig(["w2"])
    rig.submit(spec("long", resources=CAPACITY))
    rig.schedule()
    rig.scheduler.set_worker(worker("w1"), True)
    rig.submit(spec("j", policy=policy))
    rig.schedule()
    assert rig.end("j/0", "failed") == "w1"
    placed_at = []
    for _ in range(60):
        if rig.schedule(1.0):
            placed_at.append(rig.now)
    assert rig.states("j") == ["assigned"]
    assert placed_at[0] > 20.0


def test_gang_that_is_submitted_again_after_removal_does_not_wait_for_an_old_delay(
    monkeypatch,
):
    monkeypatch.setattr(retention, "MAX_FINISHED_JOBS", 0)
    monkeypatch.setattr(withdrawals, "RETENTION_S", 0.0)
    rig = Rig([f"w{n}" for n in range(8)])
    job = spec("g", policy=Policy.GANG, max_attempts=9)
    rig.submit(job)
    for _ in range(6):
        while rig.states("g") != ["assigned"]:
            rig.schedule(1.0)
        rig.end("g/0", "failed")
    rig.scheduler.cancel("g", "e", "m", None, rig.now, rig.now)
    rig.schedule(6.0)
    assert rig.scheduler.view("g") is None
    rig.schedule(100.0)
    rig.submit(job)
    assert rig.schedule(100.0) == ["g/0"]


def test_job_that_is_submitted_again_after_removal_is_not_blocked_by_an_old_orphan(
    monkeypatch,
):
    monkeypatch.setattr(retention, "MAX_FINISHED_JOBS", 0)
    monkeypatch.setattr(withdrawals, "RETENTION_S", 0.0)
    rig = Rig()
    rig.submit(spec("j"))
    rig.schedule()
    rig.scheduler.on_worker_lost("w1", rig.now, rig.now)
    for running in ([Attempt("j/0", 1)], []):
        report = WorkerReport("w1", 1, CAPACITY, running, acked_starts=True)
        rig.scheduler.on_report(report, rig.now, rig.now)
        if rig.scheduler.view("j") is not None:
            rig.scheduler.cancel("j", "e", "m", None, rig.now, rig.now)
        rig.schedule(6.0)
        assert rig.scheduler.view("j") is None
    rig.submit(spec("j"))
    assert rig.schedule(10.0) == ["j/0"]
