"""The leader's view of open jobs and workers: takes events, returns orders.

The cluster state performs no input or output. Resources of a worker are allocated
from the decision to start a run until the worker reports its end, refuses it, or can
no longer run it. If an order is not answered, the worker's fencing token is raised.
The next poll with the raised token shows whether the run exists, because the worker
then rejects delayed orders with lower tokens.
"""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import replace
from itertools import islice

from .decisions import DecisionLog
from .health import WorkerHealth
from .limits import check_job
from .model import (
    Advice,
    DesiredState,
    EndedTask,
    EndKind,
    Queue,
    RunningTask,
    RunOrder,
    StartReply,
    Step,
    StepJobState,
    WorkerEntry,
    WorkerReport,
)
from .placement import allocated_resources
from .records import StepProgress
from .rows import MAX_CHECKPOINT_CHARS, write_rows
from .runs import (
    LEASE_EXPIRY_MARGIN_S,
    MAX_GRANTED_LEASE_S,
    MAX_LEASE_FACTOR,
    MAX_ORDER_DELAY_S,
    MIN_CLOCK_RATE,
    RUNS_PER_EPOCH,
    TOKENS_PER_EPOCH,
    InheritedRuns,
    OpenJob,
    Order,
    PollNow,
    Run,
    RunPhase,
    StartRun,
    StepRun,
    StopRun,
    Ticket,
    WorkerState,
)
from .table import TableJob

# Digits of an occurrence, step or index in the id of a task.
MAX_NUMBER_CHARS = 9
# A stop order is repeated at this interval until the worker reports the end.
STOP_REPEAT_S = 0.5
# Delay before a task whose start was refused is placed again, so that a worker that
# refuses everything does not keep the planner busy.
RESTART_DELAY_S = 0.1
# Maximum delay after an order was rejected repeatedly; by the users' rules, a job must
# not have nothing running for 3 s while there is capacity.
REJECTED_DELAY_MAX_S = 2.0
# A step's delay after a failed call for advice doubles with each further failure, up to
# this time.
ADVICE_RETRY_MAX_S = 1.0
# A run without progress for this long is stalled, or for the time in which the slowest
# sound run advances by one percent, whichever is longer.
STALL_S = 1.5
# A sound run takes at most this many times its estimate: eight times as long on a slow
# worker, and three times that far from its data.
SLOWEST_FACTOR = 24.0
# Filler tasks are not stalled while all of a worker's idle CPU would slow them down by
# more than this factor.
MAX_FILLER_SLOWDOWN = 3
# Of the time between two answers of a worker, only this much counts towards a stall,
# because the worker may have been suspended or cut off.
MAX_OBSERVED_GAP_S = 1.0
# Progress of a task that has nothing left to do. A task of a gang shows it while the
# tasks on slower workers still work.
COMPLETE_PERCENT = 100.0
# A worker that has not answered for this long is recorded with its tasks, so that a
# lease that is renewed late does not cause a write.
SILENT_S = 0.3
# A service whose tasks failed within this time on at least so many workers, or on all
# that may run it, and on most of those that do, is at fault itself.
SERVICE_FAULT_WINDOW_S = 30.0
MIN_FAILED_WORKERS = 3
# Wall clocks of two processes differ by less than this.
MAX_CLOCK_SKEW_S = 30.0
# The ends of gang tasks that finish together are reported within this time.
GANG_END_S = 1.0

REFUSALS_OF_WORKER = {StartReply.UNHEALTHY, StartReply.NO_CAPACITY}


class ClusterState:
    """Open jobs, their runs and the workers during one leader epoch.

    Args:
        epoch: Number of the leader epoch.
        lease_s: Longest lease that workers accept, in seconds. Leaders of earlier
            builds granted leases of this length.
        log: Decision log.

    Attributes:
        orders: Orders decided since the last call of ``take_orders``.
        fenced: Whether a worker has accepted a higher token than this leader's.
    """

    def __init__(self, epoch: int, lease_s: float, log: DecisionLog):
        self.orders: list[Order] = []
        self.fenced = False
        self._epoch = epoch
        self._lease_s = min(lease_s, MAX_GRANTED_LEASE_S)
        self._accepted_lease_s = lease_s
        self._max_lease_s = lease_s * MAX_LEASE_FACTOR / MIN_CLOCK_RATE
        self._log = log
        self._desired: DesiredState | None = None
        self._jobs: dict[str, OpenJob] = {}
        self._workers: dict[str, WorkerState] = {}
        self._unsettled: dict[str, InheritedRuns] = {}
        self._waiting: dict[str, StepRun] = {}
        self._scheduled: dict[str, OpenJob] = {}
        self._starting = 0
        self._first_token = epoch * TOKENS_PER_EPOCH

    @property
    def epoch(self) -> int:
        """Number of the leader epoch."""
        return self._epoch

    @property
    def lease_s(self) -> float:
        """Length of the leases that are granted, in seconds."""
        return self._lease_s

    @property
    def jobs(self) -> dict[str, OpenJob]:
        """Open jobs, and ended jobs whose end is not stored yet, by id."""
        return self._jobs

    @property
    def workers(self) -> dict[str, WorkerState]:
        """Known workers by id."""
        return self._workers

    @property
    def scheduled(self) -> dict[str, OpenJob]:
        """Jobs with occurrences that are not open yet, by id."""
        return self._scheduled

    @property
    def waiting(self) -> dict[str, StepRun]:
        """Steps with tasks to start, by id."""
        return self._waiting

    @property
    def starting(self) -> int:
        """Number of start orders in flight."""
        return self._starting

    @property
    def unsettled(self) -> dict[str, InheritedRuns]:
        """Runs of a former leader that may still exist, by worker id."""
        return self._unsettled

    @property
    def may_have_unknown_runs(self) -> bool:
        """Whether any inherited task may be running on a worker that is unsettled."""
        return any(runs.tasks is None for runs in self._unsettled.values())

    def take_orders(self) -> list[Order]:
        """Return the orders decided since the last call."""
        orders, self.orders = self.orders, []
        return orders

    # Desired state and jobs

    def set_desired_state(self, desired: DesiredState) -> None:
        """Apply a configuration; open jobs keep a queue that was removed."""
        self._desired = desired
        for job in self._jobs.values():
            queue = desired.queue(job.queue.name)
            if queue is not None:
                job.queue = queue
        for step in self._waiting.values():
            step.blocked = False

    def add_job(self, entry: TableJob, now: float, wall: float, inherited: bool):
        """Add an accepted job; ignored if it is known or has ended.

        Args:
            entry: The job as stored.
            now: Time on the leader's monotonic clock, in seconds.
            wall: Wall-clock time, in seconds.
            inherited: Whether a former leader may have started tasks of the job.

        Raises:
            BadRequest: The stored job or its progress is not valid.
        """
        if entry.job_id in self._jobs or entry.state.final or self._desired is None:
            return
        record = entry.decode()
        check_job(record.spec)
        progress = entry.decode_progress()
        name = record.spec.queue
        queue = self._desired.queue(name)
        if queue is None and record.queue is not None:
            queue = record.queue.to_queue(name)
        elif queue is None:
            queue = _unconfigured_queue(name)
        job = OpenJob(
            spec=record.spec,
            queue=queue,
            # Wall clocks of two processes may differ by seconds, so wall-clock time is
            # used only for jobs of a former leader.
            accepted_at=now - max(0.0, wall - record.accepted_at) * inherited,
            accepted_wall=record.accepted_at,
            accepted_by=record.accepted_by,
            inherited=inherited,
            state=entry.state,
        )
        job.objective_at = (
            job.accepted_at
            + queue.stretch * max(_critical_paths(record.spec.steps), default=0.0)
            + queue.objective_s
        )
        if progress is not None:
            job.restored_progress = dict(progress.steps)
        self._jobs[entry.job_id] = job
        if entry.cancelled:
            self.cancel_job(entry.job_id, now, wall)
        elif record.spec.schedule is not None:
            self._scheduled[entry.job_id] = job
            # The clock of the leader that opened these may have been ahead.
            self._open_before(job, _opened_occurrences(job), now)
            self.open_due_occurrences(now, wall)
        else:
            self._open_occurrence(job, 0, now)

    def cancel_job(self, job_id: str, now: float, wall: float) -> None:
        """End a job on its caller's request; ignored if it is unknown or has ended."""
        job = self._jobs.get(job_id)
        if job is None or job.state.final:
            return
        self._end_job(job, StepJobState.CANCELLED, now, wall, "cancelled by the caller")

    def open_due_occurrences(self, now: float, wall: float) -> None:
        """Open the occurrences of scheduled jobs whose time has come."""
        for job in list(self._scheduled.values()):
            self.open_due(job, now, wall)

    def open_due(self, job: OpenJob, now: float, wall: float) -> None:
        """Open the occurrences of one scheduled job whose time has come."""
        schedule = job.spec.schedule
        end = job.next_occurrence
        while end < schedule.repeats and schedule.due_at(end) <= wall:
            end += 1
        self._open_before(job, end, now)

    def _open_before(self, job: OpenJob, end: int, now: float) -> None:
        """Open the occurrences with numbers below ``end``."""
        while job.next_occurrence < end and not job.state.final:
            job.next_occurrence += 1
            self._open_occurrence(job, job.next_occurrence - 1, now)
        if job.next_occurrence >= job.spec.schedule.repeats or job.state.final:
            self._scheduled.pop(job.spec.job_id, None)

    def _open_occurrence(self, job: OpenJob, occurrence: int, now: float) -> None:
        paths_s = _critical_paths(job.spec.steps)
        for number, spec in enumerate(job.spec.steps):
            step = StepRun(
                job,
                occurrence,
                number,
                spec,
                due_at=now,
                critical_path_s=paths_s[number],
            )
            old = job.restored_progress.pop(f"{occurrence}.{number}", None)
            if old is not None:
                _restore(step, old)
            job.steps[occurrence, number] = step
        self._open_steps(job, occurrence, now)
        self._end_if_complete(job, now, job.accepted_wall)

    def _open_steps(self, job: OpenJob, occurrence: int, now: float) -> None:
        """Mark the steps ready whose predecessors are complete."""
        for number in range(len(job.spec.steps)):
            step = job.steps[occurrence, number]
            if step.ready or step.complete:
                continue
            before = [job.steps.get((occurrence, n)) for n in step.spec.after]
            if all(b is not None and b.complete for b in before):
                step.ready = True
                step.due_at = now
                # Tasks that a former leader started may have been adopted already.
                taken = step.done | step.live.keys()
                step.pending = [i for i in range(step.spec.count) if i not in taken]
                self.update_waiting(step)

    def update_waiting(self, step: StepRun) -> None:
        """Add a step to the waiting steps, or remove it if it has nothing to start."""
        startable = not step.spec.gang or not step.live
        if step.ready and step.pending and startable and not step.job.state.final:
            self._waiting[step.id] = step
        else:
            step.release_reservation()
            # Resources gained while it does not wait are not noted for it.
            step.blocked = False
            self._waiting.pop(step.id, None)

    def _end_if_complete(self, job: OpenJob, now: float, wall: float) -> None:
        schedule = job.spec.schedule
        if schedule is not None and job.next_occurrence < schedule.repeats:
            return
        if job.steps and all(step.complete for step in job.steps.values()):
            self._end_job(job, StepJobState.COMPLETED, now, wall, "all tasks are done")

    def _end_job(
        self, job: OpenJob, state: StepJobState, now: float, wall: float, why: str
    ) -> None:
        job.state = state
        job.ended_wall = wall
        job.mark_changed(now, urgent=True)
        self._log.write(
            "job ended",
            job=job.spec.job_id,
            queue=job.queue.name,
            outcome=state,
            why=why,
            epoch=self._epoch,
            age_s=round(now - job.accepted_at, 3),
            objective_s=round(job.objective_at - job.accepted_at, 3),
        )
        for step in job.steps.values():
            step.pending.clear()
            self.update_waiting(step)
            for run in list(step.live.values()):
                self.stop_run(run, now)

    def remove_job(self, job: OpenJob) -> None:
        """Remove an ended job whose end is stored."""
        self._jobs.pop(job.spec.job_id, None)
        self._scheduled.pop(job.spec.job_id, None)

    def set_aside(self, job_id: str) -> None:
        """Stop handling a job after an error; its runs become orphans.

        The job stays open in the store, for the next leader.
        """
        job = self._jobs.pop(job_id, None)
        self._scheduled.pop(job_id, None)
        if job is None:
            return
        for step in job.steps.values():
            step.pending.clear()
            step.release_reservation()
            self._waiting.pop(step.id, None)
            for run in step.live.values():
                if self._remove_run(run):
                    # Blocks the worker until its next report shows what runs there.
                    run.worker.orphans[run.key] = float("-inf")
            step.live.clear()

    # Workers

    def restore_worker(
        self, entry: WorkerEntry, until: float, tasks: frozenset[str] | None = None
    ) -> None:
        """Add a worker on which runs of a former leader may exist.

        Args:
            entry: The worker as recorded in the store.
            until: Time by which all such runs have ended.
            tasks: Ids of the only tasks that may run there, if they are known.
        """
        worker = self._worker(entry)
        worker.recorded_address = entry.address
        worker.listed = False
        self._unsettled[entry.worker_id] = InheritedRuns(until, tasks)

    def set_worker(self, entry: WorkerEntry, now: float) -> WorkerState:
        """Add a worker or update it from its registry entry."""
        worker = self._worker(entry)
        if _is_newer_incarnation(worker.entry, entry):
            self._begin_incarnation(worker, entry, now)
        elif _is_outdated(worker.entry, entry):
            # A poll has shown a restart that the registry does not show yet.
            worker.listed = True
            return worker
        if worker.entry.draining != entry.draining:
            self._log.write(
                "worker draining", worker=entry.worker_id, draining=entry.draining
            )
        worker.entry = entry
        worker.entry_outdated = False
        worker.listed = True
        return worker

    def uses_service(self, name: str) -> bool:
        """Return whether a service is configured, or an open job needs its workers.

        An entry of another service may be that of another system, whose workers must
        not see the fencing tokens of this one.
        """
        if self._desired is not None and self._desired.has_service(name):
            return True
        return any(job.queue.service == name for job in self._jobs.values())

    def mark_unlisted(self, worker_id: str, now: float) -> None:
        """Record that the registry no longer lists a worker."""
        worker = self._workers.get(worker_id)
        if worker is not None and worker.listed:
            worker.listed = False
            self._log.write("worker unlisted", worker=worker_id, runs=len(worker.runs))

    def remove_worker(self, worker: WorkerState) -> None:
        """Remove a worker that can no longer run anything."""
        self._workers.pop(worker.entry.worker_id, None)
        self._unsettled.pop(worker.entry.worker_id, None)
        # If it comes back, it may have seen this token, and rejects lower ones.
        self._first_token = max(self._first_token, worker.token)
        self._forget_incarnation(worker.entry.worker_id)

    def holds(self, worker: WorkerState) -> bool:
        """Return whether this is the state of the worker that has its id now."""
        return self._workers.get(worker.entry.worker_id) is worker

    def all_runs_expired(self, worker: WorkerState, now: float) -> bool:
        """Return whether no run can exist on a worker that does not answer."""
        inherited = self._unsettled.get(worker.entry.worker_id)
        if inherited is not None:
            # It may have answered, and so renewed its lease, before it was settled.
            return now >= max(inherited.until, worker.leases_expire_at())
        # An unanswered start order counts as a run.
        may_run = worker.runs or worker.orphans
        return not may_run or now >= self._leases_expire_at(worker)

    def _leases_expire_at(self, worker: WorkerState) -> float:
        """Return the time by which the leases of all runs of a worker have expired.

        A run that no poll has shown may be on an incarnation that has not been noticed.
        Its clock began anew, so that it took the longest lease that a worker accepts.
        """
        if all(run.reported for run in worker.runs.values()):
            return worker.leases_expire_at()
        longest_s = self._accepted_lease_s / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S
        return max(worker.leases_expire_at(), worker.lease_sent_at + longest_s)

    def drop_runs(self, worker: WorkerState, now: float, why: str) -> None:
        """Treat all runs of a worker as ended with unknown outcome."""
        self._unsettled.pop(worker.entry.worker_id, None)
        worker.unsettle()
        worker.orphans.clear()
        worker.token += 1
        if worker.runs:
            self._log.write(
                "runs lost",
                worker=worker.entry.worker_id,
                runs=len(worker.runs),
                heard_age_s=round(now - worker.last_answer_at, 2),
                why=why,
            )
            self._log_dropped(worker, worker.runs.values())
        for run in list(worker.runs.values()):
            self._release_run(run, now)

    def _log_dropped(self, worker: WorkerState, runs: Iterable[Run]) -> None:
        rows = [
            {
                "task": run.task_id,
                "run": run.number,
                "checkpoint": run.checkpoint[:MAX_CHECKPOINT_CHARS],
            }
            for run in runs
        ]
        worker_id = worker.entry.worker_id
        write_rows(self._log, "runs dropped", rows, worker=worker_id)

    def _worker(self, entry: WorkerEntry) -> WorkerState:
        worker = self._workers.get(entry.worker_id)
        if worker is None:
            worker = WorkerState(entry, self._first_token, WorkerHealth())
            self._workers[entry.worker_id] = worker
        return worker

    def _begin_incarnation(
        self, worker: WorkerState, entry: WorkerEntry, now: float
    ) -> None:
        """Prepare a worker's state for a newer incarnation, which is polled next.

        Orders sent before the restart was noticed may have been executed by the new
        incarnation, or may still be. A run that has not been reported is therefore
        kept until a poll with the raised token shows whether it exists.
        """
        reported = [run for run in worker.runs.values() if run.reported]
        self._log.write(
            "worker restarted",
            worker=worker.entry.worker_id,
            born_ms=entry.born_ms,
            lost=len(reported),
            unresolved=len(worker.runs) - len(reported),
        )
        self._log_dropped(worker, reported)
        worker.token += 1
        worker.unsettle()
        worker.orphans.clear()
        for run in reported:
            self._release_run(run, now)
        self._forget_incarnation(entry.worker_id)
        worker.entry = entry
        worker.health = WorkerHealth()
        worker.processed = worker.acknowledged = 0
        worker.unstored.clear()
        worker.lease_ms = 0
        worker.clock_at = float("-inf")
        worker.early_leases_until = now + MAX_ORDER_DELAY_S + self._max_lease_s
        self.orders.append(PollNow(worker))

    # Reports

    def on_report(
        self,
        worker: WorkerState,
        report: WorkerReport,
        sent_at: float,
        token: int,
        now: float,
        wall: float,
    ) -> None:
        """Process a worker's answer to a poll.

        Args:
            worker: The worker.
            report: Running and ended tasks of the worker.
            sent_at: Time at which the poll was sent.
            token: Fencing token of the poll.
            now: Time on the leader's monotonic clock, in seconds.
            wall: Wall-clock time, in seconds.
        """
        if report.born_ms and report.born_ms != worker.entry.born_ms:
            # Its service, labels and capacity are those of another incarnation.
            worker.entry_outdated = bool(worker.entry.born_ms)
            entry = replace(worker.entry, born_ms=report.born_ms)
            if worker.entry_outdated and worker.clock_at > float("-inf"):
                self._begin_incarnation(worker, entry, now)
            worker.entry = entry
        worker.clock_ms, worker.clock_at = report.clock_ms, now
        unobserved_s = now - worker.last_answer_at - MAX_OBSERVED_GAP_S
        if unobserved_s > 0:
            for run in worker.runs.values():
                run.moved_at = min(now, run.moved_at + unobserved_s)
        worker.last_answer_at = now
        self._log_stopped(worker, report)
        for ended in report.ended:
            if ended.sequence > worker.processed:
                self._on_run_ended(worker, ended, now, wall)
        self._on_running(worker, report, sent_at, token, now, wall)
        worker.advance_acknowledged()
        if token != worker.token:
            return
        if not worker.answering:
            worker.answering = True
            # The worker rejects earlier orders from now on.
            latest = now + self._max_lease_s
            worker.early_leases_until = min(worker.early_leases_until, latest)
        # Tasks of a former leader may be among the ends that are not listed yet.
        if report.complete and not worker.settled:
            worker.settled = True
            self._unsettled.pop(worker.entry.worker_id, None)
            self._log.write(
                "worker settled",
                worker=worker.entry.worker_id,
                token=token,
                running=len(report.running),
                unsettled=len(self._unsettled),
            )

    def _on_running(
        self,
        worker: WorkerState,
        report: WorkerReport,
        sent_at: float,
        token: int,
        now: float,
        wall: float,
    ) -> None:
        seen = set()
        orphans = {}
        adopted = []
        for row in report.running:
            key = (row.task_id, row.number)
            seen.add(key)
            run = worker.runs.get(key)
            if run is None:
                run = self._adopt(worker, row, token, now, wall)
                if run is not None:
                    adopted.append({"task": row.task_id, "run": row.number})
            if run is None:
                orphans[key] = self._stop_orphan(worker, row, now)
                continue
            self._note_progress(run, row, now)
        worker.orphans = orphans
        write_rows(
            self._log,
            "runs adopted",
            adopted,
            worker=worker.entry.worker_id,
            epoch=self._epoch,
            token=token,
        )
        if not report.complete:
            # A run that is not listed may be among the ends that follow.
            return
        for key, run in list(worker.runs.items()):
            if key not in seen and _is_absent(run, sent_at, token):
                self._log.write(
                    "run absent",
                    task=run.task_id,
                    run=run.number,
                    worker=worker.entry.worker_id,
                    unresolved=run.unresolved,
                    checkpoint=run.checkpoint[:MAX_CHECKPOINT_CHARS],
                )
                self._release_run(run, now)

    def _note_progress(self, run: Run, row: RunningTask, now: float) -> None:
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
            run.confirmed_at = now
            self._note_started(run, now)
        run.unresolved = False
        if row.percent != run.percent:
            run.percent = row.percent
            run.moved_at = now
        run.checkpoint = row.checkpoint

    def _note_started(self, run: Run, now: float) -> None:
        job = run.step.job
        if job.state is StepJobState.QUEUED:
            job.state = StepJobState.RUNNING
            job.mark_changed(now)

    def _adopt(
        self,
        worker: WorkerState,
        row: RunningTask,
        token: int,
        now: float,
        wall: float,
    ) -> Run | None:
        """Adopt a run that a former leader started.

        Returns:
            The run, or ``None`` if its task is done, has another run or is unknown.
        """
        found = self._find_task(row.task_id, now, wall)
        if found is None:
            return None
        step, index = found
        if index in step.done or index in step.live:
            return None
        others = {run.number for run in step.live.values()}
        if step.spec.gang and others and others != {row.number}:
            return None
        run = Run(step, index, row.number, worker, token, now)
        run.phase = RunPhase.RUNNING
        run.confirmed_at = run.moved_at = now
        run.checkpoint = row.checkpoint
        step.note_number(index, row.number)
        step.live[index] = run
        if index in step.pending:
            step.pending.remove(index)
        worker.runs[run.key] = run
        worker.health.note_busy(True, now)
        worker.used = worker.used + allocated_resources(step.spec)
        self._note_started(run, now)
        self.update_waiting(step)
        return run

    def _stop_orphan(self, worker: WorkerState, row: RunningTask, now: float) -> float:
        key = (row.task_id, row.number)
        sent_at = worker.orphans.get(key, float("-inf"))
        if now - sent_at < STOP_REPEAT_S:
            return sent_at
        self._log.write(
            "orphan stopped",
            task=row.task_id,
            run=row.number,
            worker=worker.entry.worker_id,
        )
        self.orders.append(StopRun(worker, row.task_id, row.number, now))
        return now

    # Ends

    def _log_stopped(self, worker: WorkerState, report: WorkerReport) -> None:
        """Log the ends of runs that were ordered to stop or are not tracked."""
        rows = []
        for ended in report.ended:
            if ended.sequence <= worker.processed:
                continue
            run = worker.runs.get((ended.task_id, ended.number))
            if run is not None and ended.kind is EndKind.DONE and run.step.complete:
                # The end of another task of its gang has been reported before.
                continue
            if run is None or run.phase is RunPhase.STOPPING:
                row = {
                    "task": ended.task_id,
                    "run": ended.number,
                    "outcome": ended.kind,
                    "checkpoint": ended.checkpoint[:MAX_CHECKPOINT_CHARS],
                    "tracked": run is not None,
                }
                rows.append(row)
        write_rows(
            self._log,
            "stopped runs ended",
            rows,
            worker=worker.entry.worker_id,
            epoch=self._epoch,
        )

    def _on_run_ended(
        self, worker: WorkerState, ended: EndedTask, now: float, wall: float
    ) -> None:
        worker.processed = ended.sequence
        run = worker.runs.get((ended.task_id, ended.number))
        if ended.kind is EndKind.DONE:
            # Counts for the worker even if another task has already ended the job.
            worker.health.note_success()
        found = self._find_task(ended.task_id, now, wall)
        if found is not None:
            step, index = found
            self._apply_outcome(step, index, ended, worker, run, now, wall)
        # The end is acknowledged to the worker only after all changes that it caused
        # are stored.
        job = self._jobs.get(ended.task_id.partition(".")[0], _NO_JOB)
        worker.unstored.append((ended.sequence, job, job.version))
        if run is not None:
            self._release_run(run, now)

    def _apply_outcome(
        self,
        step: StepRun,
        index: int,
        ended: EndedTask,
        worker: WorkerState,
        run: Run | None,
        now: float,
        wall: float,
    ) -> None:
        job = step.job
        key = step.attempt_key(index)
        step.note_number(index, ended.number)
        if ended.kind is EndKind.DONE:
            if not step.spec.lasting:
                self._mark_done(step, index, ended.number, now, wall)
            return
        if ended.checkpoint and step.spec.checkpointing:
            step.checkpoints[key] = ended.checkpoint
            if run is not None:
                run.checkpoint = ended.checkpoint
            job.mark_changed(now)
        if ended.kind is EndKind.FAILED:
            self._count_failure(step, index, ended, worker, now, wall)
        if run is not None and run.phase is not RunPhase.STOPPING:
            self._log.write(
                "run ended early",
                task=ended.task_id,
                run=ended.number,
                worker=worker.entry.worker_id,
                outcome=ended.kind,
                checkpoint=ended.checkpoint[:MAX_CHECKPOINT_CHARS],
            )

    def _mark_done(
        self, step: StepRun, index: int, number: int, now: float, wall: float
    ) -> None:
        job = step.job
        indexes = range(step.spec.count) if step.spec.gang else (index,)
        step.done.update(indexes)
        if step.pending:
            step.pending = [i for i in step.pending if i not in step.done]
        for i in indexes:
            run = step.live.pop(i, None)
            if run is None:
                continue
            if run.number != number:
                self.stop_run(run, now)
            elif i != index:
                # The other tasks of the gang report their own ends; they are stopped
                # only if that takes longer than GANG_END_S.
                run.phase = RunPhase.STOPPING
                run.stop_sent_at = now + GANG_END_S - STOP_REPEAT_S
        step.checkpoints.pop(step.attempt_key(index), None)
        job.mark_changed(now)
        self.update_waiting(step)
        if step.complete and not job.state.final:
            self._open_steps(job, step.occurrence, now)
            self._end_if_complete(job, now, wall)

    def _count_failure(
        self,
        step: StepRun,
        index: int,
        ended: EndedTask,
        worker: WorkerState,
        now: float,
        wall: float,
    ) -> None:
        job = step.job
        step.failed_workers[worker.entry.worker_id] = now
        step.failed_at = now
        if not self._is_service_at_fault(step, now) and worker.health.note_failure(now):
            self._log.write(
                "worker quarantined",
                worker=worker.entry.worker_id,
                failures=worker.health.failures,
            )
        if step.spec.lasting:
            return
        failed = step.failed_runs.setdefault(step.attempt_key(index), set())
        if ended.number in failed:
            return
        failed.add(ended.number)
        job.mark_changed(now)
        if len(failed) >= job.queue.max_attempts and not job.state.final:
            why = f"{ended.task_id} failed {len(failed)} times"
            self._end_job(job, StepJobState.FAILED, now, wall, why)

    def _is_service_at_fault(self, step: StepRun, now: float) -> bool:
        """Return whether a failure of a lasting task says nothing about its worker.

        A service that fails on most of its workers would otherwise quarantine them all,
        as no number of failures ends it.
        """
        if not step.spec.lasting:
            return False
        since = now - SERVICE_FAULT_WINDOW_S
        failed = {
            w for w, failed_at in step.failed_workers.items() if failed_at > since
        }
        workers = failed | {run.worker.entry.worker_id for run in step.live.values()}
        # If it may run on fewer workers, it has to fail on all of them.
        required = sum(1 for _ in islice(self.eligible(step), MIN_FAILED_WORKERS))
        return len(failed) >= required and 2 * len(failed) > len(workers)

    def _remove_run(self, run: Run) -> bool:
        """Free the resources of a run; return whether it was allocated any."""
        worker = run.worker
        if worker.runs.pop(run.key, None) is None:
            return False
        worker.releases += 1
        worker.used = worker.used - allocated_resources(run.step.spec)
        return True

    def _release_run(self, run: Run, now: float) -> None:
        """Remove a run and free its resources; requeue its task unless it is done."""
        worker, step = run.worker, run.step
        if not self._remove_run(run):
            return
        worker.health.note_busy(bool(worker.runs), now)
        if step.live.get(run.index) is not run:
            return
        del step.live[run.index]
        if step.spec.gang:
            for other in step.live.values():
                self.stop_run(other, now)
            if not step.live:
                step.pending = list(range(step.spec.count))
        else:
            step.pending.append(run.index)
        if step.job.state.final:
            step.pending.clear()
        if run.checkpoint and step.spec.checkpointing:
            step.checkpoints[step.attempt_key(run.index)] = run.checkpoint
        self.update_waiting(step)

    def stop_run(self, run: Run, now: float) -> None:
        """Order a run to stop, unless it was ordered within ``STOP_REPEAT_S``."""
        run.phase = RunPhase.STOPPING
        if now - run.stop_sent_at >= STOP_REPEAT_S:
            run.stop_sent_at = now
            self.orders.append(StopRun(run.worker, run.task_id, run.number, now))

    def repeat_stops(self, now: float) -> None:
        """Repeat stop orders to runs whose end has not been reported."""
        for worker in self._workers.values():
            for run in worker.runs.values():
                if run.phase is RunPhase.STOPPING:
                    self.stop_run(run, now)

    def stop_stalled(self, now: float) -> None:
        """Stop runs that make no progress, and quarantine the workers at fault."""
        hung: dict[str, StepRun] = {}
        for worker in self._workers.values():
            _restart_stalls_of_fillers(worker, now)
            for run in list(worker.runs.values()):
                if not _lacks_progress(run):
                    continue
                if run.step.spec.gang:
                    if run.percent >= COMPLETE_PERCENT:
                        hung[run.step.id] = run.step
                        continue
                    if not _gang_works(run):
                        continue
                self._log_stalled(run, now)
                worker.health.quarantine(now)
                self.stop_run(run, now)
        for step in hung.values():
            self._stop_if_hung(step, now)

    def _stop_if_hung(self, step: StepRun, now: float) -> None:
        """Stop a gang whose tasks all show complete progress but do not end.

        Which worker prevents the end is unknown, so none is quarantined.
        """
        runs = list(step.live.values())
        if not all(
            run.percent >= COMPLETE_PERCENT and _lacks_progress(run) for run in runs
        ):
            return
        if runs and _gang_works(runs[0]):
            for run in runs:
                self._log_stalled(run, now)
                self.stop_run(run, now)

    def _log_stalled(self, run: Run, now: float) -> None:
        self._log.write(
            "run stalled",
            task=run.task_id,
            run=run.number,
            worker=run.worker.entry.worker_id,
            percent=run.percent,
            moved_age_s=round(now - run.moved_at, 2),
        )

    # Starts

    def start_run(
        self, step: StepRun, index: int, number: int, worker: WorkerState, now: float
    ) -> None:
        """Place a task on a worker and order its start."""
        run = Run(step, index, number, worker, worker.token, now)
        run.moved_at = now
        step.live[index] = run
        worker.runs[run.key] = run
        run.in_flight = True
        worker.starting += 1
        self._starting += 1
        worker.health.note_busy(True, now)
        worker.used = worker.used + allocated_resources(step.spec)
        lease_ms = worker.renew_lease(now, self._lease_s)
        ticket = step.tickets.get(worker.entry.worker_id)
        order = RunOrder(
            worker_id=worker.entry.worker_id,
            task_id=run.task_id,
            number=number,
            payload=step.job.spec.payload,
            lease_ms=lease_ms,
            token=worker.token,
            checkpoint=step.checkpoints.get(step.attempt_key(index), ""),
            ticket=ticket.value if ticket is not None else "",
        )
        self.orders.append(StartRun(run, order))

    def may_start(self, run: Run) -> bool:
        """Return whether the order to start a run may still be sent."""
        worker = run.worker
        tracked = worker.runs.get(run.key) is run
        leaving = worker.entry.draining or not worker.listed
        # The worker may have restarted since the decision.
        outdated = run.token != worker.token
        starting = run.phase is RunPhase.STARTING
        return tracked and starting and not leaving and not outdated

    def on_start_reply(self, run: Run, reply: StartReply, now: float) -> None:
        """Process the result of an order to start a run."""
        worker, step = run.worker, run.step
        if run.in_flight:
            run.in_flight = False
            worker.starting -= 1
            self._starting -= 1
        if worker.runs.get(run.key) is not run:
            return
        if reply is StartReply.RUNNING:
            run.confirmed_at = now
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.RUNNING
                self._note_started(run, now)
            return
        self._log.write(
            "start not confirmed",
            task=run.task_id,
            run=run.number,
            worker=worker.entry.worker_id,
            reply=reply,
            token=run.token,
        )
        if reply is StartReply.UNKNOWN:
            run.unresolved = True
            self.raise_token(worker, run.token)
            return
        if reply is StartReply.FENCED and run.token == worker.token:
            self.fenced = True
        if reply is StartReply.NO_TICKET:
            step.tickets.clear()
        if reply is StartReply.SUPERSEDED:
            # A former leader may have used more numbers than it has stored.
            step.note_number(run.index, run.number + RUNS_PER_EPOCH)
        if reply in REFUSALS_OF_WORKER:
            worker.health.quarantine(now)
        if reply is StartReply.INVALID or (
            # Without an advice policy, the next order has no ticket either.
            reply is StartReply.NO_TICKET and step.job.queue.advice is None
        ):
            self._delay_rejected(run, now)
        else:
            step.retry_at = max(step.retry_at, now + RESTART_DELAY_S)
        self._release_run(run, now)

    def _delay_rejected(self, run: Run, now: float) -> None:
        """Delay a step after a worker rejected the order itself.

        The delay doubles up to ``REJECTED_DELAY_MAX_S``, once for all orders that were
        sent together.
        """
        step = run.step
        step.rejecting_workers.add(run.worker.entry.worker_id)
        if run.placed_at <= step.rejected_at:
            return
        step.rejected_at = now
        step.retry_at = now + step.rejected_delay_s
        step.rejected_delay_s = min(REJECTED_DELAY_MAX_S, step.rejected_delay_s * 2)

    def raise_token(self, worker: WorkerState, sent_token: int) -> None:
        """Raise a worker's token so that orders with ``sent_token`` are rejected."""
        if worker.token == sent_token:
            worker.token += 1
            worker.unsettle()
            self.orders.append(PollNow(worker))

    # Advice

    def on_advice(self, step: StepRun, asked: tuple[str, ...], advice: Advice, now):
        """Store which of the requested workers may run a step, with their tickets."""
        step.advice_pending = False
        step.advice_retry_s = 0.0
        answered = set(asked) - step.restarted_workers
        allowed = answered & advice.tickets.keys()
        step.asked_workers |= answered
        step.allowed_workers = ((step.allowed_workers or set()) - answered) | allowed
        until = now + advice.valid_s
        for worker_id in allowed:
            step.tickets[worker_id] = Ticket(advice.tickets[worker_id], until)
        step.blocked = False

    def _forget_incarnation(self, worker_id: str) -> None:
        """Forget what steps have noted of a worker's incarnation."""
        for job in self._jobs.values():
            for step in job.steps.values():
                step.rejecting_workers.discard(worker_id)
                step.failed_workers.pop(worker_id, None)
                if job.queue.advice is None:
                    continue
                if step.advice_pending:
                    step.restarted_workers.add(worker_id)
                step.asked_workers.discard(worker_id)
                step.tickets.pop(worker_id, None)
                if step.allowed_workers is not None:
                    step.allowed_workers.discard(worker_id)

    def on_no_advice(self, step: StepRun, now: float) -> None:
        """Free a step's reservation after the advice service did not answer."""
        step.advice_pending = False
        step.others_asked_at = float("-inf")
        step.release_reservation()
        step.advice_retry_s = min(
            ADVICE_RETRY_MAX_S, max(RESTART_DELAY_S, step.advice_retry_s * 2)
        )
        step.retry_at = now + step.advice_retry_s

    # Look-ups

    def untracked_tasks(self) -> set[str]:
        """Return the tasks that may be running although no run of them is tracked.

        Their runs are orphans that are being stopped, or runs of a former leader on a
        worker that has not answered.
        """
        tasks = {
            task_id
            for worker in self._workers.values()
            for task_id, _ in worker.orphans
        }
        return tasks.union(*(runs.tasks or () for runs in self._unsettled.values()))

    def tasks_to_record(self, worker: WorkerState, now: float) -> frozenset[str] | None:
        """Return the ids of the only tasks that may run on a worker that is silent.

        A successor of this leader then need not hold back all others until the worker
        answers or its leases have expired.

        Returns:
            ``None`` if the worker answers, or if the tasks are not known.
        """
        inherited = self._unsettled.get(worker.entry.worker_id)
        if inherited is not None:
            return inherited.tasks
        silent = now - worker.last_answer_at >= SILENT_S
        never_answered = worker.last_answer_at == float("-inf")
        # An ended run whose end is not stored is not tracked any more.
        if worker.settled or never_answered or not silent or worker.unstored:
            return None
        return frozenset(task_id for task_id, _ in (*worker.runs, *worker.orphans))

    def _find_task(
        self, task_id: str, now: float, wall: float
    ) -> tuple[StepRun, int] | None:
        """Return the step and the index of a task of an open job.

        A task that a worker has run was due for the leader that started it, so its
        occurrence is opened even if this leader's wall clock is behind.
        """
        parts = task_id.split(".")
        if len(parts) != 4 or not all(_is_number(p) for p in parts[1:]):
            return None
        job = self._jobs.get(parts[0])
        if job is None or job.state.final:
            return None
        occurrence, number, index = map(int, parts[1:])
        schedule = job.spec.schedule
        if (
            job.next_occurrence <= occurrence
            and schedule is not None
            and occurrence < schedule.repeats
            and schedule.due_at(occurrence) <= wall + MAX_CLOCK_SKEW_S
        ):
            self._open_before(job, occurrence + 1, now)
        step = job.steps.get((occurrence, number))
        if step is None or index >= step.spec.count:
            return None
        return step, index

    def eligible(self, step: StepRun) -> Iterable[WorkerState]:
        """Yield the workers on which tasks of a step may run."""
        for worker in self._workers.values():
            allowed = step.allowed_workers
            if allowed is not None and worker.entry.worker_id not in allowed:
                continue
            if worker.usable and step.may_run_on(worker.entry):
                yield worker


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_CHARS


def _is_absent(run: Run, sent_at: float, token: int) -> bool:
    """Return whether a run missing from a report neither runs nor can still start."""
    if run.token < token:
        return True
    return run.phase is not RunPhase.STARTING and 0 < run.confirmed_at < sent_at


def _restart_stalls_of_fillers(worker: WorkerState, now: float) -> None:
    """Restart the time without progress of fillers that get little or no CPU."""
    fillers = [run for run in worker.runs.values() if run.step.spec.filler]
    wanted = sum(run.step.spec.resources.cores_milli for run in fillers)
    if wanted > MAX_FILLER_SLOWDOWN * worker.free.cores_milli:
        for run in fillers:
            run.moved_at = now


def _lacks_progress(run: Run) -> bool:
    """Return whether polls have shown the same progress for too long.

    The progress of a lasting task carries no information.
    """
    return (
        run.phase is RunPhase.RUNNING
        and run.worker.settled
        and not run.step.spec.lasting
        and run.moved_at < _stall_began_before(run)
    )


def _stall_began_before(run: Run) -> float:
    """Return the time before which a run must have stood still to be stalled."""
    one_percent_s = run.step.spec.estimate_s * SLOWEST_FACTOR / 100
    return run.worker.last_answer_at - max(STALL_S, one_percent_s)


def _gang_works(run: Run) -> bool:
    """Return whether all tasks of a gang were present for the time of a stall.

    The tasks of a gang work only while all of them are present.
    """
    since = _stall_began_before(run)
    members = run.step.live.values()
    return len(members) == run.step.spec.count and all(
        member.worker.settled and 0 < member.confirmed_at < since for member in members
    )


def _is_newer_incarnation(known: WorkerEntry, entry: WorkerEntry) -> bool:
    return bool(known.born_ms and entry.born_ms > known.born_ms)


def _is_outdated(known: WorkerEntry, entry: WorkerEntry) -> bool:
    """Return whether a registry entry is older than the incarnation that answers."""
    older = 0 < entry.born_ms < known.born_ms
    return older and entry.address == known.address


def _restore(step: StepRun, progress: StepProgress) -> None:
    step.done = set(progress.done)
    step.failed_runs = {k: set(v) for k, v in progress.failed_runs.items()}
    step.checkpoints = dict(progress.checkpoints)
    step.last_numbers = dict(progress.numbers)
    step.reserved_numbers = dict(progress.numbers)


def _opened_occurrences(job: OpenJob) -> int:
    """Return how many occurrences of a job a former leader is known to have opened."""
    numbers = [key.partition(".")[0] for key in job.restored_progress]
    return 1 + max((int(n) for n in numbers if _is_number(n)), default=-1)


def _critical_paths(steps: Sequence[Step]) -> list[float]:
    """Return the declared length of the critical path from each step, in seconds.

    Predecessors of a step always have lower numbers.
    """
    paths_s = [step.estimate_s for step in steps]
    for number in reversed(range(len(steps))):
        for before in steps[number].after:
            if before < number:
                critical_path_s = steps[before].estimate_s + paths_s[number]
                paths_s[before] = max(paths_s[before], critical_path_s)
    return paths_s


def _unconfigured_queue(name: str) -> Queue:
    """Return a stand-in for a queue of which nothing is known.

    No task starts until the queue is configured again, and no number of failures ends
    a job before.
    """
    return Queue(name, "", "", "", 99, sys.maxsize, 1.0, 0.0)


_NO_JOB = OpenJob(None, None, 0.0, 0.0)
