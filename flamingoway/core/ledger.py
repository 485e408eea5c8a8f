"""Event-sourced state of one shard: jobs, tasks and allocations of workers.

Durable state changes only through ``Ledger.apply``. Applying records is
deterministic: the same records in the same order give the same state, both in the
scheduler that makes the decisions and in a new owner that replays the log.
"""

import dataclasses
from collections.abc import Callable, Iterable

from ..model import (
    Job,
    JobSpec,
    JobState,
    Policy,
    Resources,
    Task,
    TaskState,
)
from ..records import (
    AnyRecord,
    CancelRequested,
    JobAccepted,
    JobEnded,
    JobRemoved,
    JobScaled,
    TaskAssigned,
    TaskEnded,
    TaskStopping,
)
from .snapshot import (
    LedgerError,
    decode_snapshot,
    encode_snapshot,
    task_id_of,
    task_index_of,
)
from .withdrawals import Withdrawal, Withdrawals

ZERO = Resources()

MemberKey = tuple[str, str]
KindKey = tuple[str, str, str]


class Ledger:
    """Jobs, tasks and allocations of one shard."""

    def __init__(self):
        self._jobs: dict[str, Job] = {}
        self._tasks: dict[str, Task] = {}
        self._withdrawals = Withdrawals()
        self._capacity: dict[str, Resources] = {}
        self._used: dict[str, Resources] = {}
        self._tasks_on: dict[str, dict[str, Task]] = {}
        self._member_used: dict[MemberKey, Resources] = {}
        self._kind_used: dict[KindKey, Resources] = {}
        self._service_used: dict[str, Resources] = {}
        self._appliers: dict[type, Callable] = {
            JobAccepted: self._apply_job_accepted,
            JobScaled: self._apply_job_scaled,
            TaskAssigned: self._apply_task_assigned,
            TaskStopping: self._apply_task_stopping,
            TaskEnded: self._apply_task_ended,
            JobEnded: self._apply_job_ended,
            CancelRequested: self._apply_cancel,
            JobRemoved: self._apply_job_removed,
        }

    @property
    def jobs(self) -> dict[str, Job]:
        """Jobs by id, in order of acceptance; read only."""
        return self._jobs

    @property
    def tasks(self) -> dict[str, Task]:
        """Tasks by id; read only."""
        return self._tasks

    @property
    def withdrawals(self) -> Withdrawals:
        """Job ids that were cancelled before their submission arrived; read only."""
        return self._withdrawals

    @property
    def workers(self) -> list[str]:
        """Ids of the workers whose capacity is known."""
        return list(self._capacity)

    def job_of(self, task_id: str) -> Job | None:
        """Return the job of a task, or ``None`` if the task is unknown."""
        task = self._tasks.get(task_id)
        return self._jobs[task.job_id] if task is not None else None

    def placed_on(self, worker_id: str) -> list[Task]:
        """Return the tasks to which resources of a worker are allocated."""
        return list(self._tasks_on.get(worker_id, {}).values())

    def placed_count(self, worker_id: str) -> int:
        """Return the number of tasks placed on a worker."""
        return len(self._tasks_on.get(worker_id, ()))

    def used_on(self, worker_id: str) -> Resources:
        """Return the resources allocated on a worker."""
        return self._used.get(worker_id, ZERO)

    def service_used_on(self, worker_id: str) -> Resources:
        """Return the resources allocated to service tasks on a worker."""
        return self._service_used.get(worker_id, ZERO)

    def capacity_of(self, worker_id: str) -> Resources | None:
        """Return the capacity of a worker, or ``None`` if it is unknown."""
        return self._capacity.get(worker_id)

    def free_on(self, worker_id: str) -> Resources:
        """Return the unallocated resources of a known worker.

        Negative if its capacity fell below its allocations.
        """
        return self._capacity[worker_id] - self.used_on(worker_id)

    def member_used(self, environment: str, member: str) -> Resources:
        """Return the resources allocated to a member."""
        return self._member_used.get((environment, member), ZERO)

    def kind_used(self, environment: str, member: str, kind: str) -> Resources:
        """Return the resources allocated to one kind of job of a member."""
        return self._kind_used.get((environment, member, kind), ZERO)

    def workers_with_tasks(self) -> list[str]:
        """Return the ids of the workers on which at least one task is placed."""
        return [worker_id for worker_id, tasks in self._tasks_on.items() if tasks]

    def set_capacity(self, worker_id: str, capacity: Resources) -> None:
        """Set the capacity against which assignments are checked.

        Capacities come from the VM list and worker reports, not from the log.
        """
        self._capacity[worker_id] = capacity

    def forget_worker(self, worker_id: str) -> None:
        """Drop the capacity of a removed worker.

        Raises:
            LedgerError: If tasks are still placed on it.
        """
        if self._tasks_on.get(worker_id):
            raise LedgerError(f"worker {worker_id} still has placed tasks")
        self._capacity.pop(worker_id, None)
        self._tasks_on.pop(worker_id, None)
        self._used.pop(worker_id, None)

    def apply(self, record: AnyRecord) -> None:
        """Apply one record.

        Raises:
            LedgerError: If the record contradicts the state, which is left unchanged.
        """
        self._appliers[type(record)](record)

    def apply_all(self, records: Iterable[AnyRecord]) -> None:
        """Apply the records of a group in order."""
        for record in records:
            self.apply(record)

    def snapshot(self) -> list[bytes]:
        """Return the encoded state, split into parts of at most 512 KiB."""
        return encode_snapshot(self._jobs.values(), self._withdrawals)

    @classmethod
    def restore(cls, parts: Iterable[bytes]) -> "Ledger":
        """Rebuild a ledger from the parts of a snapshot, in order.

        Raises:
            LedgerError: If the parts cannot be decoded or have an unknown format.
        """
        ledger = cls()
        jobs, withdrawals = decode_snapshot(parts)
        for job in jobs:
            ledger._add_job(job)
        ledger._withdrawals = Withdrawals(withdrawals)
        return ledger

    def _add_job(self, job: Job) -> None:
        self._jobs[job.spec.job_id] = job
        for task in job.tasks:
            self._tasks[task.task_id] = task
            if task.state.placed:
                self._allocate(task, job.spec)

    def _placed_task(self, task_id: str, attempt: int) -> Task:
        task = self._tasks.get(task_id)
        if task is None:
            raise LedgerError(f"unknown task {task_id}")
        if task.attempt != attempt or not task.state.placed:
            raise LedgerError(f"attempt {attempt} of task {task_id} is not placed")
        return task

    def _job(self, job_id: str) -> Job:
        job = self._jobs.get(job_id)
        if job is None:
            raise LedgerError(f"unknown job {job_id}")
        return job

    def _allocate(self, task: Task, spec: JobSpec) -> None:
        worker_id = task.worker_id
        self._used[worker_id] = self.used_on(worker_id) + spec.resources
        self._tasks_on.setdefault(worker_id, {})[task.task_id] = task
        self._add_to_totals(spec, worker_id, spec.resources)

    def _release(self, task: Task, spec: JobSpec) -> None:
        worker_id = task.worker_id
        self._used[worker_id] = self._used[worker_id] - spec.resources
        del self._tasks_on[worker_id][task.task_id]
        self._add_to_totals(spec, worker_id, ZERO - spec.resources)

    def _add_to_totals(self, spec: JobSpec, worker_id: str, amount: Resources) -> None:
        member = (spec.environment, spec.member)
        kind = (spec.environment, spec.member, spec.kind)
        _add_to_total(self._member_used, member, amount)
        _add_to_total(self._kind_used, kind, amount)
        if spec.policy is Policy.SERVICE:
            _add_to_total(self._service_used, worker_id, amount)

    def _apply_job_accepted(self, record: JobAccepted) -> None:
        spec = record.spec
        if spec.job_id in self._jobs:
            raise LedgerError(f"job {spec.job_id} has already been accepted")
        if self._withdrawals.contains(spec.environment, spec.member, spec.job_id):
            raise LedgerError(f"job {spec.job_id} has been cancelled")
        job = Job(spec, record.at)
        job.tasks = [
            Task(task_id_of(spec.job_id, index), spec.job_id)
            for index in range(spec.tasks)
        ]
        self._add_job(job)

    def _apply_job_scaled(self, record: JobScaled) -> None:
        job = self._job(record.job_id)
        for index in range(len(job.tasks), record.tasks):
            task = Task(task_id_of(record.job_id, index), record.job_id)
            job.tasks.append(task)
            self._tasks[task.task_id] = task
        for index, task in enumerate(job.tasks):
            wanted = index < record.tasks
            if task.state is TaskState.QUEUED and not wanted:
                task.state = TaskState.CANCELLED
            elif task.state is TaskState.CANCELLED and wanted:
                task.state = TaskState.QUEUED
        job.spec = dataclasses.replace(job.spec, tasks=record.tasks)

    def _apply_task_assigned(self, record: TaskAssigned) -> None:
        task = self._tasks.get(record.task_id)
        if task is None or task.state is not TaskState.QUEUED:
            raise LedgerError(f"task {record.task_id} is not queued")
        if record.attempt != task.attempt + 1:
            raise LedgerError(
                f"attempt {record.attempt} of task {record.task_id} "
                f"does not follow attempt {task.attempt}"
            )
        job = self._jobs[task.job_id]
        capacity = self._capacity.get(record.worker_id)
        wanted = self.used_on(record.worker_id) + job.spec.resources
        if capacity is not None and not wanted.fits_in(capacity):
            raise LedgerError(
                f"task {record.task_id} does not fit on worker {record.worker_id}"
            )
        task.state = TaskState.ASSIGNED
        task.attempt = record.attempt
        task.worker_id = record.worker_id
        job.state = JobState.RUNNING
        self._allocate(task, job.spec)

    def _apply_task_stopping(self, record: TaskStopping) -> None:
        self._placed_task(record.task_id, record.attempt).state = TaskState.STOPPING

    def _apply_task_ended(self, record: TaskEnded) -> None:
        task = self._placed_task(record.task_id, record.attempt)
        job = self._jobs[task.job_id]
        self._release(task, job.spec)
        if record.outcome == "failed" and record.counted:
            task.failures += 1
            task.failed_on.append(task.worker_id)
        if record.outcome == "checkpointed":
            task.checkpoint = record.result
        task.worker_id = ""
        task.error = record.error
        task.state = _state_after(job, task, record.outcome)
        if task.state is TaskState.SUCCEEDED:
            task.result = record.result
            task.checkpoint = b""
        if not job.state.final:
            job.state = _unfinished_state(job)

    def _apply_job_ended(self, record: JobEnded) -> None:
        job = self._job(record.job_id)
        job.state = JobState(record.state)
        job.code = record.code
        job.reason = record.reason
        job.ended_at = record.at
        for task in job.tasks:
            task.checkpoint = b""
            if task.state is TaskState.QUEUED:
                failed = job.state is JobState.FAILED and task.failures
                task.state = TaskState.FAILED if failed else TaskState.CANCELLED

    def _apply_cancel(self, record: CancelRequested) -> None:
        job = self._jobs.get(record.job_id)
        if job is not None:
            job.cancelled_at = record.at
            return
        if not record.member:
            raise LedgerError(f"unknown job {record.job_id}")
        withdrawal = Withdrawal(
            record.environment, record.member, record.job_id, record.at
        )
        self._withdrawals.add(withdrawal)

    def _apply_job_removed(self, record: JobRemoved) -> None:
        job = self._job(record.job_id)
        if any(task.state.placed for task in job.tasks):
            raise LedgerError(f"job {record.job_id} still has placed tasks")
        for task in job.tasks:
            del self._tasks[task.task_id]
        del self._jobs[record.job_id]


def _add_to_total(totals: dict, key: object, amount: Resources) -> None:
    """Add to a running total; drops the entry when the total is zero."""
    total = totals.get(key, ZERO) + amount
    if total == ZERO:
        totals.pop(key, None)
    else:
        totals[key] = total


def _state_after(job: Job, task: Task, outcome: str) -> TaskState:
    """Return the state of a task after one of its attempts ended."""
    service = job.spec.policy is Policy.SERVICE
    if outcome == "succeeded" and not service:
        return TaskState.SUCCEEDED
    surplus = service and task_index_of(task.task_id) >= job.spec.tasks
    return TaskState.CANCELLED if job.state.final or surplus else TaskState.QUEUED


def _unfinished_state(job: Job) -> JobState:
    """Derive the state of an unfinished job from the states of its tasks."""
    started = any(t.state.placed or t.state is TaskState.SUCCEEDED for t in job.tasks)
    return JobState.RUNNING if started else JobState.QUEUED
