"""Messages between the entry processes that serve queues."""

from typing import ClassVar

from ..peer import Message, Request
from .model import StepJobSpec, StepJobState


class AskReply(Message):
    """Tickets by worker id, valid from now for ``valid_s`` seconds."""

    tickets: dict[str, str]
    valid_s: float


class AskRequest(Request):
    """Ask the advice service on behalf of the leader."""

    reply: ClassVar[type[Message]] = AskReply

    step_id: str
    workers: list[str]
    timeout_s: float


class Done(Message):
    """The request was carried out."""


class AnnounceRequest(Request):
    """Tell the leader of a job at once that was stored while it led.

    Attributes:
        epoch: Epoch of the leadership that the job's write was conditional on.
        value: Stored ``JobRecord``.
        revision: Revision of the write.
    """

    reply: ClassVar[type[Message]] = Done

    epoch: int
    job_id: str
    value: bytes
    revision: int


class SubmitRequest(Request):
    """Accept a job for a process that does not reach the store."""

    reply: ClassVar[type[Message]] = Done

    spec: StepJobSpec
    timeout_s: float


class CancelRequest(Request):
    """Cancel a job for a process that does not reach the store."""

    reply: ClassVar[type[Message]] = Done

    job_id: str
    timeout_s: float


class StateReply(Message):
    """State of a job."""

    state: StepJobState


class StateRequest(Request):
    """Tell the state of a job to a process that does not reach the store."""

    reply: ClassVar[type[Message]] = StateReply

    job_id: str


class TakeOverRequest(Request):
    """Lead in place of a process that does not reach the store."""

    reply: ClassVar[type[Message]] = Done

    epoch: int
