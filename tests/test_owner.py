"""Shard owner with fakes: life cycle of a job, takeover and failures."""

import asyncio

import msgspec
import pytest

from flamingoway import epochguard, feeds, predecessor
from flamingoway import owner as owner_module
from flamingoway.errors import Fenced, Refused
from flamingoway.messages import Depose
from flamingoway.status import Code
from tests.owner_bench import Cell, until

# Task lease of 15 s plus 10 % for clock drift.
LEASE_EXPIRY_S = 16.5
HORIZON_S = 4200 * 1.1


@pytest.fixture(autouse=True)
def deposition(monkeypatch):
    """Shorten intervals; ``deposed`` tells whether former owners are deposed."""
    state = {"deposed": True}

    async def is_deposed(self, former):
        return state["deposed"]

    monkeypatch.setattr(feeds, "WORKER_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(predecessor, "ASK_INTERVAL_S", 0.01)
    monkeypatch.setattr(predecessor.FormerOwners, "_is_deposed", is_deposed)
    return state


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


async def let_tasks_run():
    """Let all tasks run for 0.1 s, to check that something does not happen."""
    await asyncio.sleep(0.1)


def test_a_job_is_accepted_started_finished_and_acknowledged():
    async def scenario():
        cell = Cell()
        process = await (await cell.own()).ready()
        reply = await process.submit(run_ms=100)
        assert reply.code == Code.ACCEPTED
        worker = cell.network.workers["w1"]
        await until(lambda: worker.running)
        assert process.state() == "running"
        cell.clock.now += 1
        await until(lambda: process.state() == "succeeded")
        await until(lambda: not worker.finished)
        assert cell.network.starts() == [("w1", 1)]
        await process.end()

    run(scenario())


def test_a_new_owner_adopts_running_tasks_and_results():
    """Guards against a second run or a lost result after the owner is killed."""

    async def scenario():
        cell = Cell()
        first = await (await cell.own("p1")).ready()
        await first.submit("long")
        await first.submit("short", run_ms=100)
        await until(lambda: len(cell.network.workers["w1"].running) == 2)
        await first.end()
        cell.clock.now += 5
        second = await (await cell.own("p2")).ready()
        await until(lambda: second.state("short") == "succeeded")
        assert second.state("long") == "running"
        assert len(cell.network.starts()) == 2
        assert cell.network.workers["w1"].running == [("long/0", 1)]
        await second.end()

    run(scenario())


def test_an_undelivered_start_is_not_treated_as_a_lost_attempt():
    async def scenario():
        cell = Cell()
        process = await (await cell.own()).ready()
        cell.network.delayed_processes.add("p1")
        await process.submit()
        await until(lambda: cell.network.delayed_commands)
        cell.clock.now += 6
        await let_tasks_run()
        cell.network.delayed_processes.clear()
        cell.network.deliver()
        await until(lambda: cell.network.starts() == [("w1", 1)])
        await process.end()

    run(scenario())


def test_a_start_lost_with_its_stream_is_retried_as_a_new_attempt():
    async def scenario():
        cell = Cell()
        process = await (await cell.own()).ready()
        cell.network.delayed_processes.add("p1")
        await process.submit()
        await until(lambda: cell.network.delayed_commands)
        lost, cell.network.delayed_commands = cell.network.delayed_commands, []
        cell.network.delayed_processes.clear()
        cell.network.disconnected.add(("p1", "w1"))
        await until(lambda: process.owner.status["workers"] == 0)
        cell.network.disconnected.clear()
        await until(lambda: cell.network.starts() == [("w1", 2)])
        cell.network.delayed_commands = lost
        assert cell.network.deliver() == len(lost)
        await process.end()

    run(scenario())


def test_an_owner_paused_between_commit_and_start_starts_nothing_later():
    """Guards against a second start: the worker has attached to the new owner."""

    async def scenario():
        cell = Cell()
        old = await (await cell.own("p1")).ready()
        cell.network.delayed_processes.add("p1")
        await old.submit()
        await until(lambda: cell.network.delayed_commands)
        late, cell.network.delayed_commands = cell.network.delayed_commands, []
        new = await (await cell.own("p2")).ready()
        await until(lambda: cell.network.starts() == [("w1", 2)])
        cell.network.delayed_commands = late
        assert cell.network.deliver() == len(late)
        with pytest.raises(Fenced):
            await old.task
        assert cell.network.workers["w1"].running == [("j/0", 2)]
        await new.end()

    run(scenario())


@pytest.mark.parametrize(("deposed", "wait_s"), [(True, 0), (False, HORIZON_S)])
def test_a_paused_owners_start_at_a_worker_cut_off_from_the_new_owner(
    deposition, monkeypatch, deposed, wait_s
):
    """Guards against a task that runs on two workers at once.

    While the former owner is not known to be deposed, the new one waits until the
    lease horizon has passed.
    """

    async def scenario():
        # Confirms the new owner's epoch soon after the jump of the clock, so that its
        # own lease horizon does not pass.
        monkeypatch.setattr(epochguard, "CONFIRM_INTERVAL_S", 0.01)
        deposition["deposed"] = deposed
        cell = Cell(("w1", "w2"))
        cell.network.disconnected.add(("p1", "w2"))
        old = await (await cell.own("p1")).ready()
        cell.network.delayed_processes.add("p1")
        await old.submit()
        await until(lambda: cell.network.delayed_commands)
        cell.network.disconnected.add(("p2", "w1"))
        new = await (await cell.own("p2")).ready()
        assert new.state() == "running"
        cell.clock.now += wait_s + LEASE_EXPIRY_S - 0.1
        await let_tasks_run()
        assert cell.network.starts() == []
        cell.clock.now += 0.2
        await until(lambda: cell.network.starts() == [("w2", 2)])
        cell.network.deliver()
        assert cell.network.starts() == [("w2", 2)]
        await old.end()
        await new.end()

    run(scenario())


def test_two_concurrent_owners_never_run_a_task_twice(deposition):
    """Guards against a second start while the old owner still renews leases.

    The new owner cannot reach the worker, so it waits until the old one is deposed
    and the last lease has expired.
    """

    async def scenario():
        deposition["deposed"] = False
        cell = Cell(("w1", "w2"))
        cell.network.disconnected.add(("p1", "w2"))
        old = await (await cell.own("p1")).ready()
        await old.submit()
        await until(lambda: cell.network.starts())
        cell.network.disconnected.add(("p2", "w1"))
        new = await (await cell.own("p2")).ready()
        for _ in range(10):
            cell.clock.now += 10
            await until(lambda: lease_of(cell, "w1") > cell.clock.now + 10)
        assert cell.network.starts() == [("w1", 1)]
        with pytest.raises(Refused) as refused:
            await old.submit("other")
        assert refused.value.code == Code.OWNER_CHANGED
        assert old.owner.ended and not old.service.owns("s")
        deposition["deposed"] = True
        await until(lambda: new.owner._former_owners.deposed_at is not None)
        cell.clock.now += LEASE_EXPIRY_S - 0.1
        await let_tasks_run()
        assert len(cell.network.starts()) == 1
        cell.clock.now += 0.2
        await until(lambda: cell.network.starts()[1:] == [("w2", 2)])
        cell.network.workers["w1"].advance()
        assert cell.network.workers["w1"].running == []
        await new.end()

    run(scenario())


def test_a_deposed_owner_stops_and_confirms_it():
    async def scenario():
        cell = Cell()
        old = await (await cell.own("p1")).ready()
        assert (await old.service.depose(Depose("s", 1))).dropped
        assert old.owner.ready
        reply = await old.service.depose(Depose("s", 2))
        assert reply.dropped and not old.service.owns("s")
        await old.task
        with pytest.raises(Refused):
            await old.submit()

    run(scenario())


def test_a_worker_out_of_reach_keeps_its_tasks_until_their_leases_have_ended():
    async def scenario():
        cell = Cell(("w1", "w2"))
        cell.network.disconnected.add(("p1", "w2"))
        process = await (await cell.own()).ready()
        await process.submit()
        await until(lambda: cell.network.starts())
        await let_tasks_run()
        cell.network.disconnected = {("p1", "w1")}
        await until(lambda: not process.owner._fleet.sessions["w1"].stream)
        cell.clock.now += LEASE_EXPIRY_S - 0.1
        await let_tasks_run()
        assert len(cell.network.starts()) == 1
        cell.clock.now += 0.2
        await until(lambda: cell.network.starts()[1:] == [("w2", 2)])
        cell.network.disconnected.clear()
        await until(lambda: process.owner.status["workers"] == 2)
        assert cell.network.workers["w1"].running == []
        await process.end()

    run(scenario())


def test_an_orphan_attempt_on_an_unlisted_worker_delays_its_task_until_lease_expiry():
    """Guards against a second run, or none, of a task on a worker off the VM list.

    The owner has given the attempt up, but the worker still runs it: the next attempt
    starts only when the lease must have expired.
    """

    async def scenario():
        cell = Cell(("w1", "w2"))
        cell.network.disconnected.add(("p1", "w2"))
        process = await (await cell.own()).ready()
        await process.submit()
        await until(lambda: cell.network.starts())
        cell.feed.vms["w1"] = msgspec.structs.replace(
            cell.feed.vms["w1"], state="leaving"
        )
        session = process.owner._fleet.sessions["w1"]
        await until(lambda: not session.schedulable)
        # The owner gives the attempt up; the worker still runs it as an orphan.
        scheduler = process.owner.scheduler
        scheduler.on_worker_lost("w1", cell.clock.now, 0.0)
        process.owner._controller.collect()
        cell.network.delayed_processes.add("p1")
        cell.clock.now += 5
        await until(lambda: cell.network.delayed_commands)
        del cell.feed.vms["w1"]
        cell.network.disconnected = {("p1", "w1")}
        cell.network.delayed_processes.clear()
        cell.network.delayed_commands.clear()
        cell.clock.now += LEASE_EXPIRY_S - 5.1
        await let_tasks_run()
        assert len(cell.network.starts()) == 1
        cell.clock.now += 0.2
        await until(lambda: cell.network.starts()[1:] == [("w2", 2)])
        await process.end()

    run(scenario())


def no_workers(process):
    process.cell.feed.vms.clear()


def store_down(process):
    process.membership.store_up = False


def stopping(process):
    process.owner._controller.stopping = True


@pytest.mark.parametrize("state", [no_workers, store_down, stopping])
def test_an_owner_that_cannot_place_does_not_spin(state):
    """Guards against a busy loop, which used a whole core."""

    async def scenario():
        process = await Cell().own()
        if state is no_workers:
            state(process)
        await until(lambda: process.owner.ready)
        state(process)
        controller = process.owner._controller
        calls = []
        decide = controller.decide
        controller.decide = lambda: calls.append(decide())
        await let_tasks_run()
        # The check of the workers wakes the owner every 10 ms, for 100 ms.
        assert len(calls) < 50
        await process.end()

    run(scenario())


def test_the_store_is_down_for_an_hour():
    """Guards against stopped tasks, lost results and jobs accepted unsaved."""

    async def scenario():
        cell = Cell()
        process = await (await cell.own()).ready()
        await process.submit("service")
        await process.submit("batch", run_ms=600_000)
        await until(lambda: len(cell.network.starts()) == 2)
        process.store.down = True
        process.membership.store_up = False
        with pytest.raises(Refused) as refused:
            await process.submit("late")
        assert refused.value.code == Code.STORE_UNAVAILABLE
        await advance_with_renewals(cell, "service/0", 3600)
        worker = cell.network.workers["w1"]
        assert worker.running == [("service/0", 1)]
        assert worker.finished == [("batch/0", 1)]
        # About 360 reports contained the result, but only one acknowledgement waits.
        pending = process.owner._controller.committer.pending_effects()
        assert len(list(pending)) == 1
        process.store.down = False
        process.membership.store_up = True
        await until(lambda: worker.finished == [])
        assert process.state("batch") == "succeeded"
        assert (await process.submit("late")).code == Code.ACCEPTED
        assert len(cell.network.starts("service/0")) == 1
        await process.end()

    run(scenario())


def test_leases_are_not_renewed_beyond_the_horizon():
    """Guards against renewals by an old owner whose successor has stopped waiting."""

    async def scenario():
        cell = Cell()
        process = await (await cell.own()).ready()
        await process.submit("t")
        await until(lambda: cell.network.starts())
        process.store.down = True
        await advance_with_renewals(cell, "t/0", 4190)
        cell.clock.now += 11
        await let_tasks_run()
        cell.clock.now += 15
        await until(lambda: not cell.network.workers["w1"].running)
        await process.end()

    run(scenario())


@pytest.mark.parametrize("fault", ["drop_answers", "drop_requests", "fail_next"])
def test_a_submission_survives_one_store_fault(fault):
    async def scenario():
        cell = Cell()
        process = await (await cell.own()).ready()
        getattr(process.store, fault)(1)
        assert (await process.submit()).code == Code.ACCEPTED
        assert (await process.submit()).code == Code.ALREADY_ACCEPTED
        other = await process.submit(request_digest="other")
        assert other.code == Code.KEY_REUSED
        await until(lambda: cell.network.starts() == [("w1", 1)])
        await process.end()

    run(scenario())


def test_an_unresolved_submission_is_reported_with_its_job_id(monkeypatch):
    async def scenario():
        monkeypatch.setattr(owner_module, "WRITE_DEADLINE_S", 0.05)
        cell = Cell()
        process = await (await cell.own()).ready()
        process.store.pause()
        reply = await process.submit()
        assert (reply.code, reply.job_id) == (Code.WRITE_UNRESOLVED, "j")
        assert cell.network.starts() == []
        process.store.resume()
        await until(lambda: cell.network.starts())
        assert (await process.submit()).code == Code.ALREADY_ACCEPTED
        await process.end()

    run(scenario())


def test_a_planned_stop_commits_pending_batches_and_releases_the_shard():
    async def scenario():
        cell = Cell()
        process = await (await cell.own("p1")).ready()
        submitting = asyncio.create_task(process.submit())
        await asyncio.sleep(0)
        await process.owner.stop()
        assert (await submitting).code == Code.ACCEPTED
        await process.task
        assert [owner.epoch for owner in process.membership.released] == [1]
        with pytest.raises(Refused):
            await process.submit("late")
        second = await (await cell.own("p2")).ready()
        assert second.state("late") is None
        await until(lambda: cell.network.starts() == [("w1", 1)])
        await second.end()

    run(scenario())


def lease_of(cell, worker_id, task_id="j/0"):
    """Return the end of a running task's lease on the worker's clock."""
    return cell.network.workers[worker_id]._running[task_id].lease_until


async def advance_with_renewals(cell, task_id, seconds, step_s=10):
    """Let time pass in steps, each ended by a renewed lease of the task."""
    for _ in range(int(seconds / step_s)):
        cell.clock.now += step_s
        await until(lambda: lease_of(cell, "w1", task_id) > cell.clock.now + step_s)
