"""Controller of one shard: connects the scheduler, group commit and workers.

Nothing here waits or blocks; ``owner.py`` calls it from its tasks.
"""

import asyncio
import dataclasses
from collections.abc import Callable, Collection, Iterable

from absl import logging

from .commit import GroupCommitter
from .context import Context
from .core.effects import AckResult, Batch, Effect, Reply, StopTask
from .core.reports import Attempt
from .core.scheduler import Scheduler
from .errors import Fenced, Refused
from .fleet import Fleet, WorkerSession
from .model import JobSpec, TaskState, WorkerInfo
from .observation import ShardObserver
from .records import AnyRecord, JobAccepted, TaskStopping
from .status import Code
from .vmlist import Vm
from .worker import LinkDown, LinkEvent, LinkFenced, ReportReceived

# Replies with these codes refer to an earlier submission, whose own commit may still be
# unconfirmed.
CODES_OF_EARLIER_SUBMISSION = frozenset({Code.ALREADY_ACCEPTED})
# Each report of a worker may cause these effects again. During a store outage the
# duplicates would pile up in the commit queue.
DEDUPLICATED_EFFECTS = (AckResult, StopTask)


class ShardController:
    """Working state of a shard owner, from takeover until the shard is given up.

    Args:
        context: Settings and clocks.
        scheduler: Makes the decisions; holds the ledger read at the takeover.
        fleet: Links to the workers.
        make_committer: Creates the committer, given the callback for effects.
        deposed_at: Returns the clock time at which all former owners were confirmed
            dead or deposed, or ``None``.
        store_up: Tells whether the store seems reachable.
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
        self._observer = ShardObserver(context, fleet.shard, scheduler.ledger)
        self._known_workers: dict[str, tuple[WorkerInfo, bool]] = {}
        self._awaiting_commit: set[AckResult | StopTask] = set()
        self._relinquished = False
        self.stopping = False
        self.wake = asyncio.Event()

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler; callers must not change it."""
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
    def can_place(self) -> bool:
        """Whether queued tasks may be placed now."""
        # No worker is known before the first VM list.
        return bool(self._known_workers) and self.writable and not self.stopping

    def submit(self, spec: JobSpec) -> asyncio.Future[Reply]:
        """Decide on a submission; the future gets the reply after the commit.

        Raises:
            Refused: If nothing can be committed now; nothing is changed.
        """
        # The first submission of a known job may still be committed, so that a repeated
        # one must not be answered with "not run".
        if self._scheduler.view(spec.job_id) is None:
            self._check_writable()
        else:
            self._check_held()
        future = self._new_future()
        self._scheduler.submit(
            spec, future, self._context.clock(), self._context.wall_clock()
        )
        self.wake.set()
        return future

    def cancel(
        self, job_id: str, environment: str, member: str
    ) -> asyncio.Future[Reply]:
        """Cancel a job; the future gets the reply after the commit.

        Raises:
            Refused: If nothing can be committed now; nothing is changed.
        """
        self._check_writable()
        future = self._new_future()
        now, wall = self._context.clock(), self._context.wall_clock()
        self._scheduler.cancel(job_id, environment, member, future, now, wall)
        self.wake.set()
        return future

    def barrier(self) -> asyncio.Future[Reply]:
        """Return a future that is done when all decisions so far are durable."""
        future = self._new_future()
        self.collect()
        self._committer.add(Batch([], [Reply(future, Code.OK)]))
        return future

    def are_durable(self, job_ids: Collection[str]) -> bool:
        """Tell whether all decisions about some jobs are durable."""
        self.collect()
        pending = {job_of(record) for record in self._committer.pending_records()}
        return pending.isdisjoint(job_ids)

    def on_link_event(self, event: LinkEvent) -> None:
        """Handle an event of a worker link.

        Raises:
            Fenced: If the worker has seen a newer owner's epoch.
        """
        if isinstance(event, LinkFenced):
            raise Fenced(f"worker {event.worker_id} has seen a higher epoch")
        if isinstance(event, LinkDown):
            if self._fleet.on_link_down(event):
                self._update_worker(self._fleet.get_or_create(event.worker_id))
            return
        self._on_report(event)
        self.wake.set()

    def has_missing_link(self, vms: Iterable[Vm]) -> bool:
        """Tell whether a listed worker, or another one with a session, has no link."""
        sessions = self._fleet.sessions
        if any(vm.id not in sessions for vm in vms):
            return True
        return any(session.link is None for session in sessions.values())

    def on_vm_list(self, vms: Iterable[Vm]) -> None:
        """Attach to the listed workers; unlisted ones get no new tasks."""
        listed = set()
        for vm in vms:
            listed.add(vm.id)
            session = self._fleet.attach(vm.worker_info, vm.state != "live")
            self._update_worker(session)
        for worker_id, session in self._fleet.sessions.items():
            if worker_id not in listed:
                session.unlisted = True
                self._update_worker(session)
        self.wake.set()

    def decide(self) -> None:
        """Place queued tasks and pass all decisions to the group commit."""
        if self._relinquished:
            return
        if self.can_place:
            now = self._context.clock()
            self._scheduler.schedule(now, self._context.wall_clock())
        self.collect()

    def collect(self) -> None:
        """Pass the scheduler's open batch to the group commit.

        Repeated stops whose decision is durable do not wait for a commit. Otherwise a
        cancelled task whose first stop was lost would run on during a store outage.
        """
        batch = self._scheduler.take_batch()
        decided = {
            Attempt(record.task_id, record.attempt)
            for record in batch.records
            if isinstance(record, TaskStopping)
        }
        effects, repeated = [], []
        for effect in batch.effects:
            if self._is_durable_stop(effect, decided):
                repeated.append(effect)
            elif self._add_if_new(effect):
                effects.append(effect)
        self._fleet.note_decided(effects)
        self._committer.add(Batch(batch.records, effects))
        self._fleet.carry_out(repeated)

    def check_workers(self) -> None:
        """Requeue the tasks of workers on which none can be running any more.

        Also removes unlisted workers that hold no tasks, and updates the gauges.
        """
        for worker_id in self._scheduler.ledger.workers_with_tasks():
            self._fleet.get_or_create(worker_id)
        deposed_at = self._deposed_at()
        for worker_id in self._fleet.mark_lost(deposed_at):
            self._on_worker_lost(worker_id)
        for session in list(self._fleet.sessions.values()):
            if session.unlisted and session.lost:
                self._remove_unlisted(session)
        self._observer.update_packing()

    def carry_out(self, effects: list[Effect]) -> None:
        """Carry out committed effects."""
        if self._relinquished:
            return
        replies = [effect for effect in effects if isinstance(effect, Reply)]
        for reply in replies:
            _deliver(reply)
        commands = [effect for effect in effects if not isinstance(effect, Reply)]
        self._awaiting_commit.difference_update(
            e for e in commands if isinstance(e, DEDUPLICATED_EFFECTS)
        )
        self._observer.note_starts(commands)
        self._fleet.carry_out(commands)

    def relinquish(self) -> None:
        """Give up the shard, and answer pending requests with what is known of them."""
        if self._relinquished:
            return
        self.collect()
        self._relinquished = True
        self._observer.close()
        abandoned = self._committer.abandon()
        for effect in abandoned.unresolved:
            if isinstance(effect, Reply):
                _deliver(_unresolved_reply(effect))
        for effect in abandoned.discarded:
            if isinstance(effect, Reply):
                _deliver(_discarded_reply(effect))

    def _is_durable_stop(self, effect: Effect, decided: set[Attempt]) -> bool:
        """Tell whether an effect repeats a stop that is committed.

        Args:
            effect: Effect of the open batch.
            decided: Attempts that the open batch decides to stop.
        """
        if not isinstance(effect, StopTask):
            return False
        task = self._scheduler.ledger.tasks.get(effect.task_id)
        if task is None or task.state is not TaskState.STOPPING:
            return False
        if (task.worker_id, task.attempt) != (effect.worker_id, effect.attempt):
            return False
        first_stops = {
            dataclasses.replace(effect, checkpoint=checkpoint)
            for checkpoint in (False, True)
        }
        is_decided = Attempt(effect.task_id, effect.attempt) in decided
        return not is_decided and self._awaiting_commit.isdisjoint(first_stops)

    def _add_if_new(self, effect: Effect) -> bool:
        """Tell whether an effect is not a duplicate of one that awaits its commit."""
        if not isinstance(effect, DEDUPLICATED_EFFECTS):
            return True
        if effect in self._awaiting_commit:
            return False
        self._awaiting_commit.add(effect)
        return True

    def _on_report(self, event: ReportReceived) -> None:
        report = self._fleet.accept_report(event)
        if report is None or self.stopping:
            return
        session = self._fleet.get_or_create(event.worker_id)
        self._update_worker(session, event)
        now, wall = self._context.clock(), self._context.wall_clock()
        self._scheduler.on_report(report, now, wall)
        ledger = self._scheduler.ledger
        placed = {
            Attempt(t.task_id, t.attempt) for t in ledger.placed_on(event.worker_id)
        }
        running = [a for a in event.report.running if a in placed]
        self._fleet.renew(event.worker_id, running)

    def _update_worker(
        self, session: WorkerSession, event: ReportReceived | None = None
    ) -> None:
        """Pass a worker to the scheduler if its description or state has changed.

        Without ``event`` the last known description is kept, because it holds the
        capacity that the worker reported.
        """
        if session.info is None:
            return
        known = self._known_workers.get(session.worker_id)
        info = session.info
        if event is not None:
            info = _with_capacity(info, event)
        elif known is not None:
            info = known[0]
        state = (info, session.schedulable)
        if state != known:
            self._known_workers[session.worker_id] = state
            self._scheduler.set_worker(info, session.schedulable)

    def _on_worker_lost(self, worker_id: str) -> None:
        count = self._scheduler.ledger.placed_count(worker_id)
        if count:
            logging.warning("worker %s is lost with %d tasks", worker_id, count)
        now, wall = self._context.clock(), self._context.wall_clock()
        self._scheduler.on_worker_lost(worker_id, now, wall)
        self.wake.set()

    def _remove_unlisted(self, session: WorkerSession) -> None:
        if self._scheduler.ledger.placed_on(session.worker_id):
            return
        if self._known_workers.pop(session.worker_id, None) is not None:
            self._scheduler.remove_worker(session.worker_id)
        self._fleet.drop(session.worker_id)

    def _check_held(self) -> None:
        if self._relinquished:
            raise Refused(
                "the shard has another owner", Code.OWNER_CHANGED, retry_after=1
            )

    def _check_writable(self) -> None:
        self._check_held()
        if self.stopping:
            raise Refused("this process is stopping", Code.STOPPING, retry_after=1)
        if not self.writable:
            raise Refused(
                "the store cannot be reached", Code.STORE_UNAVAILABLE, retry_after=5
            )

    def _new_future(self) -> asyncio.Future[Reply]:
        return asyncio.get_running_loop().create_future()


def job_of(record: AnyRecord) -> str:
    """Return the id of the job that a record is about."""
    if isinstance(record, JobAccepted):
        return record.spec.job_id
    task_id = getattr(record, "task_id", None)
    if task_id is not None:
        return task_id.rpartition("/")[0]
    return record.job_id


def _deliver(reply: Reply) -> None:
    if isinstance(reply.waiter, asyncio.Future) and not reply.waiter.done():
        reply.waiter.set_result(reply)


def _unresolved_reply(reply: Reply) -> Reply:
    message = "the commit is not confirmed; ask for the job by its id"
    return Reply(reply.waiter, Code.WRITE_UNRESOLVED, reply.job_id, message)


def _discarded_reply(reply: Reply) -> Reply:
    if reply.code in CODES_OF_EARLIER_SUBMISSION:
        return _unresolved_reply(reply)
    message = "the shard moved to another process before the commit"
    return Reply(reply.waiter, Code.OWNER_CHANGED, reply.job_id, message)


def _with_capacity(info: WorkerInfo, event: ReportReceived) -> WorkerInfo:
    """Return ``info`` with the capacity that the worker reported."""
    return WorkerInfo(
        info.worker_id,
        info.address,
        info.region,
        info.zone,
        info.rack,
        event.report.capacity,
    )
