"""Messages between the entry processes that serve queues."""

from typing import ClassVar

from ..peer import Message, Request
from .model import Queue, StepJobSpec, StepJobState


class AskReply(Message):
    """Tickets by worker id, valid for ``valid_s`` seconds from receipt."""

    tickets: dict[str, str]
    valid_s: float


class AskRequest(Request):
    """Call the advice service on behalf of the leader."""

    reply: ClassVar[type[Message]] = AskReply

    step_id: str
    workers: list[str]
    timeout_s: float


class Done(Message):
    """The request was carried out."""


class AnnounceRequest(Request):
    """Notify the leader of a job that was stored during its leadership.

    Attributes:
        epoch: Epoch that the write of the job was conditional on.
        value: Encoded ``JobRecord``.
        revision: Revision of the write.
    """

    reply: ClassVar[type[Message]] = Done

    epoch: int
    job_id: str
    value: bytes
    revision: int


class SubmitRequest(Request):
    """Accept a job on behalf of a process that cannot reach the store.

    Attributes:
        queue: The job's queue as configured at the caller; ``None`` from callers of
            older versions.
    """

    reply: ClassVar[type[Message]] = Done

    spec: StepJobSpec
    timeout_s: float
    queue: Queue | None = None


class CancelRequest(Request):
    """Cancel a job on behalf of a process that cannot reach the store."""

    reply: ClassVar[type[Message]] = Done

    job_id: str
    timeout_s: float


class StateReply(Message):
    """State of a job."""

    state: StepJobState


class StateRequest(Request):
    """Return the state of a job, for a process whose own view may be stale."""

    reply: ClassVar[type[Message]] = StateReply

    job_id: str


class JobEnd(Message):
    """The stored end of a job; ``ended_at`` is in Unix seconds."""

    job_id: str
    state: StepJobState
    ended_at: float


class EndedRequest(Request):
    """Notify the process that accepted jobs of their stored ends."""

    reply: ClassVar[type[Message]] = Done

    ends: list[JobEnd]


class TakeOverRequest(Request):
    """Take over the leadership from the caller.

    The caller cannot reach the store or has much less processor time.

    Attributes:
        epoch: Epoch of the caller's leadership.
    """

    reply: ClassVar[type[Message]] = Done

    epoch: int
