"""Records of stepped jobs in the store: keys and msgpack values."""

import msgspec

from ..errors import BadRequest
from .model import AdviceTiming, Queue, StepJobSpec, StepJobState, WorkerEntry

ROOT = "fw/"
JOB_PREFIX = "fw/job/"
PROGRESS_PREFIX = "fw/progress/"
CANCEL_PREFIX = "fw/cancel/"
PROCESS_PREFIX = "fw/member/"
WORKER_PREFIX = "fw/worker/"
LEADER_KEY = "fw/leader"
EPOCH_KEY = "fw/epoch"
# The store holds values of up to a megabyte.
MAX_PROGRESS_BYTES = 512 * 1024
# Cores of a process, far beyond any VM.
MAX_POWER = 10_000.0
# A leader hands over only to a process with this many times its processor time; a
# smaller gain does not justify the pause in scheduling.
HANDOVER_POWER_RATIO = 1.5


class QueueRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a leader needs of a job's queue; every process receives it with each job.

    Attributes:
        advice: Fields of ``AdviceTiming``, if the queue has an advice policy.
    """

    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    advice: tuple[float, float, float] | None = None

    @classmethod
    def of(cls, queue: Queue) -> "QueueRecord":
        """Return the record of a queue."""
        advice = queue.advice
        timing = advice and (advice.base_s, advice.per_worker_s, advice.valid_s)
        return cls(
            queue.service,
            queue.priority,
            queue.max_attempts,
            queue.stretch,
            queue.objective_s,
            timing,
        )

    def to_queue(self, name: str) -> Queue:
        """Return the queue, without the paths of its requests."""
        return Queue(
            name,
            "",
            "",
            self.service,
            self.priority,
            self.max_attempts,
            self.stretch,
            self.objective_s,
            AdviceTiming(*self.advice) if self.advice else None,
        )


class JobRecord(msgspec.Struct, frozen=True):
    """An accepted job.

    Attributes:
        accepted_at: Time of the acceptance, in Unix seconds.
        accepted_by: Name of the process that accepted the job, which its caller is
            likely to ask for its state.
        queue: The queue as configured at the acceptance, for leaders that find it
            removed from the configuration; ``None`` in records of older versions.
    """

    spec: StepJobSpec
    accepted_at: float
    accepted_by: str = ""
    queue: QueueRecord | None = None


class QueueOfSpec(msgspec.Struct, frozen=True):
    """Queue of a job; the other fields of its specification are not decoded."""

    queue: str


class JobSummary(msgspec.Struct, frozen=True):
    """The part of a ``JobRecord`` that every process needs."""

    spec: QueueOfSpec


class StepProgress(msgspec.Struct):
    """Durable progress of one step of one occurrence.

    Attributes:
        done: Indexes of the tasks that succeeded.
        failed_runs: Numbers of the failed runs by task index; the index is -1 for a
            gang.
        checkpoints: Newest checkpoint of each unfinished task, by index as above.
        numbers: Highest run number that may have been used, by index as above, where
            it may be beyond those of the leader's epoch.
    """

    done: list[int] = []
    failed_runs: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}
    numbers: dict[int, int] = {}


class ProgressRecord(msgspec.Struct):
    """Progress of a job.

    Attributes:
        steps: Progress by ``OCCURRENCE.STEP``.
        ended_at: Time at which the job ended, in Unix seconds; 0 while it is open.
    """

    state: StepJobState
    steps: dict[str, StepProgress] = {}
    ended_at: float = 0.0


class ProgressSummary(msgspec.Struct, frozen=True):
    """The part of a ``ProgressRecord`` that every process needs."""

    state: StepJobState
    ended_at: float = 0.0


class CancelRecord(msgspec.Struct, frozen=True):
    """A cancellation; it also holds for a job that is stored later.

    Attributes:
        cancelled_at: Time of the cancellation, in Unix seconds; 0 in records of older
            versions, which hold no ``CancelRecord``.
    """

    cancelled_at: float = 0.0


class ProcessRecord(msgspec.Struct, frozen=True):
    """A live entry process.

    Attributes:
        peer_address: ``IP:port`` for calls from other entry processes.
        power: Processor time available to the process, in cores.
    """

    name: str
    peer_address: str
    zone: str
    power: float = 1.0

    def should_lead_over(self, other: "ProcessRecord") -> bool:
        """Return whether this process should lead instead of ``other``."""
        return self.power > other.power * HANDOVER_POWER_RATIO


class LeaderRecord(msgspec.Struct, frozen=True):
    """The process that schedules.

    Attributes:
        epoch: Number of the leadership; increases with each election.
        writes: Number of the last write under this leadership; shows whether a write
            whose answer was lost was applied.
        settled: Whether no earlier leader can act any more.
    """

    name: str
    epoch: int
    writes: int = 0
    settled: bool = False


class WorkerRecord(msgspec.Struct, frozen=True):
    """A worker that may have runs; kept until it is certain that it has none.

    A leader writes ``tasks`` while the worker does not answer, and starts nothing there
    until a later write has removed them. Only the next leader may use them, since they
    do not include what others have started after it.

    Attributes:
        epoch: Epoch of the leader that wrote ``tasks``.
        tasks: Ids of the only tasks that may run there; ``None`` if it may run any.
    """

    entry: WorkerEntry
    epoch: int = 0
    tasks: tuple[str, ...] | None = None


ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[type, msgspec.msgpack.Decoder] = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (
        JobRecord,
        JobSummary,
        ProgressRecord,
        ProgressSummary,
        CancelRecord,
        ProcessRecord,
        LeaderRecord,
        WorkerRecord,
    )
}


def encode(record: msgspec.Struct) -> bytes:
    """Return a record as msgpack."""
    return ENCODER.encode(record)


def encode_progress(record: ProgressRecord) -> bytes:
    """Return progress as msgpack, without checkpoints if it would be too large.

    Without its checkpoint, a task that is interrupted begins anew.
    """
    value = encode(record)
    if len(value) <= MAX_PROGRESS_BYTES:
        return value
    for step in record.steps.values():
        step.checkpoints = {}
    return encode(record)


def decode(kind: type, value: bytes):
    """Decode a stored value as a record of type ``kind``.

    Raises:
        BadRequest: If the value is not such a record.
    """
    try:
        record = _DECODERS[kind].decode(value)
    # Records of other writers may be nested deeply or contain invalid text.
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise BadRequest(f"invalid {kind.__name__}: {exc}") from None
    if kind is ProcessRecord and not 0 < record.power <= MAX_POWER:
        raise BadRequest(f"power is {record.power}, not up to {MAX_POWER}")
    return record


def job_keys(job_id: str) -> tuple[str, ...]:
    """Return all store keys that a job may have."""
    prefixes = (JOB_PREFIX, PROGRESS_PREFIX, CANCEL_PREFIX)
    return tuple(prefix + job_id for prefix in prefixes)


def id_in_key(key: str) -> str:
    """Return the last segment of a key: a job id, worker id or process name."""
    return key.rpartition("/")[2]
