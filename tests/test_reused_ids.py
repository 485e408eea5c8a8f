"""Guards against state of a worker that is used for another one with the same id."""

import asyncio

import pytest

from flamingoway.errors import BadRequest
from flamingoway.model import Resources
from flamingoway.queues import records
from flamingoway.queues.model import Step, StepJobSpec
from tests.queue_world import FakeWorker
from tests.test_queue_term import MAX_IDLE_S, leading_world
from tests.virtual import run_virtual

RACK = "r9"


async def add_worker(world, worker_id="w9"):
    """Add the only worker of its rack."""
    worker = world.workers[worker_id] = FakeWorker(world, worker_id, RACK)
    await world.register_worker(worker)
    await asyncio.sleep(1.0)
    return worker


async def wait_for_event(world, event, worker):
    """Wait until a line of the log tells of an event of a worker."""
    for _ in range(10_000):
        if any(
            line[2] == event and line[3].get("worker") == worker.worker_id
            for line in world.lines
        ):
            return
        await asyncio.sleep(0.001)
    raise TimeoutError(event)


def job_for_rack(job_id="a1"):
    step = Step(1, Resources(1000, 1000), 1.0, label=RACK)
    return StepJobSpec(job_id, "checks", "x", (step,))


async def started_in_time(world):
    """Submit a job for the rack; return the jobs started in time, and violations."""
    assert await world.submit("n0", job_for_rack())
    await asyncio.sleep(MAX_IDLE_S)
    started = set(world.checker.started)
    await world.end()
    return started, world.checker.violations


@pytest.mark.parametrize("away_s", [0.0, 0.1, 0.25, 0.4, 0.49, 1.0])
def test_a_worker_that_is_listed_again_soon_after_it_was_forgotten_gets_work(away_s):
    """Guards against a loop that goes on polling for the forgotten state."""

    async def main():
        world, _ = await leading_world([])
        worker = await add_worker(world)
        worker.crash()
        await asyncio.sleep(3.0)
        await world.unregister_worker(worker)
        await wait_for_event(world, "worker forgotten", worker)
        await asyncio.sleep(away_s)
        worker.up = True
        await world.register_worker(worker)
        return await started_in_time(world)

    assert run_virtual(main) == ({"a1"}, [])


def test_a_worker_that_comes_back_after_it_was_forgotten_does_not_end_the_term():
    """Guards against a first token that is lower than one the worker has seen."""

    async def main():
        world, term = await leading_world([])
        worker = await add_worker(world)
        state = term.cluster.workers[worker.worker_id]
        for _ in range(3):
            term.cluster.raise_token(state, state.token)
            term._after_event()
            await asyncio.sleep(0.5)
        for port in world.ports.values():
            port.unreachable.add(worker.worker_id)
        await world.unregister_worker(worker)
        await wait_for_event(world, "worker forgotten", worker)
        for port in world.ports.values():
            port.unreachable.clear()
        await world.register_worker(worker)
        await asyncio.sleep(2.0)
        leads = world.nodes[world.leader()]._term is term
        usable = term.cluster.workers[worker.worker_id].usable
        await world.end()
        return leads, usable

    assert run_virtual(main) == (True, True)


def test_a_worker_whose_record_was_rejected_is_used_after_a_restart():
    """Guards against a rejected entry that counts for all later ones of its id."""

    async def main():
        world, _ = await leading_world([])
        store, key = world.stores[world.leader()], "fw/worker/w9"
        write = store.txn

        async def reject_first_life(compares, operations, reads=None):
            first_life = "w9" in world.workers and world.workers["w9"].incarnation == 1
            if first_life and any(o.key == key for o in operations):
                raise BadRequest("the value is too large")
            return await write(compares, operations, reads)

        store.txn = reject_first_life
        worker = await add_worker(world)
        worker.crash()
        worker.up = True
        await world.register_worker(worker)
        return await started_in_time(world)

    assert run_virtual(main) == ({"a1"}, [])


def test_the_record_of_a_worker_that_moves_is_replaced_before_it_is_used():
    """Guards against a successor that polls a former address for a worker's runs."""

    async def main():
        world, term = await leading_world([])
        worker = await add_worker(world)
        state = term.cluster.workers["w9"]
        answered_at = state.last_answer_at
        for _ in range(1000):
            if state.last_answer_at > answered_at:
                break
            await asyncio.sleep(0.002)
        addresses = []
        start = world.ports[world.leader()].start

        async def note_record(entry, order):
            item = await world.operator.get("fw/worker/w9")
            record = records.decode(records.WorkerRecord, item.value)
            addresses.append((entry.address, record.entry.address))
            return await start(entry, order)

        world.ports[world.leader()].start = note_record
        worker.crash()
        worker.up = True
        worker.address = "w9:2"
        await world.register_worker(worker)
        assert await world.submit("n0", job_for_rack())
        await asyncio.sleep(MAX_IDLE_S)
        await world.end()
        return addresses, world.checker.violations

    addresses, violations = run_virtual(main)
    assert set(addresses) == {("w9:2", "w9:2")}
    assert violations == []


@pytest.mark.parametrize("clock_step_ms", [0, -5000], ids=["steady", "set back"])
@pytest.mark.parametrize("entry_first", [True, False])
def test_a_restarted_worker_is_used_by_its_new_entry(entry_first, clock_step_ms):
    """Guards against a worker that waits for an entry which has been read already."""

    async def main():
        world, term = await leading_world([])
        worker = await add_worker(world)
        port, poll = world.ports[world.leader()], world.ports[world.leader()].poll
        answered = asyncio.Event()

        async def poll_later(entry, *args):
            if entry.worker_id == "w9":
                await answered.wait()
            return await poll(entry, *args)

        worker.crash()
        worker.born_offset_ms = clock_step_ms
        worker.up = True
        if entry_first:
            port.poll = poll_later
            await world.register_worker(worker)
            await asyncio.sleep(1.0)
            answered.set()
        else:
            await asyncio.sleep(1.0)
            await world.register_worker(worker)
        return await started_in_time(world)

    assert run_virtual(main) == ({"a1"}, [])


def test_a_restarted_worker_of_the_same_kind_is_used_once_its_entry_is_read():
    """Guards against an entry that differs in nothing but its incarnation."""

    async def main():
        world, term = await leading_world([])
        worker = await add_worker(world)
        worker.crash()
        worker.up = True
        await wait_for_event(world, "worker restarted", worker)
        await asyncio.sleep(0.1)
        state = term.cluster.workers[worker.worker_id]
        before = state.usable
        await world.register_worker(worker)
        # The registry is read every 0.12 s, and a poll waits for a second.
        await asyncio.sleep(0.3)
        after = state.usable
        await world.end()
        return before, after

    assert run_virtual(main) == (False, True)
