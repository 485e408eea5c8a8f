"""Errors that nobody foresaw are kept to one record, worker, job or call."""

import asyncio
import random

import pytest

from flamingoway.errors import (
    BadRequest,
    OutcomeUnknown,
    Refused,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from flamingoway.model import Resources
from flamingoway.peer import PeerClient, PeerServer
from flamingoway.platform.client import ResponseLost
from flamingoway.platform.ingress import JobIngress
from flamingoway.platform.store import PlatformStore
from flamingoway.queues import records
from flamingoway.queues.faults import LOG_INTERVAL_S, FaultReporter
from flamingoway.queues.limits import MAX_TASKS
from flamingoway.queues.messages import StateReply, StateRequest
from flamingoway.queues.metrics import QueueMetrics
from flamingoway.queues.mirror import Mirror
from flamingoway.queues.model import (
    EndedTask,
    EndKind,
    RunningTask,
    Schedule,
    StartReply,
    Step,
    StepJobSpec,
    StepJobState,
    WorkerReport,
)
from flamingoway.queues.records import (
    MAX_PROGRESS_BYTES,
    JobRecord,
    ProgressRecord,
    StepProgress,
)
from flamingoway.queues.table import JobTable
from flamingoway.store import KeyValue, Put
from standins import kv
from standins.cluster import free_ports
from standins.memory import MemoryStore
from tests.queue_cluster import Bench, RecordingLog, step
from tests.queue_world import FakeWorker, World
from tests.test_queue_intake import JOB, Request, run_with_cell
from tests.virtual import run_virtual

SMALL = Step(1, Resources(1000, 1000), 1.0)


def job(job_id, *steps):
    return StepJobSpec(job_id, "checks", "x", steps or (SMALL,))


class Clock:
    """Manual clock, in seconds."""

    now = 0.0

    def __call__(self):
        return self.now


class Reporter:
    """A reporter with its log and metrics."""

    def __init__(self):
        self.clock = Clock()
        self.log = RecordingLog()
        self.metrics = QueueMetrics()
        self.faults = FaultReporter(self.log, self.metrics, self.clock)

    def count(self, name, kind):
        return getattr(self.metrics, name).labels(kind)._value.get()


async def leading_world():
    world = World(1, failure_share=0.0)
    await world.begin()
    return world, world.nodes[world.leader()]._term


async def play_and_show(world, job_ids, seconds=8.0):
    """Submit jobs, wait, and return their states and how many terms have begun."""
    for job_id in job_ids:
        await world.submit(world.leader(), job(job_id))
    await asyncio.sleep(seconds)
    states = [await world.show(world.leader(), job_id) for job_id in job_ids]
    terms = sum(line[2] == "leader elected" for line in world.lines)
    ended = [name for name, task in world.tasks.items() if task.done()]
    await world.end()
    return states, terms, ended


def reject_writes(store, key, why):
    """Let a store reject each write of a key as invalid."""
    txn = store.txn

    async def reject(compares, operations, *args):
        if any(operation.key == key for operation in operations):
            raise BadRequest(why)
        return await txn(compares, operations, *args)

    store.txn = reject


def events(world):
    return [line[2] for line in world.lines]


def test_a_record_rewritten_often_is_logged_seldom_and_counted():
    """Guards against a log that one writer can fill."""
    reporter = Reporter()
    for _ in range(500):
        reporter.faults.report_skipped("worker", "servers/x", "invalid", 7)
        reporter.clock.now += 0.02
    assert len(reporter.log.lines) == 1
    assert reporter.count("skipped_records", "worker") == 500
    reporter.clock.now += LOG_INTERVAL_S
    reporter.faults.report_skipped("worker", "servers/x", "invalid", 8)
    assert reporter.log.lines[1][1]["repeated"] == 499


def test_a_contained_error_names_its_place():
    reporter = Reporter()
    with reporter.faults.contain("job", "a1"):
        raise KeyError("missing")
    ((event, fields),) = reporter.log.lines
    assert event == "error contained" and fields["subject"] == "a1"
    assert "KeyError" in fields["why"]
    assert any("test_queue_faults" in frame for frame in fields["traceback"])
    assert reporter.count("contained_errors", "job") == 1


def test_an_error_in_a_listener_does_not_end_the_mirror():
    """Guards against a process that ends because of one change in the store."""

    class Listener:
        failures = 3
        seen = 0

        def replace(self, items, revision):
            self.apply_changes(items)

        def apply_changes(self, events):
            if self.failures:
                self.failures -= 1
                raise ZeroDivisionError
            self.seen += 1

    async def main():
        loop = asyncio.get_running_loop()
        engine = kv.Engine(loop.time)
        reporter = Reporter()
        listener = Listener()
        mirror = Mirror(
            MemoryStore(engine),
            "a/",
            listener,
            loop.time,
            reporter.log,
            reporter.faults,
            random.Random(1),
        )
        task = asyncio.create_task(mirror.run())
        await asyncio.sleep(5.0)
        task.cancel()
        return listener.seen, reporter.count("contained_errors", "mirror")

    assert run_virtual(main) == (1, 3)


def test_an_error_with_one_worker_leaves_the_others_at_work():
    """Guards against a leadership that ends because of one worker."""

    async def main():
        world, term = await leading_world()
        on_report = term.cluster.on_report

        def fail(worker, *args):
            if worker.entry.worker_id == "w0":
                raise ZeroDivisionError
            on_report(worker, *args)

        term.cluster.on_report = fail
        # A job that had begun there begins anew once the worker's lease has expired.
        states, terms, ended = await play_and_show(world, ["a1", "a2", "a3"], 20.0)
        return states, terms, ended, events(world), world.checker.violations

    states, terms, ended, seen, violations = run_virtual(main)
    assert states == [StepJobState.COMPLETED] * 3
    assert terms == 1 and ended == [] and violations == []
    assert "error contained" in seen


def test_an_error_while_one_job_is_planned_sets_it_aside():
    """Guards against a job that ends the leadership of each process in turn."""

    async def main():
        world, term = await leading_world()
        plan = term._planner._plan

        def fail(step, now):
            if step.job.spec.job_id == "a2":
                raise ZeroDivisionError
            return plan(step, now)

        term._planner._plan = fail
        states, terms, ended = await play_and_show(world, ["a1", "a2", "a3"])
        return states, terms, ended, world.checker.violations

    states, terms, ended, violations = run_virtual(main)
    assert states[0] == states[2] == StepJobState.COMPLETED
    assert not states[1].final
    assert terms == 1 and ended == [] and violations == []


def test_progress_that_the_store_rejects_sets_only_its_job_aside():
    """Guards against one record that keeps all progress from being stored."""

    async def main():
        world, _ = await leading_world()
        store = world.stores[world.leader()]
        reject_writes(store, records.PROGRESS_PREFIX + "a2", "value too large")
        states, terms, ended = await play_and_show(world, ["a1", "a2", "a3"])
        return states, terms, ended

    states, terms, ended = run_virtual(main)
    assert states[0] == states[2] == StepJobState.COMPLETED
    assert not states[1].final
    assert terms == 1 and ended == []


def test_a_worker_whose_record_the_store_rejects_is_not_used():
    """Guards against one worker that keeps all progress from being stored."""

    async def main():
        world, _ = await leading_world()
        store = world.stores[world.leader()]
        reject_writes(store, records.WORKER_PREFIX + "w9", "key too long")
        world.workers["w9"] = FakeWorker(world, "w9", "r1")
        await world.register_worker(world.workers["w9"])
        await asyncio.sleep(1.0)
        states, terms, ended = await play_and_show(world, ["a1", "a2", "a3"])
        return states, terms, ended, len(world.workers["w9"].runs)

    states, terms, ended, runs = run_virtual(main)
    assert states == [StepJobState.COMPLETED] * 3
    assert terms == 1 and ended == [] and runs == 0


def test_a_job_that_the_store_rejects_is_refused_alone():
    """Guards against callers that are refused because of another caller's job."""

    async def body(cell):
        reject_writes(cell.store, records.JOB_PREFIX + "0bad", "invalid")
        ids = ["0a1", "0bad", "0a2"]
        specs = [StepJobSpec(i, "plans", "x", JOB.steps) for i in ids]
        calls = [cell.intake.submit(spec, 3.0) for spec in specs]
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert results[0] is None and results[2] is None
        assert isinstance(results[1], BadRequest)

    run_with_cell(body)


def test_an_unforeseen_error_is_answered_as_an_unknown_outcome():
    """Guards against callers that wait for an answer that never comes."""

    async def body(cell):
        async def fail(*args):
            raise ZeroDivisionError

        cell.intake.submit = fail
        ingress = JobIngress(cell.intake, cell.metrics, cell.faults)
        body = b'{"spec":"x","steps":[{"count":1}]}'
        answer = await ingress.handle(Request("POST", "/p/00000000000000aa", body))
        assert answer.status == 504

    run_with_cell(body)


def test_a_job_whose_progress_is_not_valid_is_not_started_anew():
    """Guards against tasks that run again because their ends cannot be read."""
    reporter = Reporter()
    table = JobTable(reporter.faults)
    bench = Bench()
    value = records.encode(JobRecord(job("a1"), 1.0))
    items = [
        KeyValue(records.JOB_PREFIX + "a1", value, 1, 1),
        KeyValue(records.PROGRESS_PREFIX + "a1", b"\xff", 2, 2),
    ]
    table.replace(items, 2)
    with pytest.raises(BadRequest):
        bench.cluster.add_job(table.jobs["a1"], 1.0, 1.0, True)
    assert bench.cluster.jobs == {}
    assert reporter.count("skipped_records", "progress") == 1


def test_a_worker_record_that_is_not_valid_may_hold_anything():
    """Guards against a second run of a task on a worker that nobody waits for."""
    table = JobTable(Reporter().faults)
    key = records.WORKER_PREFIX + "w7"
    table.replace([KeyValue(key, b"\xff", 1, 1)], 1)
    assert table.workers["w7"].tasks is None


def test_a_process_whose_record_turns_invalid_counts_as_gone():
    table = JobTable(Reporter().faults)
    key = records.PROCESS_PREFIX + "n7"
    value = records.encode(records.ProcessRecord("n7", "127.0.0.1:1", "z"))
    table.replace([KeyValue(key, value, 1, 1)], 1)
    assert "n7" in table.processes
    endless = records.encode(records.ProcessRecord("n7", "a:1", "z", float("inf")))
    table.replace([KeyValue(key, endless, 1, 2)], 2)
    assert table.processes == {}


def test_a_run_among_ends_that_a_report_leaves_out_is_not_lost():
    """Guards against a second run of a task whose end is on the next page."""
    bench = Bench(workers=1)
    bench.submit("a1", step(2))
    runs = bench.plan()
    for run in runs:
        bench.cluster.on_start_reply(run, StartReply.RUNNING, bench.now)
    bench.now += 1.0
    first, second = runs
    worker = bench.worker("w0")
    ends = (EndedTask(1, first.task_id, first.number, EndKind.DONE),)
    report = WorkerReport(1000, 1, (), ends, complete=False)
    bench.cluster.on_report(
        worker, report, bench.now, worker.token, bench.now, bench.now
    )
    assert list(worker.runs) == [second.key]


def test_a_task_id_with_unusual_digits_is_an_orphan():
    bench = Bench(workers=1)
    worker = bench.worker("w0")
    running = (RunningTask("a1.0.0.\u00b2", 1), RunningTask("a1.0.0." + "9" * 50, 1))
    report = WorkerReport(1000, 1, running)
    bench.cluster.on_report(
        worker, report, bench.now, worker.token, bench.now, bench.now
    )
    assert len(worker.orphans) == 2


def test_progress_that_is_too_large_is_stored_without_checkpoints():
    """Guards against progress that the store rejects and that is lost at a takeover."""
    checkpoints = {index: "c" * 100 for index in range(MAX_TASKS)}
    steps = {"0.0": StepProgress(list(range(MAX_TASKS)), {}, checkpoints)}
    value = records.encode_progress(ProgressRecord(StepJobState.RUNNING, steps))
    assert len(value) <= MAX_PROGRESS_BYTES
    decoded = records.decode(ProgressRecord, value)
    assert len(decoded.steps["0.0"].done) == MAX_TASKS


def test_a_job_of_as_many_occurrences_as_allowed_is_cheap_to_store():
    bench = Bench()
    schedule = Schedule(MAX_TASKS, 0.0, 0.0)
    added = bench.submit("a1", step(1), schedule=schedule)
    assert len(records.encode_progress(added.record())) <= MAX_PROGRESS_BYTES


ANSWERS = {
    "not json": (200, b"<html>"),
    "nested": (200, b"[" * 60_000),
    "no revision": (200, b"{}"),
    "huge revision": (200, b'{"storeRevision":' + b"9" * 300 + b',"revision":1e300}'),
    "server error": (500, b"{}"),
    "redirect": (302, b""),
}


class Client:
    """HTTP client that returns one answer."""

    def __init__(self, answer):
        self.answer = answer

    async def call(self, *args, **kwargs):
        if self.answer is None:
            raise ResponseLost("lost")
        return self.answer


@pytest.mark.parametrize("name", ANSWERS)
def test_an_answer_of_the_store_that_is_not_valid_counts_as_missing(name):
    """Guards against a process that ends, or forgets all, because of one answer."""

    async def main():
        store = PlatformStore("127.0.0.1:1", Client(ANSWERS[name]))
        with pytest.raises(StoreUnavailable):
            await store.range("fw/")
        with pytest.raises(StoreUnavailable):
            await store.changes("fw/", 5, 0.1)
        with pytest.raises(StoreOutcomeUnknown):
            await store.txn([], [Put("a", b"")])

    asyncio.run(main())


def test_an_error_in_a_handler_of_another_process_is_an_unknown_outcome():
    """Guards against a call whose error nobody sees."""
    seen = []

    async def fail(request):
        raise ZeroDivisionError

    async def main():
        server, client = PeerServer(), PeerClient()
        server.on_error = lambda method, error: seen.append((method, error))
        server.handle(StateRequest, fail)
        address = f"127.0.0.1:{free_ports(1)}"
        async with server.listen(address, 0.1):
            try:
                with pytest.raises(OutcomeUnknown):
                    await client.call(address, StateRequest("a1"), 5.0, StateReply)
                with pytest.raises(Refused):
                    await client.call("unix:/x", StateRequest("a1"), 1.0, StateReply)
            finally:
                await client.close()

    asyncio.run(main())
    assert [method for method, _ in seen] == ["StateRequest"]
