"""One term of the leader: takes over workers, places tasks and stores progress."""

import asyncio
import time
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

from ..errors import (
    BadRequest,
    FlamingowayError,
    OutcomeUnknown,
    Refused,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from ..store import (
    Compare,
    Delete,
    KeyValue,
    LeaseExpired,
    Put,
    WatchEvent,
)
from ..store.monitored import MonitoredStore
from . import records
from .advice import AdviceDispatcher
from .cluster import ClusterState
from .decisions import DecisionLog
from .faults import FaultReporter
from .intake import Intake
from .messages import EndedRequest, JobEnd, TakeOverRequest
from .metrics import QueueMetrics
from .mirror import Mirror
from .model import Advice, StartReply, WorkerEntry
from .orders import OrderSender
from .planning import Planner, PlanningError
from .ports import NoReply, PollRefused, WorkerClient
from .records import LeaderRecord, ProcessRecord, WorkerRecord, encode_progress
from .registry import WorkerRegistry
from .relay import Relay
from .rows import MAX_CHECKPOINT_CHARS, RowLog, payload_digest, write_rows
from .runs import (
    LEASE_EXPIRY_MARGIN_S,
    MIN_CLOCK_RATE,
    AdviceCall,
    OpenJob,
    PollNow,
    StartRun,
    StopRun,
    WorkerState,
)
from .session import Leadership, epoch_put
from .table import JobTable, TableJob

# A leader keeps sending orders for this long after its last contact with the store.
# The leases of its workers then last as long again, which covers the outages of the
# platform's store. A new leader waits this long plus the longest lease that a worker
# accepts before it gives up the tasks of a worker that it cannot reach.
MAX_STORE_AGE_S = 5.0
# Nothing starts on a copy that is older than this, unless the store does not answer. It
# is shorter than the time in which a cancellation must be in force.
MAX_START_AGE_S = 2.5
# A worker holds a poll open for at most this long, until a run ends. Each poll also
# renews the worker's lease.
POLL_WAIT_S = 1.0
# Delay before a worker that did not answer is polled again; it doubles up to half of
# ``POLL_WAIT_S``.
POLL_RETRY_S = 0.1
POLL_RETRY_MAX_S = 0.5
# Events that arrive within this time share one pass of the planner.
PLAN_DELAY_S = 0.005
# After a pass the planner pauses for this many times the duration of the pass, so that
# a long backlog leaves processor time for orders and reports.
PLAN_PAUSE_FACTOR = 2.0
# Interval of the checks for due occurrences, stops to repeat, stalled runs and a lost
# leadership.
TICK_S = 0.1
# Changes that are not urgent are collected for this time and stored together.
FLUSH_DELAY_S = 0.05
# Least time between two writes of progress; keeps them under 40 a second.
FLUSH_INTERVAL_S = 0.025
# A transaction takes 32 entries. Three are kept for the leader's key: its compare, its
# put, and its read if the compare fails, which not every store counts.
MAX_FLUSH_OPERATIONS = 29
# Progress in one transaction, in bytes before it is encoded as text.
MAX_FLUSH_BYTES = 512 * 1024
# A failed store call is repeated after this time, so at most ten times a second.
STORE_RETRY_S = 0.1
# A leader whose store calls have failed for this long asks a process that reaches the
# store to take over, since new jobs reach the leader only through the store.
HANDOVER_S = 0.35
HANDOVER_RETRY_S = 0.5
# Interval at which a leader checks whether a process with far more processor time
# could lead instead. A leader that has led for this long has settled its workers.
PROMOTION_INTERVAL_S = 3.0
RESIGN_ATTEMPTS = 3
# Interval of the search for ended jobs past their retention time, and the number of
# them that one write deletes: three keys each, on two conditions.
EXPIRY_INTERVAL_S = 5.0
EXPIRED_JOBS_PER_WRITE = 5
# Replies to orders that arrive within this time share a line of the log.
REPLY_LOG_DELAY_S = 0.05
# An order that has waited for this long since its decision has a line of its own.
LATE_START_S = 1.0
# Interval at which the log names workers that a takeover waits for, and their number.
TAKEOVER_LOG_S = 2.0
MAX_LOGGED_WORKERS = 10


class LeadershipLost(Exception):
    """Another process leads."""


@dataclass(frozen=True, slots=True)
class _Deletions:
    """What one write deletes.

    Attributes:
        workers: Ids of forgotten workers.
        jobs: Closed jobs past their retention time. They are deleted on the condition
            that neither their acceptance nor their cancellation has changed.
    """

    workers: tuple[str, ...] = ()
    jobs: tuple[TableJob, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.workers or self.jobs)

    @property
    def operations(self) -> list[Delete]:
        """The deletions, for a transaction."""
        keys = [records.WORKER_PREFIX + worker_id for worker_id in self.workers]
        for job in self.jobs:
            keys += records.job_keys(job.job_id)
        return [Delete(key) for key in keys]

    @property
    def conditions(self) -> list[Compare]:
        """The conditions of the transaction."""
        revisions = {}
        for job in self.jobs:
            revisions[records.JOB_PREFIX + job.job_id] = job.revision
            revisions[records.CANCEL_PREFIX + job.job_id] = job.cancel_revision
        return [Compare(key, "mod_revision", r) for key, r in revisions.items()]


class Term:
    """Runs the queues for as long as this process is the leader.

    Args:
        leadership: Leadership that this process has won.
        store: The store.
        store_age_s: Returns the seconds since the last contact with the store.
        mirror: Mirror that feeds ``table``.
        table: Local copy of jobs and workers.
        intake: Provides the configuration in force.
        workers: Client for the workers.
        registry: Entries of the workers.
        registry_mirror: Mirror that feeds ``registry``.
        dispatcher_factory: Creates the advice dispatcher, given the callback for
            results.
        relay: Sends requests to other processes.
        process: Registration of this process.
        lease_s: Longest lease that workers accept.
        retention_s: How long ended jobs are kept.
        clock: Monotonic clock that counts suspended time, in seconds.
        metrics: Metrics of the process.
        log: Decision log.
        faults: Reports records that are not valid and unforeseen errors.
    """

    def __init__(
        self,
        leadership: Leadership,
        store: MonitoredStore,
        store_age_s: Callable[[], float],
        mirror: Mirror,
        table: JobTable,
        intake: Intake,
        workers: WorkerClient,
        registry: WorkerRegistry,
        registry_mirror: Mirror,
        dispatcher_factory: Callable[..., AdviceDispatcher],
        relay: Relay,
        process: ProcessRecord,
        lease_s: float,
        retention_s: float,
        clock: Callable[[], float],
        metrics: QueueMetrics,
        log: DecisionLog,
        faults: FaultReporter,
    ):
        self._leadership = leadership
        self._store = store
        self._store_age_s = store_age_s
        self._mirror = mirror
        self._table = table
        self._intake = intake
        self._workers = workers
        self._registry = registry
        self._registry_mirror = registry_mirror
        self._dispatcher = dispatcher_factory(self._on_advice)
        self._relay = relay
        self._process = process
        self._name = process.name
        self._lease_s = lease_s
        self._retention_s = retention_s
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._faults = faults
        self._set_aside: set[str] = set()
        # Entries whose records the store rejected, by worker id; another entry of the
        # worker is tried again.
        self._rejected_workers: dict[str, WorkerEntry] = {}
        # Writes that hold one operation each, after the store rejected one as invalid.
        self._single_writes_left = 0
        self._cluster = ClusterState(leadership.epoch, lease_s, log)
        self._planner = Planner(self._cluster, log)
        self._sender = OrderSender(self._send, self._spawn)
        self._jobs_learned = RowLog(log, "jobs learned")
        self._starts_sent = RowLog(log, "starts sent")
        self._starts_answered = RowLog(log, "starts answered", REPLY_LOG_DELAY_S)
        self._stops_sent = RowLog(log, "stops sent")
        self._stops_answered = RowLog(log, "stops answered", REPLY_LOG_DELAY_S)
        self._plan_needed = asyncio.Event()
        self._flush_needed = asyncio.Event()
        # Workers that are polled. A worker that is forgotten and listed again has
        # another state under the same id, and a loop of its own.
        self._poll_wakeups: dict[WorkerState, asyncio.Event] = {}
        self._tasks: set[asyncio.Task] = set()
        self._failed: asyncio.Future = asyncio.get_running_loop().create_future()
        self._removed_workers: list[str] = []
        self._expired_jobs: list[TableJob] = []
        # Jobs to delete in a write each, after a write of several was not applied.
        self._single_deletions_left = 0
        self._handing_over = False

    @property
    def cluster(self) -> ClusterState:
        """Open jobs and workers."""
        return self._cluster

    @property
    def may_send_orders(self) -> bool:
        """Whether orders may be sent: no other leader is known or can be acting."""
        leader = self._table.leader
        replaced = leader is not None and leader.epoch != self._leadership.epoch
        suspended = replaced or self._handing_over
        return not suspended and self._store_age_s() < MAX_STORE_AGE_S

    @property
    def may_start(self) -> bool:
        """Whether runs may be started: orders may be sent, and all copies are recent.

        During an outage of the store work goes on with the copies as they are.
        """
        age_s = max(self._store_age_s(), self._registry_mirror.age_s)
        limit_s = MAX_STORE_AGE_S if self._store.outage_s else MAX_START_AGE_S
        return self.may_send_orders and age_s < limit_s

    async def run(self) -> None:
        """Lead until another process takes over or the task is cancelled."""
        async with self._running():
            await self._take_over()
            self._spawn(self._plan_loop())
            self._spawn(self._flush_loop())
            self._spawn(self._tick_loop())
            self._spawn(self._log_takeover())
            self._spawn(self._handover_loop())
            self._spawn(self._promotion_loop())
            self._spawn(self._expiry_loop())
            await self._failed

    @asynccontextmanager
    async def _running(self):
        try:
            yield
        except LeadershipLost as exc:
            self._log.write("leader deposed", epoch=self._cluster.epoch, why=str(exc))
        finally:
            self._metrics.jobs_set_aside.set(0)
            self._table.on_job = None
            self._registry.on_change = None
            self._dispatcher.close()
            self._sender.close()
            tasks = list(self._tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for rows in (
                self._jobs_learned,
                self._starts_sent,
                self._starts_answered,
                self._stops_sent,
                self._stops_answered,
            ):
                rows.flush()

    async def resign(self) -> None:
        """Give up the leadership, so that the next leader need not wait."""
        key, revision = records.LEADER_KEY, self._leadership.revision
        for _ in range(RESIGN_ATTEMPTS):
            compare = Compare(key, "mod_revision", revision)
            settled = not self._cluster.unsettled
            operations = [Delete(key), epoch_put(self._leadership.epoch, settled)]
            try:
                result = await self._store.txn([compare], operations, [key])
            except (StoreUnavailable, StoreOutcomeUnknown) as exc:
                self._log.write("leadership left to expire", why=exc.message)
                continue
            found = result.reads.get(key)
            if result.succeeded or found is None or not self._is_own(found):
                self._log.write("leader resigned", epoch=self._cluster.epoch)
                return
            # The last write of progress was applied, but its answer was lost.
            revision = found.mod_revision

    def _is_own(self, item: KeyValue) -> bool:
        leader = self._faults.decode("leader", item, records.decode, LeaderRecord)
        own = (self._name, self._leadership.epoch)
        return leader is not None and (leader.name, leader.epoch) == own

    # Takeover

    async def _take_over(self) -> None:
        while True:
            try:
                await self._mirror.catch_up()
                await self._registry_mirror.catch_up()
                break
            except StoreUnavailable as exc:
                self._log.write("takeover waits for the store", why=exc.message)
                await asyncio.sleep(STORE_RETRY_S)
                if not self.may_send_orders:
                    raise LeadershipLost("the store is unreachable") from None
        now = self._clock()
        self._cluster.set_desired_state(self._intake.desired)
        overlap_s = 0.0 if self._leadership.predecessors_stopped else MAX_STORE_AGE_S
        until = now + overlap_s + self._lease_s / MIN_CLOCK_RATE + LEASE_EXPIRY_MARGIN_S
        for record in self._table.workers.values():
            # Tasks that an earlier leader wrote do not include its successors' runs.
            current = record.epoch == self._leadership.epoch - 1
            known = current and record.tasks is not None
            tasks = frozenset(record.tasks) if known else None
            self._cluster.restore_worker(record.entry, until, tasks)
        for job in list(self._table.jobs.values()):
            if job.accepted:
                self._add_job(job)
        self._update_workers()
        self._table.on_job = self._on_job
        self._registry.on_change = self._update_workers
        self._log.write(
            "leadership taken",
            epoch=self._cluster.epoch,
            elected_revision=self._leadership.elected_revision,
            copy_revision=self._mirror.revision,
            copy_age_s=round(self._mirror.age_s, 3),
            jobs=len(self._cluster.jobs),
            workers=len(self._cluster.workers),
            unsettled=len(self._cluster.unsettled),
            unsettled_with_known_tasks=self._unsettled_with_known_tasks,
        )
        rows = [
            self._job_row(self._table.jobs[job_id], job)
            for job_id, job in self._cluster.jobs.items()
        ]
        write_rows(self._log, "jobs taken over", rows, epoch=self._cluster.epoch)

    async def _log_takeover(self) -> None:
        """Name the workers that may have runs of former leaders, until none is left."""
        while True:
            await asyncio.sleep(TAKEOVER_LOG_S)
            unsettled = self._cluster.unsettled
            if not unsettled:
                return
            # Those that hold back all inherited jobs come first.
            names = sorted(unsettled, key=lambda w: (unsettled[w].tasks is not None, w))
            until = max(runs.until for runs in unsettled.values())
            self._log.write(
                "takeover unfinished",
                epoch=self._cluster.epoch,
                unsettled=len(unsettled),
                unsettled_with_known_tasks=self._unsettled_with_known_tasks,
                workers=names[:MAX_LOGGED_WORKERS],
                left_s=round(until - self._clock(), 2),
            )

    @property
    def _unsettled_with_known_tasks(self) -> int:
        unsettled = self._cluster.unsettled.values()
        return sum(runs.tasks is not None for runs in unsettled)

    def configure(self) -> None:
        """Put a new configuration into force."""
        self._cluster.set_desired_state(self._intake.desired)
        # It may name the services of entries that were not used before.
        self._registry.notify()
        self._plan_needed.set()

    def _on_job(self, job: TableJob) -> None:
        now = self._clock()
        source = self._intake.source_of_change
        if job.cancelled and job.job_id in self._cluster.jobs:
            try:
                self._log_cancellation(job, source)
                self._cluster.cancel_job(job.job_id, now, time.time())
            except Exception as exc:
                # The workers are told to stop runs that are no longer tracked.
                self._set_job_aside(job.job_id, exc)
        elif job.job_id not in self._cluster.jobs:
            self._add_job(job)
            self._log_learned(job, source)
        self._after_event()

    def _log_cancellation(self, job: TableJob, source: str) -> None:
        open_job = self._cluster.jobs[job.job_id]
        if open_job.state.final:
            return
        # The two times are those of different clocks.
        delay_s = max(0.0, time.time() - job.cancelled_at) if job.cancelled_at else None
        if delay_s is not None:
            self._metrics.cancellation_seconds.observe(delay_s)
        self._log.write(
            "cancellation learned",
            job=job.job_id,
            revision=job.cancel_revision or None,
            delay_s=None if delay_s is None else round(delay_s, 3),
            by=source,
            epoch=self._cluster.epoch,
            copy_revision=self._mirror.revision,
            copy_age_s=round(self._mirror.age_s, 3),
            job_revision=job.revision,
            state=open_job.state,
            runs=sum(len(step.live) for step in open_job.steps.values()),
        )

    def _log_learned(self, job: TableJob, source: str) -> None:
        open_job = self._cluster.jobs.get(job.job_id)
        if open_job is None:
            # It has ended, or its record is not valid.
            return
        if job.cancelled:
            self._log.write(
                "cancelled job learned",
                job=job.job_id,
                cancel_revision=job.cancel_revision or None,
                job_revision=job.revision,
                by=source,
                epoch=self._cluster.epoch,
            )
        self._jobs_learned.add(
            self._job_row(job, open_job),
            by=source,
            epoch=self._cluster.epoch,
            copy_revision=self._mirror.revision,
            copy_age_s=round(self._mirror.age_s, 3),
        )

    def _job_row(self, stored: TableJob, job: OpenJob) -> dict:
        return {
            "job": stored.job_id,
            "job_revision": stored.revision,
            "accepted_by": job.accepted_by,
            "state": job.state,
            "cancelled": stored.cancelled,
            "inherited": job.inherited,
        }

    def _add_job(self, job: TableJob) -> None:
        inherited = job.revision < self._leadership.elected_revision
        try:
            self._cluster.add_job(job, self._clock(), time.time(), inherited)
        except BadRequest as exc:
            self._log.write("job unreadable", job=job.job_id, why=exc.message)
            self._note_set_aside(job.job_id)
        except Exception as exc:
            self._set_job_aside(job.job_id, exc)

    def _set_job_aside(self, job_id: str, error: Exception) -> None:
        """Stop handling a job after an unforeseen error, and go on with the others."""
        self._faults.report_contained("job", job_id, error)
        self._cluster.set_aside(job_id)
        self._note_set_aside(job_id)

    def _note_set_aside(self, job_id: str) -> None:
        self._set_aside.add(job_id)
        self._metrics.jobs_set_aside.set(len(self._set_aside))

    def _update_workers(self) -> None:
        now = self._clock()
        for entry in self._registry.entries.values():
            known = self._cluster.workers.get(entry.worker_id)
            if known is None and not self._cluster.uses_service(entry.service):
                continue
            outdated = known is not None and known.entry_outdated
            if known is None or not known.listed or outdated or known.entry != entry:
                with self._faults.contain("worker", entry.worker_id):
                    worker = self._cluster.set_worker(entry, now)
                    self._ensure_poll_loop(worker)
        for worker in list(self._cluster.workers.values()):
            if worker.entry.worker_id not in self._registry.entries:
                self._cluster.mark_unlisted(worker.entry.worker_id, now)
                self._ensure_poll_loop(worker)
        self._after_event()

    # Workers

    def _ensure_poll_loop(self, worker: WorkerState) -> None:
        if worker not in self._poll_wakeups:
            wake = self._poll_wakeups[worker] = asyncio.Event()
            self._spawn(self._poll_loop(worker, wake))

    async def _poll_loop(self, worker: WorkerState, wake: asyncio.Event) -> None:
        """Poll a worker until the cluster state drops it."""
        retry_s = POLL_RETRY_S
        while self._cluster.holds(worker):
            if not self.may_send_orders:
                await asyncio.sleep(TICK_S)
                continue
            wake.clear()
            if await self._poll_contained(worker, wake):
                retry_s = POLL_RETRY_S
                await self._wait_for_flush(worker, wake)
                continue
            self._drop_if_expired(worker)
            await asyncio.sleep(retry_s)
            retry_s = min(POLL_RETRY_MAX_S, retry_s * 2)
        del self._poll_wakeups[worker]

    async def _poll_contained(self, worker: WorkerState, wake: asyncio.Event) -> bool:
        """Poll once; an unforeseen error counts as no answer of this worker."""
        try:
            return await self._poll(worker, wake)
        except Exception as exc:
            self._faults.report_contained("worker", worker.entry.worker_id, exc)
            self._on_no_answer(worker, repr(exc))
            return False

    async def _poll(self, worker: WorkerState, wake: asyncio.Event) -> bool:
        """Poll once; return ``False`` if the worker refused or did not answer."""
        entry, token = worker.entry, worker.token
        sent_at = self._clock()
        lease_ms = 0
        # An unresponsive worker's lease is not renewed, so that it expires.
        if worker.answering:
            lease_ms = worker.renew_lease(sent_at, self._cluster.lease_s)
        wait_s = POLL_WAIT_S if worker.settled else 0.0
        # A worker that restarted numbers its ends anew, and would discard them unseen.
        acknowledged = worker.acknowledged if worker.answering else 0
        poll = asyncio.create_task(
            self._workers.poll(entry, token, acknowledged, lease_ms, wait_s)
        )
        woken = asyncio.create_task(wake.wait())
        try:
            await asyncio.wait({poll, woken}, return_when=asyncio.FIRST_COMPLETED)
            if not poll.done():
                return True
            report = poll.result()
        except NoReply as exc:
            self._on_no_answer(worker, str(exc))
            return False
        except PollRefused as exc:
            self._on_poll_refused(worker, entry, token, exc.reply)
            return False
        finally:
            poll.cancel()
            woken.cancel()
        if worker.entry.address != entry.address or worker.token != token:
            return True
        self._metrics.polls.inc()
        now = self._clock()
        self._cluster.on_report(worker, report, sent_at, token, now, time.time())
        if worker.entry_outdated:
            self._use_entry_of_incarnation(worker)
        self._after_event()
        return True

    def _use_entry_of_incarnation(self, worker: WorkerState) -> None:
        """Use the registry entry of a worker's incarnation if it has been read before.

        It looked outdated then if the worker's time of day has been set back.
        """
        entry = self._registry.entries.get(worker.entry.worker_id)
        if entry is not None and entry.born_ms == worker.entry.born_ms:
            self._cluster.set_worker(entry, self._clock())

    async def _wait_for_flush(self, worker: WorkerState, wake: asyncio.Event) -> None:
        """Wait until ended runs of a worker are stored, at most ``FLUSH_DELAY_S``.

        Until they are acknowledged, the worker answers each poll at once.
        """
        if not worker.unstored or wake.is_set():
            return
        try:
            async with asyncio.timeout(FLUSH_DELAY_S):
                await wake.wait()
        except TimeoutError:
            return

    def _on_no_answer(self, worker: WorkerState, why: str) -> None:
        now = self._clock()
        if worker.answering:
            worker.unsettle()
            self._log.write(
                "worker silent",
                worker=worker.entry.worker_id,
                runs=len(worker.runs),
                heard_age_s=round(now - worker.last_answer_at, 2),
                why=why,
            )

    def _on_poll_refused(
        self, worker: WorkerState, entry: WorkerEntry, token: int, reply: StartReply
    ) -> None:
        self._log.write(
            "poll refused", worker=entry.worker_id, token=token, reply=reply
        )
        if worker.entry is not entry or worker.token != token:
            return
        if reply is StartReply.FENCED:
            self._fail(
                f"{entry.worker_id} has seen a higher fencing token than {token}"
            )
        elif reply is StartReply.OTHER_INCARNATION:
            self._cluster.drop_runs(
                worker, self._clock(), "another incarnation of the worker answered"
            )
            self._delete_record(worker)
            self._after_event()
        else:
            # The worker has not renewed its leases, so its runs may expire.
            self._on_no_answer(worker, f"it refused a poll: {reply.value}")

    def _drop_if_expired(self, worker: WorkerState) -> None:
        now = self._clock()
        if worker.settled or not self._cluster.all_runs_expired(worker, now):
            return
        unsettled = worker.entry.worker_id in self._cluster.unsettled
        if worker.runs or worker.orphans or unsettled:
            self._cluster.drop_runs(worker, now, "its lease has expired")
            # It is recorded again before it is used. A successor would otherwise wait
            # for it although nothing can run there.
            self._delete_record(worker)
            self._after_event()
        if not worker.listed:
            self._log.write("worker forgotten", worker=worker.entry.worker_id)
            self._cluster.remove_worker(worker)
            self._delete_record(worker)

    def _delete_record(self, worker: WorkerState) -> None:
        """Delete the record of a worker on which nothing can run."""
        if worker.recorded_address is not None:
            worker.recorded_address = None
            worker.recorded_tasks = None
            self._removed_workers.append(worker.entry.worker_id)
            self._flush_needed.set()

    # Orders

    def _after_event(self) -> None:
        """Execute pending orders and wake the planner and the flusher."""
        if self._cluster.fenced:
            self._fail("a worker has seen a higher fencing token")
        self._execute_orders()
        self._plan_needed.set()
        self._flush_needed.set()

    def _execute_orders(self) -> None:
        for order in self._cluster.take_orders():
            match order:
                case StartRun():
                    self._sender.start(order)
                case StopRun():
                    self._sender.stop(order)
                case AdviceCall():
                    self._dispatcher.submit(order)
                case PollNow():
                    self._wake_poll(order.worker)

    async def _send(self, order: StartRun | StopRun) -> None:
        match order:
            case StartRun():
                await self._start(order)
            case StopRun():
                await self._stop(order)

    async def _start(self, start: StartRun) -> None:
        run = start.run
        reply = StartReply.NOT_SENT
        if self.may_start and self._cluster.may_start(run):
            sent_at = self._clock()
            # The order may have been sent if an error occurred.
            reply = StartReply.UNKNOWN
            with self._faults.contain("start", run.task_id):
                self._log_start(start, sent_at)
                reply = await self._workers.start(run.worker.entry, start.order)
            took_s = self._clock() - sent_at
            self._metrics.start_seconds.observe(took_s)
            row = _row(run.task_id, run.number, run.worker)
            row |= {"reply": reply, "took_s": round(took_s, 3)}
            self._starts_answered.add(row)
        self._metrics.starts.labels(reply.value).inc()
        self._cluster.on_start_reply(run, reply, self._clock())
        if reply is not StartReply.RUNNING:
            self._after_event()
        else:
            self._flush_needed.set()
            if self._planner.starts_limited:
                self._plan_needed.set()

    def _log_start(self, start: StartRun, now: float) -> None:
        """Log an order to start a run, and what it is based on, before it is sent."""
        order, job = start.order, start.run.step.job
        stored = self._table.find(job.spec.job_id)
        copy_age_s = self._mirror.age_s
        decided_age_s = round(now - start.run.placed_at, 3)
        self._metrics.start_copy_age_seconds.observe(copy_age_s)
        if stored is not None and stored.cancelled:
            self._metrics.cancelled_starts.inc()
            self._log.write(
                "cancelled job started",
                task=order.task_id,
                run=order.number,
                cancel_revision=stored.cancel_revision or None,
                epoch=self._cluster.epoch,
            )
        if decided_age_s >= LATE_START_S:
            self._log.write(
                "start sent late",
                task=order.task_id,
                run=order.number,
                decided_age_s=decided_age_s,
                epoch=self._cluster.epoch,
                copy_revision=self._mirror.revision,
            )
        row = {
            "task": order.task_id,
            "run": order.number,
            "worker": order.worker_id,
            "token": order.token,
            "payload": payload_digest(order.payload),
            "checkpoint": order.checkpoint[:MAX_CHECKPOINT_CHARS],
            "state": job.state,
            "cancelled": None if stored is None else stored.cancelled,
            "job_revision": None if stored is None else stored.revision,
            "decided_age_s": decided_age_s,
        }
        self._starts_sent.add(
            row,
            epoch=self._cluster.epoch,
            copy_revision=self._mirror.revision,
            copy_age_s=round(copy_age_s, 2),
        )

    async def _stop(self, stop: StopRun) -> None:
        if not self.may_send_orders:
            return
        worker, done = stop.worker, False
        sent_at = self._clock()
        row = _row(stop.task_id, stop.number, worker)
        sent = {
            "token": worker.token,
            "decided_age_s": round(sent_at - stop.decided_at, 3),
        }
        self._stops_sent.add(row | sent, epoch=self._cluster.epoch)
        with self._faults.contain("stop", stop.task_id):
            done = await self._workers.stop(
                worker.entry, stop.task_id, stop.number, worker.token
            )
        took_s = round(self._clock() - sent_at, 3)
        self._stops_answered.add(row | {"taken": done, "took_s": took_s})

    def _on_advice(self, call: AdviceCall, advice: Advice | None) -> None:
        try:
            self._take_advice(call, advice)
        except Exception as exc:
            self._faults.report_contained("advice", call.step.id, exc)
            self._cluster.on_no_advice(call.step, self._clock())
        self._plan_needed.set()

    def _take_advice(self, call: AdviceCall, advice: Advice | None) -> None:
        now = self._clock()
        if advice is None:
            self._cluster.on_no_advice(call.step, now)
        else:
            self._cluster.on_advice(call.step, call.workers, advice, now)
            self._log.write(
                "advice answered",
                step=call.step.id,
                asked=len(call.workers),
                allowed=len(advice.tickets),
                asked_age_s=round(now - call.step.advice_asked_at, 3),
                expected_s=round(call.duration_s, 3),
                valid_s=advice.valid_s,
            )

    def _wake_poll(self, worker: WorkerState) -> None:
        event = self._poll_wakeups.get(worker)
        if event is not None:
            event.set()

    # Loops

    async def _plan_loop(self) -> None:
        while True:
            await self._plan_needed.wait()
            await asyncio.sleep(PLAN_DELAY_S)
            self._plan_needed.clear()
            if not self.may_start:
                continue
            began = self._clock()
            with self._metrics.plan_seconds.time():
                try:
                    self._planner.run(began)
                except PlanningError as exc:
                    job_id = exc.step.job.spec.job_id
                    self._set_job_aside(job_id, exc.__cause__)
                    self._plan_needed.set()
            self._execute_orders()
            await asyncio.sleep(PLAN_PAUSE_FACTOR * (self._clock() - began))

    async def _tick_loop(self) -> None:
        acting = starting = True
        while True:
            await asyncio.sleep(TICK_S)
            if self.may_send_orders != acting:
                acting = self.may_send_orders
                self._log.write(
                    "orders allowed" if acting else "orders suspended",
                    epoch=self._cluster.epoch,
                    store_age_s=round(self._store_age_s(), 2),
                )
            if self.may_start != starting:
                starting = self.may_start
                self._log.write(
                    "starts allowed" if starting else "starts suspended",
                    epoch=self._cluster.epoch,
                    store_age_s=round(self._store_age_s(), 2),
                    workers_age_s=round(self._registry_mirror.age_s, 2),
                )
            leader = self._table.leader
            if leader is not None and leader.epoch != self._leadership.epoch:
                self._fail(f"{leader.name} leads with epoch {leader.epoch}")
            self._open_due_occurrences()
            now = self._clock()
            with self._faults.contain("tick", self._name):
                self._cluster.repeat_stops(now)
                self._cluster.stop_stalled(now)
            self._after_event()

    def _open_due_occurrences(self) -> None:
        for job in list(self._cluster.scheduled.values()):
            try:
                self._cluster.open_due(job, self._clock(), time.time())
            except Exception as exc:
                self._set_job_aside(job.spec.job_id, exc)

    async def _handover_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            outage_s = self._store.outage_s
            if outage_s < HANDOVER_S:
                continue
            # If all processes refuse, none reaches the store; this one keeps leading.
            await self._hand_over(f"store calls have failed for {outage_s:.2f} s")
            await asyncio.sleep(HANDOVER_RETRY_S)

    async def _promotion_loop(self) -> None:
        """Hand over to a process with far more processor time."""
        while True:
            await asyncio.sleep(PROMOTION_INTERVAL_S)
            processes = self._table.processes.values()
            preferred = [p for p in processes if p.should_lead_over(self._process)]
            if preferred and not self._cluster.unsettled:
                best = max(preferred, key=lambda process: process.power)
                await self._hand_over(
                    "a process with more processor time can lead", best.name
                )

    async def _hand_over(self, why: str, name: str = "") -> None:
        """Ask another process to lead; keep leading if none agrees.

        Args:
            why: Reason for the log.
            name: Process to ask; by default any that reaches the store.
        """
        if self._handing_over:
            return
        # Set before asking, since the successor assumes that no order is sent after it
        # has agreed.
        self._handing_over = True
        request = TakeOverRequest(self._leadership.epoch)
        try:
            if name:
                await self._relay.call_process(name, request)
            else:
                await self._relay.call_any(request, most_power_first=True)
        except Refused:
            self._handing_over = False
            return
        except OutcomeUnknown as exc:
            why = f"{why}; {exc.message}"
        self._fail(f"handed over: {why}")

    # Progress

    async def _flush_loop(self) -> None:
        while True:
            await self._flush_needed.wait()
            self._flush_needed.clear()
            while True:
                jobs = self._jobs_to_store()
                workers = self._workers_to_record()
                removed = self._take_deletions()
                if not jobs and not workers and not removed:
                    break
                await self._flush(jobs, workers, removed)
                await asyncio.sleep(FLUSH_INTERVAL_S)

    def _jobs_to_store(self) -> list[OpenJob]:
        now = self._clock()
        dirty = [job for job in self._cluster.jobs.values() if job.dirty]
        urgent = any(job.urgent for job in dirty)
        old = any(now - job.changed_at >= FLUSH_DELAY_S for job in dirty)
        if not urgent and not old:
            return []
        dirty.sort(key=lambda job: (not job.urgent, job.changed_at))
        return dirty

    def _workers_to_record(self) -> list[WorkerState]:
        """Return new workers, and those whose recorded tasks have changed.

        Nothing may start on a worker before it has answered, so a registry entry that
        no worker stands behind leaves no record for which a successor would wait.
        """
        now, cluster = self._clock(), self._cluster
        workers = cluster.workers.values()
        rejected = self._rejected_workers
        new = [
            w
            for w in workers
            if w.answering
            and w.listed
            and not w.recorded
            and rejected.get(w.entry.worker_id) != w.entry
        ]
        # Called after each event, so it skips the workers whose record cannot change.
        changed = [
            w
            for w in workers
            if w.recorded
            and (not w.settled or w.recorded_tasks is not None)
            and w.recorded_tasks != cluster.tasks_to_record(w, now)
        ]
        return new + changed

    def _record(self, worker: WorkerState) -> WorkerRecord:
        """Return the record to store for a worker.

        Nothing may start on the worker from now on if the record names its tasks, as
        the write may be applied although its answer is lost.
        """
        tasks = self._cluster.tasks_to_record(worker, self._clock())
        if tasks is None:
            return WorkerRecord(worker.entry)
        worker.recorded_tasks = tasks
        self._log.write(
            "silent worker recorded", worker=worker.entry.worker_id, tasks=len(tasks)
        )
        return WorkerRecord(worker.entry, self._leadership.epoch, tuple(sorted(tasks)))

    def _take_deletions(self) -> _Deletions:
        """Return what to delete next, of forgotten workers and expired jobs."""
        self._removed_workers = [
            worker_id
            for worker_id in self._removed_workers
            if not self._needs_record(worker_id)
        ]
        workers = self._removed_workers[:1]
        del self._removed_workers[:1]
        limit = 1 if self._single_deletions_left else EXPIRED_JOBS_PER_WRITE
        taken = self._expired_jobs[:limit]
        del self._expired_jobs[:limit]
        self._single_deletions_left = max(0, self._single_deletions_left - 1)
        # A job may have been accepted or stored again in the meantime.
        jobs = [job for job in taken if self._is_expired(job)]
        return _Deletions(tuple(workers), tuple(jobs))

    def _needs_record(self, worker_id: str) -> bool:
        """Return whether a worker that was to be forgotten has come back since."""
        worker = self._cluster.workers.get(worker_id)
        return worker is not None and (worker.recorded or worker.answering)

    def _is_expired(self, job: TableJob) -> bool:
        before = time.time() - self._retention_s
        return self._table.jobs.get(job.job_id) is job and 0 < job.closed_at < before

    def _on_deletions_outdated(self, deletions: _Deletions) -> None:
        """Try again without the jobs that have changed since they were read."""
        self._log.write(
            "expired jobs changed", jobs=[job.job_id for job in deletions.jobs]
        )
        self._removed_workers += deletions.workers
        if len(deletions.jobs) > 1:
            self._single_deletions_left = len(deletions.jobs)
            self._expired_jobs[:0] = deletions.jobs
        self._flush_needed.set()

    async def _expiry_loop(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            if not self._expired_jobs:
                before = time.time() - self._retention_s
                self._expired_jobs = self._table.closed_before(before)
                self._flush_needed.set()

    async def _flush(
        self, jobs: list[OpenJob], workers: list[WorkerState], removed: _Deletions
    ) -> None:
        """Store changes in one transaction, which fails if another process leads."""
        conditions, deletions = removed.conditions, removed.operations
        limit = 1 if self._single_writes_left else MAX_FLUSH_OPERATIONS
        limit = max(0, limit - len(conditions) - len(deletions))
        workers = workers[:limit]
        jobs = jobs[: limit - len(workers)]
        jobs, progress = self._encode_progress(jobs)
        versions = [job.version for job in jobs]
        recorded_before = [worker.recorded_tasks for worker in workers]
        worker_records = [self._record(worker) for worker in workers]
        puts: list[Put | Delete] = [*progress]
        puts += [
            Put(records.WORKER_PREFIX + record.entry.worker_id, records.encode(record))
            for record in worker_records
        ]
        puts += deletions
        began = self._clock()
        try:
            applied = await self._write(puts, conditions)
        except BadRequest as exc:
            self._on_write_rejected(jobs, workers, len(puts), exc)
            return
        if not applied:
            for worker, tasks in zip(workers, recorded_before, strict=True):
                worker.recorded_tasks = tasks
            self._on_deletions_outdated(removed)
            return
        self._single_writes_left = max(0, self._single_writes_left - 1)
        self._apply_progress(puts)
        self._metrics.flush_seconds.observe(self._clock() - began)
        self._notify_of_ends(jobs, versions)
        for job, version in zip(jobs, versions, strict=True):
            job.stored_version = version
            if not job.dirty:
                job.urgent = False
                if job.state.final:
                    self._cluster.remove_job(job)
        for worker, record in zip(workers, worker_records, strict=True):
            worker.recorded_address = record.entry.address
            tasks = record.tasks
            worker.recorded_tasks = None if tasks is None else frozenset(tasks)
            worker_id = worker.entry.worker_id
            if worker_id not in self._cluster.workers:
                # It was forgotten during the write.
                self._removed_workers.append(worker_id)
                self._flush_needed.set()
        self._advance_acknowledged()
        if workers:
            self._plan_needed.set()

    def _notify_of_ends(self, jobs: list[OpenJob], versions: list[int]) -> None:
        """Notify the processes that accepted jobs of their ends, once stored.

        These learn of them from their mirrors too, but later.
        """
        ends: dict[str, list[JobEnd]] = {}
        for job, version in zip(jobs, versions, strict=True):
            ended = job.state.final and job.version == version
            if ended and job.accepted_by not in ("", self._name):
                end = JobEnd(job.spec.job_id, job.state, job.ended_wall)
                ends.setdefault(job.accepted_by, []).append(end)
        for name, ended_jobs in ends.items():
            self._spawn(self._send_ends(name, EndedRequest(ended_jobs)))

    async def _send_ends(self, name: str, request: EndedRequest) -> None:
        try:
            await self._relay.call_process(name, request)
        except FlamingowayError as exc:
            self._log.write(
                "end notice failed",
                process_notified=name,
                jobs=len(request.ends),
                why=exc.message,
            )

    def _encode_progress(self, jobs: list[OpenJob]) -> tuple[list[OpenJob], list[Put]]:
        """Return the jobs whose progress one transaction can hold, and its writes."""
        chosen, puts, size = [], [], 0
        for job in jobs:
            job_id = job.spec.job_id
            try:
                value = encode_progress(job.record())
            except Exception as exc:
                self._set_job_aside(job_id, exc)
                continue
            size += len(value)
            if puts and size > MAX_FLUSH_BYTES:
                break
            chosen.append(job)
            puts.append(Put(records.PROGRESS_PREFIX + job_id, value))
        return chosen, puts

    def _on_write_rejected(
        self,
        jobs: list[OpenJob],
        workers: list[WorkerState],
        operations: int,
        error: BadRequest,
    ) -> None:
        """Find the write that the store rejects as invalid, and set its cause aside."""
        if operations > 1:
            self._single_writes_left = operations
        elif jobs:
            self._set_job_aside(jobs[0].spec.job_id, error)
        else:
            names = [worker.entry.worker_id for worker in workers]
            self._faults.report_contained("write", " ".join(names), error)
            # Nothing starts on a worker that is not recorded.
            for worker in workers:
                self._rejected_workers[worker.entry.worker_id] = worker.entry
        self._flush_needed.set()

    def _apply_progress(self, operations: list[Put | Delete]) -> None:
        """Apply stored progress to the table before the watch delivers it."""
        revision = self._leadership.revision
        events = [
            WatchEvent(put.key, KeyValue(put.key, put.value, 0, revision))
            for put in operations
            if isinstance(put, Put) and put.key.startswith(records.PROGRESS_PREFIX)
        ]
        self._table.apply_changes(events)

    async def _write(
        self, operations: list[Put | Delete], conditions: list[Compare]
    ) -> bool:
        """Write on the condition that the leader key is unchanged, and change it.

        A write whose answer was lost may be applied later; since it requires the
        revision of the leader key that it names, it cannot overwrite a newer one.

        Returns:
            Whether the other conditions held; if not, nothing was written.

        Raises:
            LeadershipLost: The leader key is gone or another process holds it.
        """
        leadership = self._leadership
        record = LeaderRecord(
            self._name,
            leadership.epoch,
            leadership.writes + 1,
            settled=not self._cluster.unsettled,
        )
        value = records.encode(record)
        leads = Compare(records.LEADER_KEY, "mod_revision", leadership.revision)
        compares = [leads, *conditions]
        puts = [Put(records.LEADER_KEY, value, leadership.lease), *operations]
        while True:
            try:
                result = await self._store.txn(compares, puts, [records.LEADER_KEY])
            except LeaseExpired:
                raise LeadershipLost("the session lease has expired") from None
            except (StoreUnavailable, StoreOutcomeUnknown):
                await asyncio.sleep(STORE_RETRY_S)
                continue
            break
        revision = result.revision
        if not result.succeeded:
            found = result.reads.get(records.LEADER_KEY)
            if found is not None and found.mod_revision == leadership.revision:
                return False
            if found is None or found.value != value:
                raise LeadershipLost("the leader key was changed or deleted")
            revision = found.mod_revision
        leadership.revision = revision
        leadership.writes += 1
        return True

    def _advance_acknowledged(self) -> None:
        for worker in self._cluster.workers.values():
            if worker.unstored:
                worker.advance_acknowledged()
                if not worker.unstored:
                    self._wake_poll(worker)

    # Tasks

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        if not self._failed.done():
            self._failed.set_exception(error)
        elif not isinstance(error, LeadershipLost):
            self._log.write("task failed after the end of the term", why=repr(error))

    def _fail(self, why: str) -> None:
        if not self._failed.done():
            self._failed.set_exception(LeadershipLost(why))


def _row(task_id: str, number: int, worker: WorkerState) -> dict:
    """Return the fields of a row of the log that name a run."""
    return {"task": task_id, "run": number, "worker": worker.entry.worker_id}
