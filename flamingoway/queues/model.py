"""Data classes of queues, stepped jobs and the workers that run them."""

import enum
from dataclasses import dataclass, field

from ..model import Resources


class StepJobState(enum.StrEnum):
    """State of a stepped job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self not in (StepJobState.QUEUED, StepJobState.RUNNING)


class EndKind(enum.StrEnum):
    """How a run of a task ended on its worker.

    Attributes:
        LAPSED: The worker's lease expired.
        BROKEN: Another member of the gang ended.
        ALONE: The other members of the gang did not arrive in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class StartReply(enum.Enum):
    """What became of an order to start a run.

    Attributes:
        RUNNING: The worker has begun the run, now or earlier.
        FENCED: The worker follows a higher fencing token.
        SUPERSEDED: The run is not higher than one that ended there.
        LATE: The lease that the order carried has expired.
        NO_ROOM: The worker has no capacity for it.
        NO_TICKET: The ticket of the advice service is not valid.
        UNHEALTHY: The worker takes no work at present.
        OTHER_LIFE: Another incarnation of the worker answered.
        INVALID: The worker does not understand the order.
        NOT_SENT: The order did not leave this process.
        UNKNOWN: No answer came; the run may begin later.
    """

    RUNNING = "running"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other life"
    INVALID = "invalid"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AdviceTiming:
    """How long the advice service takes and how long its tickets hold.

    Attributes:
        base_s: Time of a call.
        per_worker_s: Additional time for each worker named.
        valid_s: Life of a ticket.
    """

    base_s: float
    per_worker_s: float
    valid_s: float

    def duration(self, workers: int) -> float:
        """Return the time of a call that names ``workers`` workers, in seconds."""
        return self.base_s + self.per_worker_s * workers


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the desired state.

    Attributes:
        priority: 0 is the most urgent.
        max_attempts: Failed runs of a task after which its job has failed.
        stretch: Factor on the critical path in the latency objective.
        objective_s: Time added to the latency objective.
        advice: Set if starts need a ticket.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective_s: float
    advice: AdviceTiming | None = None


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The newest configuration, as one version.

    Attributes:
        unguarded: Services whose workers start whatever they are told to start.
        max_body_bytes: Largest body of a request.
    """

    version: int
    queues: tuple[Queue, ...]
    unguarded: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue whose prefix matches most of the path, or ``None``."""
        best = None
        for queue in self.queues:
            matches = queue.host == host and path.startswith(queue.prefix)
            if matches and (best is None or len(queue.prefix) > len(best.prefix)):
                best = queue
        return best

    def queue(self, name: str) -> Queue | None:
        """Return a queue by name, or ``None``."""
        return next((q for q in self.queues if q.name == name), None)


@dataclass(frozen=True, slots=True)
class Step:
    """Equal tasks of a job.

    Attributes:
        after: Numbers of the steps that must be done first.
        gang: Whether the tasks work only together.
        same_rack: Whether tasks on more than one rack are slow.
        label: Label that a worker must have; empty for any.
        data_rack: Rack on which the tasks are fast; empty for any.
        per_worker: Most tasks of the step on one worker; 0 for no limit.
        lasting: Whether the tasks run until the job is cancelled.
        may_be_away: Tasks of a lasting step that orders may take away at once.
        filler: Whether the tasks use what others leave of a worker's processors.
        image: Name of what the tasks run.
        target_s: Tail latency that a lasting task must stay below; 0 for none.
        estimate_s: Declared duration of a task, often far off.
    """

    count: int
    resources: Resources
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_worker: int = 0
    checkpointing: bool = False
    speculative: bool = False
    lasting: bool = False
    may_be_away: int = 0
    filler: bool = False
    image: str = ""
    target_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Schedule:
    """Times at which the steps of a job are repeated, by the time of day."""

    repeats: int
    first_at: float
    interval_s: float


@dataclass(frozen=True, slots=True)
class StepJobSpec:
    """What a caller submitted to a queue.

    Attributes:
        payload: Text that is passed to each task.
        schedule: Set if the steps run several times.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    schedule: Schedule | None = None


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker says of itself in the registry.

    Attributes:
        born_ms: Start of this life of the worker, Unix milliseconds; two lives with
            the same id differ in it.
        draining: Whether the worker is about to leave.
    """

    worker_id: str
    service: str
    address: str
    zone: str
    capacity: Resources
    labels: tuple[str, ...] = ()
    draining: bool = False
    born_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker lists as running.

    Attributes:
        checkpoint: Newest checkpoint; empty if there is none.
        percent: Progress, 0 to 100.
    """

    task_id: str
    number: int
    checkpoint: str = ""
    percent: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker lists as ended.

    Attributes:
        sequence: Position in the worker's list of ends, from 1 in each life.
    """

    sequence: int
    task_id: str
    number: int
    kind: EndKind
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to a look.

    Attributes:
        clock_ms: The worker's steady clock.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


@dataclass(frozen=True, slots=True)
class RunOrder:
    """An order to start one run.

    Attributes:
        lease_ms: Time on the worker's clock up to which everything there may run.
        token: Fencing token.
    """

    worker_id: str
    task_id: str
    number: int
    payload: str
    lease_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class Advice:
    """Answer of the advice service: a ticket for each worker that may run a step."""

    tickets: dict[str, str] = field(default_factory=dict)
    valid_s: float = 0.0
