"""Checks the order of the queue and the choice of workers under load."""

import functools
import random
from dataclasses import replace

import pytest

from flamingoway.model import Resources
from flamingoway.queues.model import Advice, EndKind, StartReply, StepJobState
from flamingoway.queues.runs import MAX_CALLS_IN_FLIGHT, MAX_CALLS_PER_WORKER, Ticket
from tests.queue_cluster import ADVISED, Bench, step


def give_advice(bench, call, good=None, valid_s=2.0):
    ids = call.workers if good is None else [w for w in call.workers if w in good]
    advice = Advice({w: f"t-{w}" for w in ids}, valid_s)
    bench.cluster.on_advice(call.step, call.workers, advice, bench.now)


def test_urgent_queues_come_first():
    bench = Bench(1)
    bench.submit("s1", step(16), queue="sorts")
    bench.submit("c1", step(2), queue="checks")
    runs = bench.plan()
    assert [run.task_id for run in runs[:2]] == ["c1.0.0.0", "c1.0.0.1"]


def test_late_jobs_come_after_jobs_in_time_but_are_not_dropped():
    """Guards against overload in which all jobs wait behind late ones."""
    bench = Bench(1, Resources(1000, 64_000))
    bench.submit("a1", step(1))
    bench.now += 30
    bench.submit("b2", step(1))
    (first,) = bench.plan()
    assert first.task_id == "b2.0.0.0"
    bench.end(first)
    assert [run.task_id for run in bench.plan()] == ["a1.0.0.0"]


def test_a_place_on_a_worker_is_free_when_a_task_without_resources_ends():
    """Guards against a last task that waits beside idle workers for ever."""
    bench = Bench(3)
    job = bench.submit("a1", step(4, memory=0, filler=True, per_worker=1))
    runs = bench.plan()
    assert len(runs) == 3 and bench.plan() == []
    bench.end(runs[0])
    (last,) = bench.plan()
    assert last.worker is runs[0].worker
    for run in (*runs[1:], last):
        bench.end(run)
    assert job.state is StepJobState.COMPLETED


def test_a_step_that_waits_again_is_tried_on_all_workers():
    """Guards against a task that waits beside room gained while its step ran."""
    bench = Bench(2)
    fill = bench.submit("f1", step(2, cpu=16_000))
    runs = bench.plan()
    bench.submit("a1", step(1))
    assert bench.plan() == []
    departing = bench.add_worker("w9")
    bench.report("w9", [("a1.0.0.0", 1)])
    for run in runs:
        bench.end(run)
    assert fill.state is StepJobState.COMPLETED and bench.plan() == []
    bench.cluster.mark_unlisted("w9", bench.now)
    bench.cluster.drop_runs(departing, bench.now, "its lease has expired")
    assert len(bench.plan()) == 1


def test_a_wide_step_starts_in_parts_and_leaves_orders_to_the_steps_behind_it():
    """Guards against one job whose orders use up the descriptors of the leader."""
    bench = Bench(40, Resources(1_000_000, 1_000_000))
    wide = bench.submit("a1", step(4000, cpu=1, memory=1), queue="checks")
    narrow = bench.submit("b2", step(2), queue="sorts")
    waiting = bench.plan()
    assert len(narrow.steps[0, 0].live) == 2
    assert len(waiting) <= MAX_CALLS_IN_FLIGHT
    assert bench.planner.starts_limited
    for worker in bench.cluster.workers.values():
        assert worker.starting <= MAX_CALLS_PER_WORKER
    while wide.steps[0, 0].pending:
        for run in waiting:
            bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
        waiting = bench.plan()
        assert waiting
        assert bench.cluster.starting <= MAX_CALLS_IN_FLIGHT
    assert len(wide.steps[0, 0].live) == 4000


def test_the_number_of_orders_does_not_limit_a_gang():
    """Guards against a gang that never starts as a whole."""
    bench = Bench(1, Resources(1_000_000, 1_000_000))
    count = 2 * MAX_CALLS_PER_WORKER
    bench.submit("a1", step(count, cpu=1, memory=1, gang=True))
    assert len(bench.plan()) == count


def test_a_gang_is_placed_as_a_whole_or_not_at_all():
    bench = Bench(2, Resources(8000, 64_000))
    bench.submit("a1", step(3, cpu=5000, gang=True))
    assert bench.plan() == []
    bench.add_worker("w9", Resources(8000, 64_000))
    assert len(bench.plan()) == 3


def test_small_tasks_do_not_starve_a_gang():
    """Guards against a stream of small tasks that starves a waiting gang."""
    bench = Bench(4)
    rng = random.Random(5)
    alive = []
    for index in range(60):
        job = bench.submit(f"5{index:03}", step(1, cpu=1000), queue="sorts")
        assert job is not None
    alive += bench.plan()
    bench.submit("aa", step(2, cpu=16_000, memory=1000, gang=True, estimate_s=5.0))
    for index in range(200):
        bench.now += 0.05
        bench.submit(f"6{index:03}", step(1, cpu=1000), queue="sorts")
        done = alive.pop(rng.randrange(len(alive)))
        bench.cluster.on_start_reply(done, StartReply.RUNNING, bench.now)
        bench.end(done)
        started = bench.plan()
        alive += started
        if any(run.task_id.startswith("aa") for run in started):
            return
    raise AssertionError("the gang never started")


def test_tasks_of_a_step_keep_to_their_limit_on_a_worker():
    bench = Bench(2)
    bench.submit("a1", step(6, per_worker=2))
    runs = bench.plan()
    assert len(runs) == 4
    assert {run.worker.entry.worker_id for run in runs} == {"w0", "w1"}


def test_a_label_excludes_workers():
    bench = Bench(1)
    bench.submit("a1", step(1, label="r2"))
    assert bench.plan() == []
    bench.submit("b2", step(1, label="r1"))
    assert len(bench.plan()) == 1


def test_a_step_with_a_policy_starts_only_with_tickets():
    bench = Bench(3)
    bench.submit("a1", step(2, cpu=9000), queue="advised")
    assert bench.plan() == []
    (call,) = bench.advice_calls()
    assert set(call.workers) == {"w0", "w1", "w2"}
    give_advice(bench, call, {"w0", "w2"})
    runs = bench.plan()
    assert {run.worker.entry.worker_id for run in runs} == {"w0", "w2"}


def test_resources_stay_reserved_while_expired_tickets_are_renewed():
    """Guards against resources that are taken while an advice call is in flight."""
    bench = Bench(1)
    bench.submit("s1", step(16), queue="sorts")
    blocking = bench.plan()
    bench.submit("a1", step(1, cpu=1000, estimate_s=5.0), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call)
    assert bench.plan() == []
    bench.now += 2.1
    bench.submit("s2", step(1), queue="sorts")
    bench.end(blocking[0])
    assert bench.plan() == []
    (call,) = bench.advice_calls()
    assert bench.plan() == []
    give_advice(bench, call)
    assert [run.task_id for run in bench.plan()] == ["a1.0.0.0"]


def test_resources_are_released_when_advice_is_missing():
    bench = Bench(1, Resources(1000, 64_000))
    bench.submit("a1", step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call, valid_s=0.0)
    bench.plan()
    (call,) = bench.advice_calls()
    bench.cluster.on_no_advice(call.step, bench.now)
    assert bench.worker("w0").used == Resources()


def test_a_call_for_advice_that_always_fails_is_repeated_ever_more_slowly():
    """Guards against a flood of calls while the advice service is down."""
    bench = Bench(2)
    bench.submit("a1", step(2), queue="advised")
    calls = []

    def fail_calls(seconds):
        end = bench.now + seconds
        while bench.now < end:
            bench.plan()
            for call in bench.advice_calls():
                calls.append(bench.now)
                bench.cluster.on_no_advice(call.step, bench.now)
            bench.now += 0.02

    fail_calls(20.0)
    gaps = [after - before for before, after in zip(calls, calls[1:], strict=False)]
    assert gaps[0] < 0.15
    assert max(gaps) < 1.1
    assert min(gaps[5:]) > 0.95
    bench.now += 1.0
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call, valid_s=0.0)
    calls.clear()
    fail_calls(1.0)
    assert calls[1] - calls[0] < 0.15


def test_a_failed_task_moves_to_another_worker():
    bench = Bench(2)
    bench.submit("a1", step(1))
    (first,) = bench.plan()
    bench.end(first, EndKind.FAILED)
    (second,) = bench.plan()
    assert second.worker is not first.worker


def test_a_worker_that_fails_everything_is_later_probed_with_one_task():
    """Guards against a worker that fails every task while its entry looks healthy."""
    bench = Bench(1)
    jobs = [bench.submit(f"a{i}", step(1)) for i in range(3)]
    for run in bench.plan():
        bench.end(run, EndKind.FAILED)
    assert bench.plan() == []
    assert not any(job.state.final for job in jobs)
    bench.now += 2.5
    (probe,) = bench.plan()
    bench.end(probe)
    assert len(bench.plan()) == 2


def test_urgent_jobs_stay_in_time_under_overload():
    """Guards against starvation of checks by ten times more sorts than fit."""
    bench = Bench(4)
    rng = random.Random(7)
    ends = []
    for index in range(300):
        bench.submit(f"5{index:03}", step(4), queue="sorts")
    checks = []
    for tick in range(400):
        bench.now += 0.05
        due = [entry for entry in ends if entry[0] <= bench.now]
        ends = [entry for entry in ends if entry[0] > bench.now]
        for _, run in due:
            bench.end(run)
        if tick % 4 == 0:
            checks.append(bench.submit(f"c{tick:03}", step(1), queue="checks"))
        for run in bench.plan():
            bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
            ends.append((bench.now + rng.uniform(0.5, 1.5), run))
    started = [job for job in checks if job.state is not StepJobState.QUEUED]
    assert len(started) >= len(checks) - 1
    in_time = [job for job in checks if job.state is StepJobState.COMPLETED]
    assert len(in_time) > 0.9 * (len(checks) - 10)


def test_advice_duration_of_the_advised_queue():
    assert ADVISED.advice.duration(10) == 0.2


def fill(bench, worker_count, cpu=16_000):
    """Occupy all workers; return the runs."""
    bench.submit("ff", step(worker_count, cpu=cpu), queue="sorts")
    return bench.plan()


def test_resources_freed_during_an_advice_call_are_used():
    """Guards against a gang that misses resources freed during its advice call."""
    bench = Bench(4)
    filling = fill(bench, 4)
    bench.submit("a1", step(2, cpu=9000, gang=True), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call)
    assert bench.plan() == []
    bench.now += 1.9
    bench.plan()
    (again,) = bench.advice_calls()
    for run in filling:
        bench.end(run)
    bench.plan()
    bench.cluster.on_no_advice(again.step, bench.now)
    bench.now += 1.0
    bench.plan()
    (last,) = bench.advice_calls()
    give_advice(bench, last)
    assert len(bench.plan()) == 2


def test_resources_freed_before_a_retry_is_due_are_used():
    bench = Bench(1)
    (filling,) = fill(bench, 1)
    bench.submit("a1", step(1, cpu=9000))
    assert bench.plan() == []
    (waiting,) = [s for s in bench.cluster.waiting.values() if s.id == "a1.0.0"]
    waiting.retry_at = bench.now + 0.1
    bench.end(filling)
    assert bench.plan() == []
    bench.now += 0.2
    assert len(bench.plan()) == 1


def test_resources_that_a_gang_releases_are_used():
    """Guards against a step that never reconsiders workers once reserved by a gang."""
    bench = Bench(4)
    filling = fill(bench, 3)
    gang = bench.submit("a1", step(2, cpu=16_000, gang=True))
    assert bench.plan() == []
    bench.submit("b2", step(1, cpu=9000), queue="sorts")
    assert bench.plan() == []
    bench.cluster.cancel_job("a1", bench.now, bench.now)
    assert gang.state is StepJobState.CANCELLED
    assert [run.task_id for run in bench.plan()] == ["b2.0.0.0"]
    assert len(filling) == 3


def test_a_job_whose_later_steps_cannot_be_in_time_comes_later():
    """Guards against preferring a job that will be late despite its first step."""
    bench = Bench(1, Resources(1000, 64_000))
    bench.submit("a1", step(1), step(1, after=(0,), estimate_s=9.0))
    bench.now += 12.0
    bench.submit("b2", step(1))
    assert [run.task_id for run in bench.plan()] == ["b2.0.0.0"]


def test_a_job_too_late_to_be_useful_comes_after_late_ones():
    bench = Bench(1, Resources(1000, 64_000))
    bench.submit("a1", step(1))
    bench.now += 7.0
    bench.submit("b2", step(1))
    bench.now += 4.0
    (first,) = bench.plan()
    bench.end(first)
    (second,) = bench.plan()
    assert [first.task_id, second.task_id] == ["b2.0.0.0", "a1.0.0.0"]


def test_jobs_in_time_use_workers_that_a_late_gang_reserved():
    """Guards against workers that stay free because two steps wait for each other."""
    bench = Bench(4)
    filling = fill(bench, 3)
    bench.submit("a1", step(2, cpu=16_000, gang=True, estimate_s=2.0))
    bench.submit("b2", step(1, cpu=16_000, estimate_s=100.0), queue="sorts")
    assert bench.plan() == []
    bench.now += 20.0
    started = [run.task_id for _ in range(2) for run in bench.plan()]
    assert started == ["b2.0.0.0"]
    assert len(filling) == 3


def test_gangs_do_not_keep_each_other_from_free_workers():
    """Guards against a gang that waits beside free workers another gang reserved.

    This happened at the end of an overload, with half of the capacity free.
    """
    bench = Bench(8)
    for index in range(12):
        bench.add_worker(f"x{index}", labels=("r2",) if index < 2 else ("r3",))
    bench.submit("f1", step(3, cpu=16_000, label="r1", estimate_s=9.0))
    bench.submit("f2", step(1, cpu=16_000, label="r2", estimate_s=9.0))
    assert len(bench.plan()) == 4
    big = {"cpu": 16_000, "gang": True, "estimate_s": 5.0}
    bench.submit("a0", step(2, label="r2", **big), queue="checks")
    bench.submit("a1", step(6, label="r1", **big))
    bench.submit("a2", step(2, label="r1", **big), queue="sorts")
    assert {run.step.job.spec.job_id for run in bench.plan()} == {"a2"}


def test_a_failed_task_waits_for_a_healthy_worker():
    """Guards against a retry on a failing free worker while the healthy one is full."""
    bench = Bench(2)
    bench.submit("a1", step(1, cpu=16_000))
    (first,) = bench.plan()
    bench.submit("b2", step(1, cpu=16_000))
    (second,) = bench.plan()
    bench.end(first, EndKind.FAILED)
    assert bench.plan() == []
    bench.now += 0.1
    bench.submit("c3", step(1, cpu=1000))
    (small,) = bench.plan()
    assert small.worker is first.worker
    bench.end(small)
    assert bench.plan() == []
    bench.end(second)
    assert [run.worker for run in bench.plan()] == [second.worker]


def test_the_log_tells_why_a_step_waits():
    """Guards against a job that waits for long without a line that says why."""
    bench = Bench(2)
    fill(bench, 2, cpu=12_000)
    bench.submit("a1", step(2, cpu=8000, gang=True))
    for _ in range(30):
        bench.now += 0.1
        bench.plan()
    (line,) = [fields for event, fields in bench.log.lines if event == "step waits"]
    assert (line["step"], line["why"]) == ("a1.0.0", "not tried")
    assert (line["slots_free"], line["slots_empty"]) == (0, 4)


def expire_tickets(bench, step_id):
    """Get first tickets for a step that does not fit, and let them expire."""
    bench.plan()
    (call,) = bench.advice_calls()
    assert call.step.id == step_id
    give_advice(bench, call)
    assert bench.plan() == []
    bench.now += 3.0


def test_a_step_starts_with_renewed_tickets_although_other_workers_became_tighter():
    """Guards against a step that renews tickets again and again and never starts."""
    bench = Bench(4)
    filling = fill(bench, 4, cpu=12_000)
    bench.submit("a1", step(2, cpu=6000), queue="advised")
    expire_tickets(bench, "a1.0.0")
    for run in filling[:2]:
        bench.end(run)
    assert bench.plan() == []
    (call,) = bench.advice_calls()
    assert set(call.workers) == {"w0"}
    bench.submit("s1", step(1, cpu=9000), queue="checks")
    assert [run.worker.entry.worker_id for run in bench.plan()] == ["w1"]
    give_advice(bench, call)
    assert {run.worker.entry.worker_id for run in bench.plan()} == {"w0"}


def test_a_gang_starts_on_the_workers_of_its_renewed_tickets():
    """Guards against a gang that moves to other workers with each renewal."""
    bench = Bench(6)
    filling = fill(bench, 6, cpu=12_000)
    bench.submit("a1", step(4, cpu=6000, gang=True), queue="advised")
    expire_tickets(bench, "a1.0.0")
    bench.advice_calls()
    (waiting,) = bench.cluster.waiting.values()
    bench.cluster.on_no_advice(waiting, bench.now)
    bench.now += 3.0
    for run in filling[:4]:
        bench.end(run)
    assert bench.plan() == []
    (call,) = bench.advice_calls()
    bench.submit("s1", step(2, cpu=5000), queue="checks")
    bench.plan()
    give_advice(bench, call)
    gang = [run for run in bench.plan() if run.step.spec.gang]
    assert {run.worker.entry.worker_id for run in gang} == set(call.workers)


def test_renewed_tickets_are_not_used_on_a_worker_that_was_lost_meanwhile():
    bench = Bench(2, Resources(4000, 64_000))
    bench.submit("a1", step(2, cpu=4000, gang=True), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call, valid_s=0.0)
    bench.plan()
    (call,) = bench.advice_calls()
    bench.worker("w1").health.quarantine(bench.now)
    give_advice(bench, call)
    assert bench.plan() == []
    assert bench.worker("w0").used == bench.worker("w1").used == Resources()


def test_a_gang_that_must_wait_asks_about_workers_not_named_before():
    """Guards against a gang that waits for a few workers while others are idle."""
    bench = Bench(130)
    fill(bench, 130, cpu=9000)
    bench.submit("a1", step(4, cpu=8000, gang=True), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    assert len(call.workers) == 100
    give_advice(bench, call, call.workers[:4])
    bench.now += 1.0
    assert bench.plan() == []
    calls = bench.advice_calls()
    assert {w for c in calls for w in c.workers} >= {f"w{i}" for i in range(100, 130)}


def test_a_gang_starts_with_valid_tickets_during_another_call():
    """Guards against a gang that ignores freed workers until a slow call returns."""
    bench = Bench(110)
    filling = fill(bench, 110, cpu=9000)
    bench.submit("a1", step(2, cpu=8000, gang=True), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    bench.now += 1.0
    give_advice(bench, call, call.workers[:2])
    assert bench.plan() == []
    (second,) = bench.advice_calls()
    for run in filling:
        if run.worker.entry.worker_id in call.workers[:2]:
            bench.end(run)
    assert len(bench.plan()) == 2
    give_advice(bench, second)
    assert bench.plan() == []


def plan_and_answer(bench, seconds, valid_s):
    """Plan at intervals, answer calls after their duration, return the runs."""
    end = bench.now + seconds
    calls, runs = [], []
    while bench.now < end:
        for due_at, call in calls[:]:
            if due_at <= bench.now:
                calls.remove((due_at, call))
                give_advice(bench, call, valid_s=valid_s)
        runs += bench.plan()
        for call in bench.advice_calls():
            assert len(call.workers) <= 100
            calls.append((bench.now + call.duration_s, call))
        bench.now += 0.02
    return runs


@pytest.mark.parametrize(("full_s", "valid_s"), [(0.0, 0.8), (5.0, 2.0)])
def test_a_gang_on_more_workers_than_one_call_names_starts(full_s, valid_s):
    """Guards against a gang that asks about its first hundred workers forever."""
    bench = Bench(175)
    filling = fill(bench, 175) if full_s else []
    bench.submit("a1", step(120, cpu=9000, gang=True, per_worker=1), queue="advised")
    assert plan_and_answer(bench, full_s, valid_s) == []
    for run in filling:
        bench.end(run)
    runs = plan_and_answer(bench, 5.0, valid_s)
    assert sorted(run.index for run in runs) == list(range(120))
    assert len({run.worker.entry.worker_id for run in runs}) == 120
    for run in runs:
        until = run.step.tickets[run.worker.entry.worker_id].valid_until
        assert run.placed_at + 0.15 < until


def test_a_wide_step_does_not_wait_for_tickets_of_all_its_workers():
    bench = Bench(120)
    bench.submit("a1", step(120, cpu=9000), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    expired = Advice(dict.fromkeys(bench.cluster.workers, "expired"), 0.0)
    bench.cluster.on_advice(call.step, tuple(expired.tickets), expired, bench.now)
    assert bench.plan() == []
    (call,) = bench.advice_calls()
    assert len(call.workers) == 100
    give_advice(bench, call)
    assert len(bench.plan()) == 100


def limits(bench):
    return {
        worker_id: worker.health.limit(bench.now)
        for worker_id, worker in bench.cluster.workers.items()
    }


def quarantine_all(bench):
    for worker in bench.cluster.workers.values():
        worker.health.quarantine(bench.now)
    bench.now += 2.1


def test_a_gang_does_not_wait_forever_for_workers_that_nothing_probes():
    """Guards against an idle cluster whose workers may each have only one task."""
    bench = Bench(2)
    quarantine_all(bench)
    bench.submit("a1", step(4, cpu=8000, gang=True))
    assert bench.plan() == []
    bench.now += 1.0
    assert len(bench.plan()) == 4


def test_a_worker_gets_no_second_task_while_its_probe_runs():
    bench = Bench(1)
    quarantine_all(bench)
    bench.submit("a1", step(4))
    (probe,) = bench.plan()
    bench.cluster.on_start_reply(probe, StartReply.RUNNING, bench.now)
    bench.now += 5.0
    assert bench.plan() == []
    bench.end(probe, EndKind.STOPPED)
    assert len(bench.plan()) == 1


def test_a_failure_after_an_unprobed_quarantine_begins_the_next_one():
    """Guards against three more failed jobs on a worker that is still failing."""
    bench = Bench(1)
    quarantine_all(bench)
    bench.now += 1.0
    bench.submit("a1", step(4))
    first, *_ = bench.plan()
    bench.end(first, EndKind.FAILED)
    assert limits(bench) == {"w0": 0}


def test_a_probe_that_does_not_end_does_not_limit_its_worker_forever():
    """Guards against a lasting task that keeps the rest of its worker unused."""
    bench = Bench(1)
    quarantine_all(bench)
    bench.submit("a1", step(1, lasting=True))
    (probe,) = bench.plan()
    bench.cluster.on_start_reply(probe, StartReply.RUNNING, bench.now)
    bench.now += 13.0
    bench.submit("b2", step(4))
    assert len(bench.plan()) == 4


def test_a_failed_task_does_not_wait_for_workers_too_small_for_it():
    """Guards against an endless wait beside the only idle worker of the size."""
    bench = Bench(1)
    bench.add_worker("w1", Resources(500, 64_000))
    bench.submit("a1", step(1, cpu=1000))
    (run,) = bench.plan()
    bench.end(run, EndKind.FAILED)
    bench.now += 60.0
    assert [run.task_id for run in bench.plan()] == ["a1.0.0.0"]


def test_renewed_tickets_are_not_used_on_a_worker_that_restarted_as_another_kind():
    """Guards against a start on a worker without the label of the step."""
    bench = Bench(1)
    bench.submit("a1", step(1, label="r1"), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call, valid_s=0.0)
    bench.plan()
    (call,) = bench.advice_calls()
    entry = replace(bench.worker("w0").entry, born_ms=2, labels=("r2",))
    bench.cluster.set_worker(entry, bench.now)
    bench.report("w0")
    give_advice(bench, call)
    assert bench.plan() == []
    assert bench.worker("w0").used == Resources()


def test_tasks_left_after_a_start_with_tickets_are_tried_on_other_workers():
    """Guards against tasks that wait for freed resources beside an idle worker."""
    bench = Bench(2)
    bench.submit("a1", step(2, cpu=9000), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call)
    call.step.tickets["w1"] = Ticket("expired", bench.now)
    assert [run.worker.entry.worker_id for run in bench.plan()] == ["w0"]
    bench.plan()
    (again,) = bench.advice_calls()
    assert again.workers == ("w1",)


def test_a_gang_gives_up_reserved_workers_that_restarted_too_small_for_it():
    """Guards against workers that stay reserved for a gang that cannot use them."""
    bench = Bench(4, Resources(4000, 64_000))
    bench.submit("5a", step(16), queue="sorts")
    bench.plan()
    bench.now += 30.0
    bench.submit("aa", step(2, cpu=4000, gang=True, estimate_s=5.0))
    assert bench.plan() == []
    entry = replace(
        bench.worker("w3").entry, born_ms=2, capacity=Resources(2000, 64_000)
    )
    bench.cluster.set_worker(entry, bench.now)
    bench.report("w3")
    assert [run.worker.entry.worker_id for run in bench.plan()] == ["w3", "w3"]


def test_a_worker_that_restarted_is_asked_about_again():
    """Guards against an endless wait for a worker that was not allowed before."""
    bench = Bench(1)
    bench.submit("a1", step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call, ())
    assert bench.plan() == []
    bench.now += 5.0
    bench.restart("w0")
    bench.report("w0")
    assert bench.plan() == []
    (call,) = bench.advice_calls()
    give_advice(bench, call)
    assert len(bench.plan()) == 1


def test_a_ticket_is_not_used_after_a_restart_of_its_worker():
    bench = Bench(1, Resources(1000, 64_000))
    bench.submit("c1", step(1), queue="checks")
    (run,) = bench.plan()
    bench.report("w0", [(run.task_id, run.number)])
    bench.submit("a1", step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call)
    assert bench.plan() == []
    bench.cluster.cancel_job("c1", bench.now, bench.now)
    bench.restart("w0")
    bench.report("w0")
    assert bench.plan() == []
    bench.now += 1.0
    assert bench.plan() == []
    (call,) = bench.advice_calls()
    give_advice(bench, call)
    assert len(bench.plan()) == 1


def test_a_failed_task_does_not_wait_for_workers_full_of_lasting_tasks():
    """Guards against an endless wait beside an idle worker."""
    bench = Bench(2, Resources(2000, 64_000))
    bench.submit("1a", step(2, lasting=True), queue="checks")
    lasting = bench.plan()
    bench.submit("2b", step(1))
    (run,) = bench.plan()
    assert run.worker not in {other.worker for other in lasting}
    bench.end(run, EndKind.FAILED)
    assert [again.worker for again in bench.plan()] == [run.worker]


def test_a_lasting_task_does_not_wait_for_a_worker_on_which_it_has_not_failed():
    """Guards against a lasting task that stays away while a worker is idle."""
    bench = Bench(2, Resources(2000, 64_000))
    bench.submit("1a", step(2, estimate_s=600.0), queue="checks")
    bench.plan()
    bench.submit("2b", step(1, lasting=True))
    (run,) = bench.plan()
    bench.end(run, EndKind.FAILED)
    assert [again.worker for again in bench.plan()] == [run.worker]


def test_a_gang_does_not_reserve_workers_full_of_lasting_tasks():
    """Guards against a gang that waits forever for tasks that do not end."""
    bench = Bench(1, Resources(2000, 64_000))
    bench.add_worker("w1", Resources(2000, 64_000), ("r2",))
    bench.submit("1a", step(2, label="r2", lasting=True), queue="checks")
    assert len(bench.plan()) == 2
    bench.submit("2b", step(2, estimate_s=600.0), queue="checks")
    running = bench.plan()
    bench.submit("aa", step(2, gang=True, estimate_s=600.0))
    bench.submit("bb", step(2, estimate_s=600.0), queue="sorts")
    assert bench.plan() == []
    bench.end(running[0])
    assert bench.plan() == []
    bench.end(running[1])
    assert {run.step.id for run in bench.plan()} == {"aa.0.0"}


def test_a_failed_task_is_retried_where_it_failed_once_no_other_worker_is_left():
    """Guards against a task that waits forever beside an idle worker."""
    bench = Bench(2, Resources(1000, 64_000))
    bench.submit("a1", step(1))
    (first,) = bench.plan()
    bench.submit("b2", step(1))
    (other,) = bench.plan()
    bench.end(first, EndKind.FAILED)
    assert bench.plan() == []
    bench.now += 1.0
    draining = replace(other.worker.entry, draining=True)
    bench.cluster.set_worker(draining, bench.now)
    (second,) = bench.plan()
    assert (second.task_id, second.worker) == ("a1.0.0.0", first.worker)


def test_a_probe_is_reserved_while_tickets_are_renewed():
    """Guards against a step that loses a probing worker during each call."""
    bench = Bench(1)
    bench.worker("w0").health.quarantine(bench.now)
    bench.submit("a1", step(1, estimate_s=5.0), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call)
    bench.now += 2.1
    assert bench.plan() == []
    (call,) = bench.advice_calls()
    bench.submit("b2", step(1), queue="checks")
    assert bench.plan() == []
    give_advice(bench, call)
    assert [run.task_id for run in bench.plan()] == ["a1.0.0.0"]


def test_advice_asked_before_a_restart_does_not_count_after_it():
    """Guards against a step that never asks about a restarted worker again."""
    bench = Bench(1)
    bench.submit("a1", step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    bench.restart("w0")
    bench.report("w0")
    give_advice(bench, call, good=set())
    bench.now += 1.1
    bench.plan()
    (call,) = bench.advice_calls()
    assert call.workers == ("w0",)
    give_advice(bench, call)
    assert len(bench.plan()) == 1


def test_a_gang_keeps_its_reserved_workers_after_a_call_without_answer():
    """Guards against other tasks that take a gang's workers before its next call."""
    bench = Bench(2)
    bench.submit("s1", step(32), queue="sorts")
    running = bench.plan()
    bench.submit("aa", step(1, cpu=16_000, gang=True, estimate_s=5.0), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call)
    bench.plan()
    bench.now += 1.9
    bench.plan()
    (call,) = bench.advice_calls()
    (reserved,) = call.workers
    bench.cluster.on_no_advice(call.step, bench.now)
    ended = next(r for r in running if r.worker.entry.worker_id == reserved)
    bench.end(ended)
    bench.submit("s2", step(1, estimate_s=50), queue="sorts")
    assert bench.plan() == []


@pytest.mark.parametrize("advised", [True, False])
def test_a_step_without_valid_tickets_is_not_searched_for_ticketed_workers(advised):
    """Guards against passes that look at each worker again for each waiting step."""
    bench = Bench(4)
    bench.submit("s1", step(64), queue="sorts")
    bench.plan()
    bench.submit("a1", step(4), queue="advised" if advised else "plans")
    bench.plan()
    for call in bench.advice_calls():
        give_advice(bench, call)
    bench.now += 2.1
    bench.add_worker("w4", Resources(500, 64_000))
    bench.plan()
    searched = []
    for name in ("_candidates", "_place_with_tickets"):
        function = getattr(bench.planner, name)
        search = functools.partial(_record, searched, name, function)
        setattr(bench.planner, name, search)
    bench.report("w4")
    assert bench.plan() == []
    assert searched == ([] if advised else ["_candidates"])


def _record(calls, name, function, *args):
    calls.append(name)
    return function(*args)


def test_a_backlog_does_not_log_why_all_its_steps_wait_in_one_pass():
    """Guards against log lines of hundreds of steps that block the leader."""
    bench = Bench(1)
    bench.submit("s1", step(16), queue="checks")
    bench.plan()
    for index in range(20):
        bench.submit(f"{index:04}", step(1), queue="sorts")
    bench.plan()
    bench.now += 2.5
    waiting = []
    for _ in range(4):
        before = len(bench.log.lines)
        bench.plan()
        lines = bench.log.lines[before:]
        waiting.append([f["step"] for event, f in lines if event == "step waits"])
    assert [len(steps) for steps in waiting] == [5, 5, 5, 5]
    assert len({name for steps in waiting for name in steps}) == 20


def test_a_gang_with_short_tickets_asks_about_workers_not_named_before():
    """Guards against renewals that leave no time to ask about further workers."""
    bench = Bench(4)
    bench.submit("s1", step(64), queue="sorts")
    bench.plan()
    bench.submit("aa", step(2, cpu=16_000, gang=True, estimate_s=9.0), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    give_advice(bench, call, valid_s=1.0)
    bench.add_worker("x1", Resources(500, 64_000))
    named = set()
    for _ in range(60):
        bench.now += 0.1
        bench.plan()
        for call in bench.advice_calls():
            named.update(call.workers)
            give_advice(bench, call, valid_s=1.0)
    assert "x1" in named


def test_a_first_call_for_advice_without_answer_is_repeated_for_all_workers():
    """Guards against calls about the chosen workers only, which may not be allowed."""
    bench = Bench(3)
    bench.submit("a1", step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    bench.cluster.on_no_advice(call.step, bench.now)
    bench.now += 0.11
    bench.plan()
    (call,) = bench.advice_calls()
    assert set(call.workers) == {"w0", "w1", "w2"}


def bench_with_failed_task():
    """Return a bench whose task failed on ``w9``; the only other worker is busy."""
    bench = Bench(1, Resources(1000, 64_000))
    bench.submit("b2", step(1, estimate_s=60.0))
    bench.plan()
    bench.add_worker("w9")
    bench.submit("a1", step(1))
    (first,) = bench.plan()
    bench.end(first, EndKind.FAILED)
    assert bench.plan() == []
    return bench


def test_a_failed_task_does_not_wait_for_busy_workers_beside_an_idle_one():
    """Guards against a job that waits for minutes although a worker is free."""
    bench = bench_with_failed_task()
    bench.now += 2.1
    assert [run.task_id for run in bench.plan()] == ["a1.0.0.0"]


def test_a_rejection_does_not_count_after_a_restart_of_the_worker():
    """Guards against a task that avoids an idle worker of another incarnation."""
    bench = Bench(2)
    bench.submit("a1", step(2, cpu=9000))
    rejected, other = bench.plan()
    bench.cluster.on_start_reply(rejected, StartReply.INVALID, bench.now)
    bench.cluster.on_start_reply(other, StartReply.RUNNING, bench.now)
    bench.now += 0.2
    assert bench.plan() == []
    bench.restart(rejected.worker.entry.worker_id)
    bench.report(rejected.worker.entry.worker_id)
    bench.now += 3.0
    assert [run.task_id for run in bench.plan()] == [rejected.task_id]


def test_a_failure_does_not_count_after_a_restart_of_the_worker():
    """Guards against a task that avoids a worker for what a former incarnation did."""
    bench = bench_with_failed_task()
    bench.restart("w9")
    bench.report("w9")
    assert [run.task_id for run in bench.plan()] == ["a1.0.0.0"]


def test_a_failed_task_does_not_wait_for_workers_that_reject_its_orders():
    """Guards against a task that never returns to the only worker that accepts it."""
    bench = Bench(2)
    bench.submit("a1", step(1))
    (run,) = bench.plan()
    accepting = run.worker
    bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
    bench.end(run, EndKind.FAILED)
    for _ in range(100):
        bench.now += 0.1
        for run in bench.plan():
            if run.worker is accepting:
                return
            bench.cluster.on_start_reply(run, StartReply.INVALID, bench.now)
    raise AssertionError("the failed task was not started again")


def test_a_failed_task_does_not_wait_for_workers_that_a_gang_reserved():
    """Guards against a job that waits for a gang's start although a worker is free."""
    bench = Bench(1)
    bench.submit("b2", step(1, cpu=1000, estimate_s=60.0))
    (busy,) = bench.plan()
    assert busy.worker.entry.worker_id == "w0"
    bench.submit("aa", step(1, cpu=16_000, gang=True))
    bench.add_worker("w9", Resources(1000, 64_000))
    bench.submit("a1", step(1, cpu=1000), queue="sorts")
    (first,) = bench.plan()
    assert first.worker.entry.worker_id == "w9"
    bench.end(first, EndKind.FAILED)
    for _ in range(30):
        bench.now += 0.1
        if [run.task_id for run in bench.plan()] == ["a1.0.0.0"]:
            return
    raise AssertionError("the failed task was not started again")


def test_a_failed_task_does_not_wait_for_workers_that_run_its_step():
    """Guards against an idle worker next to a limit on the tasks of each worker."""
    bench = Bench(2)
    bench.submit("a1", step(2, per_worker=1, estimate_s=60.0))
    first, _ = bench.plan()
    bench.end(first, EndKind.FAILED)
    for _ in range(30):
        bench.now += 0.1
        if [run.task_id for run in bench.plan()] == [first.task_id]:
            return
    raise AssertionError("the failed task was not started again")


def test_a_gang_does_not_reserve_a_worker_that_rejected_its_orders_beside_others():
    """Guards against a gang that waits again and again for a worker that rejects it."""
    bench = Bench(2)
    bench.submit("s1", step(16), queue="sorts")
    running = bench.plan()
    bench.submit("aa", step(1, cpu=16_000, gang=True, estimate_s=5.0))
    (rejected,) = bench.plan()
    bench.cluster.on_start_reply(rejected, StartReply.INVALID, bench.now)
    bench.submit("s2", step(1), queue="sorts")
    assert [run.worker for run in bench.plan()] == [rejected.worker]
    bench.now += 0.2
    assert bench.plan() == []
    bench.end(running[0])
    bench.submit("s3", step(1), queue="sorts")
    assert [run.worker for run in bench.plan()] == [rejected.worker]
