"""Checks the rules of the queues under seeded sequences of faults.

Real nodes run in virtual time against fakes of the store, the workers and the
advice service. ``python -m tests.test_queue_world FIRST COUNT`` runs more seeds.
"""

import asyncio
import functools
import random
import sys
from collections import Counter
from dataclasses import replace

import pytest

from flamingoway.model import Resources
from flamingoway.queues.model import DesiredState, Step, StepJobSpec, StepJobState
from flamingoway.queues.runs import MAX_CALLS_IN_FLIGHT, MAX_CALLS_PER_WORKER
from tests.queue_world import CANCEL_GRACE_S, DESIRED, ENDED_ROWS, LEASE_S, World
from tests.virtual import run_virtual

# 60096: two overlapping faults started a node twice.
SEEDS = [*range(40), 60096]
UNEVEN_SEEDS = range(200, 215)
TRAFFIC_S = 20.0
# After a takeover, tasks of an unreachable worker wait up to 14 s.
SETTLE_S = 45.0


def random_job(rng, number):
    job_id = f"{rng.getrandbits(56):014x}{number:02x}"
    if rng.random() < 0.5:
        step = Step(rng.randint(1, 3), Resources(1400, 2000), 0.6)
        return StepJobSpec(job_id, "checks", "x", (step,))
    steps = [
        Step(
            rng.randint(1, 6),
            Resources(rng.choice([900, 3000, 4500]), 4000),
            1.0,
            gang=rng.random() < 0.4,
            checkpointing=rng.random() < 0.5,
        )
    ]
    if rng.random() < 0.4:
        steps.append(Step(rng.randint(1, 4), Resources(1000, 1000), 1.0, after=(0,)))
    return StepJobSpec(job_id, "plans", "x", tuple(steps))


async def traffic(world, rng):
    number = 0
    end = world.now + TRAFFIC_S
    pending = set()
    while world.now < end:
        await asyncio.sleep(rng.expovariate(3.0))
        job = random_job(rng, number)
        number += 1
        task = asyncio.create_task(submit_job(world, rng, job))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)


async def submit_job(world, rng, job):
    for _ in range(4):
        name = rng.choice(world.names)
        if await world.submit(name, job):
            break
        await asyncio.sleep(rng.uniform(0.2, 1.5))
    else:
        return
    if rng.random() < 0.1:
        await asyncio.sleep(rng.uniform(0, 1.5))
        await world.cancel(rng.choice(world.names), job.job_id)


FAULTS = {}


def fault(function):
    FAULTS[function.__name__] = function
    return function


@fault
async def kill_leader(world, rng):
    name = world.leader()
    await world.kill_node(name)
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    world.start_node(name)


@fault
async def kill_all(world, rng):
    for name in world.names:
        await world.kill_node(name)
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    for name in world.names:
        world.start_node(name)


@fault
async def freeze_leader(world, rng):
    name = world.leader()
    world.unfrozen[name].clear()
    world.stores[name].pause()
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    world.stores[name].resume()
    world.unfrozen[name].set()


@fault
async def cut_leader_from_store(world, rng):
    store = world.stores[world.leader()]
    store.down = True
    await asyncio.sleep(rng.uniform(1.0, 9.0))
    store.down = False


@fault
async def revoke_leader(world, rng):
    store = world.stores[world.leader()]
    store.down = True
    for lease in world.engine.lease_ids:
        if rng.random() < 0.5:
            world.engine.revoke(lease)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    store.down = False


@fault
async def store_down(world, rng):
    stores = list(world.stores.values())
    for store in stores:
        store.down = True
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    for store in stores:
        store.down = False


@fault
async def store_answers_lost(world, rng):
    for _ in range(12):
        store = world.stores[rng.choice(world.names)]
        if rng.random() < 0.5:
            store.drop_answers()
        else:
            store.apply_late(rng.uniform(1.0, 5.0))
        await asyncio.sleep(0.2)


@fault
async def history_lost(world, rng):
    for _ in range(3):
        world.engine.compact()
        for store in world.stores.values():
            store.break_watches()
        await asyncio.sleep(1.0)


@fault
async def watches_silent(world, rng):
    stores = list(world.stores.values())
    for store in stores:
        store.silent_watches = True
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    world.engine.compact()
    for store in stores:
        store.silent_watches = False
        store.break_watches()


@fault
async def orders_late(world, rng):
    for port in world.ports.values():
        port.late_share, port.lost_share = 0.05, 0.05
    await asyncio.sleep(5.0)
    for port in world.ports.values():
        port.late_share = port.lost_share = 0.0


@fault
async def worker_crash(world, rng):
    worker = rng.choice(list(world.workers.values()))
    worker.crash()
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    worker.up = True
    await world.register_worker(worker)


@fault
async def worker_restarts(world, rng):
    """Restart workers within the time in which a leader notices it."""
    for _ in range(4):
        worker = rng.choice([w for w in world.workers.values() if w.up])
        worker.crash()
        worker.up = True
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        await world.register_worker(worker)
        await asyncio.sleep(rng.uniform(0.0, 1.0))


@fault
async def worker_gone(world, rng):
    up = [w for w in world.workers.values() if w.up]
    if len(up) <= 4:
        return
    worker = rng.choice(up)
    worker.crash()
    await asyncio.sleep(4.5)
    await world.unregister_worker(worker)


@fault
async def worker_cut(world, rng):
    worker_id = rng.choice(list(world.workers))
    ports = [p for p in world.ports.values() if rng.random() < 0.7]
    for port in ports:
        port.unreachable.add(worker_id)
    unregistered = rng.random() < 0.5
    if unregistered:
        await world.unregister_worker(world.workers[worker_id])
    await asyncio.sleep(rng.uniform(1.0, 9.0))
    for port in ports:
        port.unreachable.discard(worker_id)
    if unregistered:
        await world.register_worker(world.workers[worker_id])


@fault
async def worker_drains(world, rng):
    worker = rng.choice(list(world.workers.values()))
    worker.draining = True
    await world.register_worker(worker)
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    worker.draining = False
    await world.register_worker(worker)


def run_history(seed, names, power_by_name=None):
    return run_virtual(functools.partial(simulate, seed, names, power_by_name))


async def simulate(seed, names, power_by_name):
    """Run one simulation; return the world in its final state.

    Args:
        seed: Seed of all random choices.
        names: Names of the faults, in the order in which they start.
        power_by_name: Processor time in cores by node name; 1.0 for nodes not named.
    """
    rng = random.Random(seed)
    world = World(seed)
    world.power_by_name = power_by_name or {}
    await world.begin()
    callers = asyncio.create_task(traffic(world, rng))
    faults = []
    for name in names:
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        world.faults_started = True
        faults.append(asyncio.create_task(FAULTS[name](world, rng)))
    await asyncio.gather(*faults, callers)
    for port in world.ports.values():
        port.unreachable.clear()
    end = world.now + SETTLE_S
    while world.now < end:
        if not await unfinished(world):
            break
        await asyncio.sleep(1.0)
    for job_id in sorted(await unfinished(world)):
        world.checker.fail("LOST", f"{job_id} did not end")
    world.checker.check_refusals()
    await world.end()
    return world


async def unfinished(world):
    left = set()
    for job_id in world.accepted:
        state = await world.show(world.names[0], job_id)
        if not isinstance(state, StepJobState) or not state.final:
            left.add(job_id)
    return left


def faults_of(seed):
    rng = random.Random(seed * 7919)
    return [rng.choice(sorted(FAULTS)) for _ in range(rng.randint(1, 5))]


def test_tasks_of_a_lost_worker_start_again_when_its_lease_has_expired():
    """Guards against failing polls that extend a lease without limit."""
    world = run_history(3, ["worker_gone", "worker_gone"])
    assert world.checker.violations == []
    lost = [line for line in world.lines if line[2] == "runs lost"]
    assert lost
    assert all(line[3]["heard_age_s"] < LEASE_S / 0.97 + 1.5 for line in lost)


def test_a_takeover_reads_the_jobs_that_its_watch_missed():
    """Guards against a new leader that stops runs of jobs its watch has missed."""
    for seed in range(4):
        world = run_history(seed, ["watches_silent", "cut_leader_from_store"] * 2)
        assert world.checker.violations == [], seed
        assert not [line for line in world.lines if line[2] == "orphan stopped"], seed


def test_ended_jobs_are_deleted_after_the_retention_period():
    """Guards against unbounded growth of the store."""

    async def main():
        world = World(1)
        # The time of day does not follow virtual time.
        world.retention_s = -1000.0
        await world.begin()
        job = random_job(random.Random(1), 1)
        await world.submit("n0", job)
        await asyncio.sleep(30.0)
        keys = [key for key in world.engine._keys if job.job_id.encode() in key]
        await world.end()
        return keys

    assert run_virtual(main) == []


def test_every_job_completes_without_faults():
    world = run_history(1, [])
    assert world.checker.violations == []
    assert world.checker.incomplete_gang_runs == 0
    assert len(world.accepted) > 30


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_the_rules_hold_under_each_fault(name):
    for seed in range(3):
        world = run_history(seed, [name, name])
        assert world.checker.violations == [], (name, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_rules_hold_in_a_random_history(seed):
    world = run_history(seed, faults_of(seed))
    assert world.checker.violations == [], faults_of(seed)


@pytest.mark.parametrize("seed", UNEVEN_SEEDS)
def test_the_rules_hold_when_one_process_has_more_processor_time(seed):
    """Guards against violations when a fault hits while the leadership is moving.

    A process with more processor time takes the leadership over from a smaller one.
    """
    world = run_history(seed, faults_of(seed), {"n2": 4.0})
    assert world.checker.violations == [], faults_of(seed)


def test_the_process_with_most_processor_time_regains_the_leadership():
    """Guards against a small process that leads although a larger one is up."""

    async def main():
        world = World(5)
        world.power_by_name = {"n1": 4.0}
        await world.begin()
        leaders = []
        for change in ("start", "kill", "back"):
            if change == "kill":
                await world.kill_node("n1")
            elif change == "back":
                world.start_node("n1")
            await asyncio.sleep(6.0)
            leaders.append(world.leader())
        await world.end()
        return leaders

    first, second, third = run_virtual(main)
    assert first == third == "n1"
    assert second != "n1"


def test_a_takeover_waits_for_runs_of_a_worker_that_restarted_before():
    """Guards against a second run while a restarted worker is out of reach."""

    async def main():
        world = World(1, failure_share=0.0)
        world.duration = lambda task_id: 30.0
        await world.begin()
        for worker in world.workers.values():
            worker.crash()
            worker.up = True
            await world.register_worker(worker)
        await asyncio.sleep(1.0)
        step = Step(3, Resources(1000, 1000), 1.0)
        job = StepJobSpec("a1", "checks", "x", (step,))
        assert await world.submit("n0", job)
        await asyncio.sleep(1.0)
        worker = next(w for w in world.workers.values() if w.runs)
        for port in world.ports.values():
            port.unreachable.add(worker.worker_id)
        await world.kill_node(world.leader())
        await asyncio.sleep(12.0)
        await world.end()
        return world

    world = run_virtual(main)
    assert world.checker.violations == []
    elections = [line for line in world.lines if line[2] == "leader elected"]
    assert len(elections) == 2


def observe_starts(world, observe):
    """Call ``observe`` with the task id of each start."""
    on_start = world.checker.on_start

    def on_observed_start(worker, run, order):
        observe(run.task_id)
        on_start(worker, run, order)

    world.checker.on_start = on_observed_start


def test_a_takeover_reads_all_ends_of_a_worker_before_it_starts_tasks_again():
    """Guards against a second run of done tasks after more than one page of ends."""
    starts = Counter()

    async def main():
        world = World(1, workers=1, failure_share=0.0)
        world.duration = lambda task_id: 4.0
        await world.begin()
        observe_starts(world, lambda task_id: starts.update([task_id]))
        step = Step(2 * ENDED_ROWS + 100, Resources(10, 10), 4.0)
        assert await world.submit("n0", StepJobSpec("a1", "checks", "x", (step,)))
        await asyncio.sleep(3.0)
        await world.kill_node(world.leader())
        await asyncio.sleep(15.0)
        state = await world.show(world.leader(), "a1")
        await world.end()
        return world, state

    world, state = run_virtual(main)
    assert set(starts.values()) == {1}
    assert state is StepJobState.COMPLETED
    assert world.checker.violations == []


@pytest.mark.parametrize("cancelled", [False, True], ids=["completed", "cancelled"])
def test_a_job_of_thousands_of_tasks_does_not_hold_up_the_others(cancelled):
    """Guards against a leader that one wide job deprives of its descriptors."""
    submitted_at, started_at = {}, {}

    async def main():
        world = World(1, workers=12, failure_share=0.0)
        world.duration = lambda task_id: 2.0
        await world.begin()

        def note_start(task_id):
            started_at.setdefault(task_id.partition(".")[0], world.now)

        observe_starts(world, note_start)
        wide = Step(3000, Resources(50, 50), 2.0)
        assert await world.submit("n0", StepJobSpec("a0", "checks", "x", (wide,)))
        narrow = Step(2, Resources(1400, 2000), 0.6)
        for number in range(4):
            job = StepJobSpec(f"b{number}", "checks", "x", (narrow,))
            submitted_at[job.job_id] = world.now
            assert await world.submit("n1", job)
            await asyncio.sleep(0.2)
        if cancelled:
            await world.cancel("n2", "a0")
            await asyncio.sleep(CANCEL_GRACE_S)
            assert not any(w.runs for w in world.workers.values())
        await asyncio.sleep(10.0)
        states = [await world.show("n0", job_id) for job_id in world.specs]
        await world.end()
        return world, states

    world, states = run_virtual(main)
    wide_state = StepJobState.CANCELLED if cancelled else StepJobState.COMPLETED
    assert states == [wide_state] + [StepJobState.COMPLETED] * 4
    assert max(started_at[job_id] - at for job_id, at in submitted_at.items()) < 1.0
    port = world.ports[world.leader()]
    assert port.most_to_one <= MAX_CALLS_PER_WORKER
    assert port.most <= MAX_CALLS_IN_FLIGHT
    assert world.checker.violations == []


def test_jobs_of_a_removed_queue_go_on_after_a_takeover():
    """Guards against an accepted job that a new leader fails or does not go on with."""
    removed = DesiredState(2, tuple(q for q in DESIRED.queues if q.name != "checks"))

    async def main():
        world = World(1, failure_share=0.0)
        world.duration = lambda task_id: 3.0
        await world.begin()
        first = Step(2, Resources(1000, 1000), 3.0)
        job = StepJobSpec("a1", "checks", "x", (first, replace(first, after=(0,))))
        assert await world.submit("n0", job)
        await asyncio.sleep(1.0)
        await world.configure(removed)
        await asyncio.sleep(1.0)
        world.failure_share = 1.0
        await world.kill_node(world.leader())
        await asyncio.sleep(8.0)
        world.failure_share = 0.0
        await asyncio.sleep(20.0)
        state = await world.show(world.leader(), "a1")
        await world.end()
        return world, state

    world, state = run_virtual(main)
    assert state is StepJobState.COMPLETED
    assert world.checker.violations == []


def test_equal_processes_do_not_move_the_leadership():
    world = run_history(2, [])
    elections = [line for line in world.lines if line[2] == "leader elected"]
    assert len(elections) == 1


def main(first, count):
    for seed in range(first, first + count):
        world = run_history(seed, faults_of(seed))
        if world.checker.violations:
            print(seed, faults_of(seed), *world.checker.violations, sep="\n  ")
    print(f"ran {count} histories from seed {first}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
