"""Nothing runs unasked: cancellations, submissions and pauses that race."""

import asyncio
import random

import pytest

from flamingoway import epochguard, feeds, predecessor
from flamingoway import owner as owner_module
from flamingoway.core import retention
from flamingoway.core.ledger import Ledger
from flamingoway.core.scheduler import Scheduler
from flamingoway.core.withdrawals import (
    MAX_PER_MEMBER,
    RETENTION_S,
    Withdrawal,
    Withdrawals,
)
from flamingoway.document import Document, DocumentVersion, ServiceKind
from flamingoway.errors import Fenced, FlamingowayError, OutcomeUnknown, Refused
from flamingoway.follower import ActiveDocument
from flamingoway.jobs import job_id_of
from flamingoway.messages import CancelJob, ExplainJob, GetJob, ListJobs, SubmitJob
from flamingoway.model import JobSpec, Policy, Resources, TaskState, WorkerInfo
from flamingoway.proto import etcd_pb2 as pb
from flamingoway.status import Code
from flamingoway.store.etcd import _to_batches
from flamingoway.store.keys import Keys
from flamingoway.worker import ReportReceived, from_report
from tests.owner_bench import Cell, make_context, until
from tests.test_jobs import ACTIVE
from tests.test_jobs import run as run_remote

LEASE_S = 15.0
SESSION_TTL_S = 4.0
# With 10 % for clock drift.
LEASE_EXPIRY_S = 16.5


@pytest.fixture(autouse=True)
def short_intervals(monkeypatch):
    async def is_deposed(self, former):
        return True

    monkeypatch.setattr(feeds, "WORKER_CHECK_INTERVAL_S", 0.01)
    monkeypatch.setattr(predecessor, "ASK_INTERVAL_S", 0.01)
    monkeypatch.setattr(predecessor.FormerOwners, "_is_deposed", is_deposed)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


async def let_tasks_run():
    await asyncio.sleep(0.1)


def submission(job_id="j", member="m"):
    return SubmitJob("s", "e", member, job_id, "k", 1, False, b"{}", "d")


async def cancel(process, job_id="j", member="m"):
    """Cancel a job at its owner; return the code of the answer."""
    try:
        reply = await process.service.handle(CancelJob("s", "e", member, job_id))
    except FlamingowayError as exc:
        return exc.code
    return Code(reply.code)


async def submit(process, job_id="j", member="m"):
    reply = await process.service.handle(submission(job_id, member))
    return Code(reply.code)


async def same_owner(cell, process):
    return process


async def new_owner(cell, process):
    await process.end()
    return await (await cell.own("p2")).ready()


async def new_owner_with_snapshot(cell, process):
    parts = process.owner.scheduler.ledger.snapshot()
    process = await new_owner(cell, process)
    restored = Ledger.restore(parts).withdrawals
    assert list(restored) == list(process.owner.scheduler.ledger.withdrawals)
    return process


@pytest.mark.parametrize("change", [same_owner, new_owner, new_owner_with_snapshot])
def test_a_submission_that_arrives_after_its_cancellation_does_not_run(change):
    """Guards against a start after a cancellation that found no job."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        assert await cancel(process) == Code.NOT_FOUND
        assert await cancel(process) == Code.NOT_FOUND
        process = await change(cell, process)
        assert await submit(process) == Code.CANCELLED_BEFORE
        assert Code.CANCELLED_BEFORE.ran == "no"
        await let_tasks_run()
        assert cell.network.starts() == []
        assert await submit(process, "other") == Code.ACCEPTED
        await process.end()

    run(scenario())


def test_a_cancellation_decides_an_unresolved_submission(monkeypatch):
    """Guards against "no such job" for a submission that is still on its way."""

    async def scenario(remote):
        call, held = remote.peers.call, []

        async def hold(address, request, timeout_s, reply):
            if isinstance(request, SubmitJob):
                held.append(request)
                raise OutcomeUnknown("no reply")
            return await call(address, request, timeout_s, reply)

        monkeypatch.setattr(remote.peers, "call", hold)
        reply = await remote.submit()
        assert reply.code == Code.WRITE_UNRESOLVED
        assert reply.job_id == job_id_of("e", "m", "key")
        with pytest.raises(FlamingowayError) as answer:
            await remote.router.cancel("e", "m", reply.job_id)
        assert answer.value.code == Code.NOT_FOUND
        late = await remote.process.service.handle(held[0])
        assert late.code == Code.CANCELLED_BEFORE
        await let_tasks_run()
        assert remote.cell.network.starts() == []

    run_remote(scenario)


def test_a_submission_whose_write_is_late_is_decided_by_the_new_owner():
    """Guards against a write of a former owner that is applied after a cancellation."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        old = await (await cell.own("p1")).ready()
        old.store.apply_late(0.2)
        submitting = asyncio.create_task(submit(old))
        await until(lambda: old.store.calls["txn"] >= 2)
        old.store.down = True
        new = await (await cell.own("p2")).ready()
        assert await cancel(new) == Code.NOT_FOUND
        await asyncio.sleep(0.3)
        old.store.down = False
        assert await submitting == Code.WRITE_UNRESOLVED
        assert new.state() is None and cell.network.starts() == []
        assert await submit(new) == Code.CANCELLED_BEFORE
        await new.end()

    run(scenario())


def test_a_cancellation_waits_for_the_late_write_of_its_submission():
    """Guards against an acknowledged cancellation of a job that is stored later."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        process.store.apply_late(0.1)
        submitting = asyncio.create_task(submit(process))
        await until(lambda: process.store.calls["txn"] >= 2)
        process.store.down = True
        cancelling = asyncio.create_task(cancel(process))
        await let_tasks_run()
        assert not submitting.done() and not cancelling.done()
        process.store.down = False
        assert await submitting == Code.ACCEPTED
        assert await cancelling == Code.OK
        starts = len(cell.network.starts())
        process = await new_owner(cell, process)
        assert process.state() == "cancelled"
        await let_tasks_run()
        assert len(cell.network.starts()) == starts
        assert cell.network.workers["w1"].running == []
        await process.end()

    run(scenario())


def test_an_acknowledged_cancellation_outlives_its_owner():
    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        cell.network.delayed_processes.add("p1")
        process = await (await cell.own()).ready()
        assert await submit(process) == Code.ACCEPTED
        await until(lambda: cell.network.delayed_commands)
        assert await cancel(process) == Code.OK
        late, cell.network.delayed_commands = cell.network.delayed_commands, []
        process = await new_owner(cell, process)
        assert process.state() == "cancelled"
        cell.network.delayed_commands = late
        assert cell.network.deliver() == len(late)
        await let_tasks_run()
        assert cell.network.starts() == []
        await process.end()

    run(scenario())


def test_a_member_cannot_cancel_a_future_job_of_another_member():
    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        assert await cancel(process, member="stranger") == Code.NOT_FOUND
        assert await submit(process) == Code.ACCEPTED
        await process.end()

    run(scenario())


def test_a_cancellation_of_an_unknown_job_is_refused_without_the_store():
    """Guards against "no such job" that only the memory of a process supports."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        process.membership.store_up = False
        assert await cancel(process) == Code.STORE_UNAVAILABLE
        process.membership.store_up = True
        assert await submit(process) == Code.ACCEPTED
        await process.end()

    run(scenario())


def test_a_former_owner_does_not_deny_a_job_of_its_successor():
    """Guards against "no such job" from a process that was paused meanwhile."""

    async def scenario():
        cell = Cell(("w1", "w2"), documents={"e": ACTIVE})
        cell.network.disconnected.add(("p1", "w2"))
        old = await (await cell.own("p1")).ready()
        # The former owner hears neither from its worker nor from the watch.
        cell.network.disconnected.add(("p2", "w1"))
        new = await (await cell.own("p2")).ready()
        assert await submit(new) == Code.ACCEPTED
        assert await cancel(old) == Code.OWNER_CHANGED
        assert await cancel(new) == Code.OK
        await new.end()

    run(scenario())


def test_requests_for_unknown_jobs_share_a_read_of_the_store():
    """Guards against a flood of such requests that reaches the store."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        read, reads = process.store.get, []

        async def get(key):
            reads.append(key)
            await asyncio.sleep(0.01)
            return await read(key)

        process.store.get = get
        requests = [GetJob("s", "e", "m", f"j{n}") for n in range(100)]
        calls = [process.service.handle(request) for request in requests]
        first = asyncio.create_task(process.service.handle(requests[0]))
        await until(lambda: reads)
        answers = await asyncio.gather(first, *calls, return_exceptions=True)
        assert {answer.code for answer in answers} == {Code.NOT_FOUND}
        assert len(reads) == 2
        await process.end()

    run(scenario())


@pytest.mark.parametrize(
    "request_", [GetJob("s", "e", "m", "j"), ExplainJob("s", "e", "j")]
)
def test_a_former_owner_does_not_answer_that_a_job_of_its_successor_is_unknown(
    request_,
):
    """Guards against "no such job" for an accepted job."""

    async def scenario():
        cell = Cell(("w1", "w2"), documents={"e": ACTIVE})
        cell.network.disconnected.add(("p1", "w2"))
        old = await (await cell.own("p1")).ready()
        cell.network.disconnected.add(("p2", "w1"))
        new = await (await cell.own("p2")).ready()
        assert await submit(new) == Code.ACCEPTED
        old.store.down = True
        with pytest.raises(Refused) as refused:
            await old.service.handle(request_)
        assert refused.value.code == Code.STORE_UNAVAILABLE
        old.store.down = False
        with pytest.raises(Refused) as refused:
            await old.service.handle(request_)
        assert refused.value.code == Code.OWNER_CHANGED
        assert not old.service.owns("s")
        await new.service.handle(request_)
        await new.end()

    run(scenario())


def test_a_read_does_not_show_a_cancellation_that_is_not_durable():
    """Guards against "cancelled" for a job that a new owner runs on."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        store, writes, tasks = process.store, [], []
        txn = store.txn

        async def cancel_during_second_write(*args):
            writes.append(args)
            if len(writes) == 2:
                tasks.append(asyncio.create_task(cancel(process)))
                await let_tasks_run()
            if len(writes) == 3:
                await asyncio.Event().wait()
            return await txn(*args)

        store.txn = cancel_during_second_write
        store.pause()
        tasks.append(asyncio.create_task(submit(process)))
        await until(lambda: writes)
        reading = asyncio.create_task(
            process.service.handle(GetJob("s", "e", "m", "j"))
        )
        await let_tasks_run()
        tasks.append(asyncio.create_task(submit(process, "other")))
        await let_tasks_run()
        store.resume()
        assert (await reading).state == "running"
        await until(lambda: len(writes) == 3)
        assert process.state() == "cancelled"
        await process.end()
        await asyncio.gather(*tasks, return_exceptions=True)

    run(scenario())


@pytest.mark.parametrize(
    "request_", [GetJob("s", "e", "m", "j"), ListJobs("s", "e", "m", 10)]
)
def test_neither_a_read_nor_a_list_shows_a_cancellation_during_an_outage(
    monkeypatch, request_
):
    """Guards against "cancelled" for a job that a new owner runs on."""

    async def scenario():
        monkeypatch.setattr(owner_module, "WRITE_DEADLINE_S", 0.05)
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        assert await submit(process) == Code.ACCEPTED
        await process.service.handle(request_)
        process.store.pause()
        assert await cancel(process) == Code.WRITE_UNRESOLVED
        with pytest.raises(Refused) as refused:
            await process.service.handle(request_)
        assert refused.value.code == Code.STORE_UNAVAILABLE
        other = await process.service.handle(ListJobs("s", "e", "other", 10))
        assert other.jobs == []
        process.store.resume()
        await process.end()

    run(scenario())


def test_cancellations_without_a_job_are_limited_and_expire():
    spec = JobSpec("late", "e", "m", "k", Policy.BATCH)
    scheduler = Scheduler("s", random.Random(1))

    def reply():
        return scheduler.take_batch().effects[-1].code

    def cancel_at(job_id, at):
        scheduler.cancel(job_id, "e", "m", None, at, at)
        return reply()

    for index in range(MAX_PER_MEMBER):
        assert cancel_at(f"j{index}", 0.0) == Code.NOT_FOUND
    assert cancel_at("late", 1.0) == Code.MEMBER_LIMIT
    assert cancel_at("j0", 1.0) == Code.NOT_FOUND
    scheduler.cancel("late", "e", "other", None, 1.0, 1.0)
    assert reply() == Code.NOT_FOUND
    assert cancel_at("late", RETENTION_S) == Code.NOT_FOUND
    kept = [(w.member, w.job_id, w.at) for w in scheduler.ledger.withdrawals]
    assert kept == [("m", "j0", 1.0), ("m", "late", RETENTION_S), ("other", "late", 1)]
    scheduler.submit(spec, None, RETENTION_S, RETENTION_S)
    assert reply() == Code.CANCELLED_BEFORE


def test_a_repeated_cancellation_does_not_expire_with_the_first_one():
    """Guards against a start soon after a cancellation that had been kept before."""
    spec = JobSpec("j", "e", "m", "k", Policy.BATCH)
    scheduler = Scheduler("s", random.Random(1))
    for job_id, at in (("j", 0.0), ("j", RETENTION_S - 1), ("other", RETENTION_S)):
        scheduler.cancel(job_id, "e", "m", None, at, at)
    parts = scheduler.ledger.snapshot()
    for ledger in (scheduler.ledger, Ledger.restore(parts)):
        scheduler = Scheduler("s", random.Random(1), ledger)
        scheduler.submit(spec, None, RETENTION_S + 1, RETENTION_S + 1)
        assert scheduler.take_batch().effects[-1].code == Code.CANCELLED_BEFORE


@pytest.mark.parametrize("restored", [False, True])
@pytest.mark.parametrize("cancelled_after_end", [False, True])
def test_a_cancelled_job_that_is_forgotten_does_not_run_again(
    monkeypatch, cancelled_after_end, restored
):
    """Guards against a late repetition of a submission whose job was cancelled."""
    monkeypatch.setattr(retention, "MAX_FINISHED_JOBS", 0)
    spec = JobSpec("j", "e", "m", "k", Policy.BATCH)
    worker = WorkerInfo("w1", "", "r", "z1", "", Resources(4000, 65536))
    scheduler = Scheduler("s", random.Random(1))
    scheduler.set_worker(worker, True)
    scheduler.submit(spec, None, 0.0, 0.0)
    scheduler.cancel("j", "e", "m", None, 1.0, 1.0)
    at = 1.0
    if cancelled_after_end:
        at += RETENTION_S
        scheduler.cancel("j", "e", "m", None, at, at)
    if restored:
        ledger = Ledger.restore(scheduler.ledger.snapshot())
        scheduler = Scheduler("s", random.Random(1), ledger)
        scheduler.set_worker(worker, True)
    scheduler.schedule(at + 10, at + 10)
    assert scheduler.view("j") is None
    scheduler.cancel("other", "e", "m", None, at + RETENTION_S, at + RETENTION_S)
    scheduler.submit(spec, None, at + RETENTION_S, at + RETENTION_S)
    assert scheduler.take_batch().effects[-1].code == Code.CANCELLED_BEFORE


def test_repeated_cancellations_keep_the_order_of_expiry():
    entries = [Withdrawal("e", "m", f"j{n}", float(n)) for n in range(3)]
    withdrawals = Withdrawals([*entries, Withdrawal("e", "m", "j0", 3.0)])
    withdrawals.add(Withdrawal("e", "m", "j3", RETENTION_S + 2))
    assert [w.job_id for w in withdrawals] == ["j0", "j3"]


def test_a_snapshot_keeps_the_order_of_expiry():
    entries = [Withdrawal("e", "m", f"j{n}", float(n)) for n in range(3)]
    restored = Withdrawals(entries)
    restored.add(Withdrawal("e", "m", "j3", RETENTION_S + 1))
    assert [w.job_id for w in restored] == ["j2", "j3"]


async def lose_commands(cell, process):
    """Drop the delayed commands together with the stream that carried them."""
    await until(lambda: cell.network.delayed_commands)
    cell.network.disconnected.add(("p1", "w1"))
    await until(lambda: process.owner.status["workers"] == 0)
    cell.network.delayed_commands.clear()
    cell.network.delayed_processes.clear()


def is_running(cell, task_id):
    return any(key[0] == task_id for key in cell.network.workers["w1"].running)


@pytest.mark.parametrize("owner_changes", [False, True])
def test_a_lost_stop_is_repeated_while_the_store_is_down(owner_changes):
    """Guards against a run that goes on for an outage after its cancellation."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        for job_id, run_ms in (("j", -1), ("short", 1000)):
            await process.submit(job_id, run_ms=run_ms)
        await until(lambda: len(cell.network.workers["w1"].running) == 2)
        cell.network.delayed_processes.add("p1")
        assert await cancel(process) == Code.OK
        await lose_commands(cell, process)
        if owner_changes:
            await process.end()
            process = await cell.own("p2")
            cell.network.disconnected.add(("p2", "w1"))
            await until(lambda: process.owner.ready)
        process.store.down = True
        # The end of the other job waits for the store, and decisions wait behind it.
        cell.clock.now += 2
        cell.network.disconnected.clear()
        await until(lambda: not process.owner._controller.committer.idle)
        await let_tasks_run()
        assert not is_running(cell, "j/0")
        process.store.down = False
        await until(lambda: process.state("short") == "succeeded")
        await process.end()

    run(scenario())


def store_down(process):
    process.membership.store_up = False


def stopping(process):
    process.owner._controller.stopping = True


@pytest.mark.parametrize("state", [store_down, stopping])
def test_a_repeated_submission_is_not_refused_while_the_first_is_unresolved(
    monkeypatch, state
):
    """Guards against "not run" for a job that runs once the store returns."""

    async def scenario():
        monkeypatch.setattr(owner_module, "WRITE_DEADLINE_S", 0.05)
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        process.store.pause()
        assert await submit(process) == Code.WRITE_UNRESOLVED
        state(process)
        assert await submit(process) == Code.WRITE_UNRESOLVED
        with pytest.raises(Refused):
            await submit(process, "other")
        process.store.resume()
        await until(lambda: process.owner._controller.committer.idle)
        assert await submit(process) == Code.ALREADY_ACCEPTED
        await process.end()

    run(scenario())


def document_with_services(version, *services):
    document = Document("app", [], services=list(services))
    return {"e": ActiveDocument("e", DocumentVersion(version, "", b""), document)}


def test_a_new_owner_starts_no_service_that_a_newer_document_has_ended():
    """Guards against a withdrawn service that runs again after a takeover."""

    async def scenario():
        service = ServiceKind("viewer", 1)
        cell = Cell(documents=document_with_services(1, service))
        process = await (await cell.own()).ready()
        worker = cell.network.workers["w1"]
        await until(lambda: worker.running)
        cell.feed.documents = document_with_services(2)
        process = await new_owner(cell, process)
        await until(lambda: not worker.running)
        # The next owner has missed the newer document so far.
        cell.feed.documents = document_with_services(1, service)
        cell.feed.stored = document_with_services(2)
        process = await new_owner(cell, process)
        await let_tasks_run()
        assert len(cell.network.starts()) == 1
        await process.end()

    run(scenario())


def test_a_cancelled_task_on_a_silent_worker_ends_with_its_lease():
    """Guards against a run that goes on after a cancellation that the worker missed."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        await process.submit(run_ms=-1)
        worker = cell.network.workers["w1"]
        await until(lambda: worker.running)
        cell.network.disconnected.add(("p1", "w1"))
        await until(lambda: process.owner.status["workers"] == 0)
        assert await cancel(process) == Code.OK
        task = process.owner.scheduler.view("j").tasks[0]
        assert task.state is TaskState.STOPPING
        cell.clock.now += LEASE_S
        worker.advance()
        assert worker.running == []
        cell.clock.now += LEASE_EXPIRY_S - LEASE_S
        await until(lambda: task.state is TaskState.CANCELLED)
        await process.end()

    run(scenario())


@pytest.mark.parametrize(("delay_s", "starts"), [(1.0, 1), (LEASE_S, 0)])
def test_a_start_in_flight_is_followed_by_its_stop_or_expires(delay_s, starts):
    """Guards against a start that outlives the cancellation that overtook it."""

    async def scenario():
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own()).ready()
        cell.network.delayed_processes.add("p1")
        await process.submit(run_ms=-1)
        await until(lambda: cell.network.delayed_commands)
        assert await cancel(process) == Code.OK
        cell.clock.now += delay_s
        cell.network.deliver()
        assert cell.network.workers["w1"].running == []
        assert len(cell.network.starts()) == starts
        cell.network.delayed_processes.clear()
        task = process.owner.scheduler.view("j").tasks[0]
        await until(lambda: task.state is TaskState.CANCELLED)
        await process.end()

    run(scenario())


def test_a_former_owner_that_hears_of_no_successor_changes_nothing():
    """Guards against requests that a process handles after a pause.

    Neither its watch nor its worker tells it of the new owner; its reads of the epoch
    and its commits do.
    """

    async def scenario():
        cell = Cell(("w1", "w2"), documents={"e": ACTIVE})
        cell.network.disconnected.add(("p1", "w2"))
        old = await (await cell.own("p1")).ready()
        cell.network.disconnected.add(("p2", "w1"))
        new = await (await cell.own("p2")).ready()
        assert await submit(new, "new") == Code.ACCEPTED
        assert await cancel(new, "new") == Code.OK
        with pytest.raises(Refused) as refused:
            await submit(old, "late")
        assert refused.value.code == Code.OWNER_CHANGED
        assert await submit(new, "late") == Code.ACCEPTED
        await until(lambda: cell.network.starts("late/0"))
        assert {worker for worker, _ in cell.network.starts()} == {"w2"}
        await new.end()

    run(scenario())


def test_a_former_owner_sends_no_start_that_it_has_held_since_before_its_successor(
    monkeypatch,
):
    """Guards against a start after a cancellation at the new owner."""

    async def scenario():
        monkeypatch.setattr(epochguard, "CONFIRM_INTERVAL_S", 0.01)
        cell = Cell(documents={"e": ACTIVE})
        old = await (await cell.own("p1")).ready()
        old.store.pause()
        submitting = asyncio.create_task(submit(old))
        await until(lambda: not old.owner._controller.committer.idle)
        cell.network.disconnected |= {("p1", "w1"), ("p2", "w1")}
        await until(lambda: old.owner.status["workers"] == 0)
        old.store.resume()
        assert await submitting == Code.ACCEPTED
        old.store.down = True
        await let_tasks_run()
        cell.clock.now += SESSION_TTL_S
        new = await cell.own("p2")
        await until(lambda: new.owner.ready)
        assert await cancel(new) == Code.OK
        cell.network.disconnected.remove(("p1", "w1"))
        await until(lambda: old.owner.status["workers"] > 0)
        await let_tasks_run()
        assert cell.network.starts() == []
        await new.end()
        await old.end()

    run(scenario())


def test_a_held_start_is_sent_once_the_epoch_is_confirmed(monkeypatch):
    async def scenario():
        monkeypatch.setattr(epochguard, "CONFIRM_INTERVAL_S", 0.01)
        cell = Cell(documents={"e": ACTIVE})
        process = await (await cell.own("p1")).ready()
        process.store.pause()
        submitting = asyncio.create_task(submit(process))
        await until(lambda: not process.owner._controller.committer.idle)
        cell.network.disconnected.add(("p1", "w1"))
        await until(lambda: process.owner.status["workers"] == 0)
        process.store.resume()
        assert await submitting == Code.ACCEPTED
        process.store.down = True
        await let_tasks_run()
        cell.clock.now += SESSION_TTL_S
        cell.network.disconnected.clear()
        await until(lambda: process.owner.status["workers"] > 0)
        await let_tasks_run()
        assert cell.network.starts() == []
        process.store.down = False
        await until(cell.network.starts)
        await process.end()

    run(scenario())


def test_the_epoch_is_read_also_by_an_idle_owner(monkeypatch):
    """Guards against leases that a former owner renews after a silent watch."""

    async def scenario():
        monkeypatch.setattr(epochguard, "CONFIRM_INTERVAL_S", 0.01)
        cell = Cell(("w1", "w2"))
        cell.network.disconnected.add(("p1", "w2"))
        old = await (await cell.own("p1")).ready()
        cell.network.disconnected.add(("p2", "w1"))
        new = await (await cell.own("p2")).ready()
        with pytest.raises(Fenced):
            await old.task
        await new.end()

    run(scenario())


class SlowStore:
    """A store whose answer is read only ``delay_s`` after it was given."""

    def __init__(self, clock, delay_s, entry):
        self.clock = clock
        self.delay_s = delay_s
        self.entry = entry

    async def get(self, key):
        self.clock.now += self.delay_s
        return self.entry


def test_the_lease_horizon_counts_from_the_request_for_the_epoch():
    """Guards against an answer that is taken for new after a pause."""

    async def scenario():
        cell = Cell()
        process = await (await cell.own()).ready()
        acquired = process.owner._acquired
        entry = await process.store.get(Keys("test").epoch("s"))
        context = make_context(cell.clock)
        horizon_s = context.settings.limits.lease_horizon_s
        store = SlowStore(cell.clock, horizon_s - 1, entry)
        guard = epochguard.EpochGuard(context, store, None, acquired)
        await guard.confirm()
        assert guard.may_grant_leases()
        cell.clock.now += 1
        assert not guard.may_grant_leases()
        await process.end()

    run(scenario())


def test_a_report_read_after_a_pause_starts_nothing():
    """Guards against a lease that counts from the reading of a report."""

    async def scenario():
        cell = Cell()
        process = await (await cell.own()).ready()
        link = process.owner._fleet.sessions["w1"].link
        # The link sends no further report by itself.
        now = cell.clock.now
        link._clock = lambda: now
        message = cell.network.workers["w1"].report(link._stream)
        cell.clock.now += 100
        process.owner._controller.on_link_event(
            ReportReceived(
                "w1",
                link._stream_number,
                message.command_seq,
                cell.clock.now,
                from_report(message, "w1"),
            )
        )
        await process.submit()
        await let_tasks_run()
        assert cell.network.starts() == []
        refusals = [e for e in cell.network.ledger if e["event"] == "refused"]
        assert [entry["attempt"] for entry in refusals] == [1]
        link._clock = cell.clock
        await until(lambda: cell.network.starts() == [("w1", 2)])
        await process.end()

    run(scenario())


def test_a_watch_response_without_events_reports_no_revision():
    """Guards against a watch that skips changes because it has heard nothing."""
    header = pb.ResponseHeader(revision=99)
    assert _to_batches(pb.WatchResponse(header=header, created=True)) == []
    assert _to_batches(pb.WatchResponse(header=header)) == []
