"""Links to workers: client interface and its adapter for the gRPC protocol."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Protocol

import grpc
from absl import logging

from .context import Context
from .core.effects import AckResult, StartTask, StopTask
from .core.reports import Attempt, FinishedAttempt, RefusedStart, WorkerReport
from .model import Resources, WorkerInfo
from .proto import worker_pb2 as pb
from .proto import worker_pb2_grpc
from .registry import Registry

# A result is stored in one log record, and a store value holds at most 1 MB.
MAX_RESULT_BYTES = 256 * 1024
MAX_REPORT_BYTES = 16 * 1024 * 1024
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 3.0
# A stream without a report for this many report intervals is reopened, because the
# platform does not close the connections of a machine that has disappeared.
REPORT_TIMEOUT_INTERVALS = 2.5

CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_REPORT_BYTES),
    ("grpc.max_send_message_length", MAX_REPORT_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
]

OUTCOMES = {
    pb.FinishedTask.SUCCEEDED: "succeeded",
    pb.FinishedTask.FAILED: "failed",
    pb.FinishedTask.STOPPED: "stopped",
    pb.FinishedTask.CHECKPOINTED: "checkpointed",
    pb.FinishedTask.LEASE_LAPSED: "lost",
}


@dataclass(slots=True)
class WorkerCommand:
    """What the owner sends to a worker.

    Attributes:
        ack_seq: Number of the acknowledged report. The worker counts the leases of
            starts and renewals from the time at which it sent that report.
        lease_s: Length of the lease, in seconds.
    """

    ack_seq: int
    lease_s: float
    starts: list[StartTask] = field(default_factory=list)
    stops: list[StopTask] = field(default_factory=list)
    acks: list[AckResult] = field(default_factory=list)
    renewals: list[Attempt] = field(default_factory=list)

    @property
    def empty(self) -> bool:
        """Whether the command asks for nothing."""
        return not (self.starts or self.stops or self.acks or self.renewals)


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report arrived.

    Attributes:
        stream: Number of the stream; a later stream has a higher one.
        command_seq: Number of the last command of this stream that the worker handled.
        received_at: Time of arrival by the monotonic clock, in seconds.
    """

    worker_id: str
    stream: int
    command_seq: int
    received_at: float
    report: WorkerReport


@dataclass(frozen=True, slots=True)
class LinkDown:
    """The stream to a worker ended; the link reconnects by itself."""

    worker_id: str
    stream: int


@dataclass(frozen=True, slots=True)
class LinkFenced:
    """The worker has seen a higher epoch; the link has ended."""

    worker_id: str


LinkEvent = ReportReceived | LinkDown | LinkFenced


class WorkerLink(Protocol):
    """Link of one shard owner to one worker.

    Built as ``link(context, info, shard, epoch, events, stream_numbers)``.
    Events go to the queue ``events``; each new stream takes its number from
    ``stream_numbers``.
    """

    async def run(self) -> None:
        """Stay attached until cancelled or fenced."""

    def send(self, command: WorkerCommand, stream: int) -> int:
        """Queue a command on stream number ``stream``.

        Returns:
            The command's number on that stream, 0 if the stream is not the current
            one.
        """


WORKER_LINKS: Registry[type] = Registry("worker link")


@WORKER_LINKS.register("grpc")
class GrpcWorkerLink:
    """Keeps one bidirectional stream to a worker and reconnects with backoff."""

    def __init__(
        self,
        context: Context,
        info: WorkerInfo,
        shard: str,
        epoch: int,
        events: asyncio.Queue[LinkEvent],
        stream_numbers: Iterator[int],
    ):
        self._context = context
        self._info = info
        self._shard = shard
        self._epoch = epoch
        self._events = events
        self._stream_numbers = stream_numbers
        self._stream_number = 0
        self._command_seq = 0
        self._outgoing: asyncio.Queue[pb.Command] | None = None
        self._failing = False

    @property
    def _report_timeout_s(self) -> float:
        interval_s = self._context.settings.limits.report_interval_s
        return interval_s * REPORT_TIMEOUT_INTERVALS

    def send(self, command: WorkerCommand, stream: int) -> int:
        """Queue a command on stream number ``stream``; return its number, or 0."""
        if self._outgoing is None or stream != self._stream_number:
            return 0
        self._command_seq += 1
        message = to_command(command, self._shard, self._epoch, self._command_seq)
        self._outgoing.put_nowait(message)
        return self._command_seq

    async def run(self) -> None:
        """Stay attached until cancelled or fenced."""
        backoff_s = MIN_BACKOFF_S
        while True:
            previous_stream_number = self._stream_number
            try:
                await self._attach_once()
            except grpc.aio.AioRpcError as exc:
                if exc.code() == grpc.StatusCode.FAILED_PRECONDITION:
                    self._events.put_nowait(LinkFenced(self._info.worker_id))
                    return
                self._note_failure(exc.code().name)
            except TimeoutError:
                self._note_failure("no report before the timeout")
            if self._stream_number != previous_stream_number:
                backoff_s = MIN_BACKOFF_S
            # Jitter spreads the reconnects when a whole rack comes back.
            await asyncio.sleep(backoff_s * self._context.rng.uniform(0.5, 1.5))
            backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)

    async def _attach_once(self) -> None:
        async with grpc.aio.insecure_channel(
            self._info.address, options=CHANNEL_OPTIONS
        ) as channel:
            call = worker_pb2_grpc.WorkerStub(channel).Attach()
            writer = None
            try:
                # An unresponsive machine must not block the attempt for long.
                async with asyncio.timeout(self._report_timeout_s):
                    await call.write(pb.Command(epoch=self._epoch, shard=self._shard))
                    first = await self._read_report(call)
                self._open_stream()
                writer = asyncio.create_task(self._write_commands(call, self._outgoing))
                await self._receive_reports(call, first)
            finally:
                self._close_stream()
                if writer is not None:
                    writer.cancel()
                call.cancel()

    def _open_stream(self) -> None:
        self._stream_number = next(self._stream_numbers)
        self._command_seq = 0
        self._outgoing = asyncio.Queue()
        self._failing = False

    def _close_stream(self) -> None:
        if self._outgoing is None:
            return
        self._outgoing = None
        self._events.put_nowait(LinkDown(self._info.worker_id, self._stream_number))

    async def _receive_reports(self, call, message) -> None:
        while message is not grpc.aio.EOF:
            self._events.put_nowait(self._to_event(message))
            message = await self._read_report(call)

    def _to_event(self, message: pb.Report) -> ReportReceived:
        return ReportReceived(
            worker_id=self._info.worker_id,
            stream=self._stream_number,
            command_seq=message.command_seq,
            received_at=self._context.clock(),
            report=from_report(message, self._info.worker_id),
        )

    async def _read_report(self, call):
        async with asyncio.timeout(self._report_timeout_s):
            message = await call.read()
        if message is grpc.aio.EOF:
            # The worker ended the stream; a status other than OK is raised.
            status = await call.code()
            if status != grpc.StatusCode.OK:
                raise grpc.aio.AioRpcError(
                    status,
                    await call.initial_metadata(),
                    await call.trailing_metadata(),
                )
        return message

    async def _write_commands(self, call, outgoing: asyncio.Queue[pb.Command]) -> None:
        while True:
            command = await outgoing.get()
            try:
                await call.write(command)
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                # The reader receives the status of the broken stream.
                return

    def _note_failure(self, reason: str) -> None:
        if not self._failing:
            logging.warning(
                "worker %s at %s cannot be reached: %s",
                self._info.worker_id,
                self._info.address,
                reason,
            )
        self._failing = True


def to_command(
    command: WorkerCommand, shard: str, epoch: int, command_seq: int
) -> pb.Command:
    """Encode a command; ``command_seq`` numbers the commands of one stream."""
    stops = [stop for stop in command.stops if not stop.checkpoint]
    checkpoints = [stop for stop in command.stops if stop.checkpoint]
    return pb.Command(
        epoch=epoch,
        shard=shard,
        seq=command_seq,
        ack_seq=command.ack_seq,
        lease_ms=round(command.lease_s * 1000),
        starts=[_to_start(start) for start in command.starts],
        stops=[_to_ref(stop) for stop in stops],
        checkpoints=[_to_ref(stop) for stop in checkpoints],
        acked_results=[_to_ref(ack) for ack in command.acks],
        renewals=[_to_ref(attempt) for attempt in command.renewals],
    )


def from_report(message: pb.Report, worker_id: str) -> WorkerReport:
    """Decode a report; results above ``MAX_RESULT_BYTES`` become failures."""
    return WorkerReport(
        worker_id=worker_id,
        seq=message.seq,
        capacity=_from_resources(message.capacity),
        running=[Attempt(ref.task_id, ref.attempt) for ref in message.running],
        finished=[_from_finished(entry) for entry in message.finished],
        refused=[
            RefusedStart(
                entry.task.task_id,
                entry.task.attempt,
                pb.RefusedStart.Reason.Name(entry.reason).lower(),
            )
            for entry in message.refused
        ],
        usage={
            entry.task.task_id: _from_resources(entry.used) for entry in message.usage
        },
    )


def _from_finished(entry: pb.FinishedTask) -> FinishedAttempt:
    outcome = OUTCOMES.get(entry.outcome, "failed")
    result, error = entry.result, entry.error
    if len(result) > MAX_RESULT_BYTES:
        error = f"the result has {len(result)} bytes; allowed: {MAX_RESULT_BYTES}"
        outcome, result = "failed", b""
    return FinishedAttempt(
        entry.task.task_id, entry.task.attempt, outcome, result, error
    )


def _to_start(start: StartTask) -> pb.StartTask:
    spec = start.spec
    return pb.StartTask(
        task_id=start.task_id,
        attempt=start.attempt,
        kind=spec.kind,
        member=spec.member,
        resources=pb.Resources(
            cores_milli=spec.resources.cores_milli,
            memory_mb=spec.resources.memory_mb,
            accelerators=spec.resources.accelerators,
        ),
        params=spec.params,
        traceparent=spec.traceparent,
        checkpoint=start.checkpoint,
        resumable=spec.resumable,
    )


def _to_ref(item: StartTask | StopTask | AckResult | Attempt) -> pb.TaskRef:
    return pb.TaskRef(task_id=item.task_id, attempt=item.attempt)


def _from_resources(message: pb.Resources) -> Resources:
    return Resources(message.cores_milli, message.memory_mb, message.accelerators)
