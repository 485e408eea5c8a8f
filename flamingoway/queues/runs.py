"""State that the leader keeps in memory: open jobs, their steps, runs and workers."""

import enum
from collections import deque
from dataclasses import dataclass, field

from ..model import Resources
from .model import Queue, RunOrder, Step, StepJobSpec, StepJobState, WorkerEntry
from .records import ProgressRecord, StepProgress
from .workerhealth import WorkerHealth

# Key of the attempts of a gang, which fails or starts as a whole.
GANG = -1
# A worker's clock may be slow by 2%; one more allows for the rounding of times.
CLOCK_RATE_MIN = 0.97
# Leases are taken as ended only this long after the latest possible time.
LAPSE_MARGIN_S = 0.2
# Fencing tokens of one leadership; a token rises after each unanswered order.
TOKENS_PER_EPOCH = 100_000
# Numbers of runs of one task in one leadership, so that a new leader need not know
# the numbers of its predecessor.
RUNS_PER_EPOCH = 1000


class RunPhase(enum.Enum):
    """Phase of a run; a run holds its resources in each of them."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on a worker.

    Attributes:
        token: Fencing token of the order.
        placed_at: Time of the decision.
        confirmed_at: Time from which the worker is known to have the run.
        unresolved: Whether the order was not answered.
        stop_sent_at: Time of the last order to stop it.
        percent: Progress that the worker reported last.
        moved_at: Time at which the progress changed last.
    """

    step: "StepRun"
    index: int
    number: int
    worker: "WorkerState"
    token: int
    placed_at: float
    phase: RunPhase = RunPhase.STARTING
    confirmed_at: float = 0.0
    unresolved: bool = False
    stop_sent_at: float = float("-inf")
    checkpoint: str = ""
    percent: float = -1.0
    moved_at: float = 0.0

    @property
    def task_id(self) -> str:
        """Id of the task."""
        return self.step.task_id(self.index)

    @property
    def key(self) -> tuple[str, int]:
        """Task id and number, unique in the cell."""
        return self.task_id, self.number


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one occurrence of a job.

    Attributes:
        pending: Indexes of tasks to be started.
        done: Indexes of tasks that ended well.
        live: The current run of each task.
        failed_runs: Numbers of failed runs by index, ``GANG`` for a gang.
        last_numbers: Highest run number used, by the same key.
        checkpoints: Newest checkpoint by the same key.
        good: Ids of workers that the advice service allows; ``None`` if not known.
        tickets: Tickets by worker id.
        tickets_until: Time up to which the tickets are valid.
        asking: Whether a call to the advice service is on its way.
        asked_workers: Ids of the workers that were named in a call so far.
        retry_at: No start before this time.
        reserved: Resources kept on workers while tickets are being renewed.
        avoid: Workers on which tasks of this step failed.
        enough: Whether the allowed workers could hold the step if they were empty.
        blocked: Whether there was no room in the last pass of the planner.
        chain_s: Declared duration of the longest chain of steps from this one on.
        slots_when_empty: How many tasks fit on an empty worker of some capacity.
    """

    job: "OpenJob"
    occurrence: int
    number: int
    spec: Step
    due_at: float = 0.0
    ready: bool = False
    pending: list[int] = field(default_factory=list)
    done: set[int] = field(default_factory=set)
    live: dict[int, Run] = field(default_factory=dict)
    failed_runs: dict[int, set[int]] = field(default_factory=dict)
    last_numbers: dict[int, int] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    good: set[str] | None = None
    tickets: dict[str, str] = field(default_factory=dict)
    tickets_until: float = float("-inf")
    asking: bool = False
    asked_workers: set[str] = field(default_factory=set)
    retry_at: float = float("-inf")
    reserved: list[tuple["WorkerState", Resources]] = field(default_factory=list)
    avoid: set[str] = field(default_factory=set)
    enough: bool = False
    blocked: bool = False
    chain_s: float = 0.0
    slots_when_empty: dict[Resources, int] = field(default_factory=dict)
    id: str = field(init=False)

    def __post_init__(self):
        self.id = f"{self.job.spec.job_id}.{self.occurrence}.{self.number}"

    @property
    def complete(self) -> bool:
        """Whether all tasks ended well."""
        return len(self.done) == self.spec.count

    def task_id(self, index: int) -> str:
        """Return the id of a task."""
        return f"{self.id}.{index}"

    def attempt_key(self, index: int) -> int:
        """Return the key under which attempts of a task are counted."""
        return GANG if self.spec.gang else index

    def may_run_on(self, entry: WorkerEntry) -> bool:
        """Return whether a worker's service and labels allow tasks of the step."""
        if entry.service != self.job.queue.service:
            return False
        return not self.spec.label or self.spec.label in entry.labels

    def next_number(self, index: int, epoch: int) -> int:
        """Return a run number above all that were used."""
        key = self.attempt_key(index)
        first = (epoch - 1) * RUNS_PER_EPOCH + 1
        number = max(self.last_numbers.get(key, 0) + 1, first)
        self.last_numbers[key] = number
        return number

    def release_reservation(self) -> None:
        """Give back resources that were kept for this step."""
        for worker, amount in self.reserved:
            worker.used = worker.used - amount
        self.reserved.clear()

    def progress(self) -> StepProgress:
        """Return what must be kept of the step."""
        return StepProgress(
            done=sorted(self.done),
            failed_runs={k: sorted(v) for k, v in self.failed_runs.items()},
            checkpoints=dict(self.checkpoints),
        )


@dataclass(slots=True, eq=False)
class OpenJob:
    """A job that has not ended.

    Attributes:
        queue: Its queue, as last configured.
        accepted_at: Time of the acceptance on the leader's clock.
        objective_at: Time up to which its completion has full value.
        inherited: Whether a former leader may have started tasks of it.
        version: Rises with each change that must be stored.
        stored_version: Version that the store has.
        changed_at: Time of the first change that is not stored.
        urgent: Whether the change should be stored at once.
    """

    spec: StepJobSpec
    queue: Queue
    accepted_at: float
    accepted_wall: float
    objective_at: float = 0.0
    inherited: bool = False
    state: StepJobState = StepJobState.QUEUED
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    old_progress: dict[str, StepProgress] = field(default_factory=dict)
    next_occurrence: int = 0
    version: int = 0
    stored_version: int = 0
    changed_at: float = 0.0
    urgent: bool = False
    ended_wall: float = 0.0

    @property
    def dirty(self) -> bool:
        """Whether the store lacks a change."""
        return self.version > self.stored_version

    def changed(self, now: float, urgent: bool = False) -> None:
        """Note a change that must be stored."""
        if not self.dirty:
            self.changed_at = now
        self.version += 1
        self.urgent = self.urgent or urgent

    def record(self) -> ProgressRecord:
        """Return what must be kept of the job."""
        steps = dict(self.old_progress)
        if not self.state.final:
            for (occurrence, number), step in self.steps.items():
                steps[f"{occurrence}.{number}"] = step.progress()
        return ProgressRecord(self.state, steps, self.ended_wall)


@dataclass(slots=True, eq=False)
class WorkerState:
    """A worker and what runs on it.

    Attributes:
        used: Resources of runs and reservations.
        token: Fencing token of orders; rises after an unanswered one.
        settled: Whether it answered a look under a token of this leadership.
        recorded: Whether the store lists it as a worker on which runs may exist.
        listed: Whether the registry lists it.
        clock_ms: The worker's clock at ``clock_at``.
        lease_ms: Highest end of a lease that was sent, on the worker's clock.
        processed: Sequence number of the last end that was taken in.
        acknowledged: Sequence number up to which all ends are stored.
        unstored: Ends that wait for the store: sequence number, job and version.
        heard_at: Time of the last answer.
    """

    entry: WorkerEntry
    token: int
    health: WorkerHealth
    used: Resources = Resources()
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    strays: dict[tuple[str, int], float] = field(default_factory=dict)
    settled: bool = False
    recorded: bool = False
    listed: bool = True
    clock_ms: int = 0
    clock_at: float = float("-inf")
    lease_ms: int = 0
    processed: int = 0
    acknowledged: int = 0
    unstored: deque[tuple[int, OpenJob, int]] = field(default_factory=deque)
    heard_at: float = float("-inf")

    @property
    def free(self) -> Resources:
        """Resources that are neither used nor reserved."""
        return self.entry.capacity - self.used

    @property
    def usable(self) -> bool:
        """Whether new runs may be placed."""
        return (
            self.settled
            and self.recorded
            and self.listed
            and not self.entry.draining
            and not self.strays
        )

    def clock_estimate(self, now: float) -> int:
        """Return the worker's clock, in milliseconds."""
        return self.clock_ms + int((now - self.clock_at) * 1000)

    def lapsed_at(self) -> float:
        """Return the time at which all leases given to this life have ended."""
        remaining_s = (self.lease_ms - self.clock_ms) / 1000 / CLOCK_RATE_MIN
        return self.clock_at + max(0.0, remaining_s) + LAPSE_MARGIN_S

    def advance_acknowledged(self) -> None:
        """Acknowledge ends whose consequences are stored, in order."""
        while self.unstored:
            sequence, job, version = self.unstored[0]
            if job.stored_version < version:
                return
            self.acknowledged = max(self.acknowledged, sequence)
            self.unstored.popleft()


@dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a run."""

    run: Run
    order: RunOrder


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run; the run may belong to a former leader."""

    worker: WorkerState
    task_id: str
    number: int


@dataclass(frozen=True, slots=True)
class AskAdvice:
    """Call to the advice service.

    Attributes:
        rank: Calls of lower rank go first.
        duration_s: How long the service will take.
    """

    step: StepRun
    workers: tuple[str, ...]
    rank: tuple
    duration_s: float


@dataclass(frozen=True, slots=True)
class LookNow:
    """A worker must be looked at under its raised token."""

    worker: WorkerState


Order = StartRun | StopRun | AskAdvice | LookNow
