"""Decisions of one shard owner: ties scheduler, group commit and workers together.

Everything here happens at once, without waiting; ``owner.py`` calls it from its
tasks.
"""

import asyncio
from collections.abc import Callable, Iterable

from absl import logging

from .commit import GroupCommitter
from .context import Context
from .core.effects import AckResult, Batch, Effect, Reply, StopTask
from .core.reports import Attempt
from .core.scheduler import Scheduler
from .errors import Fenced, Refused
from .fleet import Fleet, WorkerSession
from .model import JobSpec, WorkerInfo
from .observation import StartObserver
from .records import AnyRecord, JobAccepted
from .status import Code
from .vmlist import Vm
from .worker import LinkDown, LinkEvent, LinkFenced, ReportReceived

# Replies that speak of an earlier submission, whose commit may be the one in doubt.
EARLIER = frozenset({Code.ALREADY_ACCEPTED})
# Orders that each report of a worker calls for again; during an outage of the store
# the repetitions would pile up behind the commit.
REPEATED = (AckResult, StopTask)


class ShardController:
    """State of an owner between takeover and the end of its ownership.

    Args:
        context: Settings and clocks.
        scheduler: Decides; holds the ledger read at the takeover.
        fleet: Links to the workers.
        make_committer: Creates the committer, given the callback for effects.
        deposed_at: Returns when the former owners were proved gone, or ``None``.
        store_up: Tells whether the store seems to be reachable.
    """

    def __init__(
        self,
        context: Context,
        scheduler: Scheduler,
        fleet: Fleet,
        make_committer: Callable[[Callable[[list[Effect]], None]], GroupCommitter],
        deposed_at: Callable[[], float | None],
        store_up: Callable[[], bool],
    ):
        self._context = context
        self._scheduler = scheduler
        self._fleet = fleet
        self._committer = make_committer(self.carry_out)
        self._deposed_at = deposed_at
        self._store_up = store_up
        self._observer = StartObserver(context, fleet.shard, scheduler.ledger)
        self._shown: dict[str, tuple[WorkerInfo, bool]] = {}
        self._due: set[AckResult | StopTask] = set()
        self._dropped = False
        self.stopping = False
        self.wake = asyncio.Event()

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler; only to be read by others."""
        return self._scheduler

    @property
    def committer(self) -> GroupCommitter:
        """The group commit of the shard."""
        return self._committer

    @property
    def writable(self) -> bool:
        """Whether the store seems to take writes."""
        return self._store_up() and not self._committer.stalled

    @property
    def may_place(self) -> bool:
        """Whether queued tasks may be placed now."""
        # Without a VM list nothing is known of what could run where.
        return bool(self._shown) and self.writable and not self.stopping

    def submit(self, spec: JobSpec) -> asyncio.Future[Reply]:
        """Decide on a submission; the future gets the reply after the commit.

        Raises:
            Refused: If nothing durable can be accepted now; nothing is changed.
        """
        self._check_writable()
        ticket = self._ticket()
        self._scheduler.submit(
            spec, ticket, self._context.clock(), self._context.wall()
        )
        self.wake.set()
        return ticket

    def cancel(
        self, job_id: str, environment: str, member: str
    ) -> asyncio.Future[Reply]:
        """Cancel a job; the future gets the reply after the commit.

        Raises:
            Refused: If nothing durable can be changed now.
        """
        self._check_writable()
        ticket = self._ticket()
        now, wall = self._context.clock(), self._context.wall()
        self._scheduler.cancel(job_id, environment, member, ticket, now, wall)
        self.wake.set()
        return ticket

    def barrier(self) -> asyncio.Future[Reply]:
        """Return a future that is done when all decisions so far are durable."""
        ticket = self._ticket()
        self.collect()
        self._committer.add(Batch([], [Reply(ticket, Code.OK)]))
        return ticket

    def is_settled(self, job_id: str) -> bool:
        """Tell whether everything decided about a job is durable."""
        self.collect()
        pending = self._committer.pending_records()
        return all(job_of(record) != job_id for record in pending)

    def on_event(self, event: LinkEvent) -> None:
        """Take in an event of a worker link.

        Raises:
            Fenced: If the worker has a newer owner.
        """
        if isinstance(event, LinkFenced):
            raise Fenced(f"worker {event.worker_id} has seen a higher epoch")
        if isinstance(event, LinkDown):
            if self._fleet.on_link_down(event):
                self._show(self._fleet.expect(event.worker_id))
            return
        self._on_report(event)
        self.wake.set()

    def lacks_link(self, vms: Iterable[Vm]) -> bool:
        """Tell whether a worker of the list or one that holds tasks has no link."""
        sessions = self._fleet.sessions
        if any(vm.id not in sessions for vm in vms):
            return True
        return any(session.link is None for session in sessions.values())

    def on_vms(self, vms: Iterable[Vm]) -> None:
        """Attach to the workers of the list; the others get no new tasks."""
        listed = set()
        for vm in vms:
            listed.add(vm.id)
            session = self._fleet.attach(vm.worker_info, vm.state != "live")
            self._show(session)
        for worker_id, session in self._fleet.sessions.items():
            if worker_id not in listed:
                session.gone = True
                self._show(session)
        self.wake.set()

    def decide(self) -> None:
        """Place queued tasks and hand all decisions to the group commit."""
        if self._dropped:
            return
        if self.may_place:
            now = self._context.clock()
            self._scheduler.schedule(now, self._context.wall())
        self.collect()

    def collect(self) -> None:
        """Hand the scheduler's open batch to the group commit."""
        batch = self._scheduler.take_batch()
        effects = [effect for effect in batch.effects if self._is_new(effect)]
        self._fleet.note_decided(effects)
        self._committer.add(Batch(batch.records, effects))

    def check_workers(self) -> None:
        """Queue again the tasks of workers that are proved not to run them."""
        for worker_id in self._scheduler.ledger.workers_with_tasks():
            self._fleet.expect(worker_id)
        deposed_at = self._deposed_at()
        for worker_id in self._fleet.take_lost(deposed_at):
            self._lose(worker_id)
        for session in list(self._fleet.sessions.values()):
            if session.gone and session.lost:
                self._forget(session)
        self._observer.note_packing()

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out committed effects."""
        if self._dropped:
            return
        replies = [effect for effect in effects if isinstance(effect, Reply)]
        for reply in replies:
            _answer(reply)
        orders = [effect for effect in effects if not isinstance(effect, Reply)]
        self._due.difference_update(e for e in orders if isinstance(e, REPEATED))
        self._observer.note_starts(orders)
        self._fleet.carry_out(orders)

    def drop(self) -> None:
        """Give up all state; callers learn what is known of their requests."""
        if self._dropped:
            return
        self.collect()
        self._dropped = True
        self._observer.close()
        abandoned = self._committer.abandon()
        for effect in abandoned.unresolved:
            if isinstance(effect, Reply):
                _answer(_unresolved(effect))
        for effect in abandoned.discarded:
            if isinstance(effect, Reply):
                _answer(_discarded(effect))

    def _is_new(self, effect: Effect) -> bool:
        """Tell whether the same order does not wait for its commit already."""
        if not isinstance(effect, REPEATED):
            return True
        if effect in self._due:
            return False
        self._due.add(effect)
        return True

    def _on_report(self, event: ReportReceived) -> None:
        report = self._fleet.accept(event)
        if report is None or self.stopping:
            return
        session = self._fleet.expect(event.worker_id)
        self._show(session, event)
        now, wall = self._context.clock(), self._context.wall()
        self._scheduler.on_report(report, now, wall)
        ledger = self._scheduler.ledger
        placed = {
            Attempt(t.task_id, t.attempt) for t in ledger.placed_on(event.worker_id)
        }
        renewals = [a for a in event.report.running if a in placed]
        self._fleet.renew(event.worker_id, renewals)

    def _show(
        self, session: WorkerSession, event: ReportReceived | None = None
    ) -> None:
        """Tell the scheduler of a worker if something changed."""
        if session.info is None:
            return
        shown = self._shown.get(session.worker_id)
        info = session.info
        if event is not None:
            info = _with_capacity(info, event)
        elif shown is not None:
            info = shown[0]
        state = (info, session.schedulable)
        if state != shown:
            self._shown[session.worker_id] = state
            self._scheduler.set_worker(info, session.schedulable)

    def _lose(self, worker_id: str) -> None:
        count = self._scheduler.ledger.placed_count(worker_id)
        if count:
            logging.warning("worker %s: its %d tasks are lost", worker_id, count)
        now, wall = self._context.clock(), self._context.wall()
        self._scheduler.on_worker_lost(worker_id, now, wall)
        self.wake.set()

    def _forget(self, session: WorkerSession) -> None:
        if self._scheduler.ledger.placed_on(session.worker_id):
            return
        if self._shown.pop(session.worker_id, None) is not None:
            self._scheduler.remove_worker(session.worker_id)
        self._fleet.drop(session.worker_id)

    def _check_writable(self) -> None:
        if self._dropped:
            raise Refused(
                "the shard has another owner", Code.OWNER_CHANGED, retry_after=1
            )
        if self.stopping:
            raise Refused("this process is stopping", Code.STOPPING, retry_after=1)
        if not self.writable:
            raise Refused(
                "the store cannot be reached", Code.STORE_UNAVAILABLE, retry_after=5
            )

    def _ticket(self) -> asyncio.Future[Reply]:
        return asyncio.get_running_loop().create_future()


def job_of(record: AnyRecord) -> str:
    """Return the id of the job that a record is about."""
    if isinstance(record, JobAccepted):
        return record.spec.job_id
    task_id = getattr(record, "task_id", None)
    if task_id is not None:
        return task_id.rpartition("/")[0]
    return record.job_id


def _answer(reply: Reply) -> None:
    if isinstance(reply.ticket, asyncio.Future) and not reply.ticket.done():
        reply.ticket.set_result(reply)


def _unresolved(reply: Reply) -> Reply:
    message = "the commit is not confirmed; ask for the job by its id"
    return Reply(reply.ticket, Code.WRITE_UNRESOLVED, reply.job_id, message)


def _discarded(reply: Reply) -> Reply:
    if reply.code in EARLIER:
        return _unresolved(reply)
    message = "the shard moved to another process before the commit"
    return Reply(reply.ticket, Code.OWNER_CHANGED, reply.job_id, message)


def _with_capacity(info: WorkerInfo, event: ReportReceived) -> WorkerInfo:
    """Return the worker with the capacity that it reports itself."""
    return WorkerInfo(
        info.worker_id,
        info.address,
        info.region,
        info.zone,
        info.rack,
        event.report.capacity,
    )
