"""What went wrong for operators of similar systems, each brought about here.

Messages and entries that are not valid have tests of their own:
``test_invalid_records.py``, ``test_queue_faults.py`` and ``test_queue_fuzz.py``.
"""

import asyncio
import signal
from collections import Counter

import pytest

from flamingoway.model import Resources
from flamingoway.queues.model import (
    EndKind,
    StartReply,
    Step,
    StepJobSpec,
    StepJobState,
)
from flamingoway.store import Delete, Put
from standins.platform import config
from tests.platform_cell import JOB, SERVICE, call, complete, run_in_cell
from tests.queue_world import LEASE_S, World
from tests.virtual import run_virtual

SMALL = Step(1, Resources(1000, 1000), 1.0)


class Recorder:
    """Records the starts that workers carry out and the orders of each node."""

    def __init__(self, world):
        self.world = world
        self.started = Counter()
        self.ordered = []
        start = world.start

        def observe(worker, order):
            reply = start(worker, order)
            # A worker refuses the orders of a former leader.
            self.started[order.task_id] += reply is StartReply.RUNNING
            return reply

        world.start = observe
        for name, port in world.ports.items():
            self._record_orders(name, port)

    def _record_orders(self, name, port):
        start = port.start

        async def record(entry, order):
            self.ordered.append((self.world.now, name, order.task_id, order.number))
            return await start(entry, order)

        port.start = record


async def begin(duration_s=6.0):
    world = World(1, failure_share=0.0)
    await world.begin()
    world.duration = lambda task_id: duration_s
    return world, Recorder(world)


async def submit(world, count):
    names = [name for name in world.names if name != world.leader()]
    ids = [f"a{number}" for number in range(count)]
    for job_id in ids:
        await world.submit(names[0], StepJobSpec(job_id, "checks", "x", (SMALL,)))
    return ids


async def finish(world, ids):
    """Return the states shown for jobs, once all should have ended."""
    await asyncio.sleep(30.0)
    name = world.leader()
    states = [await world.show(name, job_id) for job_id in ids]
    await world.end()
    return states


@pytest.mark.parametrize("silent_s", [1.0, 0.6 * LEASE_S])
def test_a_worker_that_is_silent_for_a_while_keeps_its_work(silent_s):
    """Guards against work that is started again, or given up, for a late report."""

    async def main():
        world, recorder = await begin()
        ids = await submit(world, 12)
        await asyncio.sleep(1.0)
        busy = {w.worker_id for w in world.workers.values() if w.runs}
        for port in world.ports.values():
            port.unreachable |= busy
        await asyncio.sleep(silent_s)
        for port in world.ports.values():
            port.unreachable.clear()
        return await finish(world, ids), recorder.started, world.checker.violations

    states, started, violations = run_virtual(main)
    assert states == [StepJobState.COMPLETED] * 12
    assert set(started.values()) == {1} and len(started) == 12
    assert violations == []


def test_no_order_goes_out_twice_around_a_hand_over():
    """Guards against two processes that both act for a moment."""

    async def main():
        world, recorder = await begin(2.0)
        former = world.leader()
        ids = await submit(world, 6)
        world.stores[former].down = True
        for number in range(6, 30):
            names = [name for name in world.names if name != former]
            job = StepJobSpec(f"a{number}", "checks", "x", (SMALL,))
            ids.append(job.job_id)
            await world.submit(names[0], job)
            await asyncio.sleep(0.1)
        world.stores[former].down = False
        states = await finish(world, ids)
        return former, states, recorder, world.checker.violations

    former, states, recorder, violations = run_virtual(main)
    assert states == [StepJobState.COMPLETED] * 30
    assert set(recorder.started.values()) == {1}
    tasks = Counter(task for _, _, task, _ in recorder.ordered)
    assert set(tasks.values()) == {1}
    assert violations == []
    leaders = {name for _, name, _, _ in recorder.ordered}
    assert former in leaders and len(leaders) == 2


@pytest.mark.parametrize("paused_s", [1.5, 3.0, 6.0])
def test_a_leader_that_was_paused_starts_nothing_of_its_successor(paused_s):
    """Guards against orders under a leadership that ended during a pause."""

    async def main():
        world, recorder = await begin(2.0)
        former = world.leader()
        ids = await submit(world, 6)
        world.unfrozen[former].clear()
        world.stores[former].pause()
        others = [name for name in world.names if name != former]
        began = world.now
        number = 6
        while world.now - began < paused_s:
            job = StepJobSpec(f"a{number}", "checks", "x", (SMALL,))
            if await world.submit(others[0], job):
                ids.append(job.job_id)
            number += 1
            await asyncio.sleep(0.2)
        world.stores[former].resume()
        world.unfrozen[former].set()
        states = await finish(world, ids)
        return states, recorder.started, world.checker.violations

    states, started, violations = run_virtual(main)
    assert set(states) == {StepJobState.COMPLETED}
    assert set(started.values()) == {1}
    assert violations == []


def test_work_whose_answers_were_lost_runs_once_and_is_shown_as_done():
    """Guards against work that is run again, or denied, after a lost answer."""

    async def main():
        world, recorder = await begin(1.0)
        for store in world.stores.values():
            store.drop_answers(2)
        for port in world.ports.values():
            port.lost_share = 0.5
        ids = await submit(world, 20)
        await asyncio.sleep(10.0)
        for port in world.ports.values():
            port.lost_share = 0.0
        states = await finish(world, ids)
        return states, recorder.started, world

    states, started, world = run_virtual(main)
    assert states == [StepJobState.COMPLETED] * 20
    assert set(started.values()) == {1}
    assert world.checker.violations == [] and world.refused == set()


def test_an_end_that_is_reported_after_a_silence_is_not_run_again():
    """Guards against work that has run and is started again at its lease's end."""

    async def main():
        world, recorder = await begin(60.0)
        ids = await submit(world, 1)
        await asyncio.sleep(1.0)
        holder = next(w for w in world.workers.values() if w.runs)
        for port in world.ports.values():
            port.unreachable.add(holder.worker_id)
        run = next(iter(holder.runs.values()))
        holder.end(run, EndKind.DONE)
        await asyncio.sleep(0.6 * LEASE_S)
        for port in world.ports.values():
            port.unreachable.clear()
        return await finish(world, ids), recorder.started

    states, started = run_virtual(main)
    assert states == [StepJobState.COMPLETED]
    assert set(started.values()) == {1}


def test_after_a_restart_of_all_what_had_left_is_not_used_again(tmp_path):
    """Guards against a worker that left, or a queue that was removed, in use again."""

    async def play(cell):
        await complete(cell.entries[0], "00000000000000a0")
        left = cell.workers[0]
        await cell.operator.txn([], [Delete(f"servers/{left.worker_id}")])
        value = config(2, SERVICE, {"plans": "/p/"})
        await cell.operator.txn([], [Put("op/config", value)])
        await asyncio.sleep(1.0)
        before = len(left.starts)
        for entry in cell.entries:
            await entry.stop(signal.SIGKILL)
        for entry in cell.entries:
            await entry.start()
        for entry in cell.entries:
            await entry.ready_again()
        for number in range(4):
            await complete(cell.entries[number % 2], f"{0xB00 + number:016x}")
        assert len(left.starts) == before
        answer = await call("POST", "/s/00000000000000c0", cell.entries[0].front, JOB)
        assert answer.code == 404

    run_in_cell(tmp_path, play)
