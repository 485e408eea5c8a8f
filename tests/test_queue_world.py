"""Checks the rules of the queues under seeded sequences of faults.

Real nodes run in virtual time against fakes of the store, the workers and the
advice service. ``python -m tests.test_queue_world FIRST COUNT`` runs more seeds.
"""

import asyncio
import random
import sys
from collections import Counter
from dataclasses import dataclass, replace
from unittest import mock

import pytest

from flamingoway.errors import StoreOutcomeUnknown, StoreUnavailable
from flamingoway.model import Resources
from flamingoway.queues.model import (
    DesiredState,
    EndKind,
    RunOrder,
    StartReply,
    Step,
    StepJobSpec,
    StepJobState,
)
from flamingoway.queues.runs import MAX_CALLS_IN_FLIGHT, MAX_CALLS_PER_WORKER
from flamingoway.store import Compare, Delete, Put
from standins.memory import MemoryStore
from tests.queue_world import (
    BOUNDS,
    CANCEL_GRACE_S,
    DESIRED,
    ENDED_ROWS,
    LEASE_S,
    LONG_LEASE_BOUNDS,
    RESTORE_S,
    FakeWorker,
    World,
)
from tests.virtual import run_virtual

# 60096: two overlapping faults started a node twice.
SEEDS = [*range(40), 60096]
PLAIN_SEEDS = [*range(10), 60096]
UNEVEN_SEEDS = range(200, 215)
LONG_LEASE_SEEDS = range(300, 320)
NEWER_FAULT_SEEDS = range(400, 412)
LATEST_FAULT_SEEDS = range(600, 612)
TRAFFIC_S = 20.0
# After a takeover, tasks of an unreachable worker wait up to 14 s.
SETTLE_S = 45.0
MAX_CANCEL_ATTEMPTS = 40
CLOCK_OFFSET_S = 1_800_000_000.0


def random_job(rng, number):
    job_id = f"{rng.getrandbits(56):014x}{number:02x}"
    if rng.random() < 0.5:
        step = Step(rng.randint(1, 3), Resources(1400, 2000), 0.6)
        return StepJobSpec(job_id, "checks", f"payload of {job_id}", (step,))
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
    return StepJobSpec(job_id, "plans", f"payload of {job_id}", tuple(steps))


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """What the caller of a job does besides submitting it until it is accepted.

    Attributes:
        cancel_after_s: Time from the last submission to the cancellation; ``None`` for
            no cancellation.
        repeat_after_s: Time from the last submission to a repeated one, or ``None``.
        answer_lost: Whether the connection breaks before the submission is answered.
        long: Whether tasks of the job take many seconds.
        flaky: Whether many runs of the job fail.
    """

    cancel_after_s: float | None = None
    repeat_after_s: float | None = None
    answer_lost: bool = False
    long: bool = False
    flaky: bool = False


def random_plan(rng):
    roll = rng.random()
    cancel_after_s = None
    if roll < 0.15:
        cancel_after_s = rng.uniform(0.0, 0.3)
    elif roll < 0.25:
        cancel_after_s = rng.uniform(0.5, 6.0)
    repeated = rng.random() < 0.2
    repeat_after_s = rng.uniform(1.0, 6.0) if repeated else None
    answer_lost = rng.random() < 0.1
    long = cancel_after_s is not None and rng.random() < 0.7
    flaky = rng.random() < 0.15
    return CallerPlan(cancel_after_s, repeat_after_s, answer_lost, long, flaky)


def no_plan(rng):
    """Return the plan of a caller who only submits its job until it is accepted."""
    return CallerPlan()


async def traffic(world, rng, choose_plan):
    number = 0
    # Separate, so that jobs and faults do not depend on the plans.
    plans = random.Random(f"{world.seed} plans")
    end = world.now + TRAFFIC_S
    pending = set()
    while world.now < end:
        await asyncio.sleep(rng.expovariate(3.0))
        job = random_job(rng, number)
        number += 1
        plan = choose_plan(plans)
        task = asyncio.create_task(submit_job(world, rng, job, plan, plans))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)


async def submit_job(world, rng, job, plan, plans):
    if plan.long:
        world.long_jobs.add(job.job_id)
    if plan.flaky:
        world.flaky_jobs.add(job.job_id)
    if plan.answer_lost:
        name = plans.choice(world.names)
        lost = asyncio.create_task(world.submit_without_answer(name, job))
        await follow_plan(world, job, plan, plans)
        await lost
        return
    for _ in range(4):
        name = rng.choice(world.names)
        if await world.submit(name, job):
            break
        await asyncio.sleep(rng.uniform(0.2, 1.5))
    else:
        if job.job_id in world.unanswered:
            await cancel_until_acknowledged(world, job.job_id, plans)
        return
    if rng.random() < 0.1:
        await asyncio.sleep(rng.uniform(0, 1.5))
        await cancel_until_acknowledged(world, job.job_id, plans)
    await follow_plan(world, job, plan, plans)


async def follow_plan(world, job, plan, plans):
    """Cancel a job and submit it again at the planned times."""
    began = world.now
    actions = []
    if plan.cancel_after_s is not None:
        actions.append((plan.cancel_after_s, cancel_until_acknowledged))
    if plan.repeat_after_s is not None:
        actions.append((plan.repeat_after_s, submit_again))
    for after_s, act in sorted(actions, key=lambda action: action[0]):
        await asyncio.sleep(max(0.0, began + after_s - world.now))
        await act(world, job.job_id, plans)


async def cancel_until_acknowledged(world, job_id, plans):
    """Cancel a job, at other nodes until one has acknowledged it."""
    for _ in range(MAX_CANCEL_ATTEMPTS):
        if await world.cancel(plans.choice(world.names), job_id):
            return
        await asyncio.sleep(plans.uniform(0.2, 0.8))


async def submit_again(world, job_id, plans):
    await world.submit(plans.choice(world.names), world.specs[job_id])


FAULTS = {}


def fault(function):
    FAULTS[function.__name__] = function
    return function


@fault
async def kill_leader(world, rng):
    name = world.leader()
    with world.disruptions.during(name):
        await world.kill_node(name)
        await asyncio.sleep(rng.uniform(0.2, 3.0))
        world.start_node(name)


@fault
async def kill_all(world, rng):
    with world.disruptions.during(*world.names):
        for name in world.names:
            await world.kill_node(name)
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        for name in world.names:
            world.start_node(name)


@fault
async def freeze_leader(world, rng):
    name = world.leader()
    with world.disruptions.during(name):
        world.unfrozen[name].clear()
        world.stores[name].pause()
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        world.stores[name].resume()
        world.unfrozen[name].set()


@fault
async def cut_leader_from_store(world, rng):
    name = world.leader()
    store = world.stores[name]
    with world.disruptions.during(name):
        store.down = True
        await asyncio.sleep(rng.uniform(1.0, 9.0))
        store.down = False


@fault
async def revoke_leader(world, rng):
    name = world.leader()
    store = world.stores[name]
    with world.disruptions.during(name):
        store.down = True
        for lease in world.engine.lease_ids:
            if rng.random() < 0.5:
                world.engine.revoke(lease)
        world.disruptions.note("store")
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        store.down = False


@fault
async def store_down(world, rng):
    stores = list(world.stores.values())
    with world.disruptions.during("store"):
        for store in stores:
            store.down = True
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        for store in stores:
            store.down = False


@fault
async def store_answers_lost(world, rng):
    with world.disruptions.during("store"):
        for _ in range(12):
            store = world.stores[rng.choice(world.names)]
            if rng.random() < 0.5:
                store.drop_answers()
            else:
                store.apply_late(rng.uniform(1.0, 5.0))
            await asyncio.sleep(0.2)


@fault
async def history_lost(world, rng):
    with world.disruptions.during("store"):
        for _ in range(3):
            world.engine.compact()
            for store in world.stores.values():
                store.break_watches()
            await asyncio.sleep(1.0)


@fault
async def watches_silent(world, rng):
    stores = list(world.stores.values())
    with world.disruptions.during("store"):
        for store in stores:
            store.silent_watches = True
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        world.engine.compact()
        for store in stores:
            store.silent_watches = False
            store.break_watches()


@fault
async def orders_late(world, rng):
    with world.disruptions.during(*world.workers):
        for port in world.ports.values():
            port.late_share, port.lost_share = 0.05, 0.05
        await asyncio.sleep(5.0)
        for port in world.ports.values():
            port.late_share = port.lost_share = 0.0


@fault
async def worker_crash(world, rng):
    worker = rng.choice(list(world.workers.values()))
    with world.disruptions.during(worker.worker_id):
        worker.crash()
        await asyncio.sleep(rng.uniform(0.2, 4.0))
        worker.up = True
        await world.register_worker(worker)


@fault
async def worker_restarts(world, rng):
    """Restart workers within the time in which a leader notices it."""
    for _ in range(4):
        worker = rng.choice([w for w in world.workers.values() if w.up])
        with world.disruptions.during(worker.worker_id):
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
    with world.disruptions.during(worker.worker_id):
        worker.crash()
        await asyncio.sleep(4.5)
        await world.unregister_worker(worker)


@fault
async def worker_cut(world, rng):
    worker_id = rng.choice(list(world.workers))
    ports = [p for p in world.ports.values() if rng.random() < 0.7]
    with world.disruptions.during(worker_id):
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


# The seeds choose among these by their order.
SEEDED_FAULTS = sorted(FAULTS)


@fault
async def history_lost_in_silence(world, rng):
    """Drop the history after silent watches; only calls that wait then are cut."""
    stores = list(world.stores.values())
    with world.disruptions.during("store"):
        for _ in range(3):
            for store in stores:
                store.gaps_reported = False
                store.silent_watches = True
                store.watch_delay_s = rng.choice([0.0, 0.1, 0.4])
            await asyncio.sleep(rng.uniform(0.5, 2.5))
            world.engine.compact()
            for store in stores:
                store.silent_watches = False
                store.gaps_reported = True
                store.break_watches()
            await asyncio.sleep(rng.uniform(0.2, 0.6))
        for store in stores:
            store.watch_delay_s = 0.0


@fault
async def freeze_leader_with_answers(world, rng):
    """Freeze the leader, which reads old answers of its watches when it goes on."""
    name = world.leader()
    with world.disruptions.during(name):
        world.unfrozen[name].clear()
        world.stores[name].pause(hold_answers=True)
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        world.stores[name].resume()
        world.unfrozen[name].set()


@fault
async def orders_late_across_kills(world, rng):
    """Kill all nodes, so that no leader raises the fencing tokens of late orders."""
    ports = list(world.ports.values())
    with world.disruptions.during(*world.workers, *world.names):
        for port in ports:
            port.late_share = 0.5
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        for name in world.names:
            await world.kill_node(name)
        await asyncio.sleep(rng.uniform(1.0, 4.0))
        for name in world.names:
            world.start_node(name)


# Earlier seeds of newer faults choose among these.
NEWER_FAULTS = sorted(FAULTS)


@fault
async def worker_listed_again(world, rng):
    """Let workers expire from the registry and come back soon after, or still alive."""
    for _ in range(3):
        worker = rng.choice([w for w in world.workers.values() if w.up])
        ports = list(world.ports.values())
        with world.disruptions.during(worker.worker_id):
            crashes = rng.random() < 0.5
            if crashes:
                worker.crash()
            for port in ports:
                port.unreachable.add(worker.worker_id)
            await asyncio.sleep(rng.uniform(0.5, 4.5))
            await world.unregister_worker(worker)
            await asyncio.sleep(rng.uniform(0.0, 2.5))
            if rng.random() < 0.3:
                worker.address = f"{worker.worker_id}:{rng.randint(2, 9)}"
            worker.up = True
            for port in ports:
                port.unreachable.discard(worker.worker_id)
            await world.register_worker(worker)


@fault
async def foreign_entries(world, rng):
    """List workers of other writers, behind which nobody answers."""
    added = []
    for number in range(3):
        service = rng.choice(["planner", "elsewhere"])
        worker = FakeWorker(world, f"x{number}", "r0", service)
        worker.foreign, worker.up = True, False
        world.workers[worker.worker_id] = worker
        await world.register_worker(worker)
        added.append(worker)
        await asyncio.sleep(rng.uniform(0.0, 3.0))
    for worker in added:
        await world.unregister_worker(worker)


LATEST_FAULTS = sorted(FAULTS.keys() - set(NEWER_FAULTS))


def run_history(
    seed, names, power_by_name=None, bounds=BOUNDS, choose_plan=random_plan
):
    async def simulate_with_virtual_clock():
        now = asyncio.get_running_loop().time
        # Jobs record the time of day, which the order of starts depends on.
        with mock.patch("time.time", lambda: CLOCK_OFFSET_S + now()):
            return await simulate(seed, names, power_by_name, bounds, choose_plan)

    return run_virtual(simulate_with_virtual_clock)


async def simulate(seed, names, power_by_name, bounds, choose_plan):
    """Run one simulation; return the world in its final state.

    Args:
        seed: Seed of all random choices.
        names: Names of the faults, in the order in which they start.
        power_by_name: Processor time in cores by node name; 1.0 for nodes not named.
        bounds: Time limits of the platform.
        choose_plan: Returns the plan of the caller of a job, given a random generator.
    """
    rng = random.Random(seed)
    world = World(seed, bounds=bounds)
    world.power_by_name = power_by_name or {}
    await world.begin()
    callers = asyncio.create_task(traffic(world, rng, choose_plan))
    faults = []
    for name in names:
        await asyncio.sleep(rng.uniform(0.5, 5.0))
        faults.append(asyncio.create_task(FAULTS[name](world, rng)))
    await asyncio.gather(*faults, callers)
    for port in world.ports.values():
        port.unreachable.clear()
    end = world.now + SETTLE_S
    while world.now < end:
        if not await unfinished(world) and not running(world):
            break
        await asyncio.sleep(1.0)
    for job_id in sorted(await unfinished(world)):
        world.checker.fail("LOST", f"{job_id} did not end")
    world.checker.check_refusals()
    await world.end()
    return world


def running(world):
    """Return the number of runs on workers that are up."""
    return sum(len(w.runs) for w in world.workers.values() if w.up)


async def unfinished(world):
    left = set()
    # A job that was cancelled before it was stored may never be known.
    for job_id in sorted(world.accepted - world.cancelled_unknown):
        state = await world.show(world.names[0], job_id)
        if not isinstance(state, StepJobState) or not state.final:
            left.add(job_id)
    return left


def faults_of(seed):
    rng = random.Random(seed * 7919)
    return [rng.choice(SEEDED_FAULTS) for _ in range(rng.randint(1, 5))]


def newer_faults_of(seed):
    """Return faults of a seed, among them one that ``faults_of`` does not choose."""
    rng = random.Random(seed * 6007)
    names = [rng.choice(NEWER_FAULTS) for _ in range(rng.randint(0, 4))]
    newer = rng.choice(sorted(set(NEWER_FAULTS) - set(SEEDED_FAULTS)))
    names.insert(rng.randint(0, len(names)), newer)
    return names


def latest_faults_of(seed):
    """Return faults of a seed: workers that come back, or entries of other writers."""
    rng = random.Random(seed * 5003)
    names = [rng.choice(sorted(FAULTS)) for _ in range(rng.randint(1, 4))]
    names.insert(rng.randint(0, len(names)), rng.choice(LATEST_FAULTS))
    return names


def test_tasks_of_a_lost_worker_start_again_when_its_lease_has_expired():
    """Guards against failing polls that extend a lease without limit."""
    # Orders sent before a leader notices that a worker is silent extend its lease too.
    names = ["worker_gone", "worker_gone"]
    world = run_history(3, names, choose_plan=no_plan)
    assert world.checker.violations == []
    lost = [line for line in world.lines if line[2] == "runs lost"]
    assert lost
    assert all(line[3]["heard_age_s"] < LEASE_S / 0.97 + 1.5 for line in lost)


def test_a_takeover_reads_the_jobs_that_its_watch_missed():
    """Guards against a new leader that stops runs of jobs its watch has missed."""
    for seed in range(4):
        world = run_history(seed, ["watches_silent", "cut_leader_from_store"] * 2)
        assert world.checker.violations == [], seed
        stopped = [line for line in world.lines if line[2] == "orphan stopped"]
        assert not [
            line
            for line in stopped
            if line[0] < world.cancelled_at(line[3]["task"].partition(".")[0])
        ], seed


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


@pytest.mark.parametrize("seed", PLAIN_SEEDS)
def test_the_rules_hold_with_plain_callers(seed):
    world = run_history(seed, faults_of(seed), choose_plan=no_plan)
    assert world.checker.violations == [], faults_of(seed)


@pytest.mark.parametrize("seed", LONG_LEASE_SEEDS)
def test_the_rules_hold_with_long_leases(seed):
    world = run_history(seed, faults_of(seed), bounds=LONG_LEASE_BOUNDS)
    assert world.checker.violations == [], faults_of(seed)


@pytest.mark.parametrize("seed", NEWER_FAULT_SEEDS)
def test_the_rules_hold_under_newer_faults(seed):
    names = newer_faults_of(seed)
    world = run_history(seed, names, bounds=LONG_LEASE_BOUNDS)
    assert world.checker.violations == [], names


@pytest.mark.parametrize("seed", LATEST_FAULT_SEEDS)
def test_the_rules_hold_while_workers_come_back_and_others_write_entries(seed):
    names = latest_faults_of(seed)
    world = run_history(seed, names, bounds=LONG_LEASE_BOUNDS)
    assert world.checker.violations == [], names


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


HISTORIES = {
    "default": (faults_of, BOUNDS),
    "long-leases": (faults_of, LONG_LEASE_BOUNDS),
    "newer-faults": (newer_faults_of, LONG_LEASE_BOUNDS),
    "latest-faults": (latest_faults_of, LONG_LEASE_BOUNDS),
}


async def world_with_orders(bounds=BOUNDS):
    """Return a world without nodes, and a function that starts tasks on its workers.

    ``a1`` has a step of two tasks with checkpoints, ``b1`` a gang of two.
    """
    world = World(1, nodes=0, failure_share=0.0, bounds=bounds)
    await world.begin()
    step = Step(2, Resources(1000, 1000), 1.0, checkpointing=True)
    for job_id, spec in (("a1", step), ("b1", replace(step, gang=True))):
        world.specs[job_id] = StepJobSpec(job_id, "checks", f"of {job_id}", (spec,))

    def start(task_id, worker="w0", number=1, late=False, payload=None, checkpoint=""):
        if payload is None:
            payload = f"of {task_id.partition('.')[0]}"
        order = RunOrder(worker, task_id, number, payload, 10**6, 1, checkpoint)
        with world.ordering("n0", late):
            assert world.start(world.workers[worker], order) is StartReply.RUNNING
        # No node renews the lease.
        world.workers[worker].lease_timer.cancel()

    return world, start


def run_orders(act, bounds=BOUNDS):
    """Return the violations after ``act`` was given a world and started tasks."""

    async def main():
        world, start = await world_with_orders(bounds)
        world.duration = lambda task_id: 4 * BOUNDS.contact_s
        await act(world, start)
        await world.end()
        return world.checker.violations

    return run_virtual(main)


async def start_unsubmitted_job(world, start):
    start("c1.0.0.0")


async def start_unsubmitted_task(world, start):
    start("a1.0.0.2")


async def start_with_other_payload(world, start):
    start("a1.0.0.0", payload="of b1")


async def start_with_checkpoint_of_another_task(world, start):
    start("a1.0.0.0")
    await asyncio.sleep(1.0)
    start("a1.0.0.1", checkpoint=world.workers["w0"].runs["a1.0.0.0"].checkpoint)


async def start_gang_with_different_checkpoints(world, start):
    start("b1.0.0.0")
    start("b1.0.0.1")
    await asyncio.sleep(1.0)
    world.workers["w0"].stop("b1.0.0.0", 1, 1)
    await asyncio.sleep(1.0)
    start("b1.0.0.0", number=2, checkpoint=world.workers["w0"].ended[0].checkpoint)
    start("b1.0.0.1", number=2)


async def start_after_cancellation(world, start):
    world.cancelled["a1"] = world.now
    await asyncio.sleep(world.bounds.cancel_s + 0.1)
    start("a1.0.0.0")


async def go_on_after_cancellation(world, start):
    start("a1.0.0.0")
    world.cancelled["a1"] = world.now
    await asyncio.sleep(world.bounds.cancel_s + world.bounds.stop_s + 0.2)


async def go_on_after_late_start(world, start):
    world.cancelled["a1"] = world.now
    await asyncio.sleep(world.bounds.cancel_s + 0.1)
    start("a1.0.0.0", late=True)
    await asyncio.sleep(world.bounds.contact_s + world.bounds.stop_s + 0.2)


UNASKED_FORMS = [
    (start_unsubmitted_job, "belongs to no submitted job"),
    (start_unsubmitted_task, "belongs to no submitted job"),
    (start_with_other_payload, "with payload"),
    (start_with_checkpoint_of_another_task, "with checkpoint"),
    (start_gang_with_different_checkpoints, "others of its gang"),
    (start_after_cancellation, "after its cancellation was acknowledged with success"),
    (go_on_after_cancellation, "goes on at w0"),
    (go_on_after_late_start, "goes on at w0"),
]


@pytest.mark.parametrize("bounds", [BOUNDS, LONG_LEASE_BOUNDS])
@pytest.mark.parametrize(
    ("act", "words"), UNASKED_FORMS, ids=[act.__name__ for act, _ in UNASKED_FORMS]
)
def test_the_checker_reports_unasked_work(act, words, bounds):
    """Guards against histories that cannot show a violation."""
    (violation,) = run_orders(act, bounds)
    assert " UNASKED: " in violation and words in violation


LATE_FORMS = [start_after_cancellation, go_on_after_cancellation]


@pytest.mark.parametrize("act", LATE_FORMS)
def test_disruptions_elsewhere_do_not_excuse_unasked_work(act):
    async def act_beside_disruptions(world, start):
        with world.disruptions.during("w1", "n1"):
            await act(world, start)

    (violation,) = run_orders(act_beside_disruptions)
    assert " UNASKED: " in violation


@pytest.mark.parametrize(
    ("act", "subject"),
    [(act, subject) for act in LATE_FORMS for subject in ("store", "n0")]
    + [(go_on_after_cancellation, "w0")],
)
def test_a_disruption_excuses_unasked_work_only_until_some_time_after_it(act, subject):
    async def act_beside_disruption(world, start):
        with world.disruptions.during(subject):
            await act(world, start)
        assert world.checker.violations == []
        await asyncio.sleep(world.bounds.contact_s + 0.1)
        if act is start_after_cancellation:
            start("a1.0.0.1")
        await asyncio.sleep(world.bounds.cancel_s + world.bounds.stop_s + 0.2)

    assert run_orders(act_beside_disruption) != []


def test_work_that_stops_in_time_after_a_cancellation_is_not_reported():
    async def act(world, start):
        start("a1.0.0.0")
        world.cancelled["a1"] = world.now
        await asyncio.sleep(world.bounds.cancel_s - 0.1)
        start("a1.0.0.1")
        for index in range(2):
            world.workers["w0"].stop(f"a1.0.0.{index}", 1, 1)
        await asyncio.sleep(10.0)

    assert run_orders(act) == []


def test_late_starts_are_reported_only_if_they_go_on():
    async def act(world, start):
        world.cancelled["a1"] = world.now
        await asyncio.sleep(world.bounds.cancel_s + 0.1)
        start("a1.0.0.0", late=True)
        await asyncio.sleep(world.bounds.contact_s)
        world.workers["w0"].stop("a1.0.0.0", 1, 1)
        await asyncio.sleep(10.0)

    assert run_orders(act) == []


def test_a_task_that_was_stopped_resumes_from_its_checkpoint():
    async def act(world, start):
        worker = world.workers["w0"]
        start("a1.0.0.0")
        await asyncio.sleep(5.0)
        worker.stop("a1.0.0.0", 1, 1)
        await asyncio.sleep(1.0)
        start("a1.0.0.0", number=2, checkpoint=worker.ended[0].checkpoint)
        resumed_s = worker.runs["a1.0.0.0"].resumed_s
        assert resumed_s == pytest.approx(5.0 + world.bounds.stop_s)
        await asyncio.sleep(world.duration("a1.0.0.0") - resumed_s + RESTORE_S + 0.1)
        assert [row.kind for row in worker.ended] == [EndKind.STOPPED, EndKind.DONE]

    assert run_orders(act) == []


def test_a_node_that_runs_is_not_started_twice():
    async def main():
        world = World(1)
        await world.begin()
        task = world.tasks["n0"]
        world.start_node("n0")
        assert world.tasks["n0"] is task
        await world.end()

    run_virtual(main)


def test_a_late_order_is_carried_out_by_a_later_incarnation():
    async def main():
        world = World(1, nodes=1, failure_share=0.0)
        await world.begin()
        world.specs["a1"] = random_job(random.Random(1), 1)
        port, worker = world.ports["n0"], world.workers["w0"]
        port.late_share = 1.0
        payload = world.specs["a1"].payload
        order = RunOrder("w0", "a1.0.0.0", 1, payload, 10**6, 10**9)
        assert await port.start(worker.entry, order) is StartReply.UNKNOWN
        worker.crash()
        worker.up = True
        await asyncio.sleep(world.bounds.order_delay_s)
        rows = [*worker.runs, *(row.task_id for row in worker.ended)]
        await world.end()
        return rows

    assert run_virtual(main) == ["a1.0.0.0"]


def test_a_late_write_is_applied_only_if_its_condition_still_holds():
    async def main():
        store = MemoryStore(clock=asyncio.get_running_loop().time)
        absent = Compare("a", "mod_revision", 0)
        for _ in range(2):
            store.apply_late(2.0)
            with pytest.raises(StoreOutcomeUnknown):
                await store.txn([absent], [Put("a", b"late"), Put("b", b"late")])
            await store.txn([], [Put("a", b"first")])
            await asyncio.sleep(3.0)
            assert (await store.get("a")).value == b"first"
            assert await store.get("b") is None
            await store.txn([], [Delete("a")])
        store.apply_late(2.0)
        with pytest.raises(StoreOutcomeUnknown):
            await store.txn([absent], [Put("a", b"late")])
        assert await store.get("a") is None
        await asyncio.sleep(3.0)
        return (await store.get("a")).value

    assert run_virtual(main) == b"late"


@pytest.mark.parametrize("waiting", [True, False])
def test_a_silent_gap_cuts_only_the_watches_that_wait(waiting):
    async def main():
        store = MemoryStore(clock=asyncio.get_running_loop().time)
        store.gaps_reported, store.silent_watches = False, True
        await store.txn([], [Put("a", b"1")])
        changes = asyncio.create_task(store.changes("a", 0, 2.0))
        await asyncio.sleep(1.0 if waiting else 2.5)
        store.engine.compact()
        store.silent_watches = False
        store.break_watches()
        if waiting:
            with pytest.raises(StoreUnavailable):
                await changes
            return []
        skipped = await changes
        return (await store.changes("a", skipped.revision, 1.0)).events

    assert run_virtual(main) == []


def test_a_watch_that_is_held_returns_only_the_changes_known_before():
    async def main():
        store = MemoryStore(clock=asyncio.get_running_loop().time)
        changes = asyncio.create_task(store.changes("a", 0, 2.0))
        await asyncio.sleep(0.5)
        store.pause(hold_answers=True)
        other = MemoryStore(store.engine)
        await other.txn([], [Put("a", b"1")])
        await asyncio.sleep(1.0)
        await other.txn([], [Put("a", b"2")])
        assert not changes.done()
        store.resume()
        return [event.item.value for event in (await changes).events]

    assert run_virtual(main) == [b"1"]


def main(first, count, kind="default"):
    choose_faults, bounds = HISTORIES[kind]
    for seed in range(first, first + count):
        names = choose_faults(seed)
        world = run_history(seed, names, bounds=bounds)
        if world.checker.violations:
            print(seed, names, *world.checker.violations, sep="\n  ", flush=True)
    print(f"ran {count} histories of kind {kind} from seed {first}")


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), *sys.argv[3:])
