"""Scheduler of one shard: takes events, returns records and effects.

The scheduler performs no input or output. Decisions change its ledger at once and
are collected in a ``Batch``; the owner commits the records as one group and carries
out the effects only after that. If the commit is fenced, the whole scheduler is
discarded and the next owner starts from snapshot and log.
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
from .explain import reasons
from .fairness import MemberShare
from .feasibility import refusal
from .health import MIN_FAILED_WORKERS
from .impossible import ImpossibleJobs
from .ledger import Ledger
from .placement import Placer
from .reports import Attempt, Finished, RefusedStart, WorkerReport
from .retention import Retention
from .services import REPLACE_CHECK_S, ServiceKeeper
from .state import ShardState, start_of
from .strays import Strays

# Shares are recomputed at this interval for ageing and changed capacity.
REFRESH_S = 5.0


class Scheduler:
    """Scheduling decisions of one shard.

    Args:
        shard: Name of the shard.
        rng: Source of all randomness.
        ledger: State read from snapshot and log; empty for a new shard.
    """

    def __init__(self, shard: str, rng: random.Random, ledger: Ledger | None = None):
        self._shard = shard
        self._state = ShardState(ledger if ledger is not None else Ledger(), rng)
        self._placer = Placer(self._state)
        self._services = ServiceKeeper(self._state)
        self._strays = Strays(self._state)
        self._retention = Retention(self._state)
        self._impossible = ImpossibleJobs(self._state)
        self._state.ended = self._retention.note_ended
        self._refresh_at = 0.0
        self._refresh_needed = True
        self._enqueue_restored()

    @property
    def ledger(self) -> Ledger:
        """State of the shard; read only."""
        return self._state.ledger

    @property
    def queued(self) -> int:
        """Number of queued tasks; a gang counts once."""
        return len(self._state.queue)

    def set_document(
        self, environment: str, document: Document, quota_share: float
    ) -> None:
        """Put a document into effect: shares, quotas, kind weights and services.

        Members that the document no longer names keep their last share and quota,
        so that their accepted work still finishes.

        Args:
            environment: Name of the environment.
            document: The document.
            quota_share: Part of quotas and replicas that falls on this shard.
        """
        queue = self._state.queue
        for member in document.members:
            quota = member.quota.amount
            share = MemberShare(member.weight, _part(quota, quota_share), quota)
            queue.set_share((environment, member.name), share)
        for kind in document.jobs:
            queue.set_kind_weight(environment, kind.name, kind.weight)
        self._services.set_document(environment, document, quota_share)
        self._refresh_needed = True

    def set_worker(self, info: WorkerInfo, schedulable: bool) -> None:
        """Add a worker, or change its capacity or whether it takes new tasks."""
        state = self._state
        # Owners repeat this with every report, so an unchanged worker costs nothing.
        if state.index.infos.get(info.worker_id) != info:
            state.ledger.set_capacity(info.worker_id, info.capacity)
            state.index.set_worker(info)
            self._refresh_needed = True
        state.set_schedulable(info.worker_id, schedulable)

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker; its tasks are proved not to run and are queued again."""
        state = self._state
        self._lose_tasks(worker_id)
        state.set_schedulable(worker_id, False)
        state.index.remove_worker(worker_id)
        state.ledger.forget_worker(worker_id)
        state.health.forget(worker_id)
        self._refresh_needed = True

    def submit(self, spec: JobSpec, ticket: object, now: float, wall: float) -> None:
        """Accept a job or refuse it; the ``Reply`` is in the batch."""
        state = self._state
        state.set_time(now, wall)
        known = state.ledger.jobs.get(spec.job_id)
        if known is not None:
            state.effect(_duplicate_reply(known, spec, ticket))
            return
        refused = refusal(spec, ticket, state.index, state.queue)
        if refused is not None:
            state.effect(refused)
            return
        state.record(JobAccepted(spec, wall))
        job = state.ledger.jobs[spec.job_id]
        for task in job.tasks:
            state.enqueue(job, task, front=False)
        state.effect(Reply(ticket, Code.ACCEPTED, spec.job_id, "accepted"))

    def cancel(
        self,
        job_id: str,
        environment: str,
        member: str,
        ticket: object,
        now: float,
        wall: float,
    ) -> None:
        """End a job of a member; cancelling a finished job changes nothing."""
        state = self._state
        state.set_time(now, wall)
        job = state.ledger.jobs.get(job_id)
        if job is None or (job.spec.environment, job.spec.member) != (
            environment,
            member,
        ):
            state.effect(Reply(ticket, Code.NOT_FOUND, job_id, "no such job"))
            return
        if not job.state.final:
            state.record(CancelRequested(job_id, wall))
            state.end_job(
                job, JobState.CANCELLED, Code.JOB_CANCELLED, "cancelled by the member"
            )
        message = f"the job is {job.state.value}"
        state.effect(Reply(ticket, Code.OK, job_id, message))

    def on_report(self, report: WorkerReport, now: float, wall: float) -> None:
        """Take in what a worker says of itself.

        Reports may be repeated and may speak of old attempts; only the attempt that
        is placed on that worker is changed. Attempts missing from ``running`` are
        taken as lost only if ``acked_starts`` is set.
        """
        self._state.set_time(now, wall)
        for finished in report.finished:
            self._on_finished(report.worker_id, finished)
        running = {(a.task_id, a.attempt) for a in report.running}
        for refused in report.refused:
            self._on_refused(report.worker_id, refused, running)
        self._strays.update(report)
        if report.acked_starts:
            self._lose_missing(report.worker_id, running)

    def on_task_lost(self, worker_id: str, now: float, wall: float) -> None:
        """Queue all tasks of a worker again; they are proved not to run."""
        self._state.set_time(now, wall)
        self._lose_tasks(worker_id)

    def unstarted(self, worker_id: str, running: Iterable[Attempt]) -> list[StartTask]:
        """Return the starts to send again to a worker that does not run them.

        For the first report of a worker after an owner attached to it, when the
        starts of the former owner or stream may never have arrived. They name the
        same attempts, so a worker that has one of them already refuses the
        duplicate. Call it after ``on_report`` with that report, and only while no
        other start of these attempts is on its way.
        """
        known = {(a.task_id, a.attempt) for a in running}
        ledger = self._state.ledger
        return [
            start_of(ledger.jobs[task.job_id], task)
            for task in ledger.placed_on(worker_id)
            if task.state is TaskState.ASSIGNED
            and (task.task_id, task.attempt) not in known
        ]

    def schedule(self, now: float, wall: float) -> int:
        """Place queued tasks; return the number placed."""
        state = self._state
        state.set_time(now, wall)
        for worker_id in state.health.advance(now):
            state.update_open(worker_id)
        self._services.reconcile()
        state.enqueue_due()
        if self._refresh_needed or now >= self._refresh_at:
            self._refresh_needed = False
            self._refresh_at = now + REFRESH_S
            state.index.refresh()
            state.queue.refresh(state.index.total, wall)
            self._impossible.end_them()
            self._retention.forget_old()
        return self._placer.run()

    def next_wakeup(self, now: float) -> float | None:
        """Return when ``schedule`` should be called next without other events."""
        if self._placer.more:
            return now
        times = [
            self._state.next_delayed(),
            self._state.health.next_change(),
            self._placer.next_check(),
            self._refresh_at,
        ]
        if self._services.pending:
            times.append(now + REPLACE_CHECK_S)
        return min((max(now, t) for t in times if t is not None), default=None)

    def take_batch(self) -> Batch:
        """Return the records and effects since the last call."""
        return self._state.take_batch()

    def view(self, job_id: str) -> Job | None:
        """Return a job, or ``None``; not to be changed by the caller."""
        return self._state.ledger.jobs.get(job_id)

    def explain(self, job_id: str, now: float) -> list[str]:
        """Return the reasons why a job waits, one a line."""
        job = self._state.ledger.jobs.get(job_id)
        if job is None:
            return ["no such job"]
        self._state.now = max(now, self._state.now)
        return reasons(self._state, job, self._placer.reserved_for)

    def _enqueue_restored(self) -> None:
        self._state.count_restored()
        for job in self._state.ledger.jobs.values():
            self._stop_half_gang(job)
            for task in job.tasks:
                self._state.enqueue(job, task, front=False)

    def _stop_half_gang(self, job: Job) -> None:
        """Stop a gang of which only a part was placed when the log ended."""
        if job.spec.policy is not Policy.GANG or job.state.final:
            return
        if any(task.state is TaskState.QUEUED for task in job.tasks):
            for task in job.tasks:
                self._state.stop(task, checkpoint=job.spec.resumable)

    def _on_finished(self, worker_id: str, finished: Finished) -> None:
        task = self._state.placed(worker_id, finished.task_id, finished.attempt)
        if task is not None:
            self._end(task, finished)
        # Results of older or unknown attempts are acknowledged as well, so that the
        # worker can drop them.
        ack = AckResult(worker_id, finished.task_id, finished.attempt)
        self._state.effect(ack)

    def _end(self, task: Task, finished: Finished) -> None:
        state = self._state
        worker_id = task.worker_id
        job = state.ledger.jobs[task.job_id]
        counted = state.retries.counts(job.spec, worker_id)
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
            state.health.note_no_verdict(worker_id)
        state.update_open(worker_id)

    def _on_succeeded(self, job: Job, task: Task) -> None:
        state = self._state
        if state.end_if_done(job):
            return
        if task.state is TaskState.QUEUED:
            state.enqueue_later(job, task, state.retries.delay(task, state.now))
        else:
            state.retries.forget(task.task_id)
            self._requeue(job, task)

    def _on_failed(self, job: Job, task: Task, worker_id: str) -> None:
        state = self._state
        known = len(state.index.infos)
        state.health.note_failure(worker_id, job.spec.job_id, state.now, known)
        if job.state.final:
            return
        workers = state.index.count_that_could_hold(
            job.spec.resources, MIN_FAILED_WORKERS
        )
        code = state.retries.verdict(job.spec, task, workers)
        if code is None:
            state.enqueue_later(job, task, state.retries.delay(task, state.now))
            self._requeue(job, task)
            return
        names = ", ".join(task.failed_on)
        state.fail_job(job, code, f"{task.task_id} failed on {names}: {task.error}")

    def _on_refused(
        self, worker_id: str, refused: RefusedStart, running: set[tuple[str, int]]
    ) -> None:
        task = self._state.placed(worker_id, refused.task_id, refused.attempt)
        if task is None or (refused.task_id, refused.attempt) in running:
            return
        if refused.reason == "duplicate" and not _other_attempt(refused, running):
            return
        self._end_unrun(task, "refused")

    def _requeue(self, job: Job, task: Task) -> None:
        """Queue what an ended attempt leaves to do; a gang first stops as a whole."""
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

    def _lose_tasks(self, worker_id: str) -> None:
        for task in self._state.ledger.placed_on(worker_id):
            self._end_unrun(task, "lost")
        self._strays.clear(worker_id)

    def _lose_missing(self, worker_id: str, running: set[tuple[str, int]]) -> None:
        for task in self._state.ledger.placed_on(worker_id):
            if (task.task_id, task.attempt) not in running:
                self._end_unrun(task, "lost")

    def _end_unrun(self, task: Task, outcome: str) -> None:
        """End an attempt that told nothing about its task or worker."""
        state = self._state
        worker_id = task.worker_id
        state.end_attempt(task, outcome)
        self._requeue(state.ledger.jobs[task.job_id], task)
        state.health.note_no_verdict(worker_id)
        state.update_open(worker_id)


def _part(quota: Resources, share: float) -> Resources:
    """Return a share of a quota."""
    return Resources(
        int(quota.cores_milli * share),
        int(quota.memory_mb * share),
        # A single accelerator is not divided between shards.
        math.ceil(quota.accelerators * share),
    )


def _duplicate_reply(known: Job, spec: JobSpec, ticket: object) -> Reply:
    same = known.spec.request_digest == spec.request_digest
    code = Code.ALREADY_ACCEPTED if same else Code.KEY_REUSED
    message = "accepted before" if same else "the key was used with another request"
    return Reply(ticket, code, spec.job_id, message)


def _other_attempt(refused: RefusedStart, running: set[tuple[str, int]]) -> bool:
    """Tell whether another attempt of the refused task runs on the worker."""
    return any(
        task_id == refused.task_id and attempt != refused.attempt
        for task_id, attempt in running
    )
