"""Tests of how a leader's term ends."""

import asyncio
import gc

import pytest

from flamingoway.errors import StoreUnavailable
from flamingoway.model import Resources
from flamingoway.queues import records
from flamingoway.queues.model import EndKind, StartReply, Step, StepJobSpec
from flamingoway.queues.ports import PollRefused
from flamingoway.queues.runs import MAX_CALLS_PER_WORKER
from flamingoway.queues.table import TableJob
from flamingoway.queues.term import MAX_STORE_AGE_S, LeadershipLost, _Deletions
from tests.queue_world import (
    LATENCY_S,
    LEASE_S,
    LONG_LEASE_BOUNDS,
    FakeRun,
    FakeWorker,
    World,
)
from tests.virtual import run_virtual

# Longest time for which a job may have nothing running beside idle workers.
MAX_IDLE_S = 3.0
# Longest time for which a lasting task may be away from its last run on.
LASTING_GAP_S = 6.0 + MAX_IDLE_S


async def leading_world(errors):
    """Return a world and its leader's term; unhandled errors go to ``errors``."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context["message"]))
    world = World(1)
    await world.begin()
    return world, world.nodes[world.leader()]._term


def test_two_tasks_of_a_term_that_fail_together_leave_no_unread_exception():
    """Guards against asyncio's report of an exception that was never retrieved."""
    errors = []

    async def lose_leadership():
        raise LeadershipLost("replaced")

    async def fail():
        raise RuntimeError("second")

    async def main():
        world, term = await leading_world(errors)
        term._spawn(lose_leadership())
        term._spawn(lose_leadership())
        term._spawn(fail())
        await asyncio.sleep(1.0)
        await world.end()
        gc.collect()
        return [line for line in world.lines if "after the end" in line[2]]

    logged = run_virtual(main)
    assert errors == []
    assert [line[3]["why"] for line in logged] == ["RuntimeError('second')"]


def test_the_first_poll_of_a_restarted_worker_acknowledges_none_of_its_ends():
    """Guards against ends that a worker forgets before the leader has seen them."""
    acknowledgements = []

    async def main():
        world, term = await leading_world([])
        worker = next(iter(world.workers.values()))
        term.cluster.workers[worker.worker_id].acknowledged = 57
        acknowledge = worker.acknowledge

        def record(sequence):
            acknowledgements.append((worker.incarnation, sequence))
            acknowledge(sequence)

        worker.acknowledge = record
        await asyncio.sleep(3.0)
        worker.crash()
        await asyncio.sleep(3.0)
        worker.up = True
        await asyncio.sleep(3.0)
        await world.end()

    run_virtual(main)
    first_life = [sequence for life, sequence in acknowledgements if life == 1]
    second_life = [sequence for life, sequence in acknowledgements if life == 2]
    assert 57 in first_life
    assert second_life
    assert second_life[0] == 0


def hold_watches(store, prefix):
    """Hold the answers of a store to the watches of a prefix; return what ends that."""
    watch, released = store.changes, asyncio.Event()

    async def changes(watched, after, wait_s):
        if watched == prefix:
            await released.wait()
        return await watch(watched, after, wait_s)

    store.changes = changes
    return released


def test_nothing_starts_on_a_worker_whose_entry_may_have_changed():
    """Guards against a leader that uses an old copy of the registry."""

    async def main():
        world, term = await leading_world([])
        released = hold_watches(world.stores[world.leader()], "servers/")
        await asyncio.sleep(1.0)
        first, *others = world.workers.values()
        for worker in others:
            worker.draining = True
            await world.register_worker(worker)
        await asyncio.sleep(3.0)
        started = []
        world.checker.on_start = lambda worker, run, order: started.append(worker)
        step = Step(1, Resources(10, 10), 1.0)
        assert await world.submit("n0", StepJobSpec("a1", "checks", "x", (step,) * 6))
        await asyncio.sleep(1.0)
        before = [*started]
        released.set()
        await asyncio.sleep(2.0)
        await world.end()
        return before, {worker is first for worker in started}

    assert run_virtual(main) == ([], {True})


def test_nothing_starts_on_a_copy_of_the_jobs_that_is_as_old_as_a_cancellation_may_be():
    """Guards against a step that starts 3 s after its job was cancelled elsewhere."""

    async def main():
        world, term = await leading_world([])
        leader = world.leader()
        world.duration = lambda task_id: 4.6
        steps = (
            Step(1, Resources(10, 10), 1.0),
            Step(1, Resources(10, 10), 1.0, after=(0,)),
        )
        assert await world.submit(leader, StepJobSpec("a1", "checks", "x", steps))
        await asyncio.sleep(0.5)
        released = hold_watches(world.stores[leader], "fw/")
        await asyncio.sleep(1.0)
        other = next(name for name in world.names if name != leader)
        assert await world.cancel(other, "a1")
        started = []
        world.checker.on_start = lambda worker, run, order: started.append(run.task_id)
        await asyncio.sleep(3.6)
        running = term.cluster.jobs["a1"].steps[0, 1].ready
        released.set()
        await asyncio.sleep(1.0)
        leads = world.nodes[leader]._term is term
        await world.end()
        return running, started, leads

    assert run_virtual(main) == (True, [], True)


def test_a_new_leader_starts_no_job_cancelled_after_its_first_page_was_read():
    """Guards against a takeover whose pages take long and are no snapshot."""

    async def main():
        world, _ = await leading_world([])
        leader = world.leader()
        others = [name for name in world.names if name != leader]
        heir, caller = others
        for name in others[1:]:
            # Only the heir can be elected.
            world.nodes[name]._election._delay_s = lambda: 60.0
        step = Step(1, Resources(10, 10), 1.0)
        for worker in world.workers.values():
            worker.draining = True
            await world.register_worker(worker)
        await asyncio.sleep(0.5)
        assert await world.submit(caller, StepJobSpec("a1", "checks", "x", (step,)))
        store, read_begun = world.stores[heir], asyncio.Event()
        read = store.range

        async def read_slowly(prefix, *args):
            content = await read(prefix, *args)
            if prefix == "fw/" and world.nodes[heir]._term is not None:
                read_begun.set()
                await asyncio.sleep(2.9)
            return content

        store.range = read_slowly
        for worker in world.workers.values():
            worker.draining = False
            await world.register_worker(worker)
        await world.kill_node(leader)
        async with asyncio.timeout(10.0):
            await read_begun.wait()
        released = hold_watches(store, "fw/")
        assert await world.cancel(caller, "a1")
        started = []
        world.checker.on_start = lambda worker, run, order: started.append(run.task_id)
        await asyncio.sleep(4.0)
        leads = world.nodes[heir]._term is not None
        before = [*started]
        released.set()
        await asyncio.sleep(1.0)
        await world.end()
        return leads, before, started

    assert run_virtual(main) == (True, [], [])


def test_a_process_whose_watch_of_the_configuration_is_stuck_is_not_ready():
    """Guards against callers who are answered by an old configuration for long."""

    async def main():
        world, _ = await leading_world([])
        before = [world.nodes[name].ready for name in world.names]
        released = hold_watches(world.stores["n0"], "op/")
        await asyncio.sleep(6.0)
        held = [world.nodes[name].ready for name in world.names]
        released.set()
        await asyncio.sleep(3.0)
        after = [world.nodes[name].ready for name in world.names]
        await world.end()
        return before, held, after

    everyone = [True, True, True]
    assert run_virtual(main) == (everyone, [False, True, True], everyone)


def test_a_copy_from_before_an_outage_counts_only_until_the_store_answers():
    """Guards against starts by an undisturbed process on what it read before."""

    async def main():
        world, term = await leading_world([])
        term._store_age_s = lambda: 3.0
        without = term.may_start
        term._store._on_outage()
        await asyncio.sleep(0.0001)
        during = term.may_start
        await asyncio.sleep(0.3)
        after = term.may_start
        await world.end()
        return without, during, after

    assert run_virtual(main) == (False, True, False)


def test_a_worker_that_leaves_while_it_is_recorded_leaves_no_record():
    """Guards against a takeover that waits for the runs of a worker that has left."""

    async def main():
        world, _ = await leading_world([])
        leader = world.leader()
        store, key = world.stores[leader], "fw/worker/w9"
        write, held = store.txn, asyncio.Event()

        async def hold_record(compares, operations, reads=None):
            if any(o.key == key for o in operations) and not held.is_set():
                held.set()
                await asyncio.sleep(3.0)
            return await write(compares, operations, reads)

        store.txn = hold_record
        worker = world.workers["w9"] = FakeWorker(world, "w9", "r9")
        await world.register_worker(worker)
        async with asyncio.timeout(2.0):
            await held.wait()
        worker.up = False
        await world.unregister_worker(worker)
        await asyncio.sleep(6.0)
        known = "w9" in world.nodes[leader]._term.cluster.workers
        await world.end()
        return known, key.encode() in world.engine._keys

    assert run_virtual(main) == (False, False)


@pytest.mark.parametrize("leaves", [False, True], ids=["draining", "unlisted"])
def test_orders_that_wait_are_not_sent_to_a_worker_that_leaves(leaves):
    """Guards against starts that were decided before a worker began to drain."""

    async def main():
        world, _ = await leading_world([])
        port = world.ports[world.leader()]
        start, released, sent = port.start, asyncio.Event(), []

        async def hold_start(entry, order):
            sent.append(entry.worker_id)
            await released.wait()
            return await start(entry, order)

        port.start = hold_start
        step = Step(6 * MAX_CALLS_PER_WORKER, Resources(10, 10), 1.0, gang=True)
        assert await world.submit("n0", StepJobSpec("a1", "checks", "x", (step,)))
        await asyncio.sleep(1.0)
        before = set(sent)
        for worker_id in before:
            worker = world.workers[worker_id]
            worker.draining = True
            if leaves:
                await world.unregister_worker(worker)
            else:
                await world.register_worker(worker)
        await asyncio.sleep(1.0)
        sent.clear()
        released.set()
        await asyncio.sleep(1.0)
        await world.end()
        return before, set(sent)

    before, after = run_virtual(main)
    assert before
    assert not before & after


def test_orders_that_wait_are_not_sent_once_the_leader_may_not_act():
    """Guards against a leader that acts on a permission that ended while it waited."""

    async def main():
        world, term = await leading_world([])
        port = world.ports[world.leader()]
        start, released, sent = port.start, asyncio.Event(), []

        async def hold_start(entry, order):
            sent.append(order.task_id)
            await released.wait()
            return await start(entry, order)

        port.start = hold_start
        step = Step(6 * MAX_CALLS_PER_WORKER, Resources(10, 10), 1.0, gang=True)
        job = StepJobSpec("a1", "checks", "x", (step,))
        assert await world.submit("n0", job)
        await asyncio.sleep(1.0)
        sent_before = len(sent)
        world.stores[world.leader()].down = True
        await asyncio.sleep(MAX_STORE_AGE_S + 1.0)
        may_send_orders = term.may_send_orders
        released.set()
        await asyncio.sleep(1.0)
        await world.end()
        return sent_before, len(sent), may_send_orders

    sent_before, sent_after, may_send_orders = run_virtual(main)
    assert not may_send_orders
    assert 0 < sent_before == sent_after


def test_tasks_of_a_worker_that_refuses_all_polls_run_elsewhere():
    """Guards against tasks that wait for a worker that does not renew their leases."""

    async def main():
        world, term = await leading_world([])
        port = world.ports[world.leader()]
        poll = port.poll
        refusing = set()

        async def refuse(entry, *args):
            if entry.worker_id in refusing:
                await asyncio.sleep(LATENCY_S)
                raise PollRefused(StartReply.UNHEALTHY)
            return await poll(entry, *args)

        port.poll = refuse
        world.duration = lambda task_id: 2 * LEASE_S
        step = Step(1, Resources(1000, 1000), 1.0, lasting=True)
        await world.submit(world.leader(), StepJobSpec("a1", "checks", "x", (step,)))
        await asyncio.sleep(1.0)
        (run,) = (r for w in term.cluster.workers.values() for r in w.runs.values())
        refusing.add(run.worker.entry.worker_id)
        await asyncio.sleep(2 * LEASE_S)
        live = term.cluster.jobs["a1"].steps[0, 0].live
        await world.end()
        ids = [r.worker.entry.worker_id for r in (run, live[0])]
        return *ids, world.checker.violations

    first, second, violations = run_virtual(main)
    assert second != first
    assert violations == []


async def world_with_lost_worker(planned):
    """Return a world whose leader is gone, and when the next step is due.

    Before the leader, a worker was lost that runs another job's only task.
    """
    world, term = await leading_world([])
    world.failure_share = 0.0
    world.duration = lambda task_id: 60.0 if task_id.startswith("a1") else 4.0
    small = Step(1, Resources(1000, 1000), 1.0)
    after = Step(1, Resources(1000, 1000), 1.0, after=(0,))
    leader = world.leader()
    await world.submit(leader, StepJobSpec("a1", "checks", "x", (small,)))
    await asyncio.sleep(1.0)
    (run,) = (r for w in term.cluster.workers.values() for r in w.runs.values())
    lost = world.workers[run.worker.entry.worker_id]
    lost.draining = True
    await world.register_worker(lost)
    await asyncio.sleep(0.5)
    await world.submit(leader, StepJobSpec("b2", "checks", "x", (small, after)))
    due_at = world.now + 4.0
    await asyncio.sleep(1.0)
    for port in world.ports.values():
        port.unreachable.add(lost.worker_id)
    await world.unregister_worker(lost)
    await asyncio.sleep(2.0)
    if planned:
        await world.nodes[leader].stop()
    await world.kill_node(leader)
    return world, due_at


@pytest.mark.parametrize("planned", [True, False], ids=["planned", "killed"])
def test_inherited_jobs_do_not_wait_for_a_worker_lost_before_the_takeover(planned):
    """Guards against jobs that have nothing running beside idle workers."""

    async def main():
        world, due_at = await world_with_lost_worker(planned)
        await asyncio.sleep(due_at + MAX_IDLE_S - world.now)
        running = {t for w in world.workers.values() for t in w.runs}
        await world.end()
        return running, world.checker.violations

    running, violations = run_virtual(main)
    assert "b2.0.1.0" in running
    assert violations == []


@pytest.mark.parametrize("planned", [True, False], ids=["planned", "killed"])
def test_a_task_on_a_worker_lost_before_the_takeover_starts_after_its_lease(planned):
    """Guards against a second run of a task that a lost worker still runs."""

    async def main():
        world, _ = await world_with_lost_worker(planned)
        await asyncio.sleep(4 * LEASE_S)
        running = [t for w in world.workers.values() for t in w.runs]
        await world.end()
        return running, world.checker.violations

    running, violations = run_virtual(main)
    assert running.count("a1.0.0.0") == 1
    assert violations == []


async def world_with_orphan():
    """Return a world, its leader's term, and a silent worker with an orphan.

    The other run of the orphan's task has failed, so that the task has to start again.
    """
    world, term = await leading_world([])
    world.duration = lambda task_id: 10 * LEASE_S
    step = Step(1, Resources(1000, 1000), 1.0)
    await world.submit(world.leader(), StepJobSpec("a1", "checks", "x", (step,)))
    await asyncio.sleep(1.0)
    (run,) = (r for w in term.cluster.workers.values() for r in w.runs.values())
    holder = world.workers[run.worker.entry.worker_id]
    silent = next(w for w in world.workers.values() if w is not holder)
    port = world.ports[world.leader()]
    stop = port.stop

    async def lose_stops(entry, *args):
        return entry.worker_id != silent.worker_id and await stop(entry, *args)

    port.stop = lose_stops
    orphan = FakeRun(run.task_id, run.number + 1, step.resources, 10 * LEASE_S)
    silent.runs[run.task_id] = orphan
    silent.changed.set()
    await asyncio.sleep(2.0)
    assert term.cluster.workers[silent.worker_id].orphans
    port.unreachable.add(silent.worker_id)
    await asyncio.sleep(2.0)
    holder.end(holder.runs[run.task_id], EndKind.FAILED)
    return world, term, silent


def test_a_task_is_not_started_beside_its_orphan_on_an_unlisted_worker():
    """Guards against two runs of a task after a silent worker was forgotten."""

    async def main():
        world, term, silent = await world_with_orphan()
        await world.unregister_worker(silent)
        await asyncio.sleep(2 * LEASE_S)
        live = term.cluster.jobs["a1"].steps[0, 0].live
        await world.end()
        return len(live), world.checker.violations

    live, violations = run_virtual(main)
    assert violations == []
    assert live == 1


def test_a_task_starts_again_once_the_lease_of_its_orphan_has_expired():
    """Guards against a task that waits for a worker that stays listed but silent."""

    async def main():
        world, term, _ = await world_with_orphan()
        await asyncio.sleep(2 * LEASE_S)
        live = term.cluster.jobs["a1"].steps[0, 0].live
        await world.end()
        return len(live), world.checker.violations

    live, violations = run_virtual(main)
    assert violations == []
    assert live == 1


def test_a_worker_listed_again_before_its_record_is_deleted_stays_recorded():
    """Guards against a second run of a task that a takeover did not wait for."""

    async def main():
        world, _ = await leading_world([])
        world.failure_share = 0.0
        world.duration = lambda task_id: 60.0
        leader = world.leader()
        store, lost = world.stores[leader], [world.workers["w3"], world.workers["w4"]]
        lost_ids = {worker.worker_id for worker in lost}
        txn = store.txn

        async def refuse(*args):
            raise StoreUnavailable("too many writes")

        store.txn = refuse
        other = next(name for name in world.names if name != leader)
        small = Step(1, Resources(1000, 1000), 1.0)
        await world.submit(other, StepJobSpec("a1", "checks", "x", (small,)))
        await asyncio.sleep(0.5)
        for port in world.ports.values():
            port.unreachable |= lost_ids
        for worker in lost:
            await world.unregister_worker(worker)
        await asyncio.sleep(2.5)
        for port in world.ports.values():
            port.unreachable -= lost_ids
        for worker in lost:
            await world.register_worker(worker)
        await asyncio.sleep(0.5)
        store.txn = txn
        await asyncio.sleep(1.0)
        # More than fits on the other workers.
        wide = Step(80, Resources(1000, 1000), 1.0)
        await world.submit(leader, StepJobSpec("b2", "checks", "x", (wide,)))
        await asyncio.sleep(1.0)
        idle = [worker.worker_id for worker in lost if not worker.runs]
        for port in world.ports.values():
            port.unreachable |= lost_ids
        await world.kill_node(leader)
        await asyncio.sleep(LEASE_S)
        await world.end()
        return idle, world.checker.violations

    idle, violations = run_virtual(main)
    assert idle == []
    assert violations == []


def test_a_silent_worker_is_recorded_although_a_job_to_delete_has_changed():
    """Guards against a record that is taken for stored with an outdated deletion."""

    async def main():
        world, _ = await leading_world([])
        term = world.nodes[world.leader()]._term
        silent, outdated = world.workers["w3"].worker_id, []

        def take_deletions():
            if outdated or not term._workers_to_record():
                return take()
            outdated.append(TableJob("b1", record=b"x", revision=1))
            return _Deletions(jobs=tuple(outdated))

        take, term._take_deletions = term._take_deletions, take_deletions
        for port in world.ports.values():
            port.unreachable.add(silent)
        await asyncio.sleep(2.0)
        term._flush_needed.set()
        await asyncio.sleep(1.0)
        stored = await world.stores[world.leader()].get(records.WORKER_PREFIX + silent)
        await world.end()
        return len(outdated), records.decode(records.WorkerRecord, stored.value).tasks

    assert run_virtual(main) == (1, ())


def test_a_silent_worker_is_recorded_once():
    """Guards against a leader that writes the same record again with each flush."""

    async def main():
        world, _ = await leading_world([])
        for port in world.ports.values():
            port.unreachable.add("w3")
        await asyncio.sleep(3.0)
        recorded = [line for line in world.lines if line[2] == "silent worker recorded"]
        await world.end()
        return [line[3]["worker"] for line in recorded]

    assert run_virtual(main) == ["w3"]


@pytest.mark.parametrize("drains", [True, False], ids=["planned", "lost"])
def test_a_lasting_task_runs_again_soon_after_its_worker_has_left(drains):
    """Guards against a task that is away for over 9 s although workers are idle."""

    async def main():
        world = World(1, failure_share=0.0, bounds=LONG_LEASE_BOUNDS)
        await world.begin()
        world.duration = lambda task_id: 600.0
        step = Step(1, Resources(6000, 1000), 1.0, lasting=True)
        assert await world.submit("n0", StepJobSpec("a1", "checks", "x", (step,)))
        gaps = []
        for _ in range(5):
            await asyncio.sleep(3.0)
            (worker,) = (w for w in world.workers.values() if w.runs)
            if drains:
                worker.draining = True
                await world.register_worker(worker)
                await asyncio.sleep(2.5)
            worker.crash()
            left_at = world.now
            if drains:
                await world.unregister_worker(worker)
            for _ in range(1500):
                if any(w.runs for w in world.workers.values()):
                    break
                await asyncio.sleep(0.01)
            gaps.append(world.now - left_at)
        await world.end()
        return gaps, world.checker.violations

    gaps, violations = run_virtual(main)
    assert max(gaps) < LASTING_GAP_S
    assert violations == []
