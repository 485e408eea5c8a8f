"""Working state of a scheduler and the steps that change a job or task.

Each step applies its records to the ledger at once, adds records and effects to the
batch, and keeps the worker index and the queue consistent with the ledger.
"""

import heapq
import random
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable

from ..model import Job, JobSpec, JobState, Policy, Task, TaskState
from ..records import AnyRecord, JobEnded, TaskAssigned, TaskEnded, TaskStopping
from ..status import Code
from .effects import Batch, Effect, StartTask, StopTask
from .fairness import FairQueue
from .health import TaskRetries, WorkerHealth
from .index import WorkerIndex
from .ledger import Ledger, MemberKey


class ShardState:
    """Ledger, worker index, queue and current batch of one shard.

    Attributes:
        now: Monotonic time of the current event, in seconds.
        wall: Wall-clock time of the current event, in seconds since the epoch.
        on_job_ended: Called with the id of each job that reaches a final state.
    """

    def __init__(self, ledger: Ledger, rng: random.Random):
        self.ledger = ledger
        self.rng = rng
        self.index = WorkerIndex(ledger)
        self.queue = FairQueue(ledger)
        self.batch = Batch()
        self.now = 0.0
        self.wall = 0.0
        self.health = WorkerHealth(rng)
        self.retries = TaskRetries(rng, self.health)
        self.on_job_ended: Callable[[str], None] = lambda job_id: None
        self._schedulable: set[str] = set()
        self._blocked: Counter = Counter()
        self._preemptible: Counter = Counter()
        self._preemptible_workers: list[str] = []
        self._delayed: list[tuple[float, int, str, str]] = []
        self._delay_count = 0
        self._delayed_until: dict[str, float] = {}

    @property
    def preemptible_workers(self) -> list[str]:
        """Sorted ids of the workers on which preemptible tasks are placed."""
        return self._preemptible_workers

    def set_time(self, now: float, wall: float) -> None:
        """Set the time of the current event."""
        self.now = now
        self.wall = wall

    def record(self, record: AnyRecord) -> None:
        """Apply a record and add it to the batch."""
        self.ledger.apply(record)
        self.batch.records.append(record)

    def effect(self, effect: Effect) -> None:
        """Add an effect to the batch."""
        self.batch.effects.append(effect)

    def take_batch(self) -> Batch:
        """Return the current batch and start a new one."""
        batch, self.batch = self.batch, Batch()
        return batch

    def assign(self, job: Job, task: Task, worker_id: str) -> None:
        """Assign a queued task to a worker; it is started after the commit."""
        attempt = task.attempt + 1
        self.record(TaskAssigned(task.task_id, attempt, worker_id, self.wall))
        self.effect(start_effect(job, task))
        self.health.note_assigned(worker_id, self.now)
        self.retries.note_start()
        self._count_preemptible(job, worker_id, 1)
        self._on_allocation_changed(member_of(job), worker_id)

    def stop(self, task: Task, checkpoint: bool = False) -> None:
        """Request that an assigned task stops.

        It keeps its resources until its attempt has ended. Has no effect on a task in
        another state.
        """
        if task.state is not TaskState.ASSIGNED:
            return
        self.record(TaskStopping(task.task_id, task.attempt, checkpoint))
        self.effect(StopTask(task.worker_id, task.task_id, task.attempt, checkpoint))

    def end_attempt(
        self,
        task: Task,
        outcome: str,
        result: bytes = b"",
        error: str = "",
        counted: bool = True,
    ) -> None:
        """Record the end of a placed attempt and release its resources."""
        worker_id = task.worker_id
        job = self.ledger.jobs[task.job_id]
        self.record(
            TaskEnded(task.task_id, task.attempt, outcome, result, error, counted)
        )
        self._count_preemptible(job, worker_id, -1)
        self._on_allocation_changed(member_of(job), worker_id)

    def end_job(
        self, job: Job, state: JobState, code: int = 0, reason: str = ""
    ) -> None:
        """Put a job into a final state; its running tasks are stopped."""
        for task in job.tasks:
            self.queue.discard(task.task_id)
            self.retries.forget(task.task_id)
            self.stop(task)
        self.queue.discard(job.spec.job_id)
        self.record(JobEnded(job.spec.job_id, state.value, code, reason, self.wall))
        self.on_job_ended(job.spec.job_id)

    def end_job_if_done(self, job: Job) -> bool:
        """End a job if all its tasks succeeded; return whether it is final."""
        if job.state.final:
            return True
        if job.spec.policy is Policy.SERVICE:
            return False
        if all(task.state is TaskState.SUCCEEDED for task in job.tasks):
            self.end_job(job, JobState.SUCCEEDED)
            return True
        return False

    def fail_job(self, job: Job, code: Code, reason: str) -> None:
        """End a job as failed."""
        self.end_job(job, JobState.FAILED, int(code), reason)

    def enqueue(self, job: Job, task: Task, front: bool = True) -> None:
        """Queue a task, or its gang if no task of the gang is placed.

        Has no effect on entries that are queued, delayed or blocked.
        """
        if job.state.final or task.state is not TaskState.QUEUED:
            return
        entry = queue_entry_of(job, task)
        if entry in self.queue or entry in self._delayed_until or self._blocked[entry]:
            return
        if job.spec.policy is Policy.GANG and not gang_is_unplaced(job):
            return
        count = 1
        if job.spec.policy is Policy.GANG:
            count = sum(other.state is TaskState.QUEUED for other in job.tasks)
        self.queue.push(entry, job.spec, job.accepted_at, front, count)

    def enqueue_later(self, job: Job, task: Task, delay: float) -> None:
        """Queue a task, or its gang, after ``delay`` seconds."""
        self._delay_count += 1
        entry = queue_entry_of(job, task)
        until = max(self.now + delay, self._delayed_until.get(entry, 0.0))
        self._delayed_until[entry] = until
        delayed = (until, self._delay_count, entry, task.task_id)
        heapq.heappush(self._delayed, delayed)

    def enqueue_delayed(self) -> None:
        """Queue the tasks whose delay has expired."""
        while self._delayed and self._delayed[0][0] <= self.now:
            _, _, entry, task_id = heapq.heappop(self._delayed)
            self._clear_expired_delay(entry)
            job = self.ledger.job_of(task_id)
            if job is not None:
                self.enqueue(job, self.ledger.tasks[task_id])

    def _clear_expired_delay(self, entry: str) -> None:
        if self._delayed_until.get(entry, 0.0) <= self.now:
            self._delayed_until.pop(entry, None)

    def delayed_until(self, entry: str) -> float | None:
        """Return when the delay of an entry ends, or ``None`` if it has none."""
        return self._delayed_until.get(entry)

    def is_blocked(self, entry: str) -> bool:
        """Return whether an entry is kept out of the queue by ``block``."""
        return self._blocked[entry] > 0

    def next_delay_end(self) -> float | None:
        """Return the monotonic time at which the next delay ends, or ``None``."""
        return self._delayed[0][0] if self._delayed else None

    def block(self, entry: str) -> None:
        """Keep an entry out of the queue until a matching call of ``unblock``.

        Calls nest: each one needs its own ``unblock``.
        """
        self._blocked[entry] += 1
        self.queue.discard(entry)

    def unblock(self, entry: str) -> None:
        """Undo one call of ``block``; does not queue the entry."""
        self._blocked[entry] -= 1
        if self._blocked[entry] <= 0:
            del self._blocked[entry]

    def find_placed(self, worker_id: str, task_id: str, attempt: int) -> Task | None:
        """Return the task if this attempt is placed on this worker, or ``None``."""
        task = self.ledger.tasks.get(task_id)
        if task is None or not task.state.placed:
            return None
        same = task.attempt == attempt and task.worker_id == worker_id
        return task if same else None

    def set_schedulable(self, worker_id: str, schedulable: bool) -> None:
        """Set whether the owner allows new tasks on a worker."""
        if schedulable:
            self._schedulable.add(worker_id)
        else:
            self._schedulable.discard(worker_id)
        self.update_eligible(worker_id)

    def update_eligible(self, worker_id: str) -> None:
        """Make a worker eligible if it is healthy and its owner allows new tasks."""
        if worker_id in self.index.infos:
            healthy = self.health.takes_tasks(worker_id)
            eligible = healthy and worker_id in self._schedulable
            self.index.set_eligible(worker_id, eligible)

    def count_restored_preemptible(self) -> None:
        """Count the preemptible tasks placed in a restored ledger."""
        for worker_id in self.ledger.workers_with_tasks():
            for task in self.ledger.placed_on(worker_id):
                self._count_preemptible(self.ledger.jobs[task.job_id], worker_id, 1)

    def _count_preemptible(self, job: Job, worker_id: str, change: int) -> None:
        if not preemptible(job.spec):
            return
        before = self._preemptible[worker_id]
        self._preemptible[worker_id] = before + change
        workers = self._preemptible_workers
        if before == 0:
            insort(workers, worker_id)
        elif before + change == 0:
            del workers[bisect_left(workers, worker_id)]
            del self._preemptible[worker_id]

    def _on_allocation_changed(self, member: MemberKey, worker_id: str) -> None:
        """Update index and queue after an allocation changed."""
        self.index.touch(worker_id)
        self.queue.touch(member)
        if worker_id in self.health.unhealthy:
            self.update_eligible(worker_id)


def member_of(job: Job) -> MemberKey:
    """Return the environment and the member of a job."""
    return job.spec.environment, job.spec.member


def queue_entry_of(job: Job, task: Task) -> str:
    """Return the id under which a task is queued.

    It is the job id for a task of a gang, otherwise the task id.
    """
    gang = job.spec.policy is Policy.GANG
    return job.spec.job_id if gang else task.task_id


def gang_is_unplaced(job: Job) -> bool:
    """Return whether no task of a gang is placed."""
    return not any(task.state.placed for task in job.tasks)


def preemptible(spec: JobSpec) -> bool:
    """Return whether tasks of a job may be preempted by urgent jobs.

    Gangs are not preemptible: stopping one task would stop the whole gang.
    """
    return spec.resumable and not spec.urgent and spec.policy is not Policy.GANG


def start_effect(job: Job, task: Task) -> StartTask:
    """Return the effect that starts the current attempt of a task."""
    return StartTask(
        task.worker_id, task.task_id, task.attempt, job.spec, task.checkpoint
    )
