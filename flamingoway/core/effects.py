"""Effects that the owner carries out after a group has been committed."""

from dataclasses import dataclass, field

from ..model import JobSpec
from ..records import AnyRecord


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a task on its worker."""

    worker_id: str
    task_id: str
    attempt: int
    spec: JobSpec
    checkpoint: bytes = b""


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task; if ``checkpoint`` is set, save its state first."""

    worker_id: str
    task_id: str
    attempt: int
    checkpoint: bool = False


@dataclass(frozen=True, slots=True)
class AckResult:
    """Tell a worker that the result of an attempt is committed."""

    worker_id: str
    task_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the caller that is identified by ``waiter``.

    Attributes:
        waiter: Opaque value that the caller passed with its request.
        code: Result code, a value of ``Code``.
    """

    waiter: object
    code: int
    job_id: str = ""
    message: str = ""
    details: dict = field(default_factory=dict)


Effect = StartTask | StopTask | AckResult | Reply


@dataclass(slots=True)
class Batch:
    """Records to commit as one group, and effects to carry out after the commit."""

    records: list[AnyRecord] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)

    @property
    def empty(self) -> bool:
        """Whether there is nothing to commit or carry out."""
        return not self.records and not self.effects
