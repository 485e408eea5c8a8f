"""State that the leader keeps in memory: open jobs, their steps, runs and workers."""

import enum
from collections import deque
from dataclasses import dataclass, field

from ..model import Resources
from .health import WorkerHealth
from .model import Queue, RunOrder, Step, StepJobSpec, StepJobState, WorkerEntry
from .records import ProgressRecord, StepProgress

# Key of the attempts of a gang, whose tasks start and fail together.
GANG_KEY = -1
# A worker's clock may run 2% slow; another 1% allows for rounding.
MIN_CLOCK_RATE = 0.97
# A lease counts as expired only this long after its latest possible end.
LEASE_EXPIRY_MARGIN_S = 0.2
# A worker accepts leases of up to this many times ``Platform.lease_s``.
MAX_LEASE_FACTOR = 1.06
# Longest lease that is granted. By the users' rules a lasting task must run again
# within 9 s of the loss of its worker. Up to 1.5 s of that are for the drift of the
# worker's clock, for noticing that the lease has expired, and for the start.
MAX_GRANTED_LEASE_S = 7.0
# An order that is not answered may be executed up to this long after it was sent.
MAX_ORDER_DELAY_S = 8.0
# Fencing tokens per leader epoch; the token rises after each unanswered order.
TOKENS_PER_EPOCH = 100_000
# Run numbers per task and leader epoch, so that a new leader need not know the
# numbers that its predecessor used, unless more were stored as reserved.
RUNS_PER_EPOCH = 1000
# More numbers are reserved when this many are left. They are stored long before a task
# has started so often.
MIN_NUMBERS_LEFT = 500
# First delay after a worker rejected an order as invalid, enough to try another worker
# without keeping the planner busy.
REJECTED_DELAY_S = 0.1
# Calls with orders that may be in flight to one worker, which accepts 64 connections
# from all processes together, and to all workers, each of which takes a descriptor.
MAX_CALLS_PER_WORKER = 32
MAX_CALLS_IN_FLIGHT = 512


class RunPhase(enum.Enum):
    """Phase of a run; its resources are allocated in every phase."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on a worker.

    Attributes:
        token: Fencing token of the start order.
        placed_at: Time of the placement decision.
        confirmed_at: Time from which the worker is known to have the run; 0 before.
        unresolved: Whether the start order was not answered.
        in_flight: Whether the outcome of the start order is not known yet.
        stop_sent_at: Time of the last stop order.
        percent: Last reported progress, 0 to 100; -1 before the first report.
        moved_at: Time at which the reported progress last changed; moved forward by
            times during which the worker did not answer.
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
    in_flight: bool = False
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

    @property
    def reported(self) -> bool:
        """Whether a poll has shown the run."""
        return self.percent >= 0


@dataclass(frozen=True, slots=True)
class InheritedRuns:
    """Runs of a former leader that may exist on a worker.

    Attributes:
        until: Time by which all of them have ended.
        tasks: Ids of the only tasks that may run there, possibly none; ``None`` if it
            may run any.
    """

    until: float
    tasks: frozenset[str] | None = None


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission of the advice service to run a step on a worker.

    Attributes:
        value: Text that a start order carries.
        valid_until: Time at which it expires.
    """

    value: str
    valid_until: float


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one occurrence of a job.

    Attributes:
        ready: Whether all predecessors are complete.
        pending: Indexes of tasks to start.
        done: Indexes of tasks that succeeded.
        live: The current run of each task.
        failed_runs: Numbers of failed runs by task index, ``GANG_KEY`` for a gang.
        last_numbers: Highest run number used, or reserved by a former leader, by the
            same key.
        reserved_numbers: Highest run number reserved for this leader, by the same key,
            where those of its epoch do not suffice.
        checkpoints: Newest checkpoint by the same key.
        allowed_workers: Ids of the workers that the advice service allows; ``None``
            before its first answer.
        tickets: Newest ticket by worker id; it may have expired.
        advice_pending: Whether a call to the advice service is in flight.
        asked_workers: Ids of all workers named in calls to the advice service.
        restarted_workers: Ids of the workers that restarted or were removed during the
            call in flight; its answer is ignored for these.
        retry_at: Time before which no task is started.
        reserved: Task indexes, workers and amounts reserved while tickets are being
            renewed.
        unasked_workers: Workers of the reservation that no call for renewal has named.
        failed_workers: Times of the last failures of tasks of this step, by worker id.
        failed_at: Time of the last failure of a task.
        avoids_failures: Whether the planner's last pass excluded these workers.
        rejecting_workers: Ids of the workers that rejected an order of this step as
            invalid; others are preferred.
        rejected_at: Time of the last rejection that delayed the step.
        rejected_delay_s: Delay after the next rejection, in seconds.
        blocked: Whether some tasks did not fit in the planner's last pass.
        critical_path_s: Declared duration of the critical path from this step on.
        slots_when_empty: Number of tasks that fit on an empty worker, by its capacity.
        wait_logged_at: Time at which the log last told why the step waits.
        advice_asked_at: Time of the last call to the advice service.
        others_asked_at: Time of the last call about workers not named before, unless it
            failed.
        advice_retry_s: Delay after the last call to the advice service; 0 unless it
            failed.
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
    reserved_numbers: dict[int, int] = field(default_factory=dict)
    checkpoints: dict[int, str] = field(default_factory=dict)
    allowed_workers: set[str] | None = None
    tickets: dict[str, Ticket] = field(default_factory=dict)
    advice_pending: bool = False
    asked_workers: set[str] = field(default_factory=set)
    restarted_workers: set[str] = field(default_factory=set)
    retry_at: float = float("-inf")
    reserved: list[tuple[int, "WorkerState", Resources]] = field(default_factory=list)
    unasked_workers: list["WorkerState"] = field(default_factory=list)
    failed_workers: dict[str, float] = field(default_factory=dict)
    failed_at: float = float("-inf")
    avoids_failures: bool = False
    rejecting_workers: set[str] = field(default_factory=set)
    rejected_at: float = float("-inf")
    rejected_delay_s: float = REJECTED_DELAY_S
    blocked: bool = False
    critical_path_s: float = 0.0
    slots_when_empty: dict[Resources, int] = field(default_factory=dict)
    wait_logged_at: float = float("-inf")
    advice_asked_at: float = float("-inf")
    others_asked_at: float = float("-inf")
    advice_retry_s: float = 0.0
    id: str = field(init=False)

    def __post_init__(self):
        self.id = f"{self.job.spec.job_id}.{self.occurrence}.{self.number}"

    @property
    def complete(self) -> bool:
        """Whether all tasks succeeded."""
        return len(self.done) == self.spec.count

    def task_id(self, index: int) -> str:
        """Return the id of a task."""
        return f"{self.id}.{index}"

    def attempt_key(self, index: int) -> int:
        """Return the key under which attempts of a task are counted."""
        return GANG_KEY if self.spec.gang else index

    def may_run_on(self, entry: WorkerEntry) -> bool:
        """Return whether a worker's service and labels allow tasks of the step."""
        if entry.service != self.job.queue.service:
            return False
        return not self.spec.label or self.spec.label in entry.labels

    def has_ticket(self, worker_id: str, at: float) -> bool:
        """Return whether the step has a ticket for a worker that is valid at a time."""
        ticket = self.tickets.get(worker_id)
        return ticket is not None and at < ticket.valid_until

    def next_number(self, index: int, epoch: int, now: float) -> int:
        """Return a run number higher than all used before."""
        key = self.attempt_key(index)
        first = (epoch - 1) * RUNS_PER_EPOCH + 1
        number = max(self.last_numbers.get(key, 0) + 1, first)
        self.last_numbers[key] = number
        available = self.reserved_numbers.get(key, epoch * RUNS_PER_EPOCH)
        if available - number < MIN_NUMBERS_LEFT:
            self.reserved_numbers[key] = number + RUNS_PER_EPOCH
            self.job.mark_changed(now)
        return number

    def note_number(self, index: int, number: int) -> None:
        """Record a run number that another leader may have used."""
        key = self.attempt_key(index)
        self.last_numbers[key] = max(self.last_numbers.get(key, 0), number)

    def release_reservation(self) -> None:
        """Free the resources that are reserved for this step."""
        for _, worker, amount in self.reserved:
            worker.used = worker.used - amount
            worker.reserved_tasks -= 1
        self.reserved.clear()
        self.unasked_workers.clear()

    def progress(self) -> StepProgress:
        """Return the progress of the step to store."""
        return StepProgress(
            done=sorted(self.done),
            failed_runs={k: sorted(v) for k, v in self.failed_runs.items()},
            checkpoints=dict(self.checkpoints),
            numbers=dict(self.reserved_numbers),
        )


@dataclass(slots=True, eq=False)
class OpenJob:
    """A job that has not ended, or whose end is not stored yet.

    Attributes:
        queue: Its queue, as last configured.
        accepted_at: Time of acceptance on the leader's monotonic clock.
        accepted_wall: Wall-clock time of acceptance.
        accepted_by: Name of the process that accepted it.
        objective_at: Deadline of the latency objective.
        inherited: Whether a former leader may have started tasks of the job.
        restored_progress: Stored progress of steps that are not open yet.
        version: Incremented with each change that must be stored.
        stored_version: Last version that is stored.
        changed_at: Time of the first change that is not stored.
        urgent: Whether the change should be stored immediately.
        ended_wall: Wall-clock time of the end; 0 before.
    """

    spec: StepJobSpec
    queue: Queue
    accepted_at: float
    accepted_wall: float
    accepted_by: str = ""
    objective_at: float = 0.0
    inherited: bool = False
    state: StepJobState = StepJobState.QUEUED
    steps: dict[tuple[int, int], StepRun] = field(default_factory=dict)
    restored_progress: dict[str, StepProgress] = field(default_factory=dict)
    next_occurrence: int = 0
    version: int = 0
    stored_version: int = 0
    changed_at: float = 0.0
    urgent: bool = False
    ended_wall: float = 0.0

    @property
    def dirty(self) -> bool:
        """Whether a change is not stored yet."""
        return self.version > self.stored_version

    def mark_changed(self, now: float, urgent: bool = False) -> None:
        """Record a change that must be stored."""
        if not self.dirty:
            self.changed_at = now
        self.version += 1
        self.urgent = self.urgent or urgent

    def record(self) -> ProgressRecord:
        """Return the progress of the job to store."""
        steps = dict(self.restored_progress)
        if not self.state.final:
            for (occurrence, number), step in self.steps.items():
                steps[f"{occurrence}.{number}"] = step.progress()
        return ProgressRecord(self.state, steps, self.ended_wall)


@dataclass(slots=True, eq=False)
class WorkerState:
    """A worker and its runs.

    Attributes:
        token: Fencing token of orders; raised after an unanswered order.
        used: Resources of runs and reservations.
        reserved_tasks: Number of tasks for which resources are reserved.
        starting: Number of start orders in flight.
        releases: Number of runs that have ended here, in whichever way.
        orphans: Runs that the worker reports but the leader does not track, by task id
            and run number, with the time of the last stop order.
        answering: Whether it answered the last poll, which had its current token.
        settled: Whether it has also reported all runs that have ended there.
        recorded_address: Its address in its record in the store, by which a new leader
            looks for its runs; ``None`` without a record.
        recorded_tasks: Ids of the tasks that the store may name as the only ones on it;
            ``None`` if it names none.
        listed: Whether the registry lists it.
        entry_outdated: Whether its answers show another incarnation than the one that
            the registry describes.
        clock_ms: The worker's clock at ``clock_at``.
        lease_ms: Latest end of a lease that was sent, on the worker's clock.
        lease_sent_at: Time of the last decision to send a lease.
        processed: Sequence number of the last end that was processed.
        acknowledged: Sequence number up to which all ends are stored.
        unstored: Ends whose changes are not stored: sequence number, job, job version.
        last_answer_at: Time of the last answer.
        early_leases_until: Time by which the leases have expired that this incarnation
            took from orders meant for the previous one.
    """

    entry: WorkerEntry
    token: int
    health: WorkerHealth
    used: Resources = Resources()
    reserved_tasks: int = 0
    starting: int = 0
    releases: int = 0
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    orphans: dict[tuple[str, int], float] = field(default_factory=dict)
    answering: bool = False
    settled: bool = False
    recorded_address: str | None = None
    recorded_tasks: frozenset[str] | None = None
    listed: bool = True
    entry_outdated: bool = False
    clock_ms: int = 0
    clock_at: float = float("-inf")
    lease_ms: int = 0
    lease_sent_at: float = float("-inf")
    processed: int = 0
    acknowledged: int = 0
    unstored: deque[tuple[int, OpenJob, int]] = field(default_factory=deque)
    last_answer_at: float = float("-inf")
    early_leases_until: float = float("-inf")

    @property
    def free(self) -> Resources:
        """Resources that are neither used nor reserved."""
        return self.entry.capacity - self.used

    @property
    def recorded(self) -> bool:
        """Whether a new leader would find the worker where it is now."""
        return self.recorded_address == self.entry.address

    @property
    def usable(self) -> bool:
        """Whether new runs may be placed."""
        return (
            self.settled
            and self.recorded
            and self.recorded_tasks is None
            and self.listed
            and not self.entry_outdated
            and not self.entry.draining
            and not self.orphans
        )

    def unsettle(self) -> None:
        """Record that its runs are not known until it answers again."""
        self.answering = self.settled = False

    def renew_lease(self, now: float, lease_s: float) -> int:
        """Note that a lease is sent; return its end on the worker's clock, in ms."""
        lease_ms = self.clock_estimate(now) + int(lease_s * 1000)
        self.lease_ms = max(self.lease_ms, lease_ms)
        self.lease_sent_at = now
        return lease_ms

    def clock_estimate(self, now: float) -> int:
        """Return an estimate of the worker's clock, in milliseconds."""
        return self.clock_ms + int((now - self.clock_at) * 1000)

    def leases_expire_at(self) -> float:
        """Return the time by which all leases of this incarnation have expired."""
        remaining_s = (self.lease_ms - self.clock_ms) / 1000 / MIN_CLOCK_RATE
        expire_at = self.clock_at + max(0.0, remaining_s) + LEASE_EXPIRY_MARGIN_S
        return max(expire_at, self.early_leases_until)

    def advance_acknowledged(self) -> None:
        """Acknowledge, in order, the ends whose changes are stored."""
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
    """Order to stop a run; the run may belong to a former leader.

    Attributes:
        decided_at: Time of the decision.
    """

    worker: WorkerState
    task_id: str
    number: int
    decided_at: float = 0.0


@dataclass(frozen=True, slots=True)
class AdviceCall:
    """Call to the advice service.

    Attributes:
        workers: Ids of the workers to ask about.
        rank: Calls with lower rank are made first.
        duration_s: Expected duration of the call.
    """

    step: StepRun
    workers: tuple[str, ...]
    rank: tuple
    duration_s: float


@dataclass(frozen=True, slots=True)
class PollNow:
    """Order to poll a worker at once with its raised token."""

    worker: WorkerState


Order = StartRun | StopRun | AdviceCall | PollNow
