"""The workers of one shard as its owner sees them.

Keeps a link to each worker, sends commands, renews leases, and completes reports so
that a start in flight is not mistaken for a lost attempt. Nothing here waits or blocks;
the owner calls it with events and times.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .context import Context
from .core.effects import AckResult, Effect, StartTask, StopTask
from .core.fencing import LeaseTerms, WorkerLease
from .core.reports import Attempt, WorkerReport
from .model import WorkerInfo
from .worker import LinkDown, LinkEvent, ReportReceived, WorkerCommand, WorkerLink

# Numbers of the stream and the command that carried a start; ``None`` if not sent yet.
SentPosition = tuple[int, int] | None


@dataclass(slots=True)
class WorkerSession:
    """State of one worker as its owner knows it.

    Attributes:
        info: Last description in the VM list; ``None`` if it was never listed.
        leaving: Whether the VM list says that the machine is leaving.
        unlisted: Whether the machine is missing from the VM list, or its id is listed
            with another address.
        lost: Whether the worker is out of contact and certain to run no tasks.
        stream: Number of the current stream; 0 if there is none.
        last_reporting_stream: Number of the newest stream that delivered a report.
        report_seq: Number of the last report.
        received_at: Clock time at which the last report arrived.
        unconfirmed: Starts that no report reflects yet.
        starts: Committed starts that are not sent yet.
        stops: Stops that are not sent yet.
        acks: Acknowledgements of results that are not sent yet.
    """

    worker_id: str
    lease: WorkerLease
    info: WorkerInfo | None = None
    leaving: bool = False
    unlisted: bool = True
    lost: bool = False
    link: WorkerLink | None = None
    task: asyncio.Task | None = None
    stream: int = 0
    last_reporting_stream: int = 0
    report_seq: int = 0
    received_at: float = 0.0
    unconfirmed: dict[Attempt, SentPosition] = field(default_factory=dict)
    starts: dict[Attempt, StartTask] = field(default_factory=dict)
    stops: dict[Attempt, StopTask] = field(default_factory=dict)
    acks: dict[Attempt, AckResult] = field(default_factory=dict)

    @property
    def schedulable(self) -> bool:
        """Whether new tasks may be placed on the worker."""
        return self.stream > 0 and not self.leaving and not self.unlisted


class Fleet:
    """Sessions of all workers of a shard.

    Args:
        context: Settings and clocks.
        shard: Name of the shard.
        epoch: The owner's epoch.
        events: Queue that the links write to.
        make_link: Class of the links, from the registry.
        may_grant_leases: Tells whether this owner may still grant and renew task
            leases.
        may_start: Tells whether this owner may send starts.
        taken_over_at: Monotonic time of the takeover, in seconds.
    """

    def __init__(
        self,
        context: Context,
        shard: str,
        epoch: int,
        events: asyncio.Queue[LinkEvent],
        make_link: Callable[..., WorkerLink],
        may_grant_leases: Callable[[], bool],
        may_start: Callable[[], bool],
        taken_over_at: float,
    ):
        self._context = context
        self._shard = shard
        self._epoch = epoch
        self._events = events
        self._make_link = make_link
        self._may_grant_leases = may_grant_leases
        self._may_start = may_start
        self._taken_over_at = taken_over_at
        limits = context.settings.limits
        self._terms = LeaseTerms(
            limits.task_lease_s, limits.clock_drift, limits.lease_horizon_s
        )
        self._sessions: dict[str, WorkerSession] = {}
        self._stream_numbers = itertools.count(1)
        self._closed = False
        # Ids of workers whose starts wait for a confirmation of the epoch.
        self._withheld: set[str] = set()

    @property
    def shard(self) -> str:
        """Name of the shard."""
        return self._shard

    @property
    def sessions(self) -> dict[str, WorkerSession]:
        """Sessions by worker id."""
        return self._sessions

    @property
    def attached_count(self) -> int:
        """Number of workers with a current stream."""
        return sum(session.stream > 0 for session in self._sessions.values())

    def get_or_create(self, worker_id: str) -> WorkerSession:
        """Return a worker's session; create one if the worker is not known yet."""
        session = self._sessions.get(worker_id)
        if session is None:
            session = WorkerSession(worker_id, WorkerLease(self._taken_over_at))
            self._sessions[worker_id] = session
        return session

    def attach(self, info: WorkerInfo, leaving: bool) -> WorkerSession:
        """Ensure that there is a link to a worker of the VM list."""
        session = self.get_or_create(info.worker_id)
        session.leaving = leaving
        if session.info is not None and session.info.address != info.address:
            # Another machine has taken over the id. The first one may still run tasks,
            # so the new one is attached to only after their leases have expired.
            self._detach(session)
            session.unlisted = True
            return session
        session.unlisted = False
        session.info = info
        if session.link is None and not self._closed:
            session.link = self._make_link(
                self._context,
                info,
                self._shard,
                self._epoch,
                self._events,
                self._stream_numbers,
            )
            session.task = asyncio.create_task(session.link.run())
        return session

    def drop(self, worker_id: str) -> None:
        """Remove the session of a worker that holds no tasks."""
        session = self._sessions.pop(worker_id, None)
        if session is not None:
            self._detach(session)

    def accept_report(self, event: ReportReceived) -> WorkerReport | None:
        """Process a report.

        Starts that the report cannot reflect yet are added to ``running``, so that an
        attempt missing from it is certain not to run.

        Returns:
            The completed report, or ``None`` if it came from an older stream or the
            worker has no link.
        """
        session = self._sessions.get(event.worker_id)
        if session is None or session.link is None:
            return None
        if event.stream < session.last_reporting_stream:
            return None
        session.lost = False
        session.stream = event.stream
        session.last_reporting_stream = event.stream
        session.report_seq = event.report.seq
        session.received_at = event.received_at
        session.lease.note_report(event.received_at)
        _remove_covered_starts(session, event)
        running = list(event.report.running)
        known = set(running)
        known.update(Attempt(f.task_id, f.attempt) for f in event.report.finished)
        running.extend(a for a in session.unconfirmed if a not in known)
        return dataclasses.replace(event.report, running=running, acked_starts=True)

    def on_link_down(self, event: LinkDown) -> bool:
        """Record that a stream ended; return whether it was the current one."""
        session = self._sessions.get(event.worker_id)
        if session is None or event.stream != session.stream:
            return False
        session.stream = 0
        return True

    def note_decided(self, effects: Iterable[Effect]) -> None:
        """Record starts that are decided but not committed yet."""
        for effect in effects:
            if isinstance(effect, StartTask):
                session = self.get_or_create(effect.worker_id)
                session.unconfirmed[Attempt(effect.task_id, effect.attempt)] = None

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Send committed effects to their workers, or hold them until that works."""
        receivers = {}
        for effect in effects:
            session = self._sessions.get(effect.worker_id)
            if session is not None:
                _enqueue(session, effect)
                receivers[effect.worker_id] = session
        for session in receivers.values():
            self._flush(session, [])

    def send_withheld(self) -> None:
        """Send the starts that waited for a confirmation of the epoch."""
        withheld, self._withheld = self._withheld, set()
        for worker_id in withheld:
            self.renew(worker_id, [])

    def renew(self, worker_id: str, attempts: list[Attempt]) -> None:
        """Renew leases and send pending commands; acknowledge the last report."""
        session = self._sessions.get(worker_id)
        if session is not None:
            self._flush(session, attempts)

    def mark_lost(self, deposed_at: float | None) -> list[str]:
        """Mark and return the workers that are certain to run no tasks any more.

        A worker is returned once for each loss of contact. Its unconfirmed and unsent
        starts and its unsent stops are dropped.

        Args:
            deposed_at: Clock time at which all former owners were confirmed dead or
                deposed, or ``None``.
        """
        now = self._context.clock()
        lost = []
        for session in self._sessions.values():
            if session.stream or session.lost:
                continue
            if now >= session.lease.safe_at(self._terms, deposed_at):
                session.lost = True
                for pending in (session.unconfirmed, session.starts, session.stops):
                    pending.clear()
                lost.append(session.worker_id)
        return lost

    async def close(self) -> None:
        """Stop sending and end all links."""
        self._closed = True
        tasks = [s.task for s in self._sessions.values() if s.task is not None]
        for session in self._sessions.values():
            self._detach(session)
        await asyncio.gather(*tasks, return_exceptions=True)

    def _detach(self, session: WorkerSession) -> None:
        session.stream = 0
        session.link = None
        if session.task is not None:
            session.task.cancel()

    def _flush(self, session: WorkerSession, renewals: list[Attempt]) -> None:
        if self._closed or session.link is None or not session.stream:
            return
        can_lease = self._can_lease(session)
        can_start = can_lease and self._may_start()
        if session.starts and can_lease and not can_start:
            self._withheld.add(session.worker_id)
        command = WorkerCommand(
            session.report_seq,
            self._terms.lease_s,
            starts=list(session.starts.values()) if can_start else [],
            stops=list(session.stops.values()),
            acks=list(session.acks.values()),
            renewals=renewals if can_lease else [],
        )
        if command.empty:
            return
        command_seq = session.link.send(command, session.stream)
        if command_seq:
            self._note_sent(session, command, command_seq)

    def _can_lease(self, session: WorkerSession) -> bool:
        # The worker refuses starts in a command that acknowledges a report older than
        # the lease length, so they are held until the next report.
        age_s = self._context.clock() - session.received_at
        return age_s < self._terms.lease_s and self._may_grant_leases()

    def _note_sent(
        self, session: WorkerSession, command: WorkerCommand, command_seq: int
    ) -> None:
        for start in command.starts:
            attempt = Attempt(start.task_id, start.attempt)
            session.unconfirmed[attempt] = (session.stream, command_seq)
            del session.starts[attempt]
        session.stops.clear()
        session.acks.clear()
        if command.starts or command.renewals:
            session.lease.note_ack(session.received_at)


def _remove_covered_starts(session: WorkerSession, event: ReportReceived) -> None:
    """Drop the starts that a report reflects from the unconfirmed ones.

    A worker handles no command of an older stream once a new one has begun, so the
    first report of a stream reflects all starts sent on older ones.
    """
    position = (event.stream, event.command_seq)
    covered = [
        attempt
        for attempt, sent in session.unconfirmed.items()
        if sent is not None and sent <= position
    ]
    for attempt in covered:
        del session.unconfirmed[attempt]


def _enqueue(session: WorkerSession, effect: StartTask | StopTask | AckResult) -> None:
    attempt = Attempt(effect.task_id, effect.attempt)
    if isinstance(effect, StartTask):
        # An attempt that was declared lost before its commit must not be started.
        if attempt in session.unconfirmed:
            session.starts[attempt] = effect
    elif isinstance(effect, AckResult):
        session.acks[attempt] = effect
    elif attempt in session.starts:
        # The start is not sent yet, so it is only dropped; the attempt is missing from
        # the next report and thereby known not to run.
        del session.starts[attempt]
        del session.unconfirmed[attempt]
    else:
        session.stops[attempt] = effect
