"""Requests of callers: accepting, showing and cancelling jobs.

Any process can accept a job by creating its key in the store, so accepting does not
depend on the leader. A job is refused only if its key was not written and never will
be.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import contextmanager
from dataclasses import dataclass

from ..errors import (
    BadRequest,
    FlamingowayError,
    OutcomeUnknown,
    Refused,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from ..status import Code
from ..store import Compare, KeyValue, Put, TxnResult, WatchEvent
from ..store.monitored import MonitoredStore
from . import records
from .decisions import DecisionLog
from .messages import AnnounceRequest, CancelRequest, StateRequest, SubmitRequest
from .metrics import QueueMetrics
from .mirror import Mirror
from .model import DesiredState, Queue, StepJobSpec, StepJobState
from .records import CancelRecord, JobRecord, QueueRecord
from .relay import Relay
from .rows import payload_digest
from .session import read_epoch
from .table import JobTable, TableJob

# A transaction holds at most 32 entries: a condition and a write for each job, and a
# condition on the epoch.
JOBS_PER_WRITE = 15
# A mirror without changes for this long may be stale; a busy cell has dozens a second,
# and a follower reads them twice a second.
MIRROR_STALE_AFTER_S = 1.6
# The state of a job that another process accepted is read again if it is older.
STATE_AGE_S = 0.2
# An answer with the state known here is better than none.
REFRESH_TIMEOUT_S = 0.4
# Reserved from a caller's deadline for returning the answer.
ANSWER_MARGIN_S = 0.1
# Delay before a failed write is retried; retries end after ``STORE_LOST_S``.
WRITE_RETRY_DELAY_S = 0.05
# Limit on the jobs remembered as accepted here, which the mirror may not show yet. A
# repeated request for a forgotten job costs one more write, which finds the job.
MAX_RECENT_JOBS = 10_000
# If all calls have failed for this long, the store is unavailable to this process; a
# store that is only slow still answers.
STORE_LOST_S = 0.3
# A write that takes longer than this, and ``SLOW_WRITE_FACTOR`` times as long as the
# previous one, may never be answered; a slow store takes 0.25 to 0.5 s.
SLOW_WRITE_S = 0.4
SLOW_WRITE_FACTOR = 3.0
# A request that could not be carried out here or elsewhere is tried again after this
# time, or once the store answers this process again.
HOLD_INTERVAL_S = 0.5
# The same while the store answers, but not the writes of this process.
SLOW_RETRY_S = 0.2
# Requests beyond this number are refused at once instead of being held.
MAX_HELD_REQUESTS = 1000
# Retry-After sent while the store is unavailable: most outages end within seconds.
STORE_RETRY_AFTER_S = 1


@dataclass(slots=True)
class _PendingJob:
    """A job that waits to be written to the store.

    Attributes:
        received_at: Loop time at which the request arrived.
        deadline: Loop time up to which the write is retried.
        accepted: Resolved once the job is stored, or with the error.
        failed: Whether the last write failed.
        sent: Whether a write of the job is in flight.
        alone: Whether to write the job by itself, because the store rejected a write
            with others as invalid.
        uncertain: Whether a write of the job was sent but not answered.
    """

    job_id: str
    value: bytes
    received_at: float
    deadline: float
    accepted: asyncio.Future
    failed: bool = False
    sent: bool = False
    alone: bool = False
    uncertain: bool = False

    def should_give_up(self, now: float) -> bool:
        """Return whether to stop retrying the write in this process."""
        store_lost = self.failed and now - self.received_at >= STORE_LOST_S
        return store_lost or now >= self.deadline


class Intake:
    """Handles the requests of one process's callers.

    Args:
        store: The store.
        table: Mirror of the store.
        mirror: Mirror that feeds ``table``.
        relay: Forwards requests to other processes.
        name: Name of this process.
        log: Decision log.
        metrics: Metrics of the process.
    """

    def __init__(
        self,
        store: MonitoredStore,
        table: JobTable,
        mirror: Mirror,
        relay: Relay,
        name: str,
        log: DecisionLog,
        metrics: QueueMetrics,
    ):
        self._store = store
        self._table = table
        self._held = 0
        self._write_is_slow = False
        self._last_write_s = 0.0
        self._write_failed_at = float("-inf")
        self._mirror = mirror
        self._relay = relay
        self._name = name
        self._announcements: set[asyncio.Task] = set()
        self._log = log
        self._metrics = metrics
        self._desired: DesiredState | None = None
        self._check_epoch = True
        self._pending: list[_PendingJob] = []
        self._writers: set[asyncio.Task] = set()
        # Times of acceptance of jobs that the mirror may not show yet.
        self._recently_accepted: dict[str, float] = {}
        # Jobs that the leader notifies this process of.
        self._stored_here: set[str] = set()
        self._source_of_change = "copy"

    @property
    def desired(self) -> DesiredState | None:
        """The configuration in force, ``None`` before the first."""
        return self._desired

    @property
    def source_of_change(self) -> str:
        """How the change that the table reports became known here, for the log.

        ``announcement``, ``caller`` or, by default, ``copy``.
        """
        return self._source_of_change

    @contextmanager
    def _changing_table(self, source: str):
        self._source_of_change = source
        try:
            yield
        finally:
            self._source_of_change = "copy"

    def set_desired_state(self, desired: DesiredState) -> None:
        """Apply a configuration."""
        self._desired = desired

    def queue_for(self, host: str, path: str) -> Queue:
        """Return the queue of a request.

        Raises:
            Refused: There is no configuration yet.
            BadRequest: There is no such queue; its code is ``NOT_FOUND``.
        """
        if self._desired is None:
            raise Refused("no configuration yet", Code.STARTING, retry_after=1)
        queue = self._desired.find(host, path)
        if queue is None:
            raise BadRequest("no such queue", Code.NOT_FOUND)
        return queue

    async def submit(
        self,
        spec: StepJobSpec,
        timeout_s: float,
        relay: bool = True,
        queue: Queue | None = None,
    ) -> None:
        """Accept a job; returns once it is stored.

        Args:
            spec: The job.
            timeout_s: How long the caller waits for the answer.
            relay: Whether to forward the job to another process if the store is
                unavailable here.
            queue: The job's queue, by default as configured here.

        Raises:
            Refused: The job was not stored and will not be.
            OutcomeUnknown: It may be stored.
        """
        if queue is None and self._desired is not None:
            queue = self._desired.queue(spec.queue)
        if self.knows(spec.job_id):
            self._log.write("job already accepted", job=spec.job_id, queue=spec.queue)
            return
        if relay:
            await self._store_or_hold(spec, queue, timeout_s)
        else:
            await self._store_job(spec, queue, timeout_s)
        if len(self._recently_accepted) >= MAX_RECENT_JOBS:
            self._recently_accepted.clear()
        self._recently_accepted[spec.job_id] = asyncio.get_running_loop().time()
        self._log.write(
            "job accepted",
            job=spec.job_id,
            queue=spec.queue,
            version=self._desired.version if self._desired else 0,
            payload=payload_digest(spec.payload),
        )

    async def _store_or_hold(
        self, spec: StepJobSpec, queue: Queue | None, timeout_s: float
    ) -> None:
        """Store a job, if need be through another process or after an outage.

        Most outages of the store end within the time that a caller waits for one
        answer. A job that is held until then is stored at once, while one that is
        refused depends on when its caller comes back.

        Raises:
            Refused: The job was not stored and will not be.
            OutcomeUnknown: It may be stored.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s - ANSWER_MARGIN_S
        attempts = (
            lambda left_s: self._store_job(spec, queue, left_s),
            lambda left_s: self._relay.call_any(SubmitRequest(spec, left_s, queue)),
        )
        try:
            await self._attempt_until(deadline, attempts)
        except (Refused, OutcomeUnknown) as exc:
            exc.details.setdefault("retry_after", STORE_RETRY_AFTER_S)
            self._log.write(
                "job not accepted",
                job=spec.job_id,
                code=exc.code,
                timeout_s=round(timeout_s, 3),
                store_lost_s=round(self._store.outage_s, 2),
                why=exc.message,
            )
            raise

    async def _attempt_until(
        self, deadline: float, attempts: Sequence[Callable[[float], Awaitable]]
    ) -> None:
        """Repeat attempts, each at this or another process, until one succeeds.

        Args:
            deadline: Loop time until which attempts are repeated.
            attempts: Called in turn with the seconds that are left.

        Raises:
            Refused: No attempt had an effect.
            OutcomeUnknown: An attempt may have had an effect.
        """
        loop = asyncio.get_running_loop()
        uncertain = False
        while True:
            for attempt in attempts:
                try:
                    await attempt(max(0.1, deadline - loop.time() + ANSWER_MARGIN_S))
                    return
                except (Refused, OutcomeUnknown) as exc:
                    uncertain = uncertain or isinstance(exc, OutcomeUnknown)
                    error = exc
            if not await self._hold(deadline):
                break
        if uncertain and isinstance(error, Refused):
            error = OutcomeUnknown(error.message, Code.WRITE_UNRESOLVED)
        raise error

    async def _hold(self, deadline: float) -> bool:
        """Wait until another attempt may succeed; return whether there is time for it.

        During a partial outage another process may reach the store, so attempts are
        repeated before this one does.
        """
        loop = asyncio.get_running_loop()
        if self._held >= MAX_HELD_REQUESTS:
            return False
        self._held += 1
        try:
            if self._store.outage_s:
                await asyncio.sleep(WRITE_RETRY_DELAY_S)
                left_s = deadline - loop.time()
                await self._store.wait_returned(min(HOLD_INTERVAL_S, left_s))
            else:
                await asyncio.sleep(SLOW_RETRY_S)
        finally:
            self._held -= 1
        return loop.time() < deadline

    async def _store_job(
        self, spec: StepJobSpec, queue: Queue | None, timeout_s: float
    ) -> None:
        if self._is_store_unavailable():
            raise Refused("the store is unavailable", Code.STORE_UNAVAILABLE)
        kept = QueueRecord.of(queue) if queue is not None else None
        value = records.encode(JobRecord(spec, time.time(), self._name, kept))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max(0.1, timeout_s - ANSWER_MARGIN_S)
        pending = _PendingJob(
            spec.job_id, value, loop.time(), deadline, loop.create_future()
        )
        self._pending.append(pending)
        self._start_writer()
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.shield(pending.accepted)
        except asyncio.CancelledError:
            # Nobody would read the outcome.
            pending.accepted.cancel()
            raise
        except TimeoutError:
            if pending.accepted.done():
                pending.accepted.result()
                return
            pending.uncertain = pending.uncertain or pending.sent
            _fail(pending)
            pending.accepted.result()

    async def state(self, job_id: str, relay: bool = True) -> StepJobState:
        """Return the state of a job.

        Raises:
            BadRequest: There is no such job; its code is ``NOT_FOUND``.
            Refused: The job is not known here and the store does not answer.
        """
        job = self._table.find(job_id)
        if job is not None and job.state.final:
            return job.reported_state
        if relay and job_id not in self._stored_here:
            # Only the process that stored a job is notified of its end.
            await self._refresh()
            job = self._table.find(job_id)
        unavailable = self._is_store_unavailable()
        if unavailable and relay:
            try:
                return (await self._relay.call_any(StateRequest(job_id))).state
            except (Refused, OutcomeUnknown):
                # No other process could answer; return the newest state known here.
                pass
        if job is not None and not (unavailable and not relay):
            if relay and self._mirror.since_change_s > MIRROR_STALE_AFTER_S:
                return await self._ask_leader(job)
            return job.reported_state
        if not await self._is_stored(job_id):
            raise BadRequest("no such job", Code.NOT_FOUND)
        return StepJobState.QUEUED

    async def _refresh(self) -> None:
        if self._mirror.age_s > STATE_AGE_S and not self._is_store_unavailable():
            await self._mirror.refresh(REFRESH_TIMEOUT_S)

    async def _ask_leader(self, job: TableJob) -> StepJobState:
        """Return a job's state at the leader, or the local one if the call fails."""
        leader = self._table.leader
        if leader is None or leader.name == self._name:
            return job.reported_state
        try:
            reply = await self._relay.call_process(
                leader.name, StateRequest(job.job_id)
            )
        except FlamingowayError as exc:
            self._log.write(
                "leader query failed",
                job=job.job_id,
                leader=leader.name,
                why=exc.message,
            )
            return job.reported_state
        return reply.state

    def knows(self, job_id: str) -> bool:
        """Return whether this process knows an accepted job."""
        if self._table.find(job_id) is not None:
            return True
        accepted_at = self._recently_accepted.get(job_id)
        if accepted_at is None:
            return False
        # A copy that was confirmed later would show the job, unless it was deleted.
        return self._mirror.age_s >= asyncio.get_running_loop().time() - accepted_at

    async def cancel(self, job_id: str, timeout_s: float, relay: bool = True) -> None:
        """Cancel a job; returns once that is stored.

        Raises:
            BadRequest: There is no such job, and the cancellation is stored; its code
                is ``NOT_FOUND``, and ``cancel_revision`` in its details is the revision
                of the cancellation.
            OutcomeUnknown: The cancellation may or may not be stored.
            Refused: It is not stored.
        """
        began = asyncio.get_running_loop().time()
        outcome, acknowledged, revision = "interrupted", False, None
        try:
            outcome = await self._cancel(job_id, timeout_s, relay)
            acknowledged = True
        except FlamingowayError as exc:
            outcome, acknowledged = exc.message, exc.code == Code.NOT_FOUND
            revision = _cancel_revision(exc) or None
            raise
        finally:
            job = self._table.find(job_id)
            if job is not None and job.cancelled:
                revision = job.cancel_revision or None
            self._metrics.cancellations.labels(_cancel_label(outcome)).inc()
            # The first fields tell whether a caller could rely on the answer.
            self._log.write(
                "cancellation answered",
                job=job_id,
                acknowledged=acknowledged,
                revision=revision,
                outcome=outcome,
                relayed=not relay,
                took_s=round(asyncio.get_running_loop().time() - began, 3),
                state=None if job is None else job.state,
                job_revision=None if job is None else job.revision,
                copy_revision=self._mirror.revision,
                copy_age_s=round(self._mirror.age_s, 3),
            )

    async def _cancel(self, job_id: str, timeout_s: float, relay: bool) -> str:
        """Cancel a job and return the outcome for the log."""
        job = self._table.find(job_id)
        if job is not None and (job.state.final or job.cancelled):
            return f"already {job.reported_state}"
        if relay:
            deadline = asyncio.get_running_loop().time() + timeout_s - ANSWER_MARGIN_S
            attempts = (
                lambda left_s: self._store_cancel(job_id, job is None, left_s),
                lambda left_s: self._relay.call_any(
                    CancelRequest(job_id, left_s),
                    is_answer=lambda error: _cancel_revision(error) > 0,
                ),
            )
            try:
                await self._attempt_until(deadline, attempts)
            except FlamingowayError as exc:
                # Another process may have stored it.
                if revision := _cancel_revision(exc):
                    self._note_cancelled(job_id, revision)
                raise
        else:
            await self._store_cancel(job_id, job is None, timeout_s)
        self._log.write("job cancelled", job=job_id)
        job = self._table.jobs.get(job_id)
        if job is None or not job.cancelled:
            self._note_cancelled(job_id)
        return "stored"

    def _note_cancelled(self, job_id: str, revision: int = 0) -> None:
        """Apply a stored cancellation to the table before the mirror delivers it.

        Args:
            job_id: The job.
            revision: Revision of the write; 0 if another process wrote it.
        """
        put = _cancel_put(job_id)
        item = KeyValue(put.key, put.value, revision, revision)
        with self._changing_table("caller"):
            self._table.apply_changes([WatchEvent(put.key, item)])

    async def _store_cancel(
        self, job_id: str, check_exists: bool, timeout_s: float
    ) -> None:
        if self._is_store_unavailable():
            raise Refused(
                "the store is unavailable", Code.STORE_UNAVAILABLE, retry_after=1
            )
        retry_for_s = min(STORE_LOST_S, timeout_s - ANSWER_MARGIN_S)
        if check_exists and not await self._is_stored(job_id):
            # A write of the job may still be on its way.
            absent = Compare(records.JOB_PREFIX + job_id, "mod_revision", 0)
            result = await self._write_cancel(job_id, [absent], retry_for_s)
            if result.succeeded:
                self._note_cancelled(job_id, result.revision)
                raise BadRequest(
                    "no such job", Code.NOT_FOUND, cancel_revision=result.revision
                )
        # Also if the job is not known here yet: if this process leads, the job may be
        # announced to it before its mirror shows the cancellation.
        result = await self._write_cancel(job_id, [], retry_for_s)
        self._note_cancelled(job_id, result.revision)

    async def _write_cancel(
        self, job_id: str, compares: list[Compare], retry_for_s: float
    ) -> TxnResult:
        """Write a cancellation if the conditions hold.

        Raises:
            OutcomeUnknown: It may be stored.
            Refused: It is not stored.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        put = _cancel_put(job_id)
        while True:
            try:
                return await self._store.txn(compares, [put])
            except StoreOutcomeUnknown as exc:
                error: FlamingowayError = OutcomeUnknown(exc.message, exc.code)
            except StoreUnavailable as exc:
                error = Refused(exc.message, exc.code, retry_after=1)
            if loop.time() - began >= retry_for_s:
                raise error
            await asyncio.sleep(WRITE_RETRY_DELAY_S)

    def waiting(self, queue: Queue) -> int:
        """Return the number of jobs of a queue for which no task has started."""
        return self._table.waiting(queue.name)

    def _is_store_unavailable(self) -> bool:
        """Return whether a call to the store would probably fail."""
        now = asyncio.get_running_loop().time()
        if self._store.outage_s > STORE_LOST_S:
            return True
        return self._write_is_slow or self._store.age_s > now - self._write_failed_at

    async def _is_stored(self, job_id: str) -> bool:
        """Return whether the store has a job that the mirror does not show yet.

        Raises:
            Refused: The store does not answer.
        """
        try:
            item = await self._store.get(records.JOB_PREFIX + job_id)
        except StoreUnavailable as exc:
            raise Refused(
                f"the job could not be looked up: {exc.message}",
                Code.STORE_UNAVAILABLE,
                retry_after=1,
            ) from None
        return item is not None

    def _start_writer(self) -> None:
        # With one writer, jobs that arrive during a write are batched into the next.
        if not self._writers:
            task = asyncio.create_task(self._write_all())
            self._writers.add(task)
            task.add_done_callback(self._writers.discard)

    async def _write_all(self) -> None:
        loop = asyncio.get_running_loop()
        while self._drop_answered():
            batch = self._next_batch()
            # Set before the task begins, since a job that is given up meanwhile may be
            # written all the same.
            for pending in batch:
                pending.sent = True
            write = asyncio.create_task(self._write(batch))
            slow_after_s = max(SLOW_WRITE_S, SLOW_WRITE_FACTOR * self._last_write_s)
            await asyncio.wait({write}, timeout=slow_after_s)
            if not write.done():
                self._refuse_queued(batch)
            await write
            self._write_is_slow = False
            now = loop.time()
            for pending in batch:
                if not pending.accepted.done() and pending.should_give_up(now):
                    _fail(pending)

    def _drop_answered(self) -> bool:
        """Drop the jobs that need no write any more; return whether others are left."""
        self._pending = [p for p in self._pending if not p.accepted.done()]
        return bool(self._pending)

    def _next_batch(self) -> list[_PendingJob]:
        first = self._pending[0]
        if first.alone:
            return [first]
        # The store rejects a write that names a key twice, and a repeated request may
        # wait beside the first one.
        batch: dict[str, _PendingJob] = {}
        for pending in self._pending:
            if not pending.alone and len(batch) < JOBS_PER_WRITE:
                batch.setdefault(pending.job_id, pending)
        return list(batch.values())

    def _refuse_queued(self, batch: list[_PendingJob]) -> None:
        """Refuse the jobs queued behind an unanswered write."""
        self._write_is_slow = True
        for pending in self._pending:
            if pending not in batch and not pending.accepted.done():
                _fail(pending)

    async def _write(self, batch: list[_PendingJob]) -> None:
        keys = [records.JOB_PREFIX + pending.job_id for pending in batch]
        compares = [Compare(key, "mod_revision", 0) for key in keys]
        epoch = self._table.epoch_item if self._check_epoch else None
        self._check_epoch = True
        if epoch is not None:
            compares.append(
                Compare(records.EPOCH_KEY, "mod_revision", epoch.mod_revision)
            )
        puts = [Put(key, p.value) for key, p in zip(keys, batch, strict=True)]
        began = asyncio.get_running_loop().time()
        try:
            result = await self._store.txn(compares, puts, [c.key for c in compares])
        except StoreOutcomeUnknown as exc:
            for pending in batch:
                pending.failed = pending.uncertain = True
            self._write_failed_at = asyncio.get_running_loop().time()
            self._log.write(
                "job write unresolved",
                jobs=[pending.job_id for pending in batch],
                took_s=round(self._write_failed_at - began, 3),
                why=exc.message,
            )
            await asyncio.sleep(WRITE_RETRY_DELAY_S)
            return
        except BadRequest as exc:
            self._on_rejected(batch, exc)
            return
        except StoreUnavailable as exc:
            for pending in batch:
                pending.failed, pending.sent = True, False
            self._write_failed_at = asyncio.get_running_loop().time()
            self._log.write("job write failed", jobs=len(batch), why=exc.message)
            await asyncio.sleep(WRITE_RETRY_DELAY_S)
            return
        self._last_write_s = asyncio.get_running_loop().time() - began
        self._log.write(
            "jobs stored" if result.succeeded else "job write not applied",
            revision=result.revision,
            jobs=[pending.job_id for pending in batch],
            found=[records.id_in_key(key) for key in keys if key in result.reads],
            epoch=None if epoch is None else read_epoch(epoch)[0],
            took_s=round(self._last_write_s, 3),
        )
        if result.succeeded:
            self._log_cancelled(batch, result.revision)
        if result.succeeded and epoch is not None:
            self._announce(batch, read_epoch(epoch)[0], result.revision)
            self._add_to_table(batch, result.revision)
        elif not result.succeeded and not any(key in result.reads for key in keys):
            # Only the condition on the epoch failed: the mirror does not show the
            # newest leader yet. The next write has no condition on the epoch.
            self._check_epoch = False
        for key, pending in zip(keys, batch, strict=True):
            # An existing key holds the same job, whichever process wrote it.
            if (result.succeeded or key in result.reads) and not (
                pending.accepted.done()
            ):
                pending.accepted.set_result(None)

    def _log_cancelled(self, batch: list[_PendingJob], revision: int) -> None:
        """Log the stored jobs whose cancellation this process already knew."""
        for pending in batch:
            job = self._table.jobs.get(pending.job_id)
            if job is not None and job.cancelled:
                self._log.write(
                    "cancelled job stored",
                    job=pending.job_id,
                    cancel_revision=job.cancel_revision or None,
                    job_revision=revision,
                )

    def _on_rejected(self, batch: list[_PendingJob], error: BadRequest) -> None:
        """Write jobs one by one after the store rejected a write as invalid."""
        self._log.write("job write rejected", jobs=len(batch), why=error.message)
        for pending in batch:
            pending.alone = True
        if len(batch) == 1 and not batch[0].accepted.done():
            batch[0].accepted.set_exception(error)

    def _add_to_table(self, batch: list[_PendingJob], revision: int) -> None:
        """Add stored jobs to the table before the mirror delivers them.

        If this process leads, they are announced to it instead, which it may refuse.
        """
        if self._table.on_job is not None:
            return
        if len(self._stored_here) >= MAX_RECENT_JOBS:
            self._stored_here.clear()
        for pending in batch:
            key = records.JOB_PREFIX + pending.job_id
            item = KeyValue(key, pending.value, revision, revision)
            self._table.apply_changes([WatchEvent(key, item)])
            self._stored_here.add(pending.job_id)

    def _announce(self, batch: list[_PendingJob], epoch: int, revision: int) -> None:
        """Notify the leader of stored jobs before its watch shows them.

        The write was conditional on this epoch, so no later leader had been elected.
        Every later leader therefore knows that this one may have started the jobs.
        """
        leader = self._table.leader
        if leader is None or leader.epoch != epoch:
            return
        for pending in batch:
            request = AnnounceRequest(epoch, pending.job_id, pending.value, revision)
            task = asyncio.create_task(self._send_announcement(leader.name, request))
            self._announcements.add(task)
            task.add_done_callback(self._announcements.discard)

    async def _send_announcement(self, name: str, request: AnnounceRequest) -> None:
        if name == self._name:
            self.apply_announcement(request)
            return
        try:
            await self._relay.call_process(name, request)
        except FlamingowayError as exc:
            # The leader finds the job through its watch.
            self._log.write(
                "job announcement failed", job=request.job_id, why=exc.message
            )

    def apply_announcement(self, request: AnnounceRequest) -> None:
        """Add a job to the table that was stored under this process's leadership."""
        leader = self._table.leader
        if leader is None or (leader.name, leader.epoch) != (self._name, request.epoch):
            return
        key = records.JOB_PREFIX + request.job_id
        revision = request.revision
        item = KeyValue(key, request.value, revision, revision)
        with self._changing_table("announcement"):
            self._table.apply_changes([WatchEvent(key, item)])


def _cancel_label(outcome: str) -> str:
    """Return the label of the metric for the outcome of a cancellation."""
    if outcome in ("stored", "no such job"):
        return outcome
    return "already ended" if outcome.startswith("already ") else "not stored"


def _cancel_put(job_id: str) -> Put:
    record = CancelRecord(time.time())
    return Put(records.CANCEL_PREFIX + job_id, records.encode(record))


def _cancel_revision(error: FlamingowayError) -> int:
    """Return the revision of the cancellation that an error says is stored, or 0.

    The error may come from another process. One of an older build stores nothing if it
    finds no job, and names no revision.
    """
    revision = error.details.get("cancel_revision")
    return revision if isinstance(revision, int) and revision > 0 else 0


def _fail(pending: _PendingJob) -> None:
    if pending.uncertain:
        error: FlamingowayError = OutcomeUnknown(
            "the store did not answer", Code.WRITE_UNRESOLVED
        )
    else:
        error = Refused(
            "the store is unavailable",
            Code.STORE_UNAVAILABLE,
            retry_after=STORE_RETRY_AFTER_S,
        )
    pending.accepted.set_exception(error)
