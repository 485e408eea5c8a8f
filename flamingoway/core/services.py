"""Keeps the services of the documents running.

Each service of an environment is a job whose id follows from environment, name and
definition, so every owner derives the same id. Changing the number of replicas
scales the job; changing resources or parameters replaces it by a job with another
id, and the old one runs until the new replicas are placed or a time limit passes.
"""

import hashlib
import json
import math

from ..document import Document, ServiceKind
from ..model import Job, JobSpec, JobState, Policy, TaskState
from ..records import JobAccepted, JobRemoved, JobScaled
from ..status import Code
from .state import ShardState

REPLACE_TIMEOUT_S = 120.0
# Interval at which replacements in progress are checked.
REPLACE_CHECK_INTERVAL_S = 1.0


class ServiceReconciler:
    """Creates, scales, replaces and ends service jobs."""

    def __init__(self, state: ShardState):
        self._state = state
        self._desired: dict[str, dict[str, JobSpec]] = {}
        self._replace_deadlines: dict[str, float] = {}
        self._pending = False

    @property
    def pending(self) -> bool:
        """Whether ``reconcile`` has more to do later."""
        return self._pending

    def set_document(self, environment: str, document: Document, share: float) -> None:
        """Set the services that an environment is to run.

        Args:
            environment: Name of the environment.
            document: Document in effect.
            share: Part of the replicas that this shard runs, rounded up, so that
                all shards together never run fewer than the document asks for.
        """
        specs = [service_spec(environment, s, share) for s in document.services]
        self._desired[environment] = {spec.job_id: spec for spec in specs}
        self._pending = True

    def reconcile(self) -> None:
        """Bring the service jobs in line with the documents."""
        if not self._pending:
            return
        self._pending = False
        for desired in self._desired.values():
            for spec in desired.values():
                self._ensure(spec)
        for job in list(self._state.ledger.jobs.values()):
            if job.spec.policy is Policy.SERVICE and not job.state.final:
                self._end_obsolete(job)

    def _ensure(self, spec: JobSpec) -> None:
        job = self._state.ledger.jobs.get(spec.job_id)
        if job is not None and job.state.final:
            job = self._forget(job)
        if job is None:
            self._create(spec)
        elif not job.state.final and job.spec.tasks != spec.tasks:
            self._scale(job, spec.tasks)

    def _create(self, spec: JobSpec) -> None:
        state = self._state
        state.record(JobAccepted(spec, state.wall))
        job = state.ledger.jobs[spec.job_id]
        for task in job.tasks:
            state.enqueue(job, task, front=False)

    def _forget(self, job: Job) -> Job | None:
        """Forget a finished job whose id is needed again, once all its tasks ended.

        Returns:
            The job while some of its tasks are placed, otherwise ``None``.
        """
        if any(task.state.placed for task in job.tasks):
            self._pending = True
            return job
        self._state.record(JobRemoved(job.spec.job_id))
        return None

    def _scale(self, job: Job, replicas: int) -> None:
        state = self._state
        for task in job.tasks[replicas:]:
            state.queue.discard(task.task_id)
        state.record(JobScaled(job.spec.job_id, replicas))
        for task in job.tasks[replicas:]:
            state.stop(task)
        for task in job.tasks[:replicas]:
            state.enqueue(job, task, front=False)

    def _end_obsolete(self, job: Job) -> None:
        desired = self._desired.get(job.spec.environment)
        job_id = job.spec.job_id
        if desired is None or job_id in desired:
            self._replace_deadlines.pop(job_id, None)
            return
        successors = [s for s in desired.values() if s.kind == job.spec.kind]
        if successors and not self._may_end_former(job_id, successors[0]):
            self._pending = True
            return
        self._replace_deadlines.pop(job_id, None)
        reason = "replaced by the document" if successors else "not in the document"
        self._state.end_job(job, JobState.CANCELLED, Code.JOB_CANCELLED, reason)

    def _may_end_former(self, job_id: str, successor: JobSpec) -> bool:
        """Tell whether the successor is placed or the time limit has passed."""
        now = self._state.now
        deadline = self._replace_deadlines.setdefault(job_id, now + REPLACE_TIMEOUT_S)
        job = self._state.ledger.jobs.get(successor.job_id)
        placed = sum(t.state is TaskState.ASSIGNED for t in job.tasks) if job else 0
        return now >= deadline or placed >= successor.tasks


def service_spec(environment: str, service: ServiceKind, share: float) -> JobSpec:
    """Return the job of a service in one shard."""
    amount = service.resources.as_resources
    params = json.dumps(service.params, sort_keys=True)
    parts = [environment, service.name, repr(amount), params]
    name = hashlib.sha256("\0".join(parts).encode()).hexdigest()[:24]
    # Without round, the float error of a product such as 0.1 * 30 adds a replica.
    replicas = math.ceil(round(service.replicas * share, 6))
    return JobSpec(
        f"service-{name}",
        environment,
        "",
        service.name,
        Policy.SERVICE,
        tasks=replicas,
        resources=amount,
        params=params.encode(),
    )
