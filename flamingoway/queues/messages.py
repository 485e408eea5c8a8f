"""Messages between the entry processes that serve queues."""

from typing import ClassVar

from ..peer import Message, Request


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
