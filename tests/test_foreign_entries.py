"""Guards against records of other writers that count as those of our workers."""

import asyncio
from dataclasses import replace

import pytest

from flamingoway.model import Resources
from flamingoway.queues import records
from flamingoway.queues.model import StartReply, Step, StepJobSpec
from flamingoway.queues.ports import PollRefused
from flamingoway.store import Put
from tests.queue_world import DESIRED, LEASE_S, FakeWorker, World
from tests.test_queue_term import MAX_IDLE_S, leading_world
from tests.virtual import run_virtual

# Longer than a new leader waits for a worker that it cannot reach.
TAKEOVER_WAIT_S = 2 * LEASE_S + 5.0
TASK_S = 4.0
EVENT = "takeover unfinished"


def foreign_worker(world, service):
    """Return a worker of another writer, behind whose entry nobody answers."""
    worker = world.workers["w9"] = FakeWorker(world, "w9", "r9", service)
    worker.foreign, worker.up = True, False
    return worker


async def add_foreign_worker(world, service):
    worker = foreign_worker(world, service)
    await world.register_worker(worker)
    await asyncio.sleep(1.0)
    return worker


async def submit_chain(world, job_id):
    """Submit a job of two steps; return when the second one is due."""
    world.failure_share = 0.0
    world.duration = lambda task_id: TASK_S
    step = Step(1, Resources(1000, 1000), TASK_S)
    job = StepJobSpec(job_id, "checks", "x", (step, replace(step, after=(0,))))
    assert await world.submit("n0", job)
    return world.now + TASK_S


async def running_in_time(world, due_at):
    """Return the tasks that run soon after a step was due, and violations."""
    await asyncio.sleep(due_at + MAX_IDLE_S - world.now)
    found = {t for w in world.workers.values() for t in w.runs}
    await world.end()
    return found, world.checker.violations


async def kill_leader(world):
    """Kill the leader and start it again once another process leads."""
    leader = world.leader()
    await world.kill_node(leader)
    for _ in range(100):
        if world.leader() != leader:
            break
        await asyncio.sleep(0.1)
    world.start_node(leader)


@pytest.mark.parametrize("service", ["nowhere", "planner"])
def test_a_takeover_does_not_wait_for_an_entry_that_no_worker_stands_behind(service):
    """Guards against inherited jobs that wait beside idle workers."""

    async def main():
        world, _ = await leading_world([])
        await add_foreign_worker(world, service)
        due_at = await submit_chain(world, "a1")
        await asyncio.sleep(1.0)
        await kill_leader(world)
        return await running_in_time(world, due_at)

    assert run_virtual(main) == ({"a1.0.1.0"}, [])


@pytest.mark.parametrize("listed", [True, False])
@pytest.mark.parametrize("readable", [True, False])
def test_a_record_of_a_worker_that_never_answers_delays_one_takeover(listed, readable):
    """Guards against a record that each later leader waits for again."""

    async def main():
        world, _ = await leading_world([])
        worker = foreign_worker(world, "planner")
        value = records.encode(records.WorkerRecord(worker.entry))
        put = Put("fw/worker/w9", value if readable else b"\xff")
        await world.operator.txn([], [put])
        if listed:
            await world.register_worker(worker)
        await asyncio.sleep(1.0)
        await kill_leader(world)
        await asyncio.sleep(TAKEOVER_WAIT_S)
        kept = await world.operator.get("fw/worker/w9")
        lines = [fields for _, _, event, fields in world.lines if event == EVENT]
        named = {tuple(fields["workers"]) for fields in lines}
        assert named == {("w9",)}
        due_at = await submit_chain(world, "a1")
        await asyncio.sleep(1.0)
        await kill_leader(world)
        return kept, *await running_in_time(world, due_at)

    assert run_virtual(main) == (None, {"a1.0.1.0"}, [])


def test_a_record_under_the_id_of_another_worker_is_deleted_after_one_takeover():
    """Guards against a record that is never deleted, as its entry names another id."""

    async def main():
        world, _ = await leading_world([])
        entry = world.workers["w0"].entry
        value = records.encode(records.WorkerRecord(entry))
        await world.operator.txn([], [Put("fw/worker/w9", value)])
        foreign_worker(world, "planner")
        await asyncio.sleep(1.0)
        await kill_leader(world)
        await asyncio.sleep(TAKEOVER_WAIT_S)
        kept = await world.operator.get("fw/worker/w9")
        others = await world.operator.get("fw/worker/w0")
        await world.end()
        return kept, others is not None

    assert run_virtual(main) == (None, True)


def test_a_record_that_names_tasks_is_replaced_before_its_worker_is_used_again():
    """Guards against a successor that trusts tasks recorded before later starts."""

    async def main():
        world, term = await leading_world([])
        world.failure_share = 0.0
        world.duration = lambda task_id: 60.0
        worker = world.workers["w9"] = FakeWorker(world, "w9", "r9")
        await world.register_worker(worker)
        await asyncio.sleep(1.0)
        step = Step(1, Resources(1000, 1000), 1.0, label="r9")
        assert await world.submit("n0", StepJobSpec("a1", "checks", "x", (step,)))
        await asyncio.sleep(1.0)
        store, key = world.stores[world.leader()], "fw/worker/w9"
        write, released = store.txn, asyncio.Event()

        async def hold_record(compares, operations, reads=None):
            if any(o.key == key for o in operations):
                await released.wait()
            return await write(compares, operations, reads)

        store.txn = hold_record
        for port in world.ports.values():
            port.unreachable.add("w9")
        await asyncio.sleep(2 * LEASE_S)
        for port in world.ports.values():
            port.unreachable.clear()
        await asyncio.sleep(2.0)
        released.set()
        used = []
        for _ in range(1000):
            if term.cluster.workers["w9"].usable:
                item = await world.operator.get(key)
                used.append(records.decode(records.WorkerRecord, item.value).tasks)
            await asyncio.sleep(0.003)
        await world.end()
        return set(used), world.checker.violations

    assert run_virtual(main) == ({None}, [])


def test_a_worker_of_a_service_that_is_not_configured_is_left_alone():
    """Guards against tokens sent to workers of others, and theirs that end a term."""

    async def main():
        world, term = await leading_world([])
        polled = []
        port = world.ports[world.leader()]
        poll = port.poll

        async def poll_or_refuse(entry, *args):
            if entry.worker_id != "w9":
                return await poll(entry, *args)
            polled.append(entry.worker_id)
            raise PollRefused(StartReply.FENCED)

        port.poll = poll_or_refuse
        worker = await add_foreign_worker(world, "elsewhere")
        await asyncio.sleep(3.0)
        leads = world.nodes[world.leader()]._term is term
        before = [*polled]
        port.poll = poll
        worker.up = True
        queue = replace(DESIRED.queues[1], name="new", service="elsewhere")
        desired = replace(DESIRED, version=2, queues=(*DESIRED.queues, queue))
        await world.configure(desired)
        await asyncio.sleep(1.0)
        step = Step(1, Resources(1000, 1000), 1.0)
        assert await world.submit("n0", StepJobSpec("a1", "new", "x", (step,)))
        await asyncio.sleep(MAX_IDLE_S)
        started = set(world.checker.started)
        await world.end()
        return before, leads, started

    assert run_virtual(main) == ([], True, {"a1"})


def test_workers_of_a_service_that_was_removed_finish_its_jobs_after_a_takeover():
    """Guards against accepted jobs whose workers count as those of others."""

    async def main():
        world = World(1, failure_share=0.0)
        await world.begin()
        due_at = await submit_chain(world, "a1")
        await asyncio.sleep(1.0)
        others = tuple(replace(q, service="other") for q in DESIRED.queues[:1])
        await world.configure(replace(DESIRED, version=2, queues=others))
        await asyncio.sleep(1.0)
        await kill_leader(world)
        return await running_in_time(world, due_at)

    assert run_virtual(main) == ({"a1.0.1.0"}, [])
