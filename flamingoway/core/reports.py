"""Worker reports in the form that the scheduler processes."""

from dataclasses import dataclass, field

from ..model import Resources


@dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt to run a task."""

    task_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class FinishedAttempt:
    """An attempt that ended on a worker.

    Attributes:
        outcome: ``succeeded``, ``failed``, ``stopped``, ``checkpointed`` or
            ``lost`` (the worker ended it because its lease expired).
    """

    task_id: str
    attempt: int
    outcome: str
    result: bytes = b""
    error: str = ""


@dataclass(frozen=True, slots=True)
class RefusedStart:
    """A start that the worker refused; the attempt did not run there.

    Attributes:
        reason: ``capacity``, ``stale_epoch``, ``expired``, ``duplicate`` or
            ``draining``.
    """

    task_id: str
    attempt: int
    reason: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """State of a worker, as reported by it.

    Attributes:
        acked_starts: Whether ``running`` reflects every start that the owner sent
            before; if so, an attempt missing from it is not running.
    """

    worker_id: str
    seq: int
    capacity: Resources
    running: list[Attempt]
    finished: list[FinishedAttempt] = field(default_factory=list)
    refused: list[RefusedStart] = field(default_factory=list)
    usage: dict[str, Resources] = field(default_factory=dict)
    acked_starts: bool = False
