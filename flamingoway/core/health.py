"""Quarantine of workers that fail every task, and retries of failed tasks."""

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import JobSpec, Policy, Task
from ..status import Code
from .retry import Backoff, RetryBudget

# Failures of one job may be its own fault; those of several jobs without a success in
# between point to the worker.
FAILED_JOBS_LIMIT = 3
# A flood of faulty jobs must not take most of the workers out of service.
MAX_QUARANTINED_SHARE = 0.25
PROBE_BACKOFF = Backoff(base_s=30.0, cap_s=1800.0, floor=0.5)
# A probe that runs this long counts as passed; a long task would leave it undecided.
PROBE_PASS_AFTER_S = 60.0

RETRY_BACKOFF = Backoff(base_s=1.0, cap_s=300.0, floor=0.5)
# Extra delay of a retry while the retry budget is exhausted.
NO_BUDGET_BACKOFF = Backoff(base_s=20.0, cap_s=20.0, floor=0.5)
RETRY_RATIO = 0.2
RETRY_RESERVE = 20.0
RETRY_PER_S = 1.0
# A task (typically of a service) that last failed this long ago starts with the
# shortest backoff again.
STREAK_RESET_S = 600.0
# A task must fail on this many workers before the failures are attributed to it.
MIN_FAILED_WORKERS = 2
# A task ends after this many times ``max_attempts`` failures, counted or not. Failures
# on quarantined workers do not count, so a task that fails everywhere and gets its
# workers quarantined would otherwise be retried for very long.
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
        self._unhealthy: set[str] = set()

    @property
    def unhealthy(self) -> set[str]:
        """Workers that are quarantined or probing."""
        return self._unhealthy

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

    def note_inconclusive(self, worker_id: str) -> None:
        """Note a task whose end says nothing about the health of the worker."""
        health = self._workers.get(worker_id)
        if health is not None:
            health.probe_since = None

    def note_failure(
        self,
        worker_id: str,
        job_id: str,
        now: float,
        known: int,
        failed_on: Iterable[str] = (),
    ) -> None:
        """Note a failed task.

        Inconclusive if the task also failed on another worker that has had a success
        since, because the job is then at fault.

        Args:
            worker_id: Worker on which it failed.
            job_id: Its job.
            now: Monotonic time in seconds.
            known: Number of known workers, which limits the quarantined ones.
            failed_on: Workers on which the task has failed.
        """
        if any(other != worker_id and self._is_sound(other) for other in failed_on):
            self.note_inconclusive(worker_id)
            return
        health = self._workers.setdefault(worker_id, _WorkerHealth())
        if health.condition is Condition.PROBING:
            self._quarantine(worker_id, health, now)
            return
        health.failed_jobs.add(job_id)
        if health.condition is not Condition.HEALTHY:
            return
        limit = max(1, int(known * MAX_QUARANTINED_SHARE))
        if (
            len(health.failed_jobs) >= FAILED_JOBS_LIMIT
            and len(self._unhealthy) < limit
        ):
            self._quarantine(worker_id, health, now)

    def advance(self, now: float) -> list[str]:
        """Begin due probes and end passed ones; return the changed workers."""
        changed = []
        for worker_id in sorted(self._unhealthy):
            health = self._workers[worker_id]
            since = health.probe_since
            if health.condition is Condition.QUARANTINED:
                if now >= health.probe_at:
                    health.condition = Condition.PROBING
                    changed.append(worker_id)
            elif since is not None and now - since >= PROBE_PASS_AFTER_S:
                self._readmit(worker_id, health)
                changed.append(worker_id)
        return changed

    def next_change(self) -> float | None:
        """Return when ``advance`` has something to do, or ``None``."""
        times = []
        for worker_id in self._unhealthy:
            health = self._workers[worker_id]
            if health.condition is Condition.QUARANTINED:
                times.append(health.probe_at)
            elif health.probe_since is not None:
                times.append(health.probe_since + PROBE_PASS_AFTER_S)
        return min(times, default=None)

    def forget(self, worker_id: str) -> None:
        """Drop the state of a worker that has left."""
        self._workers.pop(worker_id, None)
        self._unhealthy.discard(worker_id)

    def _is_sound(self, worker_id: str) -> bool:
        """Return whether a worker is healthy and had no failure since a success."""
        health = self._workers.get(worker_id)
        if health is None or health.failed_jobs:
            return False
        return health.condition is Condition.HEALTHY

    def _quarantine(self, worker_id: str, health: _WorkerHealth, now: float) -> None:
        delay = PROBE_BACKOFF.delay(health.quarantines, self._rng)
        health.condition = Condition.QUARANTINED
        health.quarantines += 1
        health.probe_at = now + delay
        health.probe_since = None
        self._unhealthy.add(worker_id)

    def _readmit(self, worker_id: str, health: _WorkerHealth) -> None:
        # The number of quarantines is kept, so that the next one lasts longer.
        health.condition = Condition.HEALTHY
        health.failed_jobs.clear()
        health.probe_since = None
        self._unhealthy.discard(worker_id)


class TaskRetries:
    """Decides when failed tasks are retried and when they end their job."""

    def __init__(self, rng: random.Random, health: WorkerHealth):
        self._rng = rng
        self._health = health
        self._streaks: dict[str, tuple[int, float]] = {}
        self._budget = RetryBudget(RETRY_RATIO, RETRY_RESERVE, per_s=RETRY_PER_S)

    def note_start(self) -> None:
        """Count the start of a task, which adds to the retry budget."""
        self._budget.note_attempt()

    def counts_against_job(self, spec: JobSpec, worker_id: str) -> bool:
        """Tell whether a failure on this worker counts against the job."""
        if spec.policy is Policy.SERVICE:
            return False
        return self._health.condition(worker_id) is Condition.HEALTHY

    def final_code(self, spec: JobSpec, task: Task, workers: int) -> Code | None:
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
        counted = [w for w in task.failed_on if self._health.condition(w) is healthy]
        if len(counted) < spec.max_attempts:
            return None
        if len(set(counted)) < min(MIN_FAILED_WORKERS, spec.max_attempts, workers):
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
            delay += NO_BUDGET_BACKOFF.delay(0, self._rng)
        return delay

    def forget(self, task_id: str) -> None:
        """Drop the count of recent failures of a task that ended."""
        self._streaks.pop(task_id, None)
