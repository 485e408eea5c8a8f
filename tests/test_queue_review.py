"""Ways in which work could start or run on that nobody asked for."""

import asyncio

import pytest

from flamingoway.errors import BadRequest, FlamingowayError
from flamingoway.httpserver import HttpRequest
from flamingoway.platform import client
from flamingoway.platform.ingress import JobIngress
from flamingoway.queues import records
from flamingoway.queues.mirror import LEADER_READ_INTERVAL_S
from flamingoway.queues.model import DesiredState, EndKind
from flamingoway.queues.runs import StartRun
from flamingoway.status import Code
from flamingoway.store import KeyValue, Put, WatchEvent
from standins import kv
from standins.memory import MemoryStore
from tests.queue_cluster import Bench, step
from tests.test_queue_intake import JOB, JOB_PATH, run_with_cell
from tests.test_queue_unasked import ScriptedStore, follow
from tests.virtual import run_virtual


@pytest.mark.parametrize("paused_s", [0.0, 3.0, 6.0])
def test_a_cancellation_in_a_gap_of_the_watch_is_read_after_a_pause(paused_s):
    """Guards against the time of a pause counting as time without a change."""

    async def main():
        store = ScriptedStore()
        operator = MemoryStore(store.engine)
        value = records.encode(records.JobRecord(JOB, 0.0))
        await operator.txn([], [Put(records.JOB_PREFIX + JOB.job_id, value)])
        table, mirror, task = follow(store)
        await mirror.wait_synced()
        store.hears_nothing = True
        await operator.txn([], [Put(records.CANCEL_PREFIX + JOB.job_id, b"1")])
        # The first watch answers at once, the second one after 0.8 s.
        mirror.read_every(LEADER_READ_INTERVAL_S)
        await asyncio.sleep(0.5)
        store.paused_s = paused_s
        store.hears_nothing = False
        await asyncio.sleep(paused_s + 4.0)
        task.cancel()
        return table.find(JOB.job_id).cancelled

    assert run_virtual(main)


def test_a_slow_read_keeps_a_cancellation_that_was_stored_after_it():
    """Guards against a job that starts where its cancellation was acknowledged."""

    async def body(cell):
        read, arrived = cell.store.range, asyncio.Event()

        async def range_slowly(*args):
            result = await read(*args)
            await arrived.wait()
            return result

        cell.store.range = range_slowly
        catch_up = asyncio.create_task(cell.mirror.catch_up())
        await asyncio.sleep(0.01)
        with pytest.raises(BadRequest):
            await cell.intake.cancel(JOB.job_id, 3.0)
        arrived.set()
        await catch_up
        added = []
        cell.table.on_job = lambda job: added.append(job.cancelled)
        value = records.encode(records.JobRecord(JOB, 0.0))
        revision = cell.engine.revision + 1
        key = records.JOB_PREFIX + JOB.job_id
        item = KeyValue(key, value, revision, revision)
        cell.table.apply_changes([WatchEvent(key, item)])
        assert added == [True]

    run_with_cell(body)


def test_a_job_announced_after_its_stored_cancellation_is_cancelled():
    """Guards against a start before the leader's mirror shows its own write."""

    async def body(cell):
        value = records.encode(records.JobRecord(JOB, 0.0))
        key = records.JOB_PREFIX + JOB.job_id
        # Stored by another process; the mirror of this one does not show it yet.
        result = await MemoryStore(cell.engine).txn([], [Put(key, value)])
        await cell.intake.cancel(JOB.job_id, 3.0)
        added = []
        cell.table.on_job = lambda job: added.append(job.cancelled)
        item = KeyValue(key, value, result.revision, result.revision)
        cell.table.apply_changes([WatchEvent(key, item)])
        assert added == [True]

    run_with_cell(body)


def test_a_job_announced_after_its_cancellation_was_stored_elsewhere_is_cancelled():
    """Guards against a start by a leader that answered the cancellation."""

    async def body(cell):
        cell.peers.answer = FlamingowayError(
            "no such job", Code.NOT_FOUND, cancel_revision=7
        )
        cell.store.down = True
        await asyncio.sleep(1.0)
        with pytest.raises(FlamingowayError):
            await cell.intake.cancel(JOB.job_id, 2.0)
        added = []
        cell.table.on_job = lambda job: added.append(job.cancelled)
        value = records.encode(records.JobRecord(JOB, 0.0))
        item = KeyValue(records.JOB_PREFIX + JOB.job_id, value, 8, 8)
        cell.table.apply_changes([WatchEvent(item.key, item)])
        assert added == [True]

    run_with_cell(body)


def test_an_order_is_not_sent_after_a_pause_while_its_connection_is_opened(
    monkeypatch,
):
    """Guards against a start long after the check whether orders may be sent."""
    now = 0.0
    received = []
    connect = client._connect

    async def connect_during_pause(address, timeout_s):
        nonlocal now
        connection = await connect(address, timeout_s)
        # The clock of the event loop does not count the time of a suspended VM.
        now += 10.0
        return connection

    async def answer(reader, writer):
        received.append(await reader.read(1000))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        writer.close()

    async def main():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        http = client.HttpClient(lambda: now)
        try:
            await http.call(f"127.0.0.1:{port}", "POST", "/run-start", b"{}", 0.6)
        except client.NotSent:
            pass
        finally:
            http.close()
            server.close()

    monkeypatch.setattr(client, "_connect", connect_during_pause)
    asyncio.run(main())
    assert received == []


async def request(cell, method, path, body=b""):
    ingress = JobIngress(cell.intake, cell.metrics, cell.faults)
    disconnected = asyncio.get_running_loop().create_future()
    headers = {"Host": "jobs.example"}
    answer = await ingress.handle(
        HttpRequest(method, path, "", headers, body, disconnected)
    )
    return answer.status


def test_a_job_can_be_cancelled_after_its_route_was_removed():
    """Guards against a job that runs on because its cancellation finds no route."""
    found = {}

    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        cell.intake.set_desired_state(DesiredState(2, ()))
        found["status"] = await request(cell, "DELETE", JOB_PATH)
        key = (records.CANCEL_PREFIX + JOB.job_id).encode()
        found["stored"] = len(cell.engine.range(kv.RangeOp(key)).entries)

    run_with_cell(body)
    assert found["stored"] == 1, found


def test_a_job_can_be_cancelled_before_its_route_is_in_force_here():
    """Guards against a process with an older configuration that ignores a DELETE."""
    found = {}

    async def body(cell):
        value = records.encode(records.JobRecord(JOB, 0.0, "n2"))
        await cell.store.txn([], [Put(records.JOB_PREFIX + JOB.job_id, value)])
        await asyncio.sleep(1.0)
        cell.intake.set_desired_state(DesiredState(0, ()))
        found["status"] = await request(cell, "DELETE", JOB_PATH)
        key = (records.CANCEL_PREFIX + JOB.job_id).encode()
        found["stored"] = len(cell.engine.range(kv.RangeOp(key)).entries)

    run_with_cell(body)
    assert found["stored"] == 1, found


def test_a_lost_run_continues_from_its_newest_checkpoint():
    """Guards against work done again from a checkpoint of an earlier run."""
    bench = Bench(workers=2)
    bench.submit("a1", step(1, checkpointing=True))
    (run,) = bench.plan()
    bench.end(run, EndKind.STOPPED, checkpoint="c1")
    bench.now += 1.0
    bench.planner.run(bench.now)
    (start,) = bench.orders(StartRun)
    assert start.order.checkpoint == "c1"
    worker_id = start.order.worker_id
    row = (start.order.task_id, start.order.number, "c5", 50.0)
    bench.report(worker_id, [row])
    bench.cluster.drop_runs(bench.worker(worker_id), bench.now, "lost")
    bench.now += 1.0
    bench.planner.run(bench.now)
    (start,) = bench.orders(StartRun)
    assert start.order.checkpoint == "c5"


def test_a_call_that_is_cancelled_as_its_answer_arrives_closes_its_connection(
    monkeypatch,
):
    """Guards against connections to a worker that stay open unused."""
    complete = client._Connection.on_message_complete
    calls = []
    connections = []

    def cancel_on_completion(connection):
        complete(connection)
        connections.append(connection)
        calls[-1].cancel()

    async def answer(reader, writer):
        await reader.readuntil(b"{}")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        await writer.drain()

    async def main():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        http = client.HttpClient(asyncio.get_running_loop().time)
        call = http.call(f"127.0.0.1:{port}", "POST", "/hold", b"{}", 5.0)
        calls.append(asyncio.create_task(call))
        await asyncio.wait(calls)
        left_open = [c for c in connections if c.open and c not in http._idle]
        for connection in connections:
            connection.close()
        http.close()
        server.close()
        return len(connections), left_open

    monkeypatch.setattr(client._Connection, "on_message_complete", cancel_on_completion)
    assert asyncio.run(main()) == (1, [])
