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
        """Whether the state is terminal."""
        return self not in (StepJobState.QUEUED, StepJobState.RUNNING)


class EndKind(enum.StrEnum):
    """How a run of a task ended on its worker.

    Attributes:
        LEASE_EXPIRED: The worker's lease expired.
        GANG_BROKEN: Another task of the gang ended.
        GANG_INCOMPLETE: The other tasks of the gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_BROKEN = "broken"
    GANG_INCOMPLETE = "alone"


class StartReply(enum.Enum):
    """Outcome of an order to start a run.

    Attributes:
        RUNNING: The worker has started the run, now or earlier.
        FENCED: The worker has seen a higher fencing token.
        SUPERSEDED: The run's number is not higher than that of a run that ended there.
        LATE: The lease that the order carried has expired.
        NO_CAPACITY: The worker has too little free capacity.
        NO_TICKET: The ticket from the advice service is not valid.
        UNHEALTHY: The worker accepts no work at present.
        OTHER_INCARNATION: Another incarnation of the worker answered.
        INVALID: The worker rejected the order as invalid.
        NOT_SENT: The order did not leave this process.
        UNKNOWN: No answer came; the run may still start.
    """

    RUNNING = "running"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    LATE = "late"
    NO_CAPACITY = "no room"
    NO_TICKET = "no ticket"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other life"
    INVALID = "invalid"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AdviceTiming:
    """Expected duration of calls to the advice service, and lifetime of its tickets.

    Attributes:
        base_s: Fixed part of a call's duration.
        per_worker_s: Additional duration for each worker in the call.
        valid_s: Lifetime of a ticket.
    """

    base_s: float
    per_worker_s: float
    valid_s: float

    def duration(self, workers: int) -> float:
        """Return the duration of a call with ``workers`` workers, in seconds."""
        return self.base_s + self.per_worker_s * workers


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the desired state.

    Attributes:
        prefix: Prefix of the paths of requests for this queue.
        service: Service whose workers run the tasks.
        priority: 0 is the most urgent.
        max_attempts: Failed runs of a task after which its job has failed.
        stretch: Factor on the critical path in the latency objective.
        objective_s: Time added to the latency objective.
        advice: Set if starts need a ticket from the advice service.
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
    """One version of the operator's configuration.

    Attributes:
        services: Names of the services. That of a queue counts even if it is missing.
        services_without_admission_check: Services whose workers start every run that
            they are ordered to.
        max_body_bytes: Limit on the body of a request.
    """

    version: int
    queues: tuple[Queue, ...]
    services_without_admission_check: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144
    services: frozenset[str] = frozenset()

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix, or ``None``."""
        best = None
        for queue in self.queues:
            matches = queue.host == host and path.startswith(queue.prefix)
            if matches and (best is None or len(queue.prefix) > len(best.prefix)):
                best = queue
        return best

    def has_service(self, name: str) -> bool:
        """Return whether a service or a queue names a pool of workers."""
        return name in self.services or any(q.service == name for q in self.queues)

    def queue(self, name: str) -> Queue | None:
        """Return a queue by name, or ``None``."""
        return next((q for q in self.queues if q.name == name), None)


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: a number of identical tasks.

    Attributes:
        estimate_s: Declared duration of a task, often far off.
        after: Numbers of the steps that must complete first.
        gang: Whether the tasks must all run at the same time.
        same_rack: Whether the tasks are slow if spread over more than one rack.
        label: Label that a worker must have; empty for any.
        data_rack: Rack on which the tasks are fast; empty for any.
        per_worker: Limit on the step's tasks on one worker; 0 for no limit.
        lasting: Whether the tasks run until the job is cancelled.
        may_be_away: Disruption budget of a lasting step: tasks that orders may stop
            at the same time.
        filler: Whether the tasks reserve no processors and use those left idle.
        image: Name of the image that the tasks run.
        target_s: Upper limit on the tail latency of a lasting task; 0 for none.
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
    """Times at which the steps of a job are repeated.

    Attributes:
        repeats: Number of occurrences.
        first_at: Time of the first occurrence, in Unix seconds.
    """

    repeats: int
    first_at: float
    interval_s: float

    def due_at(self, occurrence: int) -> float:
        """Return the time of an occurrence, in Unix seconds."""
        return self.first_at + occurrence * self.interval_s


@dataclass(frozen=True, slots=True)
class StepJobSpec:
    """A job as submitted to a queue.

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
    """Registry entry that a worker publishes.

    Attributes:
        draining: Whether the worker is about to shut down.
        born_ms: Start of this incarnation of the worker, in Unix milliseconds; tells
            apart incarnations with the same id.
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
    """A run that a worker reports as running.

    Attributes:
        number: Number of the run among the runs of its task.
        checkpoint: Newest checkpoint; empty if there is none.
        percent: Progress, 0 to 100.
    """

    task_id: str
    number: int
    checkpoint: str = ""
    percent: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker reports as ended.

    Attributes:
        sequence: Sequence number of the ended run, from 1 in each incarnation.
        number: Number of the run among the runs of its task.
    """

    sequence: int
    task_id: str
    number: int
    kind: EndKind
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Answer of a worker to a poll.

    Attributes:
        clock_ms: The worker's monotonic clock.
        born_ms: Start of the worker's incarnation, in Unix milliseconds.
        complete: Whether no more runs have ended than those listed.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()
    complete: bool = True


@dataclass(frozen=True, slots=True)
class RunOrder:
    """An order to start one run.

    Attributes:
        number: Number of the run among the runs of its task.
        lease_ms: Time on the worker's monotonic clock at which the lease on all its
            runs expires.
        token: Fencing token.
        checkpoint: Checkpoint to resume from; empty to start anew.
        ticket: Ticket from the advice service; empty if none is needed.
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
    """Answer of the advice service: a ticket for each worker that may run a step.

    Attributes:
        tickets: Tickets by worker id.
        valid_s: Lifetime of the tickets from the answer.
    """

    tickets: dict[str, str] = field(default_factory=dict)
    valid_s: float = 0.0
