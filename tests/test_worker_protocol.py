"""Worker protocol: leases, results, and the commands that a worker refuses."""

import asyncio
import json
from itertools import count

import msgspec
import pytest

from flamingoway.model import Resources
from flamingoway.proto import worker_pb2 as pb
from standins.worker_state import StaleEpoch, WorkerState

LEASE_MS = 15_000


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class Harness:
    """A worker of four cores with an attached owner of epoch 1."""

    def __init__(self):
        self.clock = Clock()
        self.ledger = []
        self.state = WorkerState(
            "w1", Resources(4000, 4096), self.clock, self.ledger.append
        )
        self.stream = self.state.attach("s", 1)
        self.last = self.state.report(self.stream)

    def command(self, stream=None, **fields):
        fields.setdefault("ack_seq", self.last.seq)
        stream = stream or self.stream
        command = pb.Command(epoch=stream.epoch, shard="s", lease_ms=LEASE_MS, **fields)
        self.state.on_command(stream, command)

    def report(self, stream=None):
        self.last = self.state.report(stream or self.stream)
        return self.last

    def refusals(self):
        return [(r.task.task_id, r.task.attempt, r.reason) for r in self.last.refused]


def start(task_id="t", attempt=1, cores=1000, **params):
    resumable = params.pop("resumable", False)
    checkpoint = params.pop("checkpoint", b"")
    return pb.StartTask(
        task_id=task_id,
        attempt=attempt,
        resources=pb.Resources(cores_milli=cores, memory_mb=64),
        params=json.dumps(params).encode(),
        resumable=resumable,
        checkpoint=checkpoint,
    )


def test_a_lower_epoch_cannot_attach():
    harness = Harness()
    harness.state.attach("s", 3)
    with pytest.raises(StaleEpoch):
        harness.state.attach("s", 2)


def test_a_replaced_owner_cannot_start_renew_or_acknowledge():
    harness = Harness()
    harness.command(starts=[start(run_ms=10)])
    harness.clock.now += 1
    harness.state.attach("s", 2)
    with pytest.raises(StaleEpoch):
        harness.command(starts=[start("late")], acked_results=[_ref("t", 1)])
    harness.state.advance()
    assert harness.state.running == []
    assert harness.state.finished == [("t", 1)]


def test_a_second_stream_of_the_same_epoch_ends_the_first():
    """Guards against a start that arrives after the owner counted it as lost."""
    harness = Harness()
    harness.state.attach("s", 1)
    with pytest.raises(StaleEpoch):
        harness.command(starts=[start()])


REFUSALS = [
    ("capacity", [start("a", cores=3000), start("b", cores=2000)], 0, "CAPACITY"),
    ("duplicate", [start("b"), start("b")], 0, "DUPLICATE"),
    ("second attempt", [start("b"), start("b", 2)], 0, "DUPLICATE"),
    ("expired", [start("b")], 15.0, "EXPIRED"),
]


@pytest.mark.parametrize(
    ("starts", "delay", "reason"),
    [case[1:] for case in REFUSALS],
    ids=[case[0] for case in REFUSALS],
)
def test_refused_starts(starts, delay, reason):
    """Guards against overload, duplicate starts and starts that arrive too late."""
    harness = Harness()
    harness.clock.now += delay
    harness.command(starts=starts)
    harness.report()
    last = (starts[-1].task_id, starts[-1].attempt)
    assert harness.refusals() == [(*last, pb.RefusedStart.Reason.Value(reason))]


def test_a_start_that_acknowledges_an_unknown_report_is_refused():
    harness = Harness()
    harness.command(starts=[start()], ack_seq=99)
    harness.report()
    assert harness.refusals() == [("t", 1, pb.RefusedStart.EXPIRED)]


def test_a_finished_attempt_is_not_started_again():
    harness = Harness()
    harness.command(starts=[start(run_ms=0)])
    harness.report()
    harness.command(starts=[start()], acked_results=[_ref("t", 1)])
    harness.report()
    assert harness.refusals() == [("t", 1, pb.RefusedStart.DUPLICATE)]


def test_the_lease_counts_from_the_acknowledged_report():
    """Guards against a delayed renewal that extends a lease too far."""
    harness = Harness()
    harness.command(starts=[start(run_ms=-1)])
    harness.clock.now += 10
    harness.command(renewals=[_ref("t", 1)])
    harness.clock.now += 4.9
    assert harness.report().running
    harness.clock.now += 0.1
    report = harness.report()
    assert not report.running
    assert report.finished[0].outcome == pb.FinishedTask.LEASE_LAPSED


def test_a_renewal_of_a_fresh_report_extends_the_lease():
    harness = Harness()
    harness.command(starts=[start(run_ms=-1)])
    harness.clock.now += 10
    harness.report()
    harness.command(renewals=[_ref("t", 1)])
    harness.clock.now += 14
    assert harness.report().running


def test_results_are_kept_until_acknowledged():
    harness = Harness()
    harness.command(starts=[start(run_ms=5, result={"a": 1})])
    harness.clock.now += 1
    assert harness.report().finished[0].result == b'{"a": 1}'
    second = harness.state.attach("s", 2)
    assert harness.report(second).finished
    harness.command(second, acked_results=[_ref("t", 1)])
    assert not harness.report(second).finished


def test_checkpoint_and_resume_keep_progress():
    harness = Harness()
    harness.command(starts=[start(run_ms=1000, resumable=True)])
    harness.clock.now += 0.6
    harness.command(checkpoints=[_ref("t", 1)])
    saved = harness.report().finished[0]
    assert saved.outcome == pb.FinishedTask.CHECKPOINTED
    resumed = start("t", 2, run_ms=1000, resumable=True, checkpoint=saved.result)
    harness.command(starts=[resumed])
    harness.clock.now += 0.41
    assert [f.outcome for f in harness.report().finished][-1] == 0


def test_a_throttled_task_runs_longer():
    harness = Harness()
    harness.command(starts=[start(run_ms=1000)])
    throttle = pb.Throttle(task=_ref("t", 1), cores_milli=500)
    harness.command(throttles=[throttle])
    harness.clock.now += 1.5
    assert harness.report().running
    harness.clock.now += 0.5
    assert not harness.report().running


def test_the_grpc_adapter_carries_a_task_from_start_to_acknowledgement():
    """Guards against fields lost in the conversion from and to protobuf."""
    asyncio.run(_round_trip())


async def _round_trip():
    from flamingoway.context import boot_time
    from flamingoway.core.effects import AckResult, StartTask
    from flamingoway.model import JobSpec, Policy, WorkerInfo
    from flamingoway.worker import GrpcWorkerLink, LinkFenced, WorkerCommand
    from standins.worker import start_worker
    from tests.owner_bench import make_context

    state = WorkerState("w1", Resources(4000, 4096), boot_time)
    server, port, timer = await start_worker(state, 0)
    info = WorkerInfo("w1", f"127.0.0.1:{port}", "r", "z", "k", state.capacity)
    events: asyncio.Queue = asyncio.Queue()
    client = GrpcWorkerLink(make_context(), info, "s", 1, events, count(1))
    task = asyncio.create_task(client.run())
    try:
        event = await asyncio.wait_for(events.get(), 5)
        assert event.report.capacity == state.capacity
        spec = JobSpec("j", "e", "m", "k", Policy.BATCH, params=b'{"run_ms": 1}')
        seq = event.report.seq
        client.send(WorkerCommand(seq, 15, starts=[StartTask("w1", "j/0", 1, spec)]), 1)
        while not event.report.finished:
            event = await asyncio.wait_for(events.get(), 5)
        assert event.report.finished[0].outcome == "succeeded"
        assert event.command_seq == 1
        client.send(WorkerCommand(seq, 15, acks=[AckResult("w1", "j/0", 1)]), 1)
        newer = GrpcWorkerLink(make_context(), info, "s", 2, asyncio.Queue(), count(1))
        second = asyncio.create_task(newer.run())
        while not isinstance(event, LinkFenced):
            event = await asyncio.wait_for(events.get(), 5)
        assert state.finished == []
        second.cancel()
    finally:
        task.cancel()
        timer.cancel()
        await server.stop(None)


def _ref(task_id, attempt):
    return pb.TaskRef(task_id=task_id, attempt=attempt)


def test_a_link_reconnects_if_its_machine_does_not_answer():
    """Guards against a link that waits forever for a machine that does not answer."""
    asyncio.run(_reconnect())


async def _reconnect():
    from flamingoway.model import WorkerInfo
    from flamingoway.worker import GrpcWorkerLink
    from tests.owner_bench import make_context, until

    connections = []

    async def accept(_reader, writer):
        connections.append(writer)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    context = make_context()
    limits = msgspec.structs.replace(context.settings.limits, report_interval_s=0.05)
    context.settings = msgspec.structs.replace(context.settings, limits=limits)
    info = WorkerInfo("w1", f"127.0.0.1:{port}", "r", "z", "k", Resources())
    client = GrpcWorkerLink(context, info, "s", 1, asyncio.Queue(), count(1))
    task = asyncio.create_task(client.run())
    await until(lambda: len(connections) >= 2)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    for writer in connections:
        writer.close()
    server.close()
