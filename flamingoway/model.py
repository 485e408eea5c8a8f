"""Data classes of the scheduling core."""

import enum
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of each resource.

    Attributes:
        cores_milli: Processor time, in thousandths of a core.
        memory_mb: Memory, in megabytes.
        accelerators: Whole accelerators.
    """

    cores_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores_milli + other.cores_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores_milli - other.cores_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> "Resources":
        """Return ``count`` times this amount."""
        return Resources(
            self.cores_milli * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits_in(self, other: "Resources") -> bool:
        """Return whether no resource exceeds that of ``other``."""
        return (
            self.cores_milli <= other.cores_milli
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def restricted_to(self, shape: "Resources") -> "Resources":
        """Return this amount without the resources of which ``shape`` needs none."""
        return Resources(
            self.cores_milli if shape.cores_milli else 0,
            self.memory_mb if shape.memory_mb else 0,
            self.accelerators if shape.accelerators else 0,
        )

    def dominant_share(self, total: "Resources") -> float:
        """Return the largest fraction of ``total`` over all resources."""
        shares = (
            self.cores_milli / total.cores_milli if total.cores_milli else 0.0,
            self.memory_mb / total.memory_mb if total.memory_mb else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
        )
        return max(shares)


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker as the VM list describes it."""

    worker_id: str
    address: str
    region: str
    zone: str
    rack: str
    capacity: Resources


class Policy(enum.StrEnum):
    """Placement policy of a workload."""

    SERVICE = "service"
    BATCH = "batch"
    GANG = "gang"


class JobState(enum.StrEnum):
    """State of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def final(self) -> bool:
        """Whether the state never changes again."""
        return self in (JobState.SUCCEEDED, JobState.FAILED, JobState.CANCELLED)


class TaskState(enum.StrEnum):
    """State of one task of a job."""

    QUEUED = "queued"
    ASSIGNED = "assigned"
    STOPPING = "stopping"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def placed(self) -> bool:
        """Whether the task holds resources of a worker."""
        return self in (TaskState.ASSIGNED, TaskState.STOPPING)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted by a member.

    Attributes:
        kind: Workload name, for example ``fit-plan``.
        tasks: Number of tasks; a gang job starts all of them or none.
        resources: Amount per task.
        urgent: Whether it is placed before other work, within the member's quota.
        resumable: Whether a task can be checkpointed and resumed.
        max_attempts: Failed attempts after which a task ends its job.
        run_time_s: Declared run time of a task, an unreliable hint; 0 if unknown.
        params: Parameters as JSON, passed to the worker unchanged.
    """

    job_id: str
    environment: str
    member: str
    kind: str
    policy: Policy
    tasks: int = 1
    resources: Resources = Resources(1000, 1024)
    urgent: bool = False
    resumable: bool = False
    max_attempts: int = 3
    run_time_s: float = 0.0
    params: bytes = b"{}"
    traceparent: str = ""
    request_digest: str = ""


@dataclass(slots=True)
class Task:
    """One task of a job.

    Attributes:
        attempt: Number of the latest start, from 1; 0 before the first. Each placement
            increments it, so it distinguishes the starts of a task.
        failures: Attempts that ended in failure, not counting lost workers.
        failed_on: Worker of each counted failure, oldest first.
    """

    task_id: str
    job_id: str
    state: TaskState = TaskState.QUEUED
    attempt: int = 0
    failures: int = 0
    worker_id: str = ""
    result: bytes = b""
    error: str = ""
    checkpoint: bytes = b""
    failed_on: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Job:
    """A job and its tasks.

    Attributes:
        accepted_at: Wall-clock time of acceptance, in seconds since the epoch.
        code: Result code of a job that ended without success, else 0.
        cancelled_at: Wall-clock time of the last cancellation, also of one that came
            after the end, in seconds since the epoch; 0 if there was none.
    """

    spec: JobSpec
    accepted_at: float
    tasks: list[Task] = field(default_factory=list)
    state: JobState = JobState.QUEUED
    code: int = 0
    reason: str = ""
    ended_at: float = 0.0
    cancelled_at: float = 0.0
