"""Sizes of encoded worker messages and log records."""

import uuid

from flamingoway.core.effects import AckResult, StartTask
from flamingoway.core.reports import Attempt
from flamingoway.model import JobSpec, Policy, Resources
from flamingoway.proto import worker_pb2 as pb
from flamingoway.records import (
    ENCODER,
    JobAccepted,
    JobEnded,
    Record,
    TaskAssigned,
    TaskEnded,
)
from flamingoway.worker import WorkerCommand, to_command
from standins.worker_state import WorkerState

# Framing of one message: 5 bytes of gRPC prefix, 9 bytes of HTTP/2 frame header,
# and one TCP segment with 20 bytes of IPv4 and 32 bytes of TCP header with time
# stamps, acknowledged by a segment of 52 bytes in the other direction.
GRPC_BYTES = 5
HTTP2_BYTES = 9
SEGMENT_BYTES = 52
SEGMENT_PAYLOAD = 1448
SHARD = "bzh-1"
EPOCH = 1000
LEASE_S = 15.0
# Encoded as long as the sequence numbers of a long-lived stream.
LARGE_SEQUENCE = 1_000_000
WALL_S = 1.8e9
CAPACITY = Resources(16_000, 65_536)
TASK = Resources(1000, 1024)
PARAMS = b'{"run_ms": 1000}'
TRACEPARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


def framed(size: int) -> int:
    """Return the bytes on the network, in both directions, of a message."""
    payload = size + GRPC_BYTES + HTTP2_BYTES
    segments = -(-payload // SEGMENT_PAYLOAD)
    return payload + 2 * SEGMENT_BYTES * segments


def message_sizes() -> dict[str, int]:
    """Return the encoded sizes, in bytes without framing."""
    state, stream, starts = _worker_with_tasks(1)
    idle = _worker_with_tasks(0)
    two = _worker_with_tasks(2)
    attempt = Attempt(starts[0].task_id, 1)
    renewals = [Attempt(start.task_id, 1) for start in two[2]]
    report_idle = _report_size(idle[0], idle[1])
    report_one = _report_size(state, stream)
    report_two = _report_size(two[0], two[1])
    ack = AckResult("w", attempt.task_id, 1)
    return {
        "report_idle": report_idle,
        "report_per_task": report_two - report_one,
        "report_finished_extra": _finished_size(attempt),
        "command_one_renewal": _command_size(renewals=[attempt]),
        "command_per_renewal": _command_size(renewals=renewals)
        - _command_size(renewals=[attempt]),
        "command_start": _command_size(starts=starts),
        "command_ack": _command_size(acks=[ack]),
    } | _record_sizes()


def _command_size(**parts) -> int:
    command = WorkerCommand(LARGE_SEQUENCE, LEASE_S, **parts)
    return to_command(command, SHARD, EPOCH, LARGE_SEQUENCE).ByteSize()


def _report_size(state: WorkerState, stream) -> int:
    report = state.report(stream)
    report.seq = report.command_seq = LARGE_SEQUENCE
    return report.ByteSize()


def _finished_size(attempt: Attempt) -> int:
    entry = pb.FinishedTask(
        task=pb.TaskRef(task_id=attempt.task_id, attempt=1), result=b"{}"
    )
    return pb.Report(finished=[entry]).ByteSize()


def _worker_with_tasks(tasks: int):
    state = WorkerState("kerbihan-worker-100", CAPACITY, lambda: 0.0)
    stream = state.attach(SHARD, EPOCH)
    acked = state.report(stream).seq
    starts = [_start() for _ in range(tasks)]
    command = WorkerCommand(acked, LEASE_S, starts=starts)
    state.on_command(stream, to_command(command, SHARD, EPOCH, 1))
    return state, stream, starts


def _start() -> StartTask:
    spec = JobSpec(
        job_id=uuid.uuid4().hex,
        environment="kerbihan-production",
        member="agency-quimper",
        kind="fit-plan",
        policy=Policy.BATCH,
        resources=TASK,
        params=PARAMS,
        traceparent=TRACEPARENT,
    )
    return StartTask("kerbihan-worker-100", f"{spec.job_id}/0", 1, spec)


def _record_sizes() -> dict[str, int]:
    start = _start()
    accepted = JobAccepted(start.spec, WALL_S)
    assigned = TaskAssigned(start.task_id, 1, start.worker_id, WALL_S)
    ended = TaskEnded(start.task_id, 1, "succeeded", b"{}")
    job_ended = JobEnded(start.spec.job_id, "succeeded", 1000, "", WALL_S)
    lost = TaskEnded(start.task_id, 1, "lost")
    return {
        "records_per_job": _log_size([accepted, assigned, ended, job_ended]),
        "records_per_lost_task": _log_size([lost, assigned]),
    }


def _log_size(records: list[Record]) -> int:
    return sum(len(ENCODER.encode(record)) for record in records)
