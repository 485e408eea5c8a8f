"""Scheduler of one shard: takes events, returns records and effects.

The scheduler performs no I/O. Its decisions are applied to its ledger at once and
collected in a ``Batch``. The owner commits the records of a batch as one group and
carries out the effects only after the commit. If the commit is fenced, the scheduler
is discarded, and the next owner rebuilds the state from the snapshot and the log.
"""

import math
import random
from collections.abc import Iterable

from ..document import Document
from ..model import (
    Job,
    JobSpec,
    JobState,
    Policy,
    Resources,
    Task,
    TaskState,
    WorkerInfo,
)
from ..records import CancelRequested, JobAccepted
from ..status import Code
from .effects import AckResult, Batch, Reply, StartTask
from .explain import waiting_reasons
from .fairness import MemberShare
from .feasibility import refusal
from .health import MIN_FAILED_WORKERS
from .impossible import ImpossibleJobs
from .ledger import Ledger
from .orphans import OrphanAttempts
from .placement import Placer
from .reports import Attempt, FinishedAttempt, RefusedStart, WorkerReport
from .retention import Retention
from .services import REPLACE_CHECK_INTERVAL_S, ServiceReconciler
from .state import ShardState, start_effect

# Interval at which shares are recomputed to apply ageing and capacity changes.
SHARE_REFRESH_INTERVAL_S = 5.0


class Scheduler:
    """Scheduling decisions of one shard.

    Args:
        shard: Name of the shard.
        rng: Random source; the scheduler uses no other.
        ledger: State restored from snapshot and log; ``None`` for a new shard.
    """

    def __init__(self, shard: str, rng: random.Random, ledger: Ledger | None = None):
        self._shard = shard
        self._state = ShardState(ledger if ledger is not None else Ledger(), rng)
        self._placer = Placer(self._state)
        self._services = ServiceReconciler(self._state)
        self._orphans = OrphanAttempts(self._state)
        self._retention = Retention(self._state)
        self._impossible = ImpossibleJobs(self._state)
        self._state.on_job_ended = self._retention.note_ended
        self._refresh_at = 0.0
        self._refresh_needed = True
        self._enqueue_restored()

    @property
    def ledger(self) -> Ledger:
        """State of the shard; read only."""
        return self._state.ledger

    @property
    def queued(self) -> int:
        """Number of queued entries: tasks, with each gang counted once."""
        return len(self._state.queue)

    def set_document(
        self, environment: str, document: Document, quota_share: float
    ) -> None:
        """Apply the shares, quotas, kind weights and services of a document.

        Members that the document no longer lists keep their last weight and quota,
        so that their accepted jobs can still finish.

        Args:
            environment: Name of the environment.
            document: Document to apply.
            quota_share: Fraction of quotas and replicas that this shard gets.
        """
        queue = self._state.queue
        for member in document.members:
            quota = member.quota.as_resources
            share = MemberShare(member.weight, _scaled_quota(quota, quota_share), quota)
            queue.set_share((environment, member.name), share)
        for kind in document.jobs:
            queue.set_kind_weight(environment, kind.name, kind.weight)
        self._services.set_document(environment, document, quota_share)
        self._refresh_needed = True

    def set_worker(self, info: WorkerInfo, schedulable: bool) -> None:
        """Add a worker, or update its capacity and whether it takes new tasks."""
        state = self._state
        # Called for every report, so the common case of no change must be cheap.
        if state.index.infos.get(info.worker_id) != info:
            state.ledger.set_capacity(info.worker_id, info.capacity)
            state.index.set_worker(info)
            self._refresh_needed = True
        state.set_schedulable(info.worker_id, schedulable)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that is certain to run no tasks; requeue its tasks."""
        state = self._state
        self._end_lost_tasks(worker_id)
        state.set_schedulable(worker_id, False)
        state.index.remove_worker(worker_id)
        state.ledger.forget_worker(worker_id)
        state.health.forget(worker_id)
        self._refresh_needed = True

    def submit(self, spec: JobSpec, waiter: object, now: float, wall: float) -> None:
        """Accept or refuse a job; the ``Reply`` is added to the batch."""
        state = self._state
        state.set_time(now, wall)
        existing = state.ledger.jobs.get(spec.job_id)
        if existing is not None:
            state.effect(_duplicate_reply(existing, spec, waiter))
            return
        if state.ledger.withdrawals.contains(
            spec.environment, spec.member, spec.job_id
        ):
            message = "the job id was cancelled before this submission"
            state.effect(Reply(waiter, Code.CANCELLED_BEFORE, spec.job_id, message))
            return
        refused = refusal(spec, waiter, state.index, state.queue)
        if refused is not None:
            state.effect(refused)
            return
        state.record(JobAccepted(spec, wall))
        job = state.ledger.jobs[spec.job_id]
        for task in job.tasks:
            state.enqueue(job, task, front=False)
        state.effect(Reply(waiter, Code.ACCEPTED, spec.job_id, "accepted"))

    def cancel(
        self,
        job_id: str,
        environment: str,
        member: str,
        waiter: object,
        now: float,
        wall: float,
    ) -> None:
        """Cancel a job of a member; has no effect on a finished job.

        The id of an unknown job is kept, since its submission may still arrive.
        """
        state = self._state
        state.set_time(now, wall)
        job = state.ledger.jobs.get(job_id)
        if job is None:
            self._withdraw(CancelRequested(job_id, wall, environment, member), waiter)
            return
        if (job.spec.environment, job.spec.member) != (environment, member):
            state.effect(Reply(waiter, Code.NOT_FOUND, job_id, "no such job"))
            return
        state.record(CancelRequested(job_id, wall, environment, member))
        if not job.state.final:
            state.end_job(
                job, JobState.CANCELLED, Code.JOB_CANCELLED, "cancelled by the member"
            )
        message = f"the job is {job.state.value}"
        state.effect(Reply(waiter, Code.OK, job_id, message))

    def on_report(self, report: WorkerReport, now: float, wall: float) -> None:
        """Process a report of a worker.

        Reports may be repeated and may contain old attempts; only attempts that are
        placed on this worker are changed. Attempts missing from ``running`` are
        treated as lost only if ``acked_starts`` is set.
        """
        self._state.set_time(now, wall)
        for finished in report.finished:
            self._on_finished(report.worker_id, finished)
        running = {(a.task_id, a.attempt) for a in report.running}
        for refused in report.refused:
            self._on_refused(report.worker_id, refused, running)
        self._orphans.update(report)
        if report.acked_starts:
            self._end_missing_tasks(report.worker_id, running)

    def on_worker_lost(self, worker_id: str, now: float, wall: float) -> None:
        """Requeue all tasks of a worker that is certain not to run them."""
        self._state.set_time(now, wall)
        self._end_lost_tasks(worker_id)

    def starts_to_resend(
        self, worker_id: str, running: Iterable[Attempt]
    ) -> list[StartTask]:
        """Return the starts to resend to a worker that does not run these attempts.

        Meant for the first report of a worker after an owner attached to it, because
        starts sent by the previous owner or on the previous stream may be lost. The
        resent starts have the same attempt numbers, so a worker that already received
        one refuses the duplicate. Call this after ``on_report`` with that report, and
        only while no other start of these attempts is in flight.
        """
        reported = {(a.task_id, a.attempt) for a in running}
        ledger = self._state.ledger
        return [
            start_effect(ledger.jobs[task.job_id], task)
            for task in ledger.placed_on(worker_id)
            if task.state is TaskState.ASSIGNED
            and (task.task_id, task.attempt) not in reported
        ]

    def schedule(self, now: float, wall: float) -> int:
        """Run a scheduling pass; return the number of tasks placed."""
        state = self._state
        state.set_time(now, wall)
        for worker_id in state.health.advance(now):
            state.update_eligible(worker_id)
        self._services.reconcile()
        state.enqueue_delayed()
        if self._refresh_needed or now >= self._refresh_at:
            self._refresh_needed = False
            self._refresh_at = now + SHARE_REFRESH_INTERVAL_S
            state.index.refresh()
            state.queue.refresh(state.index.total, wall)
            self._impossible.end_expired()
            self._placer.quotas.drop_impossible()
            self._retention.forget_expired()
        return self._placer.run()

    def next_wakeup(self, now: float) -> float | None:
        """Return when to call ``schedule`` next if no event arrives earlier.

        The time is monotonic, in seconds; ``None`` means that no call is needed.
        """
        if self._placer.has_more:
            return now
        times = [
            self._state.next_delay_end(),
            self._state.health.next_change(),
            self._placer.next_check(),
            self._refresh_at,
        ]
        if self._services.pending:
            times.append(now + REPLACE_CHECK_INTERVAL_S)
        return min((max(now, t) for t in times if t is not None), default=None)

    def take_batch(self) -> Batch:
        """Return the records and effects collected since the last call."""
        return self._state.take_batch()

    def view(self, job_id: str) -> Job | None:
        """Return a job, or ``None`` if it is unknown; read only."""
        return self._state.ledger.jobs.get(job_id)

    def explain(self, job_id: str, now: float) -> list[str]:
        """Return the reasons why a job is waiting, one per line."""
        job = self._state.ledger.jobs.get(job_id)
        if job is None:
            return ["no such job"]
        self._state.now = max(now, self._state.now)
        placer = self._placer
        return waiting_reasons(self._state, job, placer.reserved_for, placer.quotas)

    def _withdraw(self, request: CancelRequested, waiter: object) -> None:
        """Keep the cancellation of a job id without a job."""
        state = self._state
        environment, member, job_id = (
            request.environment,
            request.member,
            request.job_id,
        )
        withdrawals = state.ledger.withdrawals
        known = withdrawals.contains(environment, member, job_id)
        if not known and not withdrawals.accepts(environment, member, request.at):
            message = "too many cancellations of unknown jobs"
            state.effect(Reply(waiter, Code.MEMBER_LIMIT, job_id, message))
            return
        # Also if it is known, since each answer promises the whole retention time.
        state.record(request)
        state.effect(Reply(waiter, Code.NOT_FOUND, job_id, "no such job"))

    def _enqueue_restored(self) -> None:
        self._state.count_restored_preemptible()
        for job in self._state.ledger.jobs.values():
            self._stop_partly_placed_gang(job)
            for task in job.tasks:
                self._state.enqueue(job, task, front=False)

    def _stop_partly_placed_gang(self, job: Job) -> None:
        """Stop a gang that was only partly placed when the log ended."""
        if job.spec.policy is not Policy.GANG or job.state.final:
            return
        if any(task.state is TaskState.QUEUED for task in job.tasks):
            for task in job.tasks:
                self._state.stop(task, checkpoint=job.spec.resumable)

    def _on_finished(self, worker_id: str, finished: FinishedAttempt) -> None:
        task = self._state.find_placed(worker_id, finished.task_id, finished.attempt)
        if task is not None:
            self._end_attempt(task, finished)
        # Results of old or unknown attempts are acknowledged too, so that the worker
        # can drop them.
        ack = AckResult(worker_id, finished.task_id, finished.attempt)
        self._state.effect(ack)

    def _end_attempt(self, task: Task, finished: FinishedAttempt) -> None:
        state = self._state
        worker_id = task.worker_id
        job = state.ledger.jobs[task.job_id]
        counted = state.retries.counts_against_job(job.spec, worker_id)
        state.end_attempt(
            task, finished.outcome, finished.result, finished.error, counted
        )
        if finished.outcome == "failed":
            self._on_failed(job, task, worker_id)
        elif finished.outcome == "succeeded":
            state.health.note_success(worker_id)
            self._on_succeeded(job, task)
        else:
            self._requeue(job, task)
            state.health.note_inconclusive(worker_id)
        state.update_eligible(worker_id)

    def _on_succeeded(self, job: Job, task: Task) -> None:
        state = self._state
        if state.end_job_if_done(job):
            return
        if task.state is TaskState.QUEUED:
            state.enqueue_later(job, task, state.retries.delay(task, state.now))
        else:
            state.retries.forget(task.task_id)
            self._requeue(job, task)

    def _on_failed(self, job: Job, task: Task, worker_id: str) -> None:
        state = self._state
        worker_count = len(state.index.infos)
        state.health.note_failure(
            worker_id, job.spec.job_id, state.now, worker_count, task.failed_on
        )
        if job.state.final:
            return
        workers = state.index.count_large_enough(job.spec.resources, MIN_FAILED_WORKERS)
        code = state.retries.final_code(job.spec, task, workers)
        if code is None:
            state.enqueue_later(job, task, state.retries.delay(task, state.now))
            self._requeue(job, task)
            return
        names = ", ".join(task.failed_on)
        state.fail_job(job, code, f"{task.task_id} failed on {names}: {task.error}")

    def _on_refused(
        self, worker_id: str, refused: RefusedStart, running: set[tuple[str, int]]
    ) -> None:
        task = self._state.find_placed(worker_id, refused.task_id, refused.attempt)
        if task is None or (refused.task_id, refused.attempt) in running:
            return
        if refused.reason == "duplicate" and not _runs_other_attempt(refused, running):
            return
        self._end_without_result(task, "refused")

    def _requeue(self, job: Job, task: Task) -> None:
        """Requeue a task after an attempt ended.

        The remaining tasks of a gang are stopped first, and the gang is requeued as
        a whole.
        """
        state = self._state
        if job.spec.policy is not Policy.GANG:
            state.enqueue(job, task)
            return
        queued = [other for other in job.tasks if other.state is TaskState.QUEUED]
        if not queued:
            return
        for other in job.tasks:
            state.stop(other, checkpoint=job.spec.resumable)
        state.enqueue(job, queued[0])

    def _end_lost_tasks(self, worker_id: str) -> None:
        for task in self._state.ledger.placed_on(worker_id):
            self._end_without_result(task, "lost")
        self._orphans.clear(worker_id)

    def _end_missing_tasks(self, worker_id: str, running: set[tuple[str, int]]) -> None:
        for task in self._state.ledger.placed_on(worker_id):
            if (task.task_id, task.attempt) not in running:
                self._end_without_result(task, "lost")

    def _end_without_result(self, task: Task, outcome: str) -> None:
        """End a refused or lost attempt.

        The outcome counts neither as a success nor as a failure of the task or worker.
        """
        state = self._state
        worker_id = task.worker_id
        state.end_attempt(task, outcome)
        self._requeue(state.ledger.jobs[task.job_id], task)
        state.health.note_inconclusive(worker_id)
        state.update_eligible(worker_id)


def _scaled_quota(quota: Resources, share: float) -> Resources:
    """Return a fraction of a quota, with accelerators rounded up."""
    return Resources(
        int(quota.cores_milli * share),
        int(quota.memory_mb * share),
        # Rounded up because an accelerator cannot be divided between shards.
        math.ceil(quota.accelerators * share),
    )


def _duplicate_reply(existing: Job, spec: JobSpec, waiter: object) -> Reply:
    same = existing.spec.request_digest == spec.request_digest
    code = Code.ALREADY_ACCEPTED if same else Code.KEY_REUSED
    message = (
        "the job was already accepted"
        if same
        else "the key was already used for a different request"
    )
    return Reply(waiter, code, spec.job_id, message)


def _runs_other_attempt(refused: RefusedStart, running: set[tuple[str, int]]) -> bool:
    """Return whether the worker runs another attempt of the refused task."""
    return any(
        task_id == refused.task_id and attempt != refused.attempt
        for task_id, attempt in running
    )
