"""Runs all orders of a few messages about one job on the own interface.

Real owners, routers, schedulers and logs of three processes run in virtual time against
fakes of the store, the worker and the network. Each order starts from scratch.
"""

import asyncio
import contextlib
import functools
import random
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from unittest import mock

import msgspec

from flamingoway import predecessor, snapshotter
from flamingoway.context import Context
from flamingoway.core import retention
from flamingoway.core.effects import Reply
from flamingoway.core.withdrawals import RETENTION_S
from flamingoway.errors import (
    FlamingowayError,
    OutcomeUnknown,
    StoreOutcomeUnknown,
)
from flamingoway.jobs import JobRouter, job_id_of
from flamingoway.messages import (
    CancelJob,
    Depose,
    FormerOwner,
    GetJob,
    OwnerInfo,
    SubmitJob,
)
from flamingoway.model import Resources
from flamingoway.ownerservice import OwnerService
from flamingoway.ownership import Acquisition, encode_owner
from flamingoway.records import JobAccepted, JobRemoved, decode_group
from flamingoway.settings import parse_settings
from flamingoway.status import Code
from flamingoway.store import Put
from flamingoway.store.keys import Keys, prefix_end
from flamingoway.vmlist import Vm
from flamingoway.worker import (
    LinkDown,
    LinkFenced,
    ReportReceived,
    from_report,
    to_command,
)
from standins import kv
from standins.memory import MemoryStore
from standins.worker_state import StaleEpoch, WorkerState
from tests.owner_bench import SETTINGS, FakeFeed, FakeMembership

JOB_ID = job_id_of("e", "m", "key")
PARAMS = b'{"run_ms": -1}'
ACCEPTED = frozenset({Code.ACCEPTED, Code.ALREADY_ACCEPTED})
# Longer than the deadlines of a call and of a commit together.
ANSWER_S = 10.0
# Together longer than the longest wait between two attempts to commit.
SETTLE_POLLS = 4
SETTLE_INTERVAL_S = 1.0
POLL_INTERVAL_S = 0.5
STORE_LATENCY_S = 0.01
# Longer than the interval at which an owner forgets finished jobs.
FORGET_S = 6.0


class Violation(Exception):
    """A rule was broken."""


def linear_orders(
    events: Sequence[str], after: Mapping[str, Sequence[str]]
) -> Iterator[tuple[str, ...]]:
    """Yield each order of events in which an event follows those it comes after.

    Args:
        events: Names of the events, each once.
        after: For an event, those that come before it.
    """
    if not events:
        yield ()
        return
    for event in events:
        if any(earlier in events for earlier in after.get(event, ())):
            continue
        rest = [other for other in events if other != event]
        for order in linear_orders(rest, after):
            yield (event, *order)


class ExploredStore(MemoryStore):
    """A store client with latency, whose writes may be applied late.

    Attributes:
        late: Writes that were sent and are neither answered nor applied.
    """

    def __init__(self, engine: kv.Engine):
        super().__init__(engine)
        self.late = []
        self._cut_next = False

    def cut(self) -> None:
        """Hold the next write back; after it the store cannot be reached."""
        self._cut_next = True

    def heal_late(self) -> None:
        """Apply the writes that were held back, and reach the store again."""
        self._cut_next = False
        self.down = False
        for apply in self.late:
            apply()
        self.late.clear()

    async def txn(self, compares, operations, read_on_failure=None):
        await asyncio.sleep(STORE_LATENCY_S)
        result = await super().txn(compares, operations, read_on_failure)
        await asyncio.sleep(STORE_LATENCY_S)
        return result

    def _write(self, apply):
        if self._cut_next:
            self._cut_next = False
            self.down = True
            self.late.append(apply)
            raise StoreOutcomeUnknown("no response from the store")
        return super()._write(apply)


class ExploredLink:
    """A link to the worker that sends reports when it is polled."""

    def __init__(self, process, context, info, shard, epoch, events, stream_numbers):
        self._process = process
        self._worker = process.world.worker
        self._context = context
        self._id = info.worker_id
        self._shard, self._epoch = shard, epoch
        self._events, self._stream_numbers = events, stream_numbers
        self._stream = None
        self._stream_number = self._seq = 0

    def send(self, command, stream):
        if self._stream is None or stream != self._stream_number:
            return 0
        self._process.world.note_starts(command.starts)
        self._seq += 1
        message = to_command(command, self._shard, self._epoch, self._seq)
        if self._process.held_commands is None:
            self._execute(self._stream, message)
        else:
            execute = functools.partial(self._execute, self._stream, message)
            self._process.held_commands.append(execute)
        return self._seq

    def _execute(self, stream, message):
        with contextlib.suppress(StaleEpoch):
            self._worker.on_command(stream, message)
        asyncio.get_running_loop().call_soon(self.poll)

    async def run(self):
        try:
            self._stream = self._worker.attach(self._shard, self._epoch)
        except StaleEpoch:
            self._events.put_nowait(LinkFenced(self._id))
            return
        self._stream_number, self._seq = next(self._stream_numbers), 0
        self._process.links.append(self)
        try:
            self.poll()
            await asyncio.Event().wait()
        finally:
            self._process.links.remove(self)
            self._stream = None

    def poll(self, always=False):
        """Report to the owner if there is something new; nothing reaches a cut one."""
        if self._stream is None or self._process.cut:
            return
        if self._stream.replaced_by:
            self._stream = None
            self._events.put_nowait(LinkDown(self._id, self._stream_number))
            self._events.put_nowait(LinkFenced(self._id))
        elif self._stream.changed or always:
            message = self._worker.report(self._stream)
            self._events.put_nowait(
                ReportReceived(
                    self._id,
                    self._stream_number,
                    message.command_seq,
                    self._context.clock(),
                    from_report(message, self._id),
                )
            )


class Process:
    """An entry process: a router, and the owner of the shard if it has acquired it."""

    def __init__(self, world, process_id: str):
        self.world = world
        self.cut = False
        self.held_commands: list | None = None
        self._is_earlier_build = False
        self.links = []
        self.store = ExploredStore(world.engine)
        self.task: asyncio.Task | None = None
        self.owner = None
        settings = msgspec.structs.replace(world.settings, process_id=process_id)
        self.context = Context(
            settings,
            clock=world.clock,
            wall_clock=lambda: world.wall,
            rng=random.Random(1),
            incarnation=process_id,
        )
        self.service = OwnerService(
            self.context,
            self.store,
            FakeMembership(),
            world.feed,
            world.feed,
            world,
            functools.partial(ExploredLink, self),
        )
        self.router = JobRouter(self.context, lambda: world.owners, self, world)

    def owns(self, shard: str) -> bool:
        return self.service.owns(shard)

    async def handle(self, request):
        """Handle a job request; note the submissions that are refused."""
        if isinstance(request, CancelJob):
            return await self._handle_cancellation(request)
        if not isinstance(request, SubmitJob):
            return await self.service.handle(request)
        refused = self.world.refused
        request = self.world.number(request)
        try:
            reply = await self.service.handle(request)
        except FlamingowayError as exc:
            if exc.code.ran == "no":
                refused[request.traceparent] = exc.code
            raise
        if Code(reply.code).ran == "no":
            refused[request.traceparent] = Code(reply.code)
        return reply

    async def _handle_cancellation(self, request: CancelJob):
        try:
            return await self.service.handle(request)
        except FlamingowayError as exc:
            if self._is_earlier_build:
                exc.details.clear()
            raise

    async def acquire(self) -> None:
        """Become the owner of the shard with the next epoch."""
        world, process_id = self.world, self.context.settings.process_id
        last = world.owners.get("s")
        former = []
        if last is not None:
            replaced = FormerOwner(
                last.epoch,
                last.process_id,
                last.process_id,
                last.peer_address,
                world.wall,
            )
            former = [replaced, *last.former]
        epoch = last.epoch + 1 if last else 1
        owner = OwnerInfo("s", epoch, process_id, process_id, process_id, former)
        result = await self.store.txn(
            [], [Put(Keys("test").epoch("s"), encode_owner(owner))]
        )
        world.owners = {"s": owner}
        self.owner = self.service.make_owner(Acquisition(owner, None, result.revision))
        self.task = asyncio.create_task(self.owner.run())
        self.task.add_done_callback(_retrieve_exception)

    def use_earlier_build(self) -> None:
        """Answer cancellations of unknown jobs as builds before 6c8bb8f do."""
        scheduler = self.owner.scheduler

        def withdraw(request, waiter):
            reply = Reply(waiter, Code.NOT_FOUND, request.job_id, "no such job")
            scheduler._state.effect(reply)

        scheduler._withdraw = withdraw
        self._is_earlier_build = True

    async def end(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)


@dataclass
class Answers:
    """What the caller was told.

    Attributes:
        submissions: Code for each submission, by its trace id.
        cancellations: Codes of the cancellations.
        reads: Codes of the requests for the state of the job.
        cancelled_at: Wall-clock time at which the newest acknowledged cancellation
            was sent.
    """

    submissions: dict[str, Code] = field(default_factory=dict)
    cancellations: list[Code] = field(default_factory=list)
    reads: list[Code] = field(default_factory=list)
    cancelled_at: float | None = None


class World:
    """Three processes, the first of which owns the shard, one worker and one caller.

    Args:
        document: Document in effect, with the kind ``k`` and the member ``m``.
        gap_s: Virtual time between two events, in seconds.
        is_mixed: Whether the first owner is of a build that does not keep
            cancellations of unknown jobs.
    """

    settings = parse_settings(SETTINGS)

    def __init__(self, document, gap_s: float, is_mixed: bool = False):
        self.clock = asyncio.get_running_loop().time
        self.wall = 1_000_000.0
        self.engine = kv.Engine(self.clock)
        self.worker = WorkerState("w1", Resources(4000, 65536), self.clock)
        vm = Vm("w1", "worker", "10.0.0.1", 1, "r", "z1", cores=4, memory_mb=65536)
        self.feed = FakeFeed([vm], {"e": document})
        self.feed.departed_entry_addresses = ()
        self.owners: dict[str, OwnerInfo] = {}
        self.processes = {name: Process(self, name) for name in ("p1", "p2", "p3")}
        self.answers = Answers()
        self.late_starts: list[str] = []
        self.refused: dict[str, Code] = {}
        self.denied = False
        self._gap_s = gap_s
        self._is_mixed = is_mixed
        self._arrived = asyncio.Event()
        self._requests: list[asyncio.Task] = []
        self._deliveries: set[asyncio.Task] = set()
        self._delivered = 0
        self._records: list = []
        log = Keys("test").log("s")
        self.engine.watch(log.encode(), prefix_end(log).encode(), 0, self._note_groups)

    async def call(self, address, request, timeout_s, reply):
        """Deliver a request to a process; replaces ``PeerClient.call``."""
        process = self.processes[address]
        if isinstance(request, Depose) and process.cut:
            raise OutcomeUnknown("no reply")
        delivery = asyncio.create_task(self._deliver(process, request))
        self._deliveries.add(delivery)
        delivery.add_done_callback(self._deliveries.discard)
        done, _ = await asyncio.wait([delivery], timeout=timeout_s)
        if not done:
            delivery.add_done_callback(
                lambda task: task.cancelled() or task.exception()
            )
            raise OutcomeUnknown("no reply")
        return delivery.result()

    async def _deliver(self, process, request):
        if isinstance(request, SubmitJob) and request.traceparent == "submit":
            await self._arrived.wait()
        if isinstance(request, Depose):
            return await process.service.depose(request)
        return await process.handle(request)

    @property
    def has_snapshot(self) -> bool:
        """Whether a snapshot has replaced a part of the log."""
        head = Keys("test").snapshot_head("s").encode()
        return bool(self.engine.range(kv.RangeOp(head)).entries)

    def number(self, request: SubmitJob) -> SubmitJob:
        """Return a submission with a trace id that no other delivery has."""
        self._delivered += 1
        trace = f"{request.traceparent}.{self._delivered}"
        return msgspec.structs.replace(request, traceparent=trace)

    def note_starts(self, starts) -> None:
        """Note the starts that an owner sends after an acknowledged cancellation."""
        for start in starts:
            if start.spec.job_id == JOB_ID and self._is_cancelled():
                self.late_starts.append(f"{start.task_id}#{start.attempt}")

    async def play(self, order: Sequence[str]) -> None:
        """Play one order of events, then let everything arrive.

        Raises:
            Violation: If a rule was broken.
        """
        try:
            await self.processes["p1"].acquire()
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._is_mixed:
                self.processes["p1"].use_earlier_build()
            for event in order:
                await getattr(self, event)()
                self._poll()
                await asyncio.sleep(self._gap_s)
            await self._settle()
            self._check()
        finally:
            for task in (*self._requests, *self._deliveries):
                task.cancel()
            for process in self.processes.values():
                await process.end()

    async def submit(self) -> None:
        """Send the submission through a process without a shard; it does not arrive."""
        self._request(self._submit("p3", "submit"))

    async def arrive(self) -> None:
        """Let the first submission arrive at the process that it was sent to."""
        self._arrived.set()

    async def retry(self) -> None:
        """Repeat the submission at another process."""
        self._request(self._submit("p2", "retry"))

    async def cancel(self) -> None:
        """Cancel the job through another process."""
        self._request(self._cancel(self.processes["p2"].router))

    async def cancel_again(self) -> None:
        await self.cancel()

    async def cancel_at_first(self) -> None:
        """Cancel the job at the first owner, also if it has been replaced."""
        process = self.processes["p1"]
        self._request(self._cancel(process.router, process))

    async def read_at_first(self) -> None:
        """Ask the first owner for the job, also if it has been replaced."""
        self._request(self._read(self.processes["p1"]))

    async def cut(self) -> None:
        """Cut the first owner off from the store, with a write under way."""
        self.processes["p1"].cut = True
        self.processes["p1"].store.cut()

    async def write_late(self) -> None:
        """Apply the write that was under way, and end the cut."""
        self.processes["p1"].store.heal_late()
        self.processes["p1"].cut = False

    async def hold_commands(self) -> None:
        """Let the commands of the first owner to the worker arrive later."""
        self.processes["p1"].held_commands = []

    async def release_commands(self) -> None:
        process = self.processes["p1"]
        held, process.held_commands = process.held_commands, None
        for execute in held or ():
            execute()

    async def take_over(self) -> None:
        await self.processes["p2"].acquire()

    async def take_over_again(self) -> None:
        await self.processes["p3"].acquire()

    async def expire(self) -> None:
        """Let the time pass for which a cancellation is kept."""
        await self._pass_time(RETENTION_S)

    async def half_expire(self) -> None:
        """Let a part of the time pass for which a cancellation is kept."""
        await self._pass_time(RETENTION_S * 0.6)

    async def half_expire_again(self) -> None:
        await self.half_expire()

    async def forget(self) -> None:
        """Let the owner forget its finished jobs."""
        with mock.patch.object(retention, "MAX_FINISHED_JOBS", 0):
            self._poll()
            await asyncio.sleep(FORGET_S)

    async def _pass_time(self, seconds: float) -> None:
        self.wall += seconds
        # Expired cancellations are dropped when another one is kept.
        request = CancelJob("s", "e", "m", "other")
        owner = self.owners["s"].process_id
        with contextlib.suppress(FlamingowayError):
            await self.processes[owner].service.handle(request)

    def _request(self, request) -> None:
        self._requests.append(asyncio.create_task(request))

    async def _submit(self, process: str, trace: str) -> None:
        router = self.processes[process].router
        try:
            reply = await router.submit("e", "m", "k", 1, False, PARAMS, "key", trace)
            code = Code(reply.code)
        except FlamingowayError as exc:
            code = exc.code
        self.answers.submissions[trace] = code

    async def _cancel(self, router: JobRouter, process: Process | None = None) -> None:
        sent_at = self.wall
        try:
            if process is None:
                reply = await router.cancel("e", "m", JOB_ID)
            else:
                request = CancelJob("s", "e", "m", JOB_ID)
                reply = await process.handle(request)
            code = Code(reply.code)
        except FlamingowayError as exc:
            code = exc.code
        self.answers.cancellations.append(code)
        if code in (Code.OK, Code.NOT_FOUND):
            self.answers.cancelled_at = max(self.answers.cancelled_at or 0.0, sent_at)

    async def _read(self, process: Process) -> None:
        was_accepted = bool(ACCEPTED & set(self.answers.submissions.values()))
        try:
            await process.handle(GetJob("s", "e", "m", JOB_ID))
            code = Code.OK
        except FlamingowayError as exc:
            code = exc.code
        self.answers.reads.append(code)
        if was_accepted and code == Code.NOT_FOUND:
            self.denied = True

    def _poll(self, always: bool = False) -> None:
        for process in self.processes.values():
            for link in list(process.links):
                link.poll(always)

    async def _settle(self) -> None:
        await self.write_late()
        await self.arrive()
        await self.release_commands()
        await asyncio.wait(self._requests, timeout=ANSWER_S)
        for _ in range(SETTLE_POLLS):
            self._poll(always=True)
            await asyncio.sleep(SETTLE_INTERVAL_S)

    def _owner(self):
        return self.processes[self.owners["s"].process_id].owner

    def _is_cancelled(self) -> bool:
        """Whether a cancellation was acknowledged that covers the job as it is now."""
        cancelled_at = self.answers.cancelled_at
        accepted = [r for r in self._records if isinstance(r, JobAccepted)]
        if cancelled_at is None or not accepted:
            return cancelled_at is not None
        return accepted[-1].at < cancelled_at + RETENTION_S

    def _note_groups(self, changes: kv.Changes) -> None:
        """Note the groups that are appended, before a snapshot replaces them."""
        for change in changes.changes:
            if change.entry is not None:
                self._records.extend(decode_group(change.entry.value).records)

    def _check(self) -> None:
        answers, records = self.answers, self._records
        accepted = [
            record
            for record in records
            if isinstance(record, JobAccepted) and record.spec.job_id == JOB_ID
        ]
        removed = [
            r for r in records if isinstance(r, JobRemoved) and r.job_id == JOB_ID
        ]
        if not all(task.done() for task in self._requests):
            raise Violation("a request was not answered")
        if not self._owner().ready:
            raise Violation("the newest owner has ended")
        if self.late_starts:
            raise Violation(f"started after its cancellation: {self.late_starts}")
        job = self._owner().scheduler.view(JOB_ID)
        running = [key for key in self.worker.running if key[0] == f"{JOB_ID}/0"]
        if running and self._is_cancelled():
            raise Violation(f"runs on after its cancellation: {running}")
        for record in accepted:
            trace = record.spec.traceparent
            code = self.refused.get(trace, answers.submissions[trace.split(".")[0]])
            if code.ran == "no":
                raise Violation(f"{trace} is accepted, answered {code.name}")
        if len(accepted) > len(removed) + 1:
            raise Violation("the job was accepted twice")
        if self.denied:
            raise Violation("an accepted job was denied")
        if ACCEPTED & set(answers.submissions.values()) and not accepted:
            raise Violation("an accepted job was lost")
        if len(accepted) > len(removed) and job is None:
            raise Violation("a stored job was lost")
        if job is None or self._is_cancelled():
            return
        may_be_cancelled = any(code.ran != "no" for code in answers.cancellations)
        if job.state == "cancelled" and not may_be_cancelled:
            raise Violation("the job was cancelled, answered that it was not")
        if job.state != "cancelled" and len(running) != 1:
            raise Violation(f"an accepted job is {job.state.value}, not running")


def _retrieve_exception(task: asyncio.Task) -> None:
    """Retrieve the exception of a task, which asyncio would log otherwise."""
    if not task.cancelled():
        task.exception()


@dataclass
class Exploration:
    """What the orders of a scenario showed.

    Attributes:
        orders: Number of orders played.
        snapshots: Number of orders in which a snapshot replaced the log.
        broken: Orders that broke a rule, with the rule.
        codes: How often each code was answered, by kind of request.
    """

    orders: int = 0
    snapshots: int = 0
    broken: list[tuple[tuple[str, ...], str]] = field(default_factory=list)
    codes: Counter = field(default_factory=Counter)


async def explore(
    events: Sequence[str],
    after: Mapping[str, Sequence[str]],
    document,
    gap_s: float,
    max_broken: int = 10,
    is_mixed: bool = False,
    has_snapshots: bool = False,
) -> Exploration:
    """Play all orders of events; stop after ``max_broken`` that break a rule.

    Args:
        events: Names of methods of ``World``.
        after: For an event, those that come before it.
        document: Document in effect.
        gap_s: Virtual time between two events, in seconds.
        max_broken: Number of broken orders after which to stop.
        is_mixed: See ``World``.
        has_snapshots: Whether owners replace the log by a snapshot at each chance.
    """
    result = Exploration()

    async def refuses_connections(_address):
        return False

    groups = 1 if has_snapshots else snapshotter.SNAPSHOT_GROUPS
    with (
        mock.patch.object(predecessor, "refuses_connections", refuses_connections),
        mock.patch.object(snapshotter, "SNAPSHOT_GROUPS", groups),
    ):
        for order in linear_orders(events, after):
            world = World(document, gap_s, is_mixed)
            try:
                await world.play(order)
            except Violation as exc:
                result.broken.append((order, str(exc)))
            result.orders += 1
            result.snapshots += world.has_snapshot
            for code in world.answers.submissions.values():
                result.codes["submit", code.name] += 1
            for code in world.answers.cancellations:
                result.codes["cancel", code.name] += 1
            for code in world.answers.reads:
                result.codes["read", code.name] += 1
            if len(result.broken) >= max_broken:
                break
    return result
