"""Guards against records of other writers that count as those of our workers."""

import asyncio
from dataclasses import replace

import pytest

from flamingoway.model import Resources
from flamingoway.queues.model import Step, StepJobSpec
from tests.queue_world import FakeWorker
from tests.test_queue_term import MAX_IDLE_S, leading_world
from tests.virtual import run_virtual

TASK_S = 4.0


class ForeignWorker(FakeWorker):
    """A registry entry of another writer; no worker of ours stands behind it."""

    def __init__(self, world, service):
        super().__init__(world, "w9", "r9")
        self.service = service
        self.up = False

    @property
    def entry(self):
        return replace(super().entry, service=self.service)


async def add_foreign_worker(world, service):
    worker = world.workers["w9"] = ForeignWorker(world, service)
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


def running(world):
    return {t for w in world.workers.values() for t in w.runs}


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
    """Guards against inherited jobs that stand still beside idle workers."""

    async def main():
        world, _ = await leading_world([])
        await add_foreign_worker(world, service)
        due_at = await submit_chain(world, "a1")
        await asyncio.sleep(1.0)
        await kill_leader(world)
        await asyncio.sleep(due_at + MAX_IDLE_S - world.now)
        found = running(world)
        await world.end()
        return found, world.checker.violations

    assert run_virtual(main) == ({"a1.0.1.0"}, [])
