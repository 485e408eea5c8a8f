"""Checks what callers are told: accepted, refused or outcome unknown."""

import asyncio
import gc
import random
from dataclasses import replace

import pytest

from flamingoway.errors import FlamingowayError, OutcomeUnknown, Refused
from flamingoway.model import Resources
from flamingoway.platform.ingress import JobIngress, error_answer
from flamingoway.queues import records
from flamingoway.queues.faults import FaultReporter
from flamingoway.queues.intake import MAX_HELD_REQUESTS, STATE_AGE_S, Intake
from flamingoway.queues.messages import (
    AnnounceRequest,
    Done,
    StateReply,
    SubmitRequest,
)
from flamingoway.queues.metrics import QueueMetrics
from flamingoway.queues.mirror import Mirror
from flamingoway.queues.model import (
    DesiredState,
    Queue,
    Step,
    StepJobSpec,
    StepJobState,
)
from flamingoway.queues.records import (
    JobRecord,
    LeaderRecord,
    ProcessRecord,
    ProgressRecord,
)
from flamingoway.queues.relay import Relay
from flamingoway.queues.table import JobTable
from flamingoway.status import Code
from flamingoway.store import Delete, Put
from flamingoway.store.monitored import MonitoredStore
from standins import kv
from standins.memory import MemoryStore
from tests.queue_cluster import RecordingLog
from tests.virtual import run_virtual

# The end of an outage is noticed within this time, by probes every 0.1 s.
RETURN_NOTICED_S = 0.25
# The number of waiting jobs may be this old, by the users' rules.
COUNT_AGE_S = 2.0
QUEUE = Queue("plans", "jobs.example", "/p/", "s", 1, 3, 2.0, 1.0)
JOB = StepJobSpec("00000000000000aa", "plans", "x", (Step(1, Resources(1000, 1000)),))
JOB_PATH = f"/p/{JOB.job_id}"


class Peers:
    """Other processes; they answer every call with ``answer``."""

    def __init__(self):
        self.answer = Refused("the store is unreachable", Code.STORE_UNAVAILABLE)
        self.requests = []

    async def call(self, address, request, timeout_s, reply):
        self.requests.append(request)
        if isinstance(self.answer, FlamingowayError):
            raise self.answer
        return self.answer


class Cell:
    """The intake of one process with its store, mirror and peers."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        self.engine = kv.Engine(loop.time)
        self.store = MemoryStore(self.engine)
        self.monitored = MonitoredStore(self.store, records.LEADER_KEY, loop.time)
        self.log = RecordingLog()
        self.metrics = QueueMetrics()
        self.faults = FaultReporter(self.log, self.metrics, loop.time)
        self.table = JobTable(self.faults)
        self.peers = Peers()
        rng = random.Random(1)
        self.mirror = Mirror(
            self.monitored,
            records.ROOT,
            self.table,
            loop.time,
            self.log,
            self.faults,
            rng,
        )
        others = {"n2": ProcessRecord("n2", "n2:1", "z")}
        relay = Relay("n1", self.peers, lambda: others, rng, self.log)
        self.intake = Intake(
            self.monitored,
            self.table,
            self.mirror,
            relay,
            "n1",
            self.log,
            self.metrics,
        )
        self.intake.set_desired_state(DesiredState(1, (QUEUE,)))
        self.task = asyncio.create_task(self.mirror.run())


def run_with_cell(body):
    async def main():
        cell = Cell()
        await cell.mirror.wait_synced()
        await body(cell)
        cell.task.cancel()

    run_virtual(main)


def stored(cell):
    key = (records.JOB_PREFIX + JOB.job_id).encode()
    return bool(cell.engine.range(kv.RangeOp(key)).entries)


def test_a_job_is_accepted_when_it_is_stored():
    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        assert stored(cell)

    run_with_cell(body)


def test_a_request_repeated_beside_the_first_one_is_written_with_other_jobs():
    """Guards against a write that names a job twice, which the store rejects."""

    async def body(cell):
        other = replace(JOB, job_id="00000000000000ab")
        calls = (cell.intake.submit(job, 3.0) for job in (JOB, JOB, other))
        await asyncio.gather(*calls)
        assert stored(cell)
        rejected = [fields for event, fields in cell.log.lines if "rejected" in event]
        assert rejected == []

    run_with_cell(body)


def test_submitting_the_same_job_again_writes_nothing():
    """Guards against a job that runs twice because its caller retried."""

    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        revision = cell.engine.revision
        await cell.intake.submit(JOB, 3.0)
        assert cell.engine.revision == revision

    run_with_cell(body)


def test_a_job_that_is_submitted_again_after_its_deletion_is_stored():
    """Guards against an acceptance of which nothing is stored."""

    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        await asyncio.sleep(1.0)
        keys = records.job_keys(JOB.job_id)
        await cell.store.txn([], [Delete(key) for key in keys])
        await asyncio.sleep(2.0)
        await cell.intake.submit(JOB, 3.0)
        assert stored(cell)

    run_with_cell(body)


def test_a_lost_answer_is_resolved():
    async def body(cell):
        cell.store.drop_answers(1)
        await cell.intake.submit(JOB, 3.0)
        assert stored(cell)

    run_with_cell(body)


def test_a_refused_job_is_not_stored_and_never_will_be():
    """Guards against a job that runs although its caller was told of a refusal."""

    async def body(cell):
        cell.store.down = True
        with pytest.raises(Refused):
            await cell.intake.submit(JOB, 3.0)
        cell.store.down = False
        await asyncio.sleep(10)
        assert not stored(cell)

    run_with_cell(body)


def test_a_write_that_may_be_applied_late_is_not_refused():
    """Guards against refusing a job whose write the store applies seconds later."""

    async def body(cell):
        # More than the writes that fit in the time that the caller waits.
        for _ in range(500):
            cell.store.apply_late(5.0)
        with pytest.raises(OutcomeUnknown):
            await cell.intake.submit(JOB, 3.0)

    run_with_cell(body)


def test_a_job_is_held_during_an_outage_and_stored_at_its_end():
    """Guards against callers who are refused although the store returns in time."""

    async def body(cell):
        cell.store.down = True
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        submit = asyncio.create_task(cell.intake.submit(JOB, 3.0))
        await asyncio.sleep(2.5)
        assert not submit.done()
        cell.store.down = False
        returned_at = loop.time()
        await submit
        assert stored(cell)
        assert loop.time() - returned_at < RETURN_NOTICED_S

    run_with_cell(body)


@pytest.mark.parametrize("silent", [False, True], ids=["refusing", "silent"])
def test_a_job_is_refused_before_its_caller_stops_waiting(silent):
    """Guards against callers who wait in vain and do not learn that nothing ran."""

    async def body(cell):
        if silent:
            cell.store.pause()
            # The session of a process renews its lease several times a second.
            renewal = asyncio.create_task(cell.monitored.keep_alive(1))
        cell.store.down = not silent
        await asyncio.sleep(2.0)
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(Refused) as refused:
            await cell.intake.submit(JOB, 3.0)
        assert 2.5 < loop.time() - began < 3.0
        assert refused.value.details["retry_after"] > 0
        cell.store.down = False
        cell.store.resume()
        await asyncio.sleep(10.0)
        assert not silent or renewal.done()
        assert not stored(cell)

    run_with_cell(body)


def test_held_jobs_are_limited():
    """Guards against a process whose memory fills with held requests."""

    async def body(cell):
        cell.store.down = True
        await asyncio.sleep(2.0)
        specs = [
            StepJobSpec(f"{number:04x}", "plans", "x", JOB.steps)
            for number in range(MAX_HELD_REQUESTS + 20)
        ]
        tasks = [asyncio.create_task(cell.intake.submit(s, 3.0)) for s in specs]
        await asyncio.sleep(0.5)
        refused = [task for task in tasks if task.done()]
        assert len(refused) == 20
        await asyncio.gather(*tasks, return_exceptions=True)

    run_with_cell(body)


def test_a_cancellation_is_held_during_an_outage():
    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        await asyncio.sleep(1.0)
        cell.store.down = True
        await asyncio.sleep(1.0)
        cancel = asyncio.create_task(cell.intake.cancel(JOB.job_id, 3.0))
        await asyncio.sleep(2.0)
        cell.store.down = False
        await cancel
        await asyncio.sleep(1.0)
        assert cell.table.jobs[JOB.job_id].cancelled

    run_with_cell(body)


def test_jobs_behind_an_unanswered_write_are_refused_in_time():
    """Guards against callers who wait for a store that no longer answers.

    A job that was not sent is refused with certainty, within its caller's deadline.
    """

    async def body(cell):
        loop = asyncio.get_running_loop()
        cell.store.pause()
        began = loop.time()
        first = asyncio.create_task(cell.intake.submit(JOB, 3.0))
        await asyncio.sleep(0.05)
        other = StepJobSpec("00bb", "plans", "x", JOB.steps)
        with pytest.raises(Refused):
            await cell.intake.submit(other, 1.0)
        assert loop.time() - began < 1.05
        third = StepJobSpec("00cc", "plans", "x", JOB.steps)
        with pytest.raises(Refused):
            await cell.intake.submit(third, 1.0)
        assert loop.time() - began < 2.0
        cell.store.resume()
        await first
        await asyncio.sleep(5)
        key = (records.JOB_PREFIX + "00bb").encode()
        assert not cell.engine.range(kv.RangeOp(key)).entries

    run_with_cell(body)


def test_a_slow_store_is_waited_for():
    """Guards against refusing jobs that a slow store would still accept."""

    async def body(cell):
        txn = cell.store.txn

        async def slow(*args):
            await asyncio.sleep(0.45)
            return await txn(*args)

        cell.store.txn = slow
        await cell.intake.submit(JOB, 3.0)
        jobs = [StepJobSpec(f"0{i}bb", "plans", "x", JOB.steps) for i in range(4)]
        tasks = []
        for job in jobs:
            tasks.append(asyncio.create_task(cell.intake.submit(job, 3.0)))
            await asyncio.sleep(0.2)
        await asyncio.gather(*tasks)
        assert cell.peers.requests == []

    run_with_cell(body)


def test_a_process_without_store_access_forwards_the_job_to_another():
    async def body(cell):
        cell.store.down = True
        cell.peers.answer = Done()
        await cell.intake.submit(JOB, 3.0)
        assert isinstance(cell.peers.requests[0], SubmitRequest)

    run_with_cell(body)


def test_a_stored_job_names_the_queue_as_configured_at_its_acceptance():
    """Guards against a job that no leader can go on with once its route is removed."""

    async def body(cell):
        cell.store.down = True
        cell.peers.answer = Done()
        await cell.intake.submit(JOB, 3.0)
        (request,) = cell.peers.requests
        assert request.queue == QUEUE
        cell.store.down = False
        await asyncio.sleep(2.0)
        cell.intake.set_desired_state(DesiredState(2, ()))
        await cell.intake.submit(
            replace(JOB, job_id="00bb"), 3.0, relay=False, queue=request.queue
        )
        await asyncio.sleep(1.0)
        kept = cell.table.find("00bb").decode().queue.to_queue(QUEUE.name)
        assert kept == replace(QUEUE, host="", prefix="")

    run_with_cell(body)


def test_a_fresher_state_of_another_process_replaces_a_stale_one():
    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        await asyncio.sleep(0.5)
        assert await cell.intake.state(JOB.job_id) is StepJobState.QUEUED
        cell.store.down = True
        await asyncio.sleep(1.0)
        cell.peers.answer = StateReply(StepJobState.COMPLETED)
        assert await cell.intake.state(JOB.job_id) is StepJobState.COMPLETED

    run_with_cell(body)


def test_a_job_stored_under_the_epoch_of_the_leader_is_announced_to_it():
    """Guards against jobs that wait because the watch of the leader is silent."""

    async def body(cell):
        leader = records.encode(LeaderRecord("n2", 4))
        puts = [Put(records.LEADER_KEY, leader), Put(records.EPOCH_KEY, b"4")]
        # Each of the four elections has changed the store.
        for _ in range(4):
            await cell.store.txn([], puts)
        await asyncio.sleep(1.0)
        cell.peers.answer = Done()
        await cell.intake.submit(JOB, 3.0)
        await asyncio.sleep(0.1)
        (request,) = cell.peers.requests
        assert isinstance(request, AnnounceRequest) and request.epoch == 4

    run_with_cell(body)


def test_a_job_stored_after_another_election_is_not_announced():
    """Guards against two leaders that both start a job."""

    async def body(cell):
        leader = records.encode(LeaderRecord("n2", 4))
        puts = [Put(records.LEADER_KEY, leader), Put(records.EPOCH_KEY, b"4")]
        await cell.store.txn([], puts)
        await asyncio.sleep(1.0)
        await cell.store.txn([], [Put(records.EPOCH_KEY, b"5")])
        await cell.intake.submit(JOB, 3.0)
        assert stored(cell) and cell.peers.requests == []

    run_with_cell(body)


def test_an_end_is_shown_by_the_process_that_stored_the_job():
    """Guards against callers that learn of an end only with the next read."""

    async def body(cell):
        leader = records.encode(LeaderRecord("n2", 1))
        puts = [Put(records.LEADER_KEY, leader), Put(records.EPOCH_KEY, b"1")]
        await cell.store.txn([], puts)
        await asyncio.sleep(1.5)
        await cell.intake.submit(JOB, 3.0)
        cell.task.cancel()
        assert await cell.intake.state(JOB.job_id) is StepJobState.QUEUED
        cell.table.apply_end(JOB.job_id, StepJobState.COMPLETED, 1.0)
        assert await cell.intake.state(JOB.job_id) is StepJobState.COMPLETED

    run_with_cell(body)


def test_an_end_is_not_taken_back_by_an_older_change():
    """Guards against a job that is shown as completed and then as running."""

    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        await asyncio.sleep(COUNT_AGE_S)
        cell.table.apply_end(JOB.job_id, StepJobState.COMPLETED, 1.0)
        value = records.encode(ProgressRecord(StepJobState.RUNNING))
        await cell.store.txn([], [Put(records.PROGRESS_PREFIX + JOB.job_id, value)])
        await asyncio.sleep(COUNT_AGE_S)
        assert await cell.intake.state(JOB.job_id) is StepJobState.COMPLETED

    run_with_cell(body)


def test_a_job_that_is_given_up_as_its_write_begins_is_not_refused():
    """Guards against a job that runs although its caller was told that it does not."""

    async def body(cell):
        write = cell.intake._write

        async def begin_late(batch):
            await asyncio.sleep(0.5)
            await write(batch)

        cell.intake._write = begin_late
        with pytest.raises(OutcomeUnknown):
            await cell.intake.submit(JOB, 0.3, relay=False)
        await asyncio.sleep(1.0)
        assert stored(cell)

    run_with_cell(body)


def test_a_submission_that_is_cancelled_leaves_no_unread_outcome():
    """Guards against asyncio's report of an exception that was never retrieved."""
    errors = []

    async def body(cell):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context["message"]))
        cell.store.pause()
        specs = [StepJobSpec(f"0{n}", "plans", "x", JOB.steps) for n in range(2)]
        submits = [
            asyncio.create_task(cell.intake.submit(spec, 3.0, relay=False))
            for spec in specs
        ]
        await asyncio.sleep(0.1)
        for submit in submits:
            submit.cancel()
        await asyncio.sleep(0.1)
        cell.store.down = True
        cell.store.resume()
        await asyncio.sleep(3.0)
        submits.clear()
        gc.collect()

    run_with_cell(body)
    assert errors == []


def test_jobs_behind_a_slow_write_do_not_flood_other_processes():
    """Guards against processes that are kept busy by jobs that none can store."""

    async def body(cell):
        await asyncio.sleep(1.0)
        # The store answers reads, but no write of this process.
        cell.intake._write_is_slow = True
        with pytest.raises(Refused):
            await cell.intake.submit(JOB, 3.0)
        assert len(cell.peers.requests) <= 20

    run_with_cell(body)


def test_a_job_of_another_process_is_shown_as_currently_stored():
    """Guards against stale states of processes that read changes once a second."""

    async def body(cell):
        other = MemoryStore(cell.engine)
        value = records.encode(JobRecord(JOB, 1.0, "n2"))
        await other.txn([], [Put(records.JOB_PREFIX + JOB.job_id, value)])
        assert await cell.intake.state(JOB.job_id) is StepJobState.QUEUED
        for state in (StepJobState.RUNNING, StepJobState.COMPLETED):
            await asyncio.sleep(0.3)
            value = records.encode(ProgressRecord(state))
            await other.txn([], [Put(records.PROGRESS_PREFIX + JOB.job_id, value)])
            await asyncio.sleep(STATE_AGE_S)
            assert await cell.intake.state(JOB.job_id) is state

    run_with_cell(body)


def test_a_mirror_without_a_heartbeat_reads_again_soon():
    """Guards against a lost leader that is noticed late beside other changes."""

    async def body(cell):
        loop = asyncio.get_running_loop()
        other = MemoryStore(cell.engine)
        mirror = Mirror(
            cell.monitored,
            "a/",
            cell.table,
            loop.time,
            cell.log,
            cell.faults,
            random.Random(1),
            read_interval_s=1.0,
            heartbeat_key="a/beat",
        )
        task = asyncio.create_task(mirror.run())
        reads = []
        for key in ("a/other", "a/beat"):
            await asyncio.sleep(2.0)
            before = cell.store.calls["changes"]
            for _ in range(50):
                await other.txn([], [Put(key, b"x")])
                await asyncio.sleep(0.1)
            reads.append(cell.store.calls["changes"] - before)
        task.cancel()
        assert reads[0] > 30 and reads[1] < 20

    run_with_cell(body)


def test_questions_of_many_callers_share_a_read():
    """Guards against a read of the store for each question."""

    async def body(cell):
        reads = cell.store.calls["changes"]
        for _ in range(100):
            await asyncio.gather(
                *(cell.intake.state("00ff") for _ in range(5)), return_exceptions=True
            )
            await asyncio.sleep(0.01)
        assert cell.store.calls["changes"] - reads <= 12

    run_with_cell(body)


def test_a_mirror_without_recent_changes_asks_the_leader():
    async def body(cell):
        leader = records.encode(LeaderRecord("n2", 4))
        await cell.store.txn([], [Put(records.LEADER_KEY, leader)])
        await cell.intake.submit(JOB, 3.0)
        await asyncio.sleep(COUNT_AGE_S + 1.0)
        cell.peers.answer = StateReply(StepJobState.RUNNING)
        assert await cell.intake.state(JOB.job_id) is StepJobState.RUNNING

    run_with_cell(body)


def test_the_state_of_an_unknown_job_is_not_found():
    async def body(cell):
        with pytest.raises(FlamingowayError) as error:
            await cell.intake.state("00bb")
        assert error.value.code is Code.NOT_FOUND

    run_with_cell(body)


def test_a_cancelled_job_is_shown_as_cancelled_and_not_counted_as_waiting():
    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        await asyncio.sleep(COUNT_AGE_S)
        assert cell.intake.waiting(QUEUE) == 1
        await cell.intake.cancel(JOB.job_id, 3.0)
        assert await cell.intake.state(JOB.job_id) is StepJobState.CANCELLED
        assert cell.intake.waiting(QUEUE) == 0

    run_with_cell(body)


def test_progress_is_shown():
    async def body(cell):
        await cell.intake.submit(JOB, 3.0)
        value = records.encode(ProgressRecord(StepJobState.COMPLETED))
        await cell.store.txn([], [Put(records.PROGRESS_PREFIX + JOB.job_id, value)])
        await asyncio.sleep(0.5)
        assert await cell.intake.state(JOB.job_id) is StepJobState.COMPLETED

    run_with_cell(body)


@pytest.mark.parametrize(
    "code, status",
    [
        (Code.STORE_UNAVAILABLE, 503),
        (Code.STARTING, 503),
        (Code.WRITE_UNRESOLVED, 504),
        (Code.BAD_REQUEST, 400),
        (Code.BODY_TOO_LARGE, 413),
        (Code.NOT_FOUND, 410),
    ],
)
def test_statuses_of_refusals(code, status):
    answer = error_answer(code, "why")
    assert answer.status == status
    assert ("Retry-After" in answer.headers) == (status == 503)


class Request:
    """An HTTP request of a caller."""

    def __init__(self, method, path, body=b"", host="jobs.example"):
        self.method, self.path, self.body = method, path, body
        self.headers = {"Host": host, "Deadline-Ms": "3000"}


@pytest.mark.parametrize(
    "request_, status",
    [
        (Request("POST", JOB_PATH, b'{"spec":"x","steps":[{"count":1}]}'), 200),
        (Request("POST", JOB_PATH, b"{"), 400),
        (Request("POST", f"/q/{JOB.job_id}", b"{}"), 404),
        (Request("POST", JOB_PATH, b"{}", host="other"), 404),
        (Request("GET", "/p/"), 200),
        (Request("GET", JOB_PATH), 410),
        (Request("DELETE", JOB_PATH), 410),
        (Request("PUT", JOB_PATH), 405),
    ],
)
def test_response_statuses(request_, status):
    async def body(cell):
        ingress = JobIngress(cell.intake, cell.metrics, cell.faults)
        assert (await ingress.handle(request_)).status == status

    run_with_cell(body)


@pytest.mark.parametrize(
    "body, why",
    [
        (b'{"spec":"%s","steps":[{"count":1}]}' % (b"x" * 4001), "spec"),
        ('{"spec":"%s","steps":[{"count":1}]}' % ("\u00e9" * 2001), "spec"),
        (b'{"steps":[]}', "steps"),
        (b'{"steps":[{"count":0}]}', "count"),
        (b'{"steps":[{"count":-1}]}', "count"),
        (b'{"steps":[{"cpu":-1}]}', "cpu"),
        (b'{"steps":[{"memMb":-1}]}', "memMb"),
        (b'{"steps":[{"gpu":-1}]}', "gpu"),
        (b'{"steps":[{"after":[0]}]}', "after"),
        (b'{"steps":[{},{"after":[2]}]}', "after"),
        (b'{"steps":[{},{"after":[-1]}]}', "after"),
    ],
)
def test_a_job_outside_the_limits_of_its_fields_is_rejected(body, why):
    """Guards against accepted jobs that workers reject or that can never end."""
    data = body.encode() if isinstance(body, str) else body

    async def check(cell):
        ingress = JobIngress(cell.intake, cell.metrics, cell.faults)
        answer = await ingress.handle(Request("POST", JOB_PATH, data))
        assert answer.status == 400 and why in answer.body.decode()
        assert (await ingress.handle(Request("GET", JOB_PATH))).status == 410

    run_with_cell(check)


def test_the_longest_spec_is_accepted():
    async def body(cell):
        ingress = JobIngress(cell.intake, cell.metrics, cell.faults)
        data = b'{"spec":"%s","steps":[{"count":1},{"after":[0]}]}' % (b"x" * 4000)
        answer = await ingress.handle(Request("POST", JOB_PATH, data))
        assert answer.status == 200

    run_with_cell(body)


def test_requests_are_unavailable_before_the_configuration_is_known():
    """Guards against status 404 for a queue before its configuration is loaded."""

    async def body(cell):
        cell.intake._desired = None
        ingress = JobIngress(cell.intake, cell.metrics, cell.faults)
        assert (await ingress.handle(Request("GET", "/p/"))).status == 503

    run_with_cell(body)
