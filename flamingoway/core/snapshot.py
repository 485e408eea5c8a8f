"""Encoding of a shard's state as a snapshot."""

from collections.abc import Iterable

import msgspec

from ..errors import FlamingowayError
from ..model import Job, JobSpec, JobState, Task, TaskState

SNAPSHOT_FORMAT = 1
MAX_PART_BYTES = 512 * 1024


class LedgerError(FlamingowayError):
    """A record or snapshot contradicts the state or cannot be read."""


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


class _Snapshot(msgspec.Struct, array_like=True):
    """Whole state of a shard."""

    format: int
    jobs: list[_JobRow]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_Snapshot)


def task_id_of(job_id: str, index: int) -> str:
    """Return the id of the task numbered ``index``, from 0, of a job."""
    return f"{job_id}/{index}"


def index_of(task_id: str) -> int:
    """Return the number of a task within its job, from 0."""
    return int(task_id.rpartition("/")[2])


def encode_snapshot(jobs: Iterable[Job]) -> list[bytes]:
    """Return jobs as parts of at most ``MAX_PART_BYTES``."""
    snapshot = _Snapshot(SNAPSHOT_FORMAT, [_job_row(job) for job in jobs])
    data = _ENCODER.encode(snapshot)
    starts = range(0, len(data), MAX_PART_BYTES)
    return [data[start : start + MAX_PART_BYTES] for start in starts]


def decode_snapshot(parts: Iterable[bytes]) -> list[Job]:
    """Return the jobs of a snapshot from its parts in order.

    Raises:
        LedgerError: If the parts are not a snapshot of a known format.
    """
    try:
        snapshot = _DECODER.decode(b"".join(parts))
    except msgspec.DecodeError as error:
        raise LedgerError(f"snapshot cannot be decoded: {error}") from error
    if snapshot.format != SNAPSHOT_FORMAT:
        raise LedgerError(f"snapshot format {snapshot.format} is not known")
    return [_job_from(row) for row in snapshot.jobs]


def _job_row(job: Job) -> _JobRow:
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
    )


def _job_from(row: _JobRow) -> Job:
    job_id = row.spec.job_id
    job = Job(row.spec, row.accepted_at)
    job.state = JobState(row.state)
    job.code = row.code
    job.reason = row.reason
    job.ended_at = row.ended_at
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
