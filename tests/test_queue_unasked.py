"""What must not start or run on: cancelled jobs, and jobs that nobody submitted."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from flamingoway.errors import (
    BadRequest,
    OutcomeUnknown,
    Refused,
    StoreOutcomeUnknown,
)
from flamingoway.httpserver import HttpRequest
from flamingoway.model import Resources
from flamingoway.platform.ingress import JobIngress
from flamingoway.queues import records
from flamingoway.queues.faults import FaultReporter
from flamingoway.queues.metrics import QueueMetrics
from flamingoway.queues.mirror import Mirror
from flamingoway.queues.model import Step, StepJobSpec, StepJobState
from flamingoway.queues.records import ProcessRecord
from flamingoway.queues.relay import Relay
from flamingoway.queues.table import JobTable
from flamingoway.status import Code
from flamingoway.store import ChangeSet, Delete, Put, RangeResult
from standins import kv
from standins.memory import MemoryStore
from tests.queue_cluster import RecordingLog
from tests.queue_world import CANCEL_GRACE_S, World
from tests.test_queue_intake import run_with_cell
from tests.virtual import run_virtual

SMALL = Step(1, Resources(1000, 1000), 1.0)
JOB = StepJobSpec("00000000000000aa", "checks", "x", (SMALL,))
TASK_S = 60.0
# Enough for a copy that hears nothing to be found out.
NOTICED_S = 4.0


async def begin():
    world = World(1, failure_share=0.0)
    await world.begin()
    world.duration = lambda task_id: TASK_S
    return world


def running(world):
    return {task for worker in world.workers.values() for task in worker.runs}


async def cancel_unknown(world, name, job_id):
    with pytest.raises(BadRequest):
        await world.nodes[name].intake.cancel(job_id, 2.0)


@pytest.mark.parametrize("late", [True, False], ids=["late write", "late request"])
def test_a_job_that_was_cancelled_before_it_was_stored_does_not_run(late):
    """Guards against starts after a cancellation that found no job."""

    async def main():
        world = await begin()
        if late:
            # The submission whose write the store applies late has given up.
            store = MemoryStore(world.engine)
            value = records.encode(records.JobRecord(JOB, 0.0, "n1"))
            key = records.JOB_PREFIX + JOB.job_id
            world.loop.call_later(
                1.0, asyncio.ensure_future, store.txn([], [Put(key, value)])
            )
        await cancel_unknown(world, "n0", JOB.job_id)
        await asyncio.sleep(CANCEL_GRACE_S + 1.0)
        if not late:
            await world.nodes["n2"].intake.submit(JOB, 2.0)
        world.specs[JOB.job_id] = JOB
        started = []
        world.checker.on_start = lambda worker, run, order: started.append(run.task_id)
        await asyncio.sleep(CANCEL_GRACE_S)
        state = await world.nodes["n1"].intake.state(JOB.job_id)
        await world.end()
        return started, running(world), state

    assert run_virtual(main) == ([], set(), StepJobState.CANCELLED)


def test_cancellations_of_unknown_jobs_are_deleted_after_the_retention_period():
    """Guards against unbounded growth of the store and of each process."""

    async def main():
        world = World(1)
        # The time of day does not follow virtual time.
        world.retention_s = -1000.0
        await world.begin()
        await cancel_unknown(world, "n0", JOB.job_id)
        before = [key for key in world.engine._keys if JOB.job_id.encode() in key]
        await asyncio.sleep(12.0)
        after = [key for key in world.engine._keys if JOB.job_id.encode() in key]
        known = [n for n in world.names if JOB.job_id in world.nodes[n]._table.jobs]
        await world.end()
        return len(before), after, known

    assert run_virtual(main) == (1, [], [])


@pytest.mark.parametrize("event", ["submitted", "cancelled again"])
def test_a_cancellation_that_is_used_again_is_not_deleted(event):
    """Guards against a deletion on the ground of what was read before."""

    async def main():
        world = await begin()
        leader = world.leader()
        term, store = world.nodes[leader]._term, world.stores[leader]
        other = next(name for name in world.names if name != leader)
        world.specs[JOB.job_id] = JOB
        await cancel_unknown(world, other, JOB.job_id)
        await asyncio.sleep(1.0)
        write, delayed = store.txn, []

        async def delay_deletion(compares, operations, reads=None):
            if not delayed and any(isinstance(o, Delete) for o in operations):
                delayed.append(operations)
                # The store doesn't answer the leader for a while.
                term._retention_s = 1e9
                if event == "submitted":
                    await world.nodes[other].intake.submit(JOB, 2.0)
                else:
                    await cancel_unknown(world, other, JOB.job_id)
                await asyncio.sleep(1.0)
            return await write(compares, operations, reads)

        store.txn = delay_deletion
        # The time of day does not follow virtual time.
        term._retention_s = -1000.0
        await asyncio.sleep(12.0)
        if event == "cancelled again":
            await world.nodes[other].intake.submit(JOB, 2.0)
        started = []
        world.checker.on_start = lambda worker, run, order: started.append(run.task_id)
        await asyncio.sleep(CANCEL_GRACE_S)
        state = await world.nodes[other].intake.state(JOB.job_id)
        leads = world.nodes[leader]._term is term
        await world.end()
        return len(delayed), started, state, leads

    assert run_virtual(main) == (1, [], StepJobState.CANCELLED, True)


def stored_keys(world, job_id):
    return [key for key in world.engine._keys if job_id.encode() in key]


def test_expired_jobs_are_deleted_beside_one_that_has_changed():
    """Guards against a job that keeps others from being deleted."""

    async def main():
        world = await begin()
        leader = world.leader()
        term, store = world.nodes[leader]._term, world.stores[leader]
        other = next(name for name in world.names if name != leader)
        world.specs[JOB.job_id] = JOB
        ids = [JOB.job_id, "00000000000000ab", "00000000000000ac"]
        for job_id in ids:
            await cancel_unknown(world, other, job_id)
        write, term._retention_s = store.txn, -1000.0

        async def delay_deletion(compares, operations, reads=None):
            if any(isinstance(o, Delete) for o in operations):
                store.txn = write
                await world.nodes[other].intake.submit(JOB, 2.0)
                # The first deletion reaches the store after the submission.
                term._is_expired, is_expired = (
                    lambda job: job.job_id != JOB.job_id and is_expired(job),
                    term._is_expired,
                )
            return await write(compares, operations, reads)

        store.txn = delay_deletion
        await asyncio.sleep(12.0)
        left = [job_id for job_id in ids if stored_keys(world, job_id)]
        await world.end()
        return left

    assert run_virtual(main) == [JOB.job_id]


def test_a_cancelled_job_is_deleted_whose_cancellation_was_watched_before_its_answer():
    """Guards against a job that is never deleted, for want of a revision."""

    async def main():
        world = await begin()
        leader = world.leader()
        node, store = world.nodes[leader], world.stores[leader]
        assert await world.submit(leader, JOB)
        write = store.txn

        async def answer_late(compares, operations, reads=None):
            result = await write(compares, operations, reads)
            if any(o.key.startswith(records.CANCEL_PREFIX) for o in operations):
                await asyncio.sleep(0.3)
            return result

        store.txn = answer_late
        await node.intake.cancel(JOB.job_id, 2.0)
        store.txn = write
        await asyncio.sleep(1.0)
        node._term._retention_s = -1000.0
        await asyncio.sleep(12.0)
        left = stored_keys(world, JOB.job_id)
        await world.end()
        return left

    assert run_virtual(main) == []


def test_a_start_that_waits_for_its_connection_is_prevented_by_a_cancellation():
    """Guards against a stop that waits for the answer to the start."""

    async def main():
        world = await begin()
        leader = world.leader()
        port, begun = world.ports[leader], asyncio.Event()
        start = port.start

        async def start_after_connecting(entry, order):
            begun.set()
            await asyncio.sleep(0.6)
            return await start(entry, order)

        port.start = start_after_connecting
        assert await world.submit(leader, JOB)
        async with asyncio.timeout(2.0):
            await begun.wait()
        assert await world.cancel(leader, JOB.job_id)
        started = []
        world.checker.on_start = lambda worker, run, order: started.append(run.task_id)
        await asyncio.sleep(2.0)
        await world.end()
        return started

    assert run_virtual(main) == []


def test_an_end_that_is_not_stored_ends_no_job_for_other_processes():
    """Guards against a cancellation that is answered on the ground of a lost end."""

    async def main():
        world = await begin()
        leader = world.leader()
        others = [name for name in world.names if name != leader]
        world.duration = lambda task_id: 1.0
        assert await world.submit(others[0], JOB)
        await asyncio.sleep(0.5)
        store = world.stores[leader]
        write = store.txn

        async def lose_progress(compares, operations, reads=None):
            if any(o.key.startswith(records.PROGRESS_PREFIX) for o in operations):
                raise StoreOutcomeUnknown("lost")
            return await write(compares, operations, reads)

        store.txn = lose_progress
        await asyncio.sleep(0.9)
        ended = world.nodes[leader]._term.cluster.jobs[JOB.job_id].state
        shown = [world.nodes[n]._table.find(JOB.job_id).state for n in others]
        acknowledged = await world.cancel(others[0], JOB.job_id)
        stored = records.CANCEL_PREFIX + JOB.job_id
        key_exists = stored.encode() in world.engine._keys
        await world.end()
        return ended, shown, acknowledged, key_exists

    ended, shown, acknowledged, key_exists = run_virtual(main)
    assert ended is StepJobState.COMPLETED
    assert not any(state.final for state in shown)
    assert (acknowledged, key_exists) == (True, True)


class OldPeers:
    """Other processes, of which those named answer a cancellation after a read alone.

    Attributes:
        asked: Addresses of the processes that were asked.
    """

    def __init__(self, old):
        self.old = old
        self.asked = []

    async def call(self, address, request, timeout_s, reply):
        self.asked.append(address)
        error = BadRequest("no such job", Code.NOT_FOUND)
        if address not in self.old:
            error.details["cancel_revision"] = 7
        raise error


@pytest.mark.parametrize("old", [["n2:1"], ["n2:1", "n3:1"]], ids=["one", "all"])
def test_a_process_of_an_older_build_acknowledges_no_cancellation(old):
    """Guards against an acknowledgement by a process that stores nothing."""
    found = {}

    async def body(cell):
        peers = OldPeers(old)
        others = {n: ProcessRecord(n, f"{n}:1", "z") for n in ("n2", "n3")}
        in_order = SimpleNamespace(shuffle=lambda processes: None)
        cell.intake._relay = Relay("n1", peers, lambda: others, in_order, cell.log)
        cell.store.down = True
        await asyncio.sleep(1.0)
        try:
            await cell.intake.cancel(JOB.job_id, 2.0)
        except (BadRequest, OutcomeUnknown, Refused) as exc:
            found["error"] = exc
        found["asked"] = peers.asked

    run_with_cell(body)
    acknowledged = found["error"].code is Code.NOT_FOUND
    if len(old) == 1:
        assert acknowledged
        assert found["asked"][-1] == "n3:1"
    else:
        assert not acknowledged
    assert "n2:1" in found["asked"]


class ScriptedStore:
    """A store with one key whose watches a test scripts.

    Attributes:
        hears_nothing: Whether watches report the newest revision and no changes.
        paused_s: Time for which the process is paused as its next answer arrives.
        on_changes: Called as each watch begins.
    """

    def __init__(self):
        self.engine = kv.Engine(asyncio.get_running_loop().time, history=100_000)
        self.store = MemoryStore(self.engine)
        self.hears_nothing = False
        self.paused_s = 0.0
        self.on_changes = lambda: None

    async def range(self, prefix: str) -> RangeResult:
        return await self.store.range(prefix)

    async def changes(self, prefix: str, after: int, wait_s: float) -> ChangeSet:
        self.on_changes()
        if self.hears_nothing:
            await asyncio.sleep(wait_s)
            changes = ChangeSet(self.engine.revision, [])
        else:
            changes = await self.store.changes(prefix, after, wait_s)
        paused_s, self.paused_s = self.paused_s, 0.0
        await asyncio.sleep(paused_s)
        return changes


def follow(store):
    """Return a table and the mirror that feeds it, which has begun to run."""
    loop = asyncio.get_running_loop()
    log = RecordingLog()
    faults = FaultReporter(log, QueueMetrics(), loop.time)
    table = JobTable(faults)
    mirror = Mirror(
        store, records.ROOT, table, loop.time, log, faults, random.Random(1)
    )
    return table, mirror, asyncio.create_task(mirror.run())


def test_a_watch_beside_a_range_read_does_not_make_its_content_newer():
    """Guards against a new leader that acts on pages read long before."""

    async def main():
        scripted = ScriptedStore()
        operator = MemoryStore(scripted.engine)
        _, mirror, task = follow(scripted)
        await mirror.wait_synced()
        await operator.txn([], [Put("servers/w0", b"x")])
        read, ages = scripted.range, []

        async def read_slowly(prefix):
            content = await read(prefix)
            await asyncio.sleep(2.0)
            return content

        scripted.range = read_slowly
        began = asyncio.get_running_loop().time()
        await mirror.catch_up()

        def note_age():
            read_age_s = asyncio.get_running_loop().time() - began
            ages.append((mirror.age_s, read_age_s))

        scripted.on_changes = note_age
        await asyncio.sleep(1.0)
        task.cancel()
        return ages[0]

    age_s, read_age_s = run_virtual(main)
    assert age_s >= read_age_s > 2.0


@pytest.mark.parametrize("history_kept", [True, False])
@pytest.mark.parametrize("cancelled", [True, False])
def test_a_job_that_is_stored_again_after_its_deletion_is_a_new_one(
    history_kept, cancelled
):
    """Guards against an answer to a cancellation on the ground of a former end."""

    async def main():
        scripted = ScriptedStore()
        operator = MemoryStore(scripted.engine)
        job_key, progress_key, cancel_key = records.job_keys(JOB.job_id)
        value = records.encode(records.JobRecord(JOB, 0.0))
        end = records.ProgressRecord(StepJobState.COMPLETED, ended_at=1.0)
        old = [Put(job_key, value), Put(progress_key, records.encode_progress(end))]
        cancel = Put(cancel_key, records.encode(records.CancelRecord(1.0)))
        await operator.txn([], [*old, cancel])
        table, mirror, task = follow(scripted)
        await mirror.wait_synced()
        await asyncio.sleep(0.1)
        scripted.hears_nothing = True
        await asyncio.sleep(0.9)
        added = []
        table.on_job = lambda job: added.append(job.job_id)
        await operator.txn([], [Delete(key) for key in records.job_keys(JOB.job_id)])
        if cancelled:
            await operator.txn([], [cancel])
        await operator.txn([], [Put(job_key, value)])
        scripted.hears_nothing = False
        if not history_kept:
            scripted.engine.compact()
        await asyncio.sleep(NOTICED_S)
        task.cancel()
        job = table.find(JOB.job_id)
        return job.state, job.cancelled, job.progress, added

    expected = StepJobState.QUEUED, cancelled, b"", [JOB.job_id]
    assert run_virtual(main) == expected


@pytest.mark.parametrize("history_kept", [True, False])
def test_a_cancellation_in_a_gap_of_the_watch_is_read(history_kept):
    """Guards against changes that a watch skips and no later one reports."""

    async def main():
        scripted = ScriptedStore()
        operator = MemoryStore(scripted.engine)
        value = records.encode(records.JobRecord(JOB, 0.0))
        await operator.txn([], [Put(records.JOB_PREFIX + JOB.job_id, value)])
        table, mirror, task = follow(scripted)
        await mirror.wait_synced()
        scripted.hears_nothing = True
        await asyncio.sleep(0.1)
        await operator.txn([], [Put(records.CANCEL_PREFIX + JOB.job_id, b"1")])
        await operator.txn([], [Put("servers/w0", b"x")])
        await asyncio.sleep(0.9)
        scripted.hears_nothing = False
        if not history_kept:
            scripted.engine.compact()
        await asyncio.sleep(NOTICED_S)
        task.cancel()
        return table.find(JOB.job_id).cancelled

    assert run_virtual(main)


def test_an_answer_that_a_paused_process_reads_late_does_not_make_its_copy_new():
    """Guards against a leader that acts on what it read before a pause."""

    async def main():
        scripted = ScriptedStore()
        operator = MemoryStore(scripted.engine)
        _, mirror, task = follow(scripted)
        await mirror.wait_synced()
        scripted.paused_s = 10.0
        await operator.txn([], [Put("fw/member/n9", b"x")])
        ages = []

        def note_age():
            if not scripted.paused_s:
                ages.append(mirror.age_s)

        scripted.on_changes = note_age
        await asyncio.sleep(12.0)
        task.cancel()
        return ages

    ages = run_virtual(main)
    assert ages[0] >= 10.0
    assert ages[-1] < 2.0


@pytest.mark.parametrize(
    "job_id", ["a" * 15, "a" * 17, "x" + "a" * 15, "r2" + "a" * 16]
)
@pytest.mark.parametrize("method", ["POST", "GET", "DELETE"])
def test_a_request_for_a_longer_route_is_not_taken_under_a_shorter_one(method, job_id):
    """Guards against jobs whose id nobody chose."""
    body = b'{"steps": [{"count": 1}]}'
    found = {}

    async def main(cell):
        ingress = JobIngress(cell.intake, cell.metrics, cell.faults)
        disconnected = asyncio.get_running_loop().create_future()
        headers = {"Host": "jobs.example"}
        path = f"/p/{job_id}"
        request = HttpRequest(method, path, "", headers, body, disconnected)
        found["status"] = (await ingress.handle(request)).status
        found["stored"] = cell.engine.range(kv.RangeOp(b"fw/", b"fw0")).entries

    run_with_cell(main)
    assert found["status"] == 404
    assert found["stored"] == []
