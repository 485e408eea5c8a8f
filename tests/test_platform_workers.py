"""Calls to workers of the platform and how their replies are read."""

import asyncio
import time

import pytest

from flamingoway.errors import BadRequest
from flamingoway.model import Resources
from flamingoway.platform import wire
from flamingoway.platform.client import HttpClient
from flamingoway.platform.workers import (
    MAX_LOGGED_REASONS,
    PlatformAdvice,
    PlatformWorkers,
)
from flamingoway.queues.model import EndKind, RunOrder, StartReply, WorkerEntry
from flamingoway.queues.ports import NoReply, PollRefused
from standins.platform import AdviceStandin, WorkerStandin
from tests.queue_cluster import RecordingLog


def run(body):
    async def main():
        standin = WorkerStandin("w1")
        async with standin.listen() as address:
            client = HttpClient(time.monotonic)
            entry = WorkerEntry("w1", "s", address, "z1", Resources(16000, 65536))
            try:
                await asyncio.wait_for(
                    body(PlatformWorkers(client, RecordingLog()), entry, standin), 20
                )
            finally:
                client.close()

    asyncio.run(main())


def order(token=5, number=1, lease_s=10.0, **fields):
    lease_ms = int((time.monotonic() + lease_s) * 1000)
    return RunOrder("w1", "job.0.0.0", number, "text", lease_ms, token, **fields)


def test_a_task_runs_and_its_end_is_listed_until_acknowledged():
    async def body(workers, entry, standin):
        started = order(checkpoint="c1", ticket="t1")
        assert await workers.start(entry, started) is StartReply.RUNNING
        assert standin.starts[0]["checkpoint"] == "c1"
        assert standin.starts[0]["ticket"] == "t1"
        report = await workers.poll(entry, 5, 0, 0, 1.0)
        assert [(e.sequence, e.task_id, e.kind) for e in report.ended] == [
            (1, "job.0.0.0", EndKind.DONE)
        ]
        assert report.born_ms == standin.born_ms
        assert (await workers.poll(entry, 5, 1, 0, 0.0)).ended == ()

    run(body)


def test_fields_without_a_value_are_left_out():
    """Guards against an empty checkpoint that a worker takes for a real one."""

    async def body(workers, entry, standin):
        await workers.start(entry, order())
        assert "checkpoint" not in standin.starts[0]
        assert "ticket" not in standin.starts[0]

    run(body)


def test_a_lower_token_is_fenced():
    async def body(workers, entry, standin):
        await workers.poll(entry, 7, 0, 0, 0.0)
        assert await workers.start(entry, order(token=6)) is StartReply.FENCED
        with pytest.raises(PollRefused) as refused:
            await workers.poll(entry, 6, 0, 0, 0.0)
        assert refused.value.reply is StartReply.FENCED
        assert not await workers.stop(entry, "job.0.0.0", 1, 6)

    run(body)


@pytest.mark.parametrize(
    "status, reply",
    [
        (400, StartReply.INVALID),
        (429, StartReply.UNHEALTHY),
        (503, StartReply.UNHEALTHY),
        (500, StartReply.UNKNOWN),
    ],
)
def test_refusals_of_a_start_are_mapped_to_replies(status, reply):
    async def body(workers, entry, standin):
        standin.faults.status = status
        assert await workers.start(entry, order()) is reply

    run(body)


class CannedClient:
    """Answers every call with the same status and body."""

    def __init__(self, status, data):
        self.answer = status, data

    async def call(self, *args):
        return self.answer


ENTRY = WorkerEntry("w1", "s", "127.0.0.1:1", "z1", Resources())


def test_an_unknown_reason_of_a_refused_start_is_logged_once():
    """Guards against a refusal whose reason nobody can see."""
    log = RecordingLog()
    workers = PlatformWorkers(CannedClient(409, b'{"reason":"quota"}'), log)

    async def main():
        return [await workers.start(ENTRY, order()) for _ in range(3)]

    assert asyncio.run(main()) == [StartReply.INVALID] * 3
    ((event, fields),) = log.lines
    assert event == "order refused for an unknown reason"
    assert (fields["worker"], fields["reason"]) == ("w1", "quota")


def test_reasons_that_differ_each_time_do_not_fill_the_log():
    log = RecordingLog()
    client = CannedClient(409, b"")
    workers = PlatformWorkers(client, log)

    async def main():
        for number in range(100):
            client.answer = 409, b'{"reason":"%d"}' % number
            await workers.start(ENTRY, order())

    asyncio.run(main())
    assert len(log.lines) == MAX_LOGGED_REASONS


@pytest.mark.parametrize("data", [b"", b"{", b'{"reason":7}'])
def test_an_unreadable_refusal_does_not_end_the_leadership(data):
    """Guards against one worker's answer that stops the leader with an error."""
    log = RecordingLog()
    workers = PlatformWorkers(CannedClient(409, data), log)

    async def main():
        assert await workers.start(ENTRY, order()) is StartReply.UNKNOWN
        with pytest.raises(PollRefused) as refused:
            await workers.poll(ENTRY, 5, 0, 0, 0.0)
        assert refused.value.reply is StartReply.UNKNOWN

    asyncio.run(main())
    assert [event for event, _ in log.lines] == ["refusal not readable"] * 2


def test_a_start_after_the_end_of_its_lease_is_reported_as_late():
    async def body(workers, entry, standin):
        assert await workers.start(entry, order(lease_s=-1)) is StartReply.LATE

    run(body)


def test_a_reply_of_another_incarnation_is_refused():
    async def body(workers, entry, standin):
        standin.worker_id = "w2"
        assert await workers.start(entry, order()) is StartReply.OTHER_INCARNATION
        with pytest.raises(PollRefused):
            await workers.poll(entry, 5, 0, 0, 0.0)

    run(body)


def test_a_silent_worker_leaves_the_outcome_unknown():
    """Guards against placing a task again while its first start may still arrive."""

    async def body(workers, entry, standin):
        standin.faults.silent = True
        assert await workers.start(entry, order()) is StartReply.UNKNOWN
        with pytest.raises(NoReply):
            await workers.poll(entry, 5, 0, 0, 0.0)

    run(body)


def test_a_start_to_a_closed_port_was_not_sent():
    async def body(workers, entry, standin):
        unreachable = WorkerEntry("w1", "s", "127.0.0.1:1", "z1", Resources())
        assert await workers.start(unreachable, order()) is StartReply.NOT_SENT

    run(body)


def test_advice_names_the_allowed_workers():
    async def main():
        standin = AdviceStandin()
        async with standin.listen() as address:
            advice = PlatformAdvice(address, HttpClient(time.monotonic))
            answer = await advice.ask("job.0.0", ["w1", "w2"], 1.0)
            assert answer.tickets == {"w1": "t-w1", "w2": "t-w2"}
            assert answer.valid_s == 2.0
            assert standin.steps == ["job.0.0"]

    asyncio.run(main())


@pytest.mark.parametrize(
    "body", [b"", b"\xff\xfe", b'{"good":[["w1"]]}', b'{"good":[["w1",7]]}', b"[]"]
)
def test_an_unreadable_answer_of_the_advice_service_counts_as_none(body):
    class Client:
        async def call(self, *args):
            return 200, body

    with pytest.raises(NoReply, match="unreadable"):
        asyncio.run(PlatformAdvice("127.0.0.1:2", Client()).ask("job.0.0", ["w1"], 1.0))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"service":"s"}',
        b'{"service":"s","address":"127.0.0.1:2","zone":"z","state":"odd","capacity":{}}',
        b'{"service":"s","address":7,"zone":"z","state":"ready","capacity":{}}',
    ],
)
def test_invalid_entries_of_other_writers_are_refused(data):
    with pytest.raises(BadRequest):
        wire.to_worker("w1", data)


def test_a_worker_entry_is_decoded():
    entry = wire.to_worker(
        "w1", WorkerStandin("w1").entry("127.0.0.1:2", "s", "draining")
    )
    assert entry.draining and entry.capacity == Resources(16000, 65536)
    assert entry.labels == ("a", "r1") and entry.born_ms > 0


def test_a_job_is_decoded_with_defaults():
    job = wire.to_job(
        b'{"spec":"x","steps":[{"count":2,"cpu":500,"memMb":256,"estRuntimeMs":900,'
        b'"affinity":"r1"},{"count":1,"after":[0],"gang":true,"antiAffinity":2,'
        b'"mayMiss":1}],"repeats":2,"firstRunMs":1000,"intervalMs":500}',
        "id",
        "q",
    )
    first, second = job.steps
    assert (first.count, first.data_rack, first.estimate_s) == (2, "r1", 0.9)
    assert (second.after, second.gang, second.per_worker) == ((0,), True, 2)
    assert (job.schedule.repeats, job.schedule.first_at) == (2, 1.0)
