"""Quarantine of workers that fail every task, and retries of failed tasks."""

import enum
import random
from dataclasses import dataclass, field

from ..model import JobSpec, Policy, Task
from ..status import Code
from .retry import Backoff, RetryBudget

# Failures of one job say little about a worker; those of several jobs in a row do.
FAILED_JOBS_LIMIT = 3
# A flood of faulty jobs must not take most of the workers out of service.
MAX_QUARANTINED_PART = 0.25
PROBE_BACKOFF = Backoff(base_s=30.0, cap_s=1800.0, floor=0.5)
# A probe that runs this long counts as passed; long tasks give no earlier verdict.
PROBE_PASS_S = 60.0

RETRY_BACKOFF = Backoff(base_s=1.0, cap_s=300.0, floor=0.5)
# Extra wait of a retry for which the budget has nothing left.
NO_BUDGET_WAIT = Backoff(base_s=20.0, cap_s=20.0, floor=0.5)
RETRY_RATIO = 0.2
RETRY_RESERVE = 20.0
RETRY_PER_S = 1.0
# A service that ran this long starts with the shortest backoff again.
STREAK_RESET_S = 600.0
# Two workers must have failed a task before it is held to be the task's fault.
MIN_FAILED_WORKERS = 2
# Ends tasks that fail everywhere while the workers are quarantined for it.
MAX_FAILURES_FACTOR = 4


class Condition(enum.Enum):
    """Health of a worker."""

    HEALTHY = "healthy"
    QUARANTINED = "quarantined"
    PROBING = "probing"


@dataclass(slots=True)
class _WorkerHealth:
    condition: Condition = Condition.HEALTHY
    failed_jobs: set[str] = field(default_factory=set)
    quarantines: int = 0
    probe_at: float = 0.0
    probe_since: float | None = None


class WorkerHealth:
    """Health of all workers of a shard.

    Kept in memory only: a new owner starts with all workers healthy and finds the
    failing ones again after a few failures.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._workers: dict[str, _WorkerHealth] = {}
        self._unwell: set[str] = set()

    @property
    def unwell(self) -> set[str]:
        """Workers that are quarantined or probing."""
        return self._unwell

    def condition(self, worker_id: str) -> Condition:
        """Return the condition of a worker."""
        health = self._workers.get(worker_id)
        return health.condition if health else Condition.HEALTHY

    def takes_tasks(self, worker_id: str) -> bool:
        """Tell whether a worker may receive a task; one at a time while probing."""
        health = self._workers.get(worker_id)
        if health is None or health.condition is Condition.HEALTHY:
            return True
        probing = health.condition is Condition.PROBING
        return probing and health.probe_since is None

    def note_assigned(self, worker_id: str, now: float) -> None:
        """Note the start of a task, which is the probe of a probing worker."""
        health = self._workers.get(worker_id)
        if health is not None and health.condition is Condition.PROBING:
            health.probe_since = now

    def note_success(self, worker_id: str) -> None:
        """Note a task that succeeded; a worker that succeeds is healthy."""
        health = self._workers.get(worker_id)
        if health is None:
            return
        if health.condition is Condition.QUARANTINED:
            return
        self._readmit(worker_id, health)

    def note_no_verdict(self, worker_id: str) -> None:
        """Note a task that ended without telling anything about the worker."""
        health = self._workers.get(worker_id)
        if health is not None:
            health.probe_since = None

    def note_failure(self, worker_id: str, job_id: str, now: float, known: int) -> None:
        """Note a failed task.

        Args:
            worker_id: Worker on which it failed.
            job_id: Its job.
            now: Monotonic time in seconds.
            known: Number of known workers, which limits the quarantined ones.
        """
        health = self._workers.setdefault(worker_id, _WorkerHealth())
        if health.condition is Condition.PROBING:
            self._quarantine(worker_id, health, now)
            return
        health.failed_jobs.add(job_id)
        if health.condition is not Condition.HEALTHY:
            return
        limit = max(1, int(known * MAX_QUARANTINED_PART))
        if len(health.failed_jobs) >= FAILED_JOBS_LIMIT and len(self._unwell) < limit:
            self._quarantine(worker_id, health, now)

    def advance(self, now: float) -> list[str]:
        """Begin due probes and end passed ones; return the changed workers."""
        changed = []
        for worker_id in sorted(self._unwell):
            health = self._workers[worker_id]
            since = health.probe_since
            if health.condition is Condition.QUARANTINED:
                if now >= health.probe_at:
                    health.condition = Condition.PROBING
                    changed.append(worker_id)
            elif since is not None and now - since >= PROBE_PASS_S:
                self._readmit(worker_id, health)
                changed.append(worker_id)
        return changed

    def next_change(self) -> float | None:
        """Return when ``advance`` has something to do, or ``None``."""
        times = []
        for worker_id in self._unwell:
            health = self._workers[worker_id]
            if health.condition is Condition.QUARANTINED:
                times.append(health.probe_at)
            elif health.probe_since is not None:
                times.append(health.probe_since + PROBE_PASS_S)
        return min(times, default=None)

    def forget(self, worker_id: str) -> None:
        """Drop what is known of a worker that has left."""
        self._workers.pop(worker_id, None)
        self._unwell.discard(worker_id)

    def _quarantine(self, worker_id: str, health: _WorkerHealth, now: float) -> None:
        delay = PROBE_BACKOFF.delay(health.quarantines, self._rng)
        health.condition = Condition.QUARANTINED
        health.quarantines += 1
        health.probe_at = now + delay
        health.probe_since = None
        self._unwell.add(worker_id)

    def _readmit(self, worker_id: str, health: _WorkerHealth) -> None:
        # The number of quarantines is kept, so a relapse waits longer than before.
        health.condition = Condition.HEALTHY
        health.failed_jobs.clear()
        health.probe_since = None
        self._unwell.discard(worker_id)


class TaskRetries:
    """When failed tasks are tried again, and when they are given up."""

    def __init__(self, rng: random.Random, health: WorkerHealth):
        self._rng = rng
        self._health = health
        self._streaks: dict[str, tuple[int, float]] = {}
        self._budget = RetryBudget(RETRY_RATIO, RETRY_RESERVE, per_s=RETRY_PER_S)

    def note_start(self) -> None:
        """Count a start, which earns a part of a retry."""
        self._budget.note_attempt()

    def counts(self, spec: JobSpec, worker_id: str) -> bool:
        """Tell whether a failure on this worker counts against the job."""
        if spec.policy is Policy.SERVICE:
            return False
        return self._health.condition(worker_id) is Condition.HEALTHY

    def verdict(self, spec: JobSpec, task: Task, workers: int) -> Code | None:
        """Return the code with which a failed task ends its job, or ``None``.

        Args:
            spec: Its job's specification.
            task: The task, with its last failure recorded.
            workers: Number of workers that could hold the task.
        """
        if spec.policy is Policy.SERVICE:
            return None
        if len(task.failed_on) >= MAX_FAILURES_FACTOR * spec.max_attempts:
            return Code.RETRIES_EXHAUSTED
        healthy = Condition.HEALTHY
        blamed = [w for w in task.failed_on if self._health.condition(w) is healthy]
        if len(blamed) < spec.max_attempts:
            return None
        if len(set(blamed)) < min(MIN_FAILED_WORKERS, spec.max_attempts, workers):
            return None
        return Code.JOB_FAILED if spec.max_attempts == 1 else Code.RETRIES_EXHAUSTED

    def delay(self, task: Task, now: float) -> float:
        """Return the seconds to wait before a failed task is queued again."""
        count, last = self._streaks.get(task.task_id, (0, now))
        if now - last >= STREAK_RESET_S:
            count = 0
        self._streaks[task.task_id] = (count + 1, now)
        delay = RETRY_BACKOFF.delay(count, self._rng)
        if not self._budget.withdraw(now):
            delay += NO_BUDGET_WAIT.delay(0, self._rng)
        return delay

    def forget(self, task_id: str) -> None:
        """Drop the streak of a task that ended."""
        self._streaks.pop(task_id, None)
