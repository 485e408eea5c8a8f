"""Checks which tasks the cluster state counts as running, ended or lost."""

from dataclasses import replace

import pytest

from flamingoway.model import Resources
from flamingoway.queues.cluster import REJECTED_DELAY_MAX_S
from flamingoway.queues.model import (
    Advice,
    DesiredState,
    EndedTask,
    EndKind,
    Schedule,
    StartReply,
    StepJobState,
    WorkerEntry,
)
from flamingoway.queues.records import ProgressRecord, StepProgress
from flamingoway.queues.runs import MAX_GRANTED_LEASE_S, RUNS_PER_EPOCH, PollNow
from tests.queue_cluster import LARGE, PLANS, Bench, step


def running(bench, *steps, **fields):
    job = bench.submit("a1", *steps, **fields)
    runs = bench.plan()
    for run in runs:
        bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
    return job, runs


def test_a_job_completes_when_all_steps_are_done():
    bench = Bench()
    job, runs = running(bench, step(2), step(1, after=(0,)))
    for run in runs:
        bench.end(run)
    assert job.state is StepJobState.RUNNING
    (last,) = bench.plan()
    assert last.task_id == "a1.0.1.0"
    bench.end(last)
    assert job.state is StepJobState.COMPLETED and job.urgent


def test_a_step_waits_for_its_predecessors():
    """Guards against a start before the tasks of an earlier step are done."""
    bench = Bench()
    _, runs = running(bench, step(2), step(1, after=(0,)))
    bench.end(runs[0])
    assert bench.plan() == []


def test_an_end_is_acknowledged_only_when_it_is_stored():
    """Guards against a new leader that runs a finished task again."""
    bench = Bench()
    job, (run, _) = running(bench, step(2))
    bench.end(run)
    worker = run.worker
    worker.advance_acknowledged()
    assert (worker.processed, worker.acknowledged) == (1, 0)
    job.stored_version = job.version
    worker.advance_acknowledged()
    assert worker.acknowledged == 1


def test_an_end_of_an_ended_job_waits_for_the_end_of_the_job():
    """Guards against a lost end of a run while the end of its job is not stored yet."""
    bench = Bench()
    job, (run, other) = running(bench, step(2))
    bench.cluster.cancel_job("a1", bench.now, bench.now)
    bench.end(run, EndKind.STOPPED)
    run.worker.advance_acknowledged()
    assert run.worker.acknowledged == 0
    job.stored_version = job.version
    run.worker.advance_acknowledged()
    assert run.worker.acknowledged == 1


def test_resources_are_held_until_the_end_is_listed():
    """Guards against overcommitting a worker."""
    bench = Bench(1)
    _, runs = running(bench, step(4, cpu=4000))
    bench.submit("b2", step(1, cpu=4000))
    assert bench.plan() == []
    bench.cluster.cancel_job("a1", bench.now, bench.now)
    assert bench.plan() == []
    bench.end(runs[0], EndKind.STOPPED)
    assert [run.task_id for run in bench.plan()] == ["b2.0.0.0"]


def test_an_unanswered_start_raises_the_token_and_is_settled_by_a_poll():
    """Guards against a task that runs twice because a start order arrived late."""
    bench = Bench(1)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    token = run.token
    bench.cluster.on_start_reply(run, StartReply.UNKNOWN, bench.now)
    assert bench.worker("w0").token == token + 1
    assert len(bench.orders(PollNow)) == 1
    assert bench.plan() == []
    bench.report("w0", token=token)
    assert run.key in bench.worker("w0").runs
    bench.report("w0", token=token + 1)
    assert bench.worker("w0").runs == {}
    (again,) = bench.plan()
    assert again.number > run.number and again.token == token + 1


def test_an_unanswered_start_that_took_effect_is_kept():
    bench = Bench(1)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    bench.cluster.on_start_reply(run, StartReply.UNKNOWN, bench.now)
    bench.report("w0", [(run.task_id, run.number)])
    assert run.key in bench.worker("w0").runs and not run.unresolved
    assert bench.plan() == []


@pytest.mark.parametrize(
    "reply",
    [
        StartReply.NOT_SENT,
        StartReply.SUPERSEDED,
        StartReply.LATE,
        StartReply.NO_TICKET,
    ],
)
def test_a_refused_start_is_placed_again(reply):
    bench = Bench(1)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    bench.cluster.on_start_reply(run, reply, bench.now)
    assert bench.worker("w0").used == Resources()
    bench.now += 1
    (again,) = bench.plan()
    assert again.number > run.number


def reject_all(bench, reply, for_s):
    """Answer all start orders with ``reply``; return the rejected runs."""
    rejected = []
    end = bench.now + for_s
    while bench.now < end:
        for run in bench.plan():
            bench.cluster.on_start_reply(run, reply, bench.now)
            rejected.append((bench.now, run))
        bench.now += 0.05
    return rejected


@pytest.mark.parametrize("reply", [StartReply.INVALID, StartReply.NO_TICKET])
@pytest.mark.parametrize("fields", [{}, {"gang": True}, {"lasting": True}])
def test_a_rejected_order_does_not_keep_the_workers_busy_or_quarantine_them(
    reply, fields
):
    """Guards against one task that quarantines all workers, one every 0.1 s."""
    bench = Bench(10)
    job = bench.submit("a1", step(2, **fields))
    rejected = reject_all(bench, reply, 60.0)
    times = sorted({at for at, _ in rejected})
    assert quarantined(bench) == set()
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert gaps[0] < 0.2 and max(gaps) < REJECTED_DELAY_MAX_S + 0.1
    assert min(gaps[5:]) > REJECTED_DELAY_MAX_S - 0.01
    assert job.state is StepJobState.QUEUED
    assert all(not step.failed_runs for step in job.steps.values())


@pytest.mark.parametrize("fields", [{}, {"gang": True}, {"lasting": True}])
def test_a_rejected_order_is_sent_to_other_workers_first(fields):
    bench = Bench(4)
    bench.submit("a1", step(1, **fields))
    rejected = reject_all(bench, StartReply.INVALID, 3.0)
    first = [run.worker.entry.worker_id for _, run in rejected[:4]]
    assert sorted(first) == ["w0", "w1", "w2", "w3"]
    assert len(rejected) > 4


def test_a_worker_that_rejects_all_orders_does_not_delay_a_step_that_progresses():
    bench = Bench(2)
    bench.submit("a1", step(40, cpu=8000))
    runs, starts, rejected = bench.plan(), 0, 0
    assert {run.worker.entry.worker_id for run in runs} == {"w0", "w1"}
    for _ in range(100):
        for run in runs:
            if run.worker.entry.worker_id == "w1":
                bench.cluster.on_start_reply(run, StartReply.INVALID, bench.now)
                rejected += 1
            else:
                bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
                bench.now += 0.01
                bench.end(run)
                starts += 1
        bench.now += 0.2
        runs = bench.plan()
    assert (starts, rejected) == (40, 2)


def test_a_task_that_all_workers_reject_does_not_hold_back_the_others_of_its_step():
    bench = Bench(1)
    bench.submit("a1", step(4, cpu=8000))
    rejected, lasts = bench.plan()
    bench.cluster.on_start_reply(lasts, StartReply.RUNNING, bench.now)
    bench.cluster.on_start_reply(rejected, StartReply.INVALID, bench.now)
    bench.now += 1
    (other,) = bench.plan()
    assert other.index not in (rejected.index, lasts.index)


def test_a_valid_ticket_does_not_lead_back_to_a_worker_that_rejected_the_order():
    bench = Bench(2)
    bench.submit("a1", step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    bench.cluster.on_advice(
        call.step, call.workers, Advice({"w0": "t"}, 9.0), bench.now
    )
    (run,) = bench.plan()
    bench.cluster.on_start_reply(run, StartReply.INVALID, bench.now)
    call.step.allowed_workers.add("w1")
    bench.now += 1
    assert bench.plan() == []
    assert [call.workers for call in bench.advice_calls()] == [("w1",)]


def test_an_order_rejected_by_the_only_free_worker_is_sent_there_again():
    bench = Bench(2)
    bench.submit("b2", step(1, cpu=16_000))
    (other,) = bench.plan()
    bench.submit("a1", step(2, cpu=8000))
    runs = bench.plan()
    for run in runs:
        bench.cluster.on_start_reply(run, StartReply.INVALID, bench.now)
    bench.now += 1
    again = bench.plan()
    assert [run.worker for run in again] == [runs[0].worker] * 2
    assert runs[0].worker is not other.worker


def test_a_start_fenced_under_the_newest_token_ends_the_leadership():
    """Guards against a former leader that keeps issuing orders."""
    bench = Bench(1)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    bench.cluster.on_start_reply(run, StartReply.FENCED, bench.now)
    assert bench.cluster.fenced


def test_a_job_fails_after_max_attempts_of_a_task():
    """Guards against more attempts than the queue allows."""
    bench = Bench(4)
    job = bench.submit("a1", step(1))
    for _ in range(3):
        assert not job.state.final
        (run,) = bench.plan()
        bench.end(run, EndKind.FAILED)
    assert job.state is StepJobState.FAILED
    assert bench.plan() == []


def test_a_failed_run_that_is_listed_twice_counts_once():
    """Guards against failed attempts that are counted again after a takeover."""
    bench = Bench(2)
    job = bench.submit("a1", step(1))
    (run,) = bench.plan()
    bench.end(run, EndKind.FAILED)
    worker = run.worker
    worker.processed = 0
    bench.end(run, EndKind.FAILED)
    (failed,) = job.steps[0, 0].failed_runs.values()
    assert failed == {run.number}


@pytest.mark.parametrize(
    "kind", [EndKind.STOPPED, EndKind.LEASE_EXPIRED, EndKind.GANG_INCOMPLETE]
)
def test_only_failed_ends_count_as_attempts(kind):
    bench = Bench(2)
    job = bench.submit("a1", step(1))
    for _ in range(5):
        (run,) = bench.plan()
        bench.end(run, kind)
    assert not job.state.final


def test_a_checkpoint_is_carried_to_the_next_run():
    bench = Bench(1)
    bench.submit("a1", step(1, checkpointing=True))
    (run,) = bench.plan()
    bench.end(run, EndKind.LEASE_EXPIRED, checkpoint="c7")
    bench.planner.run(bench.now)
    (start,) = [o for o in bench.cluster.take_orders() if hasattr(o, "order")]
    assert start.order.checkpoint == "c7"


def test_a_gang_starts_again_as_a_whole():
    """Guards against tasks of a gang that start without the rest of the gang."""
    bench = Bench(2)
    _, runs = running(bench, step(4, cpu=7000, gang=True))
    assert len({run.number for run in runs}) == 1
    bench.end(runs[0], EndKind.FAILED)
    assert len(bench.stops()) == 3
    assert bench.plan() == []
    for run in runs[1:]:
        bench.end(run, EndKind.GANG_BROKEN)
    again = bench.plan()
    assert len(again) == 4
    assert {run.number for run in again} == {runs[0].number + 1}


def test_one_done_task_ends_the_gang():
    bench = Bench(2)
    job, runs = running(bench, step(3, cpu=5000, gang=True))
    bench.end(runs[0])
    assert job.state is StepJobState.COMPLETED


def test_cancelling_stops_what_runs_and_places_nothing_more():
    bench = Bench(1)
    _, runs = running(bench, step(20, cpu=1000))
    bench.cluster.cancel_job("a1", bench.now, bench.now)
    assert len(bench.stops()) == len(runs)
    bench.end(runs[0], EndKind.STOPPED)
    assert bench.plan() == []


def test_a_stop_without_effect_is_repeated():
    bench = Bench(1)
    _, runs = running(bench, step(1))
    bench.cluster.cancel_job("a1", bench.now, bench.now)
    assert len(bench.stops()) == 1
    bench.cluster.repeat_stops(bench.now + 0.1)
    assert bench.stops() == []
    bench.cluster.repeat_stops(bench.now + 1.0)
    assert len(bench.stops()) == 1


def test_a_run_of_a_former_leader_is_adopted():
    """Guards against a takeover that discards running work."""
    bench = Bench(1, epoch=2)
    job = bench.submit("a1", step(1), inherited=True)
    bench.report("w0", [("a1.0.0.0", 3)])
    assert job.steps[0, 0].live[0].number == 3
    assert bench.plan() == [] and bench.stops() == []


def test_a_run_of_a_later_step_is_adopted_before_its_predecessors_are_known():
    """Guards against stopping a run as an orphan while its task starts elsewhere."""
    bench = Bench(2, epoch=2)
    job = bench.submit("a1", step(1), step(2, after=(0,)), inherited=True)
    bench.report("w0", [("a1.0.1.0", 3)])
    assert bench.stops() == []
    bench.report("w1", [("a1.0.0.0", 1)])
    run = job.steps[0, 0].live[0]
    bench.end(run)
    assert [r.task_id for r in bench.plan()] == ["a1.0.1.1"]


def test_a_run_of_an_unknown_job_is_stopped_and_blocks_its_worker():
    bench = Bench(1)
    bench.report("w0", [("ff.0.0.0", 1)])
    assert bench.stops() == [("ff.0.0.0", 1)]
    bench.submit("a1", step(1))
    assert bench.plan() == []
    bench.report("w0")
    assert len(bench.plan()) == 1


def test_inherited_work_waits_until_every_recorded_worker_is_settled():
    """Guards against a second run while an unreachable worker still has the first."""
    bench = Bench(1, epoch=2)
    departed = WorkerEntry("w9", "s", "w9:1", "z", Resources(16_000, 64_000))
    bench.cluster.restore_worker(departed, bench.now + 10)
    bench.submit("a1", step(1), inherited=True)
    bench.submit("b2", step(1))
    assert [run.task_id for run in bench.plan()] == ["b2.0.0.0"]
    worker = bench.worker("w9")
    assert not bench.cluster.all_runs_expired(worker, bench.now + 9)
    assert bench.cluster.all_runs_expired(worker, bench.now + 10)
    bench.cluster.drop_runs(worker, bench.now + 10, "gone")
    assert [run.task_id for run in bench.plan()] == ["a1.0.0.0"]


def test_a_job_of_a_removed_queue_keeps_the_queue_that_it_was_accepted_under():
    """Guards against a new leader that ends such a job or never goes on with it."""
    bench = Bench(1, epoch=2)
    bench.cluster.set_desired_state(DesiredState(2, ()))
    job = bench.submit("a1", step(1), inherited=True, accepted_under=PLANS)
    (run,) = bench.plan()
    bench.end(run, EndKind.FAILED)
    assert job.state is not StepJobState.FAILED
    assert len(bench.plan()) == 1


def test_a_job_whose_queue_is_unknown_waits_until_that_is_configured():
    """Guards against a job of an older version that ends after its first failure."""
    bench = Bench(1, epoch=2)
    bench.cluster.set_desired_state(DesiredState(2, ()))
    job = bench.submit("a1", step(1), inherited=True)
    bench.report("w0", [("a1.0.0.0", 1)])
    bench.end(job.steps[0, 0].live[0], EndKind.FAILED)
    assert job.state is not StepJobState.FAILED
    assert bench.plan() == []
    bench.cluster.set_desired_state(DesiredState(3, (PLANS,)))
    assert len(bench.plan()) == 1


@pytest.mark.parametrize("gang", [False, True], ids=["task", "gang"])
def test_run_numbers_rise_over_a_takeover_however_often_a_task_has_started(gang):
    """Guards against a task that all workers refuse to start for a new leader."""
    bench = Bench(1)
    lasting = step(1, lasting=True, gang=gang)
    job = bench.submit("a1", lasting)
    numbers = []
    for _ in range(2 * RUNS_PER_EPOCH + 10):
        (run,) = bench.plan()
        numbers.append(run.number)
        bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
        bench.end(run, EndKind.STOPPED)
        bench.cluster.orders.clear()
    for epoch in (2, 3):
        successor = Bench(1, epoch=epoch)
        job = successor.submit("a1", lasting, inherited=True, progress=job.record())
        (run,) = successor.plan()
        numbers.append(run.number)
    assert numbers == sorted(set(numbers))


def test_a_start_refused_as_superseded_goes_on_beyond_the_numbers_of_the_epoch():
    """Guards against a task that a record of an older version numbers too low."""
    bench = Bench(1)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    bench.cluster.on_start_reply(run, StartReply.SUPERSEDED, bench.now)
    bench.now += 1.0
    (again,) = bench.plan()
    assert again.number > RUNS_PER_EPOCH


def fail_on(bench, workers, rounds=3):
    """Let all lasting tasks on some workers fail several times."""
    for _ in range(rounds):
        bench.now += 2.0
        for worker_id in workers:
            for run in list(bench.worker(worker_id).runs.values()):
                bench.end(run, EndKind.FAILED)
        for run in bench.plan():
            bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)


def test_a_service_that_fails_everywhere_does_not_quarantine_its_workers():
    """Guards against a bad release that holds back the tasks of all other jobs."""
    bench = Bench(8)
    running(bench, step(8, lasting=True, per_worker=1))
    fail_on(bench, list(bench.cluster.workers), rounds=6)
    assert quarantined(bench) == set()
    bench.submit("b2", step(16, cpu=8000))
    assert len(bench.plan()) == 8


@pytest.mark.parametrize("workers", [1, 2])
def test_a_service_that_fails_on_all_workers_of_its_kind_quarantines_none(workers):
    """Guards against other work of the kind that waits beside nearly empty workers."""
    bench = Bench(4)
    for index in range(workers):
        bench.add_worker(f"b{index}", labels=("b",))
    spread = step(workers, label="b", per_worker=1, lasting=True)
    bench.submit("f1", spread)
    for _ in range(10):
        for run in bench.plan():
            bench.end(run, EndKind.FAILED)
        bench.now += 1.0
    assert quarantined(bench) == set()
    bench.submit("a1", step(1, label="b", lasting=True))
    bench.submit("b1", step(workers, cpu=9000, label="b", gang=True))
    started = {run.step.job.spec.job_id for run in bench.plan()}
    assert started == {"f1", "a1", "b1"}


def test_workers_that_fail_the_tasks_of_a_sound_service_are_quarantined():
    """Guards against faulty workers that go unnoticed because a service lasts."""
    bench = Bench(8)
    running(bench, step(8, lasting=True, per_worker=1))
    fail_on(bench, ["w1", "w5", "w6"])
    assert quarantined(bench) == {"w1", "w5", "w6"}


def test_an_order_is_not_sent_once_its_run_has_been_given_up():
    """Guards against a queued start of a task that runs elsewhere by then."""
    bench = Bench(2)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    assert bench.cluster.may_start(run)
    bench.cluster.drop_runs(run.worker, bench.now, "its lease has expired")
    assert not bench.cluster.may_start(run)
    (other,) = bench.plan()
    bench.cluster.cancel_job("a1", bench.now, bench.now)
    assert not bench.cluster.may_start(other)


def test_a_worker_is_settled_once_it_has_listed_all_its_ends():
    """Guards against a second run of a task whose end is on the next page."""
    bench = Bench(0, epoch=2)
    entry = WorkerEntry("w0", "s", "w0:1", "z", LARGE, born_ms=1)
    bench.cluster.restore_worker(entry, bench.now + 10)
    worker = bench.cluster.set_worker(entry, bench.now)
    job = bench.submit("a1", step(2), inherited=True)
    ends = [EndedTask(n + 1, f"a1.0.0.{n}", 1, EndKind.DONE) for n in range(2)]
    bench.report("w0", ended=ends[:1], complete=False)
    assert bench.plan() == []
    assert worker.answering and not worker.settled
    bench.report("w0", ended=ends[1:])
    assert bench.plan() == []
    assert worker.settled and job.state is StepJobState.COMPLETED


def test_an_inherited_worker_that_renewed_its_lease_may_have_runs_until_that_ends():
    """Guards against a second run beside one whose lease the new leader renewed."""
    bench = Bench(0, epoch=2)
    entry = WorkerEntry("w0", "s", "w0:1", "z", LARGE, born_ms=1)
    bench.cluster.restore_worker(entry, bench.now + 1)
    worker = bench.cluster.set_worker(entry, bench.now)
    bench.submit("a1", step(1), inherited=True)
    bench.report("w0", [("a1.0.0.0", 1)], complete=False)
    worker.lease_ms = worker.clock_ms + 5000
    assert not bench.cluster.all_runs_expired(worker, bench.now + 5.1)
    assert bench.cluster.all_runs_expired(worker, bench.now + 5.0 / 0.97 + 0.3)


def test_a_worker_without_runs_has_nothing_left_to_expire():
    """Guards against a takeover that waits for a worker that left long ago."""
    bench = Bench(1)
    assert bench.cluster.all_runs_expired(bench.worker("w0"), bench.now)
    running(bench, step(1))
    assert not bench.cluster.all_runs_expired(bench.worker("w0"), bench.now)


def test_a_new_incarnation_of_a_worker_has_none_of_its_reported_runs():
    """Guards against ends of a former incarnation that are counted for the new one."""
    bench = Bench(1)
    _, (run,) = running(bench, step(1))
    bench.report("w0", [run.key])
    worker = bench.worker("w0")
    worker.processed = 7
    token = worker.token
    entry = WorkerEntry("w0", "s", "w0:2", "z", Resources(16_000, 64_000), born_ms=2)
    bench.cluster.set_worker(entry, bench.now)
    assert worker.runs == {} and worker.processed == 0
    assert worker.token > token and not worker.settled
    assert bench.plan() == []


@pytest.mark.parametrize("answered", [False, True])
def test_a_start_that_reaches_a_restarted_worker_keeps_its_task(answered):
    """Guards against a second run of a task that a new incarnation has started."""
    bench = Bench(2)
    job = bench.submit("a1", step(1))
    (run,) = bench.plan()
    if answered:
        bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
    worker = bench.restart(run.worker.entry.worker_id)
    assert bench.plan() == []
    assert [order.worker for order in bench.orders(PollNow)] == [worker]
    bench.report(worker.entry.worker_id, [run.key])
    assert job.steps[0, 0].live == {0: run} and worker.settled
    assert bench.plan() == []


def test_a_start_lost_in_a_restart_is_repeated_once_the_worker_has_answered():
    """Guards against a task that waits forever for a run lost in a restart."""
    bench = Bench(2)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    worker = bench.restart(run.worker.entry.worker_id)
    bench.report(worker.entry.worker_id)
    (second,) = bench.plan()
    assert second.task_id == run.task_id and second.number > run.number


def test_a_poll_that_shows_a_restart_keeps_the_starts_in_flight():
    """Guards against a second run of a task whose start arrives after the poll."""
    bench = Bench(2)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    worker_id = run.worker.entry.worker_id
    bench.report(worker_id, born_ms=2)
    assert run.worker.entry.born_ms == 2 and bench.plan() == []
    bench.report(worker_id, [run.key])
    assert list(run.worker.runs.values()) == [run]


def test_a_registry_entry_older_than_a_restart_does_not_undo_it():
    """Guards against runs dropped when the registry lags behind a restart."""
    bench = Bench(2)
    former = bench.worker("w0").entry
    bench.report("w0", born_ms=2)
    bench.restart("w0")
    bench.report("w0")
    job = bench.submit("a1", step(2, cpu=9000))
    bench.plan()
    bench.cluster.set_worker(former, bench.now)
    bench.report("w0", born_ms=2, sent_at=0.0)
    assert len(job.steps[0, 0].live) == 2 and bench.plan() == []


@pytest.mark.parametrize("settled_before", [True, False])
def test_a_worker_is_not_used_by_the_entry_of_a_former_incarnation(settled_before):
    """Guards against starts on a worker that came back as another kind."""
    bench = Bench(0)
    former = WorkerEntry("w0", "s", "w0:1", "z", LARGE, ("a",), born_ms=1)
    worker = bench.cluster.set_worker(former, bench.now)
    worker.recorded_address = former.address
    if settled_before:
        bench.report("w0")
    bench.submit("a1", step(1, label="a"))
    bench.submit("b1", step(1, label="b"))
    bench.report("w0", born_ms=2)
    bench.report("w0", born_ms=2)
    assert worker.settled and bench.plan() == []
    bench.cluster.set_worker(former, bench.now)
    assert bench.plan() == []
    bench.cluster.set_worker(replace(former, labels=("b",), born_ms=2), bench.now)
    assert [run.task_id for run in bench.plan()] == ["b1.0.0.0"]


def test_an_order_decided_before_a_restart_is_not_sent_after_it():
    """Guards against a start on an incarnation that may not run the task."""
    bench = Bench(1)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    assert bench.cluster.may_start(run)
    bench.restart("w0")
    assert not bench.cluster.may_start(run)


@pytest.mark.parametrize("reported", [True, False])
def test_a_run_that_no_poll_has_shown_may_have_the_longest_lease(reported):
    """Guards against a second run beside one that a restarted worker has taken."""
    bench = Bench(1, lease_s=9.5)
    _, (run,) = running(bench, step(1))
    worker = bench.worker("w0")
    if reported:
        bench.report("w0", [run.key])
    expected_s = (MAX_GRANTED_LEASE_S if reported else 9.5) / 0.97
    assert not bench.cluster.all_runs_expired(worker, bench.now + expected_s)
    assert bench.cluster.all_runs_expired(worker, bench.now + expected_s + 0.3)


def test_a_silent_restarted_worker_may_run_starts_until_their_leases_expire():
    """Guards against a second run while a new incarnation cannot be polled."""
    bench = Bench(2)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    worker = bench.restart(run.worker.entry.worker_id)
    assert not bench.cluster.all_runs_expired(worker, bench.now + 8.0 + 5.0 / 0.97)
    assert bench.cluster.all_runs_expired(worker, bench.now + 15.0)


def test_a_restart_before_a_takeover_does_not_settle_a_worker():
    """Guards against a second run of a task that a former leader has started."""
    bench = Bench(1, epoch=2)
    recorded = WorkerEntry("w9", "s", "w9:1", "z", Resources(16_000, 64_000), born_ms=1)
    bench.cluster.restore_worker(recorded, bench.now + 10)
    bench.restart("w9")
    job = bench.submit("a1", step(1), inherited=True)
    assert bench.plan() == []
    bench.report("w9", [("a1.0.0.0", 1)])
    assert job.steps[0, 0].live[0].worker is bench.worker("w9")


def test_a_lost_run_waits_for_the_worker_s_lease_on_its_own_slow_clock():
    bench = Bench(1)
    _, (run,) = running(bench, step(1))
    worker = bench.worker("w0")
    assert not bench.cluster.all_runs_expired(worker, bench.now + 5.1)
    assert bench.cluster.all_runs_expired(worker, bench.now + 5.0 / 0.97 + 0.3)


def test_a_scheduled_job_runs_each_occurrence_when_due_and_then_completes():
    """Guards against an early start, and completion before the last occurrence."""
    bench = Bench(1)
    schedule = Schedule(repeats=3, first_at=bench.now + 1, interval_s=2.0)
    job = bench.submit("a1", step(1), schedule=schedule)
    assert bench.plan() == []
    for occurrence in range(3):
        bench.now = schedule.first_at + occurrence * 2.0 - 0.1
        bench.cluster.open_due_occurrences(bench.now, bench.now)
        assert bench.plan() == [] and not job.state.final
        bench.now += 0.1
        bench.cluster.open_due_occurrences(bench.now, bench.now)
        (run,) = bench.plan()
        assert run.task_id == f"a1.{occurrence}.0.0"
        bench.end(run)
    assert job.state is StepJobState.COMPLETED


def inherited_schedule(bench, **fields):
    """Submit a job whose first occurrence is due in 3 s by this leader's clock."""
    schedule = Schedule(repeats=2, first_at=bench.now + 3, interval_s=60.0)
    return bench.submit("a1", step(2), schedule=schedule, inherited=True, **fields)


def test_a_task_that_ran_is_known_to_a_leader_whose_clock_is_behind():
    """Guards against a second run of a task that a former leader found due."""
    bench = Bench(1, epoch=2)
    job = inherited_schedule(bench)
    end = EndedTask(1, "a1.0.0.0", 1, EndKind.DONE)
    bench.report("w0", [("a1.0.0.1", 1)], [end])
    assert bench.stops() == []
    assert job.steps[0, 0].done == {0} and job.steps[0, 0].live.keys() == {1}
    bench.now += 4
    bench.cluster.open_due_occurrences(bench.now, bench.now)
    assert bench.plan() == []


def test_stored_progress_is_known_to_a_leader_whose_clock_is_behind():
    """Guards against work that waits until a clock that is behind has caught up."""
    bench = Bench(1, epoch=2)
    stored = ProgressRecord(StepJobState.RUNNING, {"0.0": StepProgress([0])})
    job = inherited_schedule(bench, progress=stored)
    assert job.steps[0, 0].done == {0}
    assert [run.task_id for run in bench.plan()] == ["a1.0.0.1"]


def test_an_occurrence_far_in_the_future_is_not_opened_by_a_report():
    """Guards against a false report that starts work long before its time."""
    bench = Bench(1, epoch=2)
    job = inherited_schedule(bench)
    bench.report("w0", [("a1.1.0.0", 1)])
    assert bench.stops() == [("a1.1.0.0", 1)]
    assert job.steps == {}


def test_a_lasting_task_starts_again_however_it_ends():
    bench = Bench(1)
    job = bench.submit("a1", step(1, lasting=True))
    for kind in (EndKind.DONE, EndKind.FAILED, EndKind.LEASE_EXPIRED, EndKind.FAILED):
        (run,) = bench.plan()
        bench.end(run, kind)
    assert len(bench.plan()) == 1 and not job.state.final


def test_a_draining_worker_gets_no_new_work():
    bench = Bench(1)
    entry = bench.worker("w0").entry
    draining = WorkerEntry(
        "w0", "s", entry.address, "z", entry.capacity, draining=True, born_ms=1
    )
    bench.cluster.set_worker(draining, bench.now)
    bench.submit("a1", step(1))
    assert bench.plan() == []


def test_a_stalled_run_is_stopped_and_restarts_on_another_worker():
    """Guards against a worker whose tasks stall while it still answers polls."""
    bench = Bench(2)
    _, (run,) = running(bench, step(1))
    worker = run.worker.entry.worker_id
    for percent in (10, 20, 20, 20):
        bench.now += 0.8
        bench.report(worker, [(run.task_id, run.number, "", percent)])
        bench.cluster.stop_stalled(bench.now)
    assert bench.stops() == [(run.task_id, run.number)]
    bench.end(run, EndKind.STOPPED)
    (again,) = bench.plan()
    assert again.worker is not run.worker


def test_a_run_with_progress_is_not_stopped():
    bench = Bench(1)
    _, (run,) = running(bench, step(1))
    for percent in range(1, 9):
        bench.now += 0.9
        bench.report("w0", [(run.task_id, run.number, "", percent)])
        bench.cluster.stop_stalled(bench.now)
    assert bench.stops() == []


def observe(bench, percents, seconds=1.0):
    """Report the progress of runs once, after some time, and check for stalls."""
    bench.now += seconds
    rows = {}
    for run, percent in percents.items():
        row = (run.task_id, run.number, "", percent)
        rows.setdefault(run.worker.entry.worker_id, []).append(row)
    for worker_id, running in rows.items():
        bench.report(worker_id, running)
    bench.cluster.stop_stalled(bench.now)


def quarantined(bench):
    return {
        worker_id
        for worker_id, worker in bench.cluster.workers.items()
        if worker.health.limit(bench.now) == 0
    }


def gang_of(bench, count=2, **fields):
    """Start a gang with one task on each worker."""
    _, runs = running(bench, step(count, cpu=9000, gang=True, **fields))
    assert len({run.worker.entry.worker_id for run in runs}) == count
    return runs


def test_a_complete_task_that_waits_for_slower_tasks_of_its_gang_is_not_stalled():
    """Guards against stopping a sound gang whose workers differ in speed."""
    bench = Bench(2)
    fast, slow = gang_of(bench)
    for second in range(1, 11):
        observe(bench, {fast: min(100, 13 * second), slow: 10 * second - 1})
    assert bench.stops() == [] and quarantined(bench) == set()


@pytest.mark.parametrize("others", [100, 20], ids=["others wait", "others progress"])
def test_only_the_worker_whose_gang_task_stands_still_is_quarantined(others):
    bench = Bench(3)
    still, *moving = gang_of(bench, 3)
    for second in range(4):
        percent = min(100, others + second)
        observe(bench, {still: 20, **dict.fromkeys(moving, percent)})
        bench.cluster.repeat_stops(bench.now)
    assert set(bench.stops()) == {(still.task_id, still.number)}
    assert quarantined(bench) == {still.worker.entry.worker_id}


def test_a_gang_that_is_complete_and_does_not_end_is_stopped_as_a_whole():
    """Guards against a gang that occupies its workers forever."""
    bench = Bench(2)
    runs = gang_of(bench)
    observe(bench, dict.fromkeys(runs, 100))
    observe(bench, dict.fromkeys(runs, 100))
    assert bench.stops() == []
    observe(bench, dict.fromkeys(runs, 100))
    assert sorted(bench.stops()) == sorted((r.task_id, r.number) for r in runs)
    assert quarantined(bench) == set()


def test_a_single_run_that_is_complete_and_does_not_end_is_stopped():
    bench = Bench(1)
    _, (run,) = running(bench, step(1))
    for _ in range(3):
        observe(bench, {run: 100})
    assert bench.stops() == [(run.task_id, run.number)]
    assert quarantined(bench) == {"w0"}


def test_a_gang_task_that_waits_for_an_unanswered_start_is_not_stalled():
    """Guards against blaming a worker while another task of the gang is missing."""
    bench = Bench(2)
    bench.submit("a1", step(2, cpu=9000, gang=True))
    present, missing = bench.plan()
    bench.cluster.on_start_reply(present, StartReply.RUNNING, bench.now)
    for _ in range(3):
        observe(bench, {present: 0})
    assert bench.stops() == [] and quarantined(bench) == set()
    bench.cluster.on_start_reply(missing, StartReply.RUNNING, bench.now)
    observe(bench, {present: 0, missing: 0})
    assert bench.stops() == []
    for _ in range(2):
        observe(bench, {present: 0, missing: 5})
    assert bench.stops() == [(present.task_id, present.number)]


def test_a_gang_task_is_not_stalled_while_a_worker_of_its_gang_is_silent():
    bench = Bench(2)
    heard, silent = gang_of(bench)
    observe(bench, {heard: 30, silent: 30})
    silent.worker.settled = False
    for _ in range(3):
        observe(bench, {heard: 30})
    assert bench.stops() == [] and quarantined(bench) == set()


def test_a_gang_that_restores_a_checkpoint_on_a_far_slower_worker_is_not_stalled():
    bench = Bench(2)
    fast, slow = gang_of(bench, checkpointing=True, estimate_s=12.0)
    observe(bench, {fast: 40, slow: 40}, seconds=0.6)
    for second in range(1, 60):
        observe(bench, {fast: min(100, 40 + 8 * second), slow: 40 + second})
    assert bench.stops() == [] and quarantined(bench) == set()


def test_time_without_answers_from_a_worker_does_not_count_as_a_stall():
    """Guards against blaming a worker that was suspended or cut off."""
    bench = Bench(1)
    _, (run,) = running(bench, step(1, estimate_s=5.0))
    observe(bench, {run: 30})
    run.worker.settled = False
    observe(bench, {run: 30}, seconds=4.0)
    assert bench.stops() == [] and quarantined(bench) == set()
    observe(bench, {run: 30})
    observe(bench, {run: 30})
    assert bench.stops() == [(run.task_id, run.number)]


def test_a_stall_is_found_although_polls_take_long():
    """Guards against stalls that go unnoticed while the leader or network is slow."""
    bench = Bench(1)
    _, (run,) = running(bench, step(1, estimate_s=5.0))
    for _ in range(4):
        observe(bench, {run: 30}, seconds=2.0)
    assert bench.stops() == [(run.task_id, run.number)]


def test_a_task_on_a_slow_worker_far_from_its_data_is_not_stalled():
    """Guards against reading the coarse progress of a slow task as a stall."""
    bench = Bench(1)
    _, (run,) = running(bench, step(1, estimate_s=12.0))
    for second in range(1, 40):
        observe(bench, {run: int(second / (0.12 * 24))})
    assert bench.stops() == [] and quarantined(bench) == set()
    for _ in range(6):
        observe(bench, {run: 14})
    assert bench.stops() == [(run.task_id, run.number)]


def test_every_worker_of_a_completed_gang_passes_its_probe():
    """Guards against crediting only the worker that reports its end first."""
    bench = Bench(2)
    for worker in bench.cluster.workers.values():
        worker.health.quarantine(bench.now)
    bench.now += 2.5
    first, second = gang_of(bench)
    bench.end(first)
    bench.end(second)
    bench.submit("b2", step(32))
    assert len(bench.plan()) == 32


def test_a_filler_task_without_idle_cpu_is_not_stalled():
    """Guards against blaming a worker whose other tasks use all of its CPU."""
    bench = Bench(1)
    _, (filler,) = running(bench, step(1, filler=True))
    bench.submit("b2", step(16, estimate_s=5.0))
    others = bench.plan()
    for run in others:
        bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
    assert len(others) == 16
    for second in range(1, 6):
        observe(bench, {filler: 30, **dict.fromkeys(others, 15 * second)})
    assert bench.stops() == [] and quarantined(bench) == set()
    for run in others:
        bench.end(run)
    for _ in range(3):
        observe(bench, {filler: 30})
    assert bench.stops() == [(filler.task_id, filler.number)]
