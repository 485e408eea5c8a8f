"""Records of a shard's log.

Each record describes one decision. Records are applied in log order by
``core.ledger.Ledger`` and encoded as MessagePack arrays in the store.
"""

import msgspec

from .model import JobSpec


class Record(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all log records."""


class JobAccepted(Record, tag="ja"):
    """A job was accepted.

    Attributes:
        at: Wall-clock time, in seconds since the epoch.
    """

    spec: JobSpec
    at: float


class JobScaled(Record, tag="js"):
    """The number of tasks of a service changed."""

    job_id: str
    tasks: int


class TaskAssigned(Record, tag="ta"):
    """A task was assigned to a worker and may be started there."""

    task_id: str
    attempt: int
    worker_id: str
    at: float = 0.0


class TaskStopping(Record, tag="ts"):
    """A placed task was told to stop; it holds its resources until it has ended.

    Attributes:
        checkpoint: Whether the worker is asked for a state to resume from.
    """

    task_id: str
    attempt: int
    checkpoint: bool = False


class TaskEnded(Record, tag="te"):
    """A task attempt ended on its worker.

    Attributes:
        outcome: ``succeeded``, ``failed``, ``stopped``, ``checkpointed``,
            ``refused`` (the worker did not start it) or ``lost`` (its worker can no
            longer run it).
        counted: Whether a failure counts against the job; failures on a worker on
            which every task fails do not.
    """

    task_id: str
    attempt: int
    outcome: str
    result: bytes = b""
    error: str = ""
    counted: bool = True


class JobEnded(Record, tag="je"):
    """A job reached its final state."""

    job_id: str
    state: str
    code: int = 0
    reason: str = ""
    at: float = 0.0


class CancelRequested(Record, tag="cr"):
    """A member cancelled a job.

    Without a job of this id, a later submission of the member with it is refused.
    """

    job_id: str
    at: float = 0.0
    environment: str = ""
    member: str = ""


class JobRemoved(Record, tag="jf"):
    """A finished job passed its retention time and was removed."""

    job_id: str


AnyRecord = (
    JobAccepted
    | JobScaled
    | TaskAssigned
    | TaskStopping
    | TaskEnded
    | JobEnded
    | CancelRequested
    | JobRemoved
)


class Group(msgspec.Struct, frozen=True):
    """One committed group of records, the value of ``log/<seq>``.

    Attributes:
        write_id: Random id, which tells which write took effect.
        epoch: Epoch of the owner that wrote it.
    """

    write_id: str
    epoch: int
    records: list[AnyRecord]


ENCODER = msgspec.msgpack.Encoder()
GROUP_DECODER = msgspec.msgpack.Decoder(Group)


def encode_group(group: Group) -> bytes:
    """Encode a group for the store."""
    return ENCODER.encode(group)


def decode_group(data: bytes) -> Group:
    """Decode a group read from the store.

    Raises:
        msgspec.DecodeError: If the bytes are not a group.
    """
    return GROUP_DECODER.decode(data)
