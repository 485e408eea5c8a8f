"""Records of stepped jobs in the store: keys and msgpack values."""

import msgspec

from ..errors import BadRequest
from .model import StepJobSpec, StepJobState, WorkerEntry

ROOT = "fw/"
JOB_PREFIX = "fw/job/"
PROGRESS_PREFIX = "fw/progress/"
CANCEL_PREFIX = "fw/cancel/"
MEMBER_PREFIX = "fw/member/"
WORKER_PREFIX = "fw/worker/"
LEADER_KEY = "fw/leader"
EPOCH_KEY = "fw/epoch"
# A leadership moves for a process with this many times the processor time; less is
# not worth the pause.
STRONGER_FACTOR = 1.5


class JobRecord(msgspec.Struct, frozen=True):
    """An accepted job.

    Attributes:
        accepted_at: Time of day of the acceptance, in seconds since the epoch.
    """

    spec: StepJobSpec
    accepted_at: float


class StepProgress(msgspec.Struct):
    """What is known for good of one step of one occurrence.

    Attributes:
        done: Indexes of the tasks that ended well.
        failed_runs: Numbers of the failed runs, by index; -1 for a gang.
        checkpoints: Newest checkpoint of each unfinished task, by index.
    """

    done: list[int] = []
    failed_runs: dict[int, list[int]] = {}
    checkpoints: dict[int, str] = {}


class ProgressRecord(msgspec.Struct):
    """How far a job has come.

    Attributes:
        steps: Progress by ``OCCURRENCE.STEP``.
        ended_at: Time of day at which the job ended, 0 while it is open.
    """

    state: StepJobState
    steps: dict[str, StepProgress] = {}
    ended_at: float = 0.0


class MemberRecord(msgspec.Struct, frozen=True):
    """A live entry process.

    Attributes:
        peer_address: ``IP:port`` for calls of other entry processes.
        power: Processor time that the process gets, in cores.
    """

    name: str
    peer_address: str
    zone: str
    power: float = 1.0

    def is_stronger(self, other: "MemberRecord") -> bool:
        """Return whether this process should lead rather than another one."""
        return self.power > other.power * STRONGER_FACTOR


class LeaderRecord(msgspec.Struct, frozen=True):
    """The process that schedules.

    Attributes:
        epoch: Rises with each leadership.
        writes: Number of the last write under this leadership; tells whether a
            write whose answer was lost was applied.
        settled: Whether no leader before it can act any more.
    """

    name: str
    epoch: int
    writes: int = 0
    settled: bool = False


class WorkerRecord(msgspec.Struct, frozen=True):
    """A worker on which runs may exist, kept until they are proved to be gone."""

    entry: WorkerEntry


ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[type, msgspec.msgpack.Decoder] = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (JobRecord, ProgressRecord, MemberRecord, LeaderRecord, WorkerRecord)
}


def encode(record: msgspec.Struct) -> bytes:
    """Return the stored form of a record."""
    return ENCODER.encode(record)


def decode(kind: type, value: bytes):
    """Return the record of type ``kind`` in a stored value.

    Raises:
        BadRequest: If the value holds something else.
    """
    try:
        return _DECODERS[kind].decode(value)
    except msgspec.DecodeError as exc:
        raise BadRequest(f"not a {kind.__name__}: {exc}") from None


def keys_of_job(job_id: str) -> tuple[str, ...]:
    """Return all keys that belong to a job."""
    prefixes = (JOB_PREFIX, PROGRESS_PREFIX, CANCEL_PREFIX)
    return tuple(prefix + job_id for prefix in prefixes)


def job_id_of(key: str) -> str:
    """Return the job id at the end of a key."""
    return key.rpartition("/")[2]
