"""Shard owner with fakes: the path of a job, takeover and failures."""

import asyncio

import msgspec
import pytest

from flamingoway import epochguard, feeds, predecessor
from flamingoway import owner as owner_module
from flamingoway.errors import Fenced, Refused
from flamingoway.messages import Depose
from flamingoway.status import Code
from tests.owner_bench import Cell, until

# Task lease of 15 s plus a tenth for clock drift.
SAFE_S = 16.5
HORIZON_S = 4200 * 1.1


@pytest.fixture(autouse=True)
def proof(monkeypatch):
    """Check workers often in real time; ``gone`` says whether predecessors are."""
    state = {"gone": True}

    async def is_gone(self, former):
        return state["gone"]

    monkeypatch.setattr(feeds, "WORKER_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(predecessor, "ASK_INTERVAL_S", 0.01)
    monkeypatch.setattr(predecessor.FormerOwners, "_is_deposed", is_gone)
    return state


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


async def rounds():
    """Let all tasks run for a while; used only where nothing may happen."""
    await asyncio.sleep(0.1)


def test_a_job_is_accepted_started_finished_and_acknowledged():
    async def scenario():
        cell = Cell()
        member = await (await cell.own()).ready()
        reply = await member.submit(run_ms=100)
        assert reply.code == Code.ACCEPTED
        worker = cell.network.workers["w1"]
        await until(lambda: worker.running)
        assert member.state() == "running"
        cell.clock.now += 1
        await until(lambda: member.state() == "succeeded")
        await until(lambda: not worker.finished)
        assert cell.network.starts() == [("w1", 1)]
        await member.end()

    run(scenario())


def test_a_new_owner_adopts_running_tasks_and_results():
    """Guards against a second run, or a lost result, after an owner was killed."""

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


def test_a_start_on_its_way_is_not_taken_for_a_lost_attempt():
    async def scenario():
        cell = Cell()
        member = await (await cell.own()).ready()
        cell.network.held.add("p1")
        await member.submit()
        await until(lambda: cell.network.delayed)
        cell.clock.now += 6
        await rounds()
        cell.network.held.clear()
        cell.network.deliver()
        await until(lambda: cell.network.starts() == [("w1", 1)])
        await member.end()

    run(scenario())


def test_a_start_lost_with_its_stream_is_made_again_with_a_new_attempt():
    async def scenario():
        cell = Cell()
        member = await (await cell.own()).ready()
        cell.network.held.add("p1")
        await member.submit()
        await until(lambda: cell.network.delayed)
        lost, cell.network.delayed = cell.network.delayed, []
        cell.network.held.clear()
        cell.network.cut.add(("p1", "w1"))
        await until(lambda: member.owner.status["workers"] == 0)
        cell.network.cut.clear()
        await until(lambda: cell.network.starts() == [("w1", 2)])
        cell.network.delayed = lost
        assert cell.network.deliver() == len(lost)
        await member.end()

    run(scenario())


def test_an_owner_paused_between_commit_and_start_starts_nothing_later():
    """The worker has attached to the new owner and refuses the old one."""

    async def scenario():
        cell = Cell()
        old = await (await cell.own("p1")).ready()
        cell.network.held.add("p1")
        await old.submit()
        await until(lambda: cell.network.delayed)
        late, cell.network.delayed = cell.network.delayed, []
        new = await (await cell.own("p2")).ready()
        await until(lambda: cell.network.starts() == [("w1", 2)])
        cell.network.delayed = late
        assert cell.network.deliver() == len(late)
        with pytest.raises(Fenced):
            await old.task
        assert cell.network.workers["w1"].running == [("j/0", 2)]
        await new.end()

    run(scenario())


@pytest.mark.parametrize(("gone", "wait_s"), [(True, 0), (False, HORIZON_S)])
def test_a_paused_owners_start_at_a_worker_cut_off_from_the_new_owner(
    proof, monkeypatch, gone, wait_s
):
    """Guards against two places at once; without proof the horizon must pass."""

    async def scenario():
        # The new owner's own horizon must not pass while the clock jumps.
        monkeypatch.setattr(epochguard, "CONFIRM_INTERVAL_S", 0.01)
        proof["gone"] = gone
        cell = Cell(("w1", "w2"))
        cell.network.cut.add(("p1", "w2"))
        old = await (await cell.own("p1")).ready()
        cell.network.held.add("p1")
        await old.submit()
        await until(lambda: cell.network.delayed)
        cell.network.cut.add(("p2", "w1"))
        new = await (await cell.own("p2")).ready()
        assert new.state() == "running"
        cell.clock.now += wait_s + SAFE_S - 0.1
        await rounds()
        assert cell.network.starts() == []
        cell.clock.now += 0.2
        await until(lambda: cell.network.starts() == [("w2", 2)])
        cell.network.deliver()
        assert cell.network.starts() == [("w2", 2)]
        await old.end()
        await new.end()

    run(scenario())


def test_two_owners_that_both_believe_never_run_a_task_twice(proof):
    """The old owner renews a worker that the new one cannot reach, until deposed."""

    async def scenario():
        proof["gone"] = False
        cell = Cell(("w1", "w2"))
        cell.network.cut.add(("p1", "w2"))
        old = await (await cell.own("p1")).ready()
        await old.submit()
        await until(lambda: cell.network.starts())
        cell.network.cut.add(("p2", "w1"))
        new = await (await cell.own("p2")).ready()
        for _ in range(10):
            cell.clock.now += 10
            await until(lambda: lease_of(cell, "w1") > cell.clock.now + 10)
        assert cell.network.starts() == [("w1", 1)]
        with pytest.raises(Refused) as refused:
            await old.submit("other")
        assert refused.value.code == Code.OWNER_CHANGED
        assert old.owner.ended and not old.service.owns("s")
        proof["gone"] = True
        await until(lambda: new.owner._former_owners.deposed_at is not None)
        cell.clock.now += SAFE_S - 0.1
        await rounds()
        assert len(cell.network.starts()) == 1
        cell.clock.now += 0.2
        await until(lambda: cell.network.starts()[1:] == [("w2", 2)])
        cell.network.workers["w1"].advance()
        assert cell.network.workers["w1"].running == []
        await new.end()

    run(scenario())


def test_a_deposed_owner_sends_nothing_more_and_says_so():
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
        cell.network.cut.add(("p1", "w2"))
        member = await (await cell.own()).ready()
        await member.submit()
        await until(lambda: cell.network.starts())
        await rounds()
        cell.network.cut = {("p1", "w1")}
        await until(lambda: not member.owner._fleet.sessions["w1"].stream)
        cell.clock.now += SAFE_S - 0.1
        await rounds()
        assert len(cell.network.starts()) == 1
        cell.clock.now += 0.2
        await until(lambda: cell.network.starts()[1:] == [("w2", 2)])
        cell.network.cut.clear()
        await until(lambda: member.owner.status["workers"] == 2)
        assert cell.network.workers["w1"].running == []
        await member.end()

    run(scenario())


def test_a_vanished_worker_with_an_orphan_attempt_holds_its_task_up_until_it_is_safe():
    """Guards against a second run, or none, of a task that an unlisted worker runs."""

    async def scenario():
        cell = Cell(("w1", "w2"))
        cell.network.cut.add(("p1", "w2"))
        member = await (await cell.own()).ready()
        await member.submit()
        await until(lambda: cell.network.starts())
        cell.feed.vms["w1"] = msgspec.structs.replace(
            cell.feed.vms["w1"], state="leaving"
        )
        session = member.owner._fleet.sessions["w1"]
        await until(lambda: not session.schedulable)
        # The owner gives the attempt up although the worker still runs it.
        scheduler = member.owner.scheduler
        scheduler.on_worker_lost("w1", cell.clock.now, 0.0)
        member.owner._controller.collect()
        cell.network.held.add("p1")
        cell.clock.now += 5
        await until(lambda: cell.network.delayed)
        del cell.feed.vms["w1"]
        cell.network.cut = {("p1", "w1")}
        cell.network.held.clear()
        cell.network.delayed.clear()
        cell.clock.now += SAFE_S - 5.1
        await rounds()
        assert len(cell.network.starts()) == 1
        cell.clock.now += 0.2
        await until(lambda: cell.network.starts()[1:] == [("w2", 2)])
        await member.end()

    run(scenario())


def no_workers(member):
    member.cell.feed.vms.clear()


def store_down(member):
    member.membership.store_up = False


def stopping(member):
    member.owner._controller.stopping = True


@pytest.mark.parametrize("state", [no_workers, store_down, stopping])
def test_an_owner_that_cannot_place_does_not_spin(state):
    """Guards against a loop without waiting, which used a whole core."""

    async def scenario():
        member = await Cell().own()
        if state is no_workers:
            state(member)
        await until(lambda: member.owner.ready)
        state(member)
        controller = member.owner._controller
        calls = []
        decide = controller.decide
        controller.decide = lambda: calls.append(decide())
        await rounds()
        # Checks of the workers wake the owner every 10 ms of these 100 ms.
        assert len(calls) < 50
        await member.end()

    run(scenario())


def test_the_store_is_down_for_an_hour():
    """Tasks go on, results wait on the worker, and new work is refused."""

    async def scenario():
        cell = Cell()
        member = await (await cell.own()).ready()
        await member.submit("service")
        await member.submit("batch", run_ms=600_000)
        await until(lambda: len(cell.network.starts()) == 2)
        member.store.down = True
        member.membership.store_up = False
        with pytest.raises(Refused) as refused:
            await member.submit("late")
        assert refused.value.code == Code.STORE_UNAVAILABLE
        await advance_with_renewals(cell, "service/0", 3600)
        worker = cell.network.workers["w1"]
        assert worker.running == [("service/0", 1)]
        assert worker.finished == [("batch/0", 1)]
        # Each of some 360 reports named the result; one acknowledgement waits.
        pending = member.owner._controller.committer.pending_effects()
        assert len(list(pending)) == 1
        member.store.down = False
        member.membership.store_up = True
        await until(lambda: worker.finished == [])
        assert member.state("batch") == "succeeded"
        assert (await member.submit("late")).code == Code.ACCEPTED
        assert len(cell.network.starts("service/0")) == 1
        await member.end()

    run(scenario())


def test_leases_are_not_renewed_beyond_the_horizon():
    """Guards against an owner that is replaced after the new one stopped waiting."""

    async def scenario():
        cell = Cell()
        member = await (await cell.own()).ready()
        await member.submit("t")
        await until(lambda: cell.network.starts())
        member.store.down = True
        await advance_with_renewals(cell, "t/0", 4190)
        cell.clock.now += 11
        await rounds()
        cell.clock.now += 15
        await until(lambda: not cell.network.workers["w1"].running)
        await member.end()

    run(scenario())


@pytest.mark.parametrize("fault", ["drop_answers", "drop_requests", "fail_next"])
def test_a_submission_survives_one_store_fault(fault):
    async def scenario():
        cell = Cell()
        member = await (await cell.own()).ready()
        getattr(member.store, fault)(1)
        assert (await member.submit()).code == Code.ACCEPTED
        assert (await member.submit()).code == Code.ALREADY_ACCEPTED
        other = await member.submit(request_digest="other")
        assert other.code == Code.KEY_REUSED
        await until(lambda: cell.network.starts() == [("w1", 1)])
        await member.end()

    run(scenario())


def test_an_unresolved_submission_says_so_and_keeps_its_job_id(monkeypatch):
    async def scenario():
        monkeypatch.setattr(owner_module, "WRITE_DEADLINE_S", 0.05)
        cell = Cell()
        member = await (await cell.own()).ready()
        member.store.pause()
        reply = await member.submit()
        assert (reply.code, reply.job_id) == (Code.WRITE_UNRESOLVED, "j")
        assert cell.network.starts() == []
        member.store.resume()
        await until(lambda: cell.network.starts())
        assert (await member.submit()).code == Code.ALREADY_ACCEPTED
        await member.end()

    run(scenario())


def test_a_planned_stop_commits_what_is_decided_and_releases_the_shard():
    async def scenario():
        cell = Cell()
        member = await (await cell.own("p1")).ready()
        submitting = asyncio.create_task(member.submit())
        await asyncio.sleep(0)
        await member.owner.stop()
        assert (await submitting).code == Code.ACCEPTED
        await member.task
        assert [owner.epoch for owner in member.membership.released] == [1]
        with pytest.raises(Refused):
            await member.submit("late")
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
