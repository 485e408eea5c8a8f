"""Requests of callers: accepting, showing and cancelling jobs.

Any process accepts a job by creating its key in the store, so acceptance needs no
scheduler. A job is refused only if its key was not and will not be written.
"""

import asyncio
import time
from collections.abc import Callable
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
from ..store import Compare, KeyValue, Put, Store, WatchEvent
from . import records
from .decisions import DecisionLog
from .messages import AnnounceRequest, CancelRequest, StateRequest, SubmitRequest
from .model import DesiredState, Queue, StepJobSpec, StepJobState
from .records import JobRecord
from .relay import Relay
from .session import read_epoch
from .table import JobTable, TableJob

# A transaction takes 32 entries; a job needs a condition and a write, and one more
# condition is the epoch.
JOBS_PER_WRITE = 15
# Without changes for this long the mirror may be behind; a busy cell has dozens a
# second.
QUIET_S = 0.4
# Time kept back from a caller's deadline for the way of the answer.
ANSWER_S = 0.3
# A failed write is repeated after this time, for as long as ``STORE_LOST_S``.
RETRY_S = 0.05
# Jobs accepted here that the mirror may not show yet; without this list a repeated
# request costs one more write, which finds the job.
MAX_REMEMBERED = 10_000
# Calls that fail for this long mean that the store turns this process away; a slow
# store answers late, but it answers.
STORE_LOST_S = 0.3
# A write that takes longer, and much longer than the one before, may never be
# answered; a slow store takes a quarter to half a second.
WRITE_SLOW_S = 0.4
WRITE_SLOW_FACTOR = 3.0
# Time after which a caller should return when the store is away: callers wait 3 s in
# all, and most outages leave room for a second try.
RETRY_AFTER_STORE_S = 1


@dataclass(slots=True)
class _Pending:
    """A job that waits for its write.

    Attributes:
        began: Time at which it came.
        failed: Whether the last write failed.
        uncertain: Whether a write of it was sent and not answered.
    """

    job_id: str
    value: bytes
    began: float
    deadline: float
    accepted: asyncio.Future
    failed: bool = False
    uncertain: bool = False

    def is_given_up(self, now: float) -> bool:
        """Return whether another process should be asked instead."""
        lost = self.failed and now - self.began >= STORE_LOST_S
        return lost or now >= self.deadline


class Intake:
    """Serves callers of one process.

    Args:
        store: The store.
        table: Mirror of the store.
        store_lost: Returns the seconds for which calls of the store have failed.
        store_age: Returns the seconds since the store was last heard.
        quiet: Returns the seconds since the mirror changed.
        relay: Has requests carried out by other processes.
        name: Name of this process.
        log: Decision log.
    """

    def __init__(
        self,
        store: Store,
        table: JobTable,
        store_lost: Callable[[], float],
        store_age: Callable[[], float],
        quiet: Callable[[], float],
        relay: Relay,
        name: str,
        log: DecisionLog,
    ):
        self._store = store
        self._table = table
        self._store_lost = store_lost
        self._store_age = store_age
        self._write_is_slow = False
        self._write_s = 0.0
        self._failed_at = float("-inf")
        self._quiet = quiet
        self._relay = relay
        self._name = name
        self._announcing: set[asyncio.Task] = set()
        self._log = log
        self._desired: DesiredState | None = None
        self._guarded = True
        self._pending: list[_Pending] = []
        self._writers: set[asyncio.Task] = set()
        self._accepted_here: set[str] = set()

    @property
    def desired(self) -> DesiredState | None:
        """The configuration in force, ``None`` before the first."""
        return self._desired

    def set_desired(self, desired: DesiredState) -> None:
        """Put a configuration into force."""
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
        self, spec: StepJobSpec, timeout_s: float, relay: bool = True
    ) -> None:
        """Accept a job; returns once it is stored.

        Args:
            spec: The job.
            timeout_s: How long the caller waits for the answer.
            relay: Whether another process may be asked to store it.

        Raises:
            Refused: The job was not stored and will not be.
            OutcomeUnknown: It may be stored.
        """
        if self._table.find(spec.job_id) or spec.job_id in self._accepted_here:
            self._log.write("job known", job=spec.job_id, queue=spec.queue)
            return
        uncertain = False
        try:
            await self._store_job(spec, timeout_s)
        except (Refused, OutcomeUnknown) as exc:
            uncertain = isinstance(exc, OutcomeUnknown)
            if not relay:
                raise
            await self._relay_job(spec, timeout_s, uncertain)
        if len(self._accepted_here) >= MAX_REMEMBERED:
            self._accepted_here.clear()
        self._accepted_here.add(spec.job_id)
        self._log.write(
            "job accepted",
            job=spec.job_id,
            queue=spec.queue,
            version=self._desired.version if self._desired else 0,
        )

    async def _relay_job(
        self, spec: StepJobSpec, timeout_s: float, uncertain: bool
    ) -> None:
        """Let another process store a job that may or may not be stored."""
        try:
            await self._relay.call(SubmitRequest(spec, timeout_s))
        except (Refused, OutcomeUnknown) as exc:
            if uncertain and isinstance(exc, Refused):
                exc = OutcomeUnknown(exc.message, Code.WRITE_UNRESOLVED)
            exc.details.setdefault("retry_after", RETRY_AFTER_STORE_S)
            self._log.write(
                "job not accepted",
                job=spec.job_id,
                code=exc.code,
                store_lost_s=round(self._store_lost(), 2),
                why=exc.message,
            )
            raise exc from None

    async def _store_job(self, spec: StepJobSpec, timeout_s: float) -> None:
        if self._store_is_away():
            raise Refused("the store is away", Code.STORE_UNAVAILABLE)
        value = records.encode(JobRecord(spec, time.time()))
        loop = asyncio.get_running_loop()
        deadline = loop.time() + max(0.1, timeout_s - ANSWER_S)
        pending = _Pending(
            spec.job_id, value, loop.time(), deadline, loop.create_future()
        )
        self._pending.append(pending)
        self._start_writer()
        await pending.accepted

    async def state(self, job_id: str, relay: bool = True) -> StepJobState:
        """Return the state of a job.

        Raises:
            BadRequest: There is no such job; its code is ``NOT_FOUND``.
            Refused: The store is needed to tell and does not answer.
        """
        job = self._table.find(job_id)
        if job is not None and job.state.final:
            return job.shown_state
        lost = self._store_is_away()
        if lost and relay:
            try:
                return (await self._relay.call(StateRequest(job_id))).state
            except (Refused, OutcomeUnknown):
                # No process knows more; the newest known state is the best answer.
                pass
        if job is not None and not (lost and not relay):
            if relay and self._quiet() > QUIET_S:
                return await self._ask_leader(job)
            return job.shown_state
        await self._require(job_id)
        return StepJobState.QUEUED

    async def _ask_leader(self, job: TableJob) -> StepJobState:
        """Return the state that the leader knows, or the known one."""
        leader = self._table.leader
        if leader is None or leader.name == self._name:
            return job.shown_state
        try:
            reply = await self._relay.ask(leader.name, StateRequest(job.job_id))
        except FlamingowayError as exc:
            self._log.write(
                "leader not asked", job=job.job_id, leader=leader.name, why=exc.message
            )
            return job.shown_state
        return reply.state

    async def cancel(self, job_id: str, timeout_s: float, relay: bool = True) -> None:
        """Cancel a job; returns once that is stored.

        Raises:
            BadRequest: There is no such job; its code is ``NOT_FOUND``.
            OutcomeUnknown: The cancelling may or may not be stored.
            Refused: It is not stored.
        """
        job = self._table.find(job_id)
        if job is not None and (job.state.final or job.cancelled):
            return
        try:
            await self._store_cancel(job_id, job is None, timeout_s)
        except (Refused, OutcomeUnknown) as exc:
            if not relay:
                raise
            self._log.write("cancelling not stored here", job=job_id, why=exc.message)
            await self._relay.call(CancelRequest(job_id, timeout_s))
        self._log.write("job cancelled", job=job_id)

    async def _store_cancel(self, job_id: str, unknown: bool, timeout_s: float) -> None:
        if self._store_is_away():
            raise Refused("the store is away", Code.STORE_UNAVAILABLE, retry_after=1)
        if unknown:
            await self._require(job_id)
        loop = asyncio.get_running_loop()
        began = loop.time()
        patience_s = min(STORE_LOST_S, timeout_s - ANSWER_S)
        while True:
            try:
                await self._store.txn([], [Put(records.CANCEL_PREFIX + job_id, b"1")])
                return
            except StoreOutcomeUnknown as exc:
                error: FlamingowayError = OutcomeUnknown(exc.message, exc.code)
            except StoreUnavailable as exc:
                error = Refused(exc.message, exc.code, retry_after=1)
            if loop.time() - began >= patience_s:
                raise error
            await asyncio.sleep(RETRY_S)

    def waiting(self, queue: Queue) -> int:
        """Return the number of jobs of a queue for which no task has started."""
        return self._table.waiting(queue.name)

    def _store_is_away(self) -> bool:
        """Return whether a call of the store would probably fail."""
        now = asyncio.get_running_loop().time()
        if self._store_lost() > STORE_LOST_S:
            return True
        return self._write_is_slow or self._store_age() > now - self._failed_at

    async def _require(self, job_id: str) -> None:
        """Return if the store has a job that the mirror does not show yet."""
        try:
            item = await self._store.get(records.JOB_PREFIX + job_id)
        except StoreUnavailable as exc:
            raise Refused(
                f"the job is not known here: {exc.message}",
                Code.STORE_UNAVAILABLE,
                retry_after=1,
            ) from None
        if item is None:
            raise BadRequest("no such job", Code.NOT_FOUND)

    def _start_writer(self) -> None:
        # One writer at a time lets jobs that arrive meanwhile share the next write.
        if not self._writers:
            task = asyncio.create_task(self._write_all())
            self._writers.add(task)
            task.add_done_callback(self._writers.discard)

    async def _write_all(self) -> None:
        loop = asyncio.get_running_loop()
        while self._pending:
            batch = self._pending[:JOBS_PER_WRITE]
            write = asyncio.create_task(self._write(batch))
            limit_s = max(WRITE_SLOW_S, WRITE_SLOW_FACTOR * self._write_s)
            await asyncio.wait({write}, timeout=limit_s)
            if not write.done():
                self._refuse_unsent(batch)
            await write
            self._write_is_slow = False
            now = loop.time()
            for pending in batch:
                if not pending.accepted.done() and pending.is_given_up(now):
                    _fail(pending)
            self._pending = [p for p in self._pending if not p.accepted.done()]

    def _refuse_unsent(self, batch: list[_Pending]) -> None:
        """Refuse jobs that wait behind a write that is not answered."""
        self._write_is_slow = True
        for pending in self._pending:
            if pending not in batch and not pending.accepted.done():
                _fail(pending)

    async def _write(self, batch: list[_Pending]) -> None:
        keys = [records.JOB_PREFIX + pending.job_id for pending in batch]
        compares = [Compare(key, "mod_revision", 0) for key in keys]
        epoch = self._table.epoch_item if self._guarded else None
        self._guarded = True
        if epoch is not None:
            compares.append(
                Compare(records.EPOCH_KEY, "mod_revision", epoch.mod_revision)
            )
        puts = [Put(key, p.value) for key, p in zip(keys, batch, strict=True)]
        began = asyncio.get_running_loop().time()
        try:
            result = await self._store.txn(compares, puts, [c.key for c in compares])
        except StoreOutcomeUnknown:
            for pending in batch:
                pending.failed = pending.uncertain = True
            self._failed_at = asyncio.get_running_loop().time()
            await asyncio.sleep(RETRY_S)
            return
        except (StoreUnavailable, BadRequest) as exc:
            for pending in batch:
                pending.failed = True
            self._failed_at = asyncio.get_running_loop().time()
            self._log.write("job write refused", jobs=len(batch), why=exc.message)
            await asyncio.sleep(RETRY_S)
            return
        self._write_s = asyncio.get_running_loop().time() - began
        if result.succeeded and epoch is not None:
            self._announce(batch, read_epoch(epoch)[0], result.revision)
        elif not result.succeeded and not any(key in result.reads for key in keys):
            # Only the epoch differs: a leader was elected that is not known here.
            self._guarded = False
        for key, pending in zip(keys, batch, strict=True):
            # A key that exists holds the same job, whoever wrote it.
            if (result.succeeded or key in result.reads) and not (
                pending.accepted.done()
            ):
                pending.accepted.set_result(None)

    def _announce(self, batch: list[_Pending], epoch: int, revision: int) -> None:
        """Tell the leader of stored jobs before its watch does.

        The write held only while no later leader was elected, so every later one
        knows that this leader may have started them.
        """
        leader = self._table.leader
        if leader is None or leader.epoch != epoch:
            return
        for pending in batch:
            request = AnnounceRequest(epoch, pending.job_id, pending.value, revision)
            task = asyncio.create_task(self._send_announcement(leader.name, request))
            self._announcing.add(task)
            task.add_done_callback(self._announcing.discard)

    async def _send_announcement(self, name: str, request: AnnounceRequest) -> None:
        if name == self._name:
            self.take_announcement(request)
            return
        try:
            await self._relay.ask(name, request)
        except FlamingowayError as exc:
            # The leader's watch brings the job.
            self._log.write("job not announced", job=request.job_id, why=exc.message)

    def take_announcement(self, request: AnnounceRequest) -> None:
        """Take in a job that was stored under this process's leadership."""
        leader = self._table.leader
        if leader is None or (leader.name, leader.epoch) != (self._name, request.epoch):
            return
        key = records.JOB_PREFIX + request.job_id
        revision = request.revision
        item = KeyValue(key, request.value, revision, revision)
        self._table.change([WatchEvent(key, item)])


def _fail(pending: _Pending) -> None:
    if pending.uncertain:
        error: FlamingowayError = OutcomeUnknown(
            "the store did not answer", Code.WRITE_UNRESOLVED
        )
    else:
        error = Refused(
            "the store is away", Code.STORE_UNAVAILABLE, retry_after=RETRY_AFTER_STORE_S
        )
    pending.accepted.set_exception(error)
