"""Encoding of a shard's state as a snapshot."""

from collections.abc import Iterable

import msgspec

from ..errors import FlamingowayError
from ..model import Job, JobSpec, JobState, Task, TaskState
from .withdrawals import Withdrawal

SNAPSHOT_FORMAT = 1
MAX_PART_BYTES = 512 * 1024


class LedgerError(FlamingowayError):
    """A record contradicts the state, or a snapshot cannot be decoded."""


class _TaskRow(msgspec.Struct, array_like=True):
    """A task in a snapshot."""

    state: str
    attempt: int
    failures: int
    worker_id: str
    result: bytes
    error: str
    checkpoint: bytes
    failed_on: list[str]


class _JobRow(msgspec.Struct, array_like=True):
    """A job in a snapshot, with its tasks in order."""

    spec: JobSpec
    accepted_at: float
    state: str
    code: int
    reason: str
    ended_at: float
    tasks: list[_TaskRow]
    cancelled_at: float = 0.0


class _WithdrawalRow(msgspec.Struct, array_like=True):
    """A cancelled job id without a job."""

    environment: str
    member: str
    job_id: str
    at: float


class _Snapshot(msgspec.Struct, array_like=True):
    """Complete state of a shard."""

    format: int
    jobs: list[_JobRow]
    withdrawals: list[_WithdrawalRow] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def task_id_of(job_id: str, index: int) -> str:
    """Return the id of a task of a job; ``index`` counts from 0."""
    return f"{job_id}/{index}"


def task_index_of(task_id: str) -> int:
    """Return the index of a task within its job, from 0."""
    return int(task_id.rpartition("/")[2])


def encode_snapshot(
    jobs: Iterable[Job], withdrawals: Iterable[Withdrawal] = ()
) -> list[bytes]:
    """Encode the state as a snapshot, in parts of at most ``MAX_PART_BYTES``."""
    snapshot = _Snapshot(
        SNAPSHOT_FORMAT,
        [_row_from_job(job) for job in jobs],
        [_WithdrawalRow(w.environment, w.member, w.job_id, w.at) for w in withdrawals],
    )
    data = _ENCODER.encode(snapshot)
    starts = range(0, len(data), MAX_PART_BYTES)
    return [data[start : start + MAX_PART_BYTES] for start in starts]


def decode_snapshot(parts: Iterable[bytes]) -> tuple[list[Job], list[Withdrawal]]:
    """Decode the jobs and withdrawals of a snapshot from its parts, in order.

    Raises:
        LedgerError: If the parts cannot be decoded or have an unknown format.
    """
    try:
        snapshot = _DECODER.decode(b"".join(parts))
    except msgspec.DecodeError as error:
        raise LedgerError(f"snapshot cannot be decoded: {error}") from error
    if snapshot.format != SNAPSHOT_FORMAT:
        raise LedgerError(
            f"unknown snapshot format {snapshot.format}, expected {SNAPSHOT_FORMAT}"
        )
    jobs = [_job_from_row(row) for row in snapshot.jobs]
    withdrawals = [
        Withdrawal(row.environment, row.member, row.job_id, row.at)
        for row in snapshot.withdrawals
    ]
    return jobs, withdrawals


def _row_from_job(job: Job) -> _JobRow:
    tasks = [
        _TaskRow(
            task.state.value,
            task.attempt,
            task.failures,
            task.worker_id,
            task.result,
            task.error,
            task.checkpoint,
            task.failed_on,
        )
        for task in job.tasks
    ]
    return _JobRow(
        job.spec,
        job.accepted_at,
        job.state.value,
        job.code,
        job.reason,
        job.ended_at,
        tasks,
        job.cancelled_at,
    )


def _job_from_row(row: _JobRow) -> Job:
    job_id = row.spec.job_id
    job = Job(row.spec, row.accepted_at)
    job.state = JobState(row.state)
    job.code = row.code
    job.reason = row.reason
    job.ended_at = row.ended_at
    job.cancelled_at = row.cancelled_at
    job.tasks = [
        Task(
            task_id_of(job_id, index),
            job_id,
            TaskState(task.state),
            task.attempt,
            task.failures,
            task.worker_id,
            task.result,
            task.error,
            task.checkpoint,
            list(task.failed_on),
        )
        for index, task in enumerate(row.tasks)
    ]
    return job
