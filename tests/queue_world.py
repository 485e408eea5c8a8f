"""Fake workers, advice service and callers for real queue nodes, and a rule checker.

The workers implement the platform's published protocol: fencing tokens, leases on
their own clock, run numbers, gangs, and ended runs that are reported until they are
acknowledged. Orders may also take effect seconds after the sender stopped waiting
for the answer, on the incarnation of the worker that then has the id. Tasks of steps
with checkpoints save their progress while they work.
"""

import asyncio
import random
from collections import Counter
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field

from flamingoway.errors import BadRequest, FlamingowayError, OutcomeUnknown, Refused
from flamingoway.model import Resources
from flamingoway.queues.model import (
    Advice,
    AdviceTiming,
    DesiredState,
    EndedTask,
    EndKind,
    Queue,
    RunningTask,
    StartReply,
    Step,
    StepJobState,
    WorkerEntry,
    WorkerReport,
)
from flamingoway.queues.node import Platform, QueueNode
from flamingoway.queues.ports import NoReply, PollRefused
from flamingoway.queues.records import ProcessRecord
from flamingoway.status import Code
from flamingoway.store import Delete, Put
from standins import kv
from standins.memory import MemoryStore

LATENCY_S = 0.002
CALL_TIMEOUT_S = 0.6
LEASE_S = 5.7
GANG_START_TIMEOUT_S = 3.0
STOP_DURATION_S = 0.3
CANCEL_GRACE_S = 3.0
# Interval between the checkpoints of a task, and the time that resuming from one takes.
CHECKPOINT_INTERVAL_S = 0.5
RESTORE_S = 0.25
FLAKY_FAILURE_SHARE = 0.5
# Interval at which the checker looks for runs of cancelled jobs.
WATCH_INTERVAL_S = 0.1
# Rows of ended runs in one answer of a worker.
ENDED_ROWS = 500
# A caller gets no answer from a process that was killed.
CALLER_TIMEOUT_S = 3.0
QUEUE = Queue(
    name="plans",
    host="h",
    prefix="/p/",
    service="planner",
    priority=1,
    max_attempts=4,
    stretch=2.0,
    objective_s=1.0,
    advice=AdviceTiming(0.05, 0.001, 1.5),
)
CHECKS = Queue(
    name="checks",
    host="h",
    prefix="/c/",
    service="planner",
    priority=0,
    max_attempts=4,
    stretch=1.5,
    objective_s=0.25,
)
DESIRED = DesiredState(1, (QUEUE, CHECKS))


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits of a platform, in seconds.

    Attributes:
        lease_s: Length of the leases that nodes grant.
        gang_start_timeout_s: How long a task waits for the others of its gang.
        stop_s: Longest duration of a stop.
        cancel_s: Time after the acknowledgement of a cancellation in which tasks of the
            job may still be started.
        contact_s: Time after the end of a disruption from which a node counts as
            undisturbed.
        order_delay_s: Longest delay of an order that is not answered.
    """

    lease_s: float = LEASE_S
    gang_start_timeout_s: float = GANG_START_TIMEOUT_S
    stop_s: float = STOP_DURATION_S
    cancel_s: float = CANCEL_GRACE_S
    contact_s: float = 4.0
    order_delay_s: float = 8.0


BOUNDS = Bounds()
# A worker accepts leases of 10 s.
LONG_LEASE_BOUNDS = Bounds(
    lease_s=9.5,
    gang_start_timeout_s=4.0,
    stop_s=0.4,
    cancel_s=4.0,
    order_delay_s=12.0,
)


class RecordingLog:
    """Collects log lines of all nodes in one list, with time and node name."""

    def __init__(self, name, lines):
        self.dropped = 0
        self._name = name
        self._lines = lines

    def write(self, event, **fields):
        now = asyncio.get_event_loop().time()
        self._lines.append((round(now, 3), self._name, event, fields))


@dataclass(eq=False)
class FakeRun:
    """A run of a task on a fake worker.

    Attributes:
        left_s: Work that is left when the run begins to work.
        resumed_s: Work that an earlier run has saved.
        restore_s: Time that passes before the run works.
        started: Time at which the worker started the run.
        sender: Name of the node that ordered the start.
        late: Whether the order was carried out late.
    """

    task_id: str
    number: int
    needs: Resources
    left_s: float
    gang: int = 0
    checkpoint: str = ""
    fails: bool = False
    began: float = 0.0
    timers: list = field(default_factory=list)
    checkpointing: bool = False
    resumed_s: float = 0.0
    restore_s: float = 0.0
    started: float = 0.0
    sender: str = ""
    late: bool = False


class FakeWorker:
    """A worker process; a crash starts the next incarnation."""

    def __init__(self, world, worker_id, rack, service="planner"):
        self.world = world
        self.worker_id = worker_id
        self.address = f"{worker_id}:1"
        self.rack = rack
        self.service = service
        # Whether another writer has listed it and nobody answers at its address.
        self.foreign = False
        self.capacity = Resources(16_000, 65_536)
        self.up = True
        self.draining = False
        self.incarnation = 0
        # A step of the time of day before the start of the incarnation.
        self.born_offset_ms = 0
        self.ended_log = []
        self._begin_incarnation()

    def _begin_incarnation(self):
        self.incarnation += 1
        self.started_at = self.world.now
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.ended = []
        self.sequence = 0
        self.highest = {}
        self.changed = asyncio.Event()
        self.lease_timer = None

    @property
    def entry(self):
        return WorkerEntry(
            worker_id=self.worker_id,
            service=self.service,
            address=self.address,
            zone="a",
            capacity=self.capacity,
            labels=(self.rack,),
            draining=self.draining,
            born_ms=self.born_ms,
        )

    @property
    def born_ms(self):
        return 1_000_000 + self.incarnation + self.born_offset_ms

    @property
    def clock_ms(self):
        return int((self.world.now - self.started_at) * 1000 * 0.98)

    def crash(self):
        for run in list(self.runs.values()):
            self._cancel_timers(run)
        self.up = False
        self._begin_incarnation()

    def start(self, order, spec, gang_size, sender="", late=False):
        if order.token < self.token:
            return StartReply.FENCED
        self.token = order.token
        if order.lease_ms <= self.clock_ms:
            return StartReply.LATE
        self._extend(order.lease_ms)
        known = self.runs.get(order.task_id)
        if known is not None and known.number == order.number:
            return StartReply.RUNNING
        if order.number <= self.highest.get(order.task_id, 0) or known is not None:
            return StartReply.SUPERSEDED
        duration_s = self.world.duration(order.task_id)
        saved_s = self.world.checkpoints.saved_s(order.task_id, order.checkpoint)
        run = FakeRun(
            order.task_id,
            order.number,
            spec.resources,
            max(0.0, duration_s - saved_s),
            gang=gang_size,
            checkpoint=order.checkpoint if saved_s else "",
            fails=self.world.rng.random() < self.world.failure_share_of(order.task_id),
            checkpointing=spec.checkpointing,
            resumed_s=saved_s,
            restore_s=RESTORE_S if saved_s else 0.0,
            started=self.world.now,
            sender=sender,
            late=late,
        )
        self.runs[order.task_id] = run
        self.world.checker.on_start(self, run, order)
        if gang_size:
            self.world.join_gang(self, run)
        else:
            self.begin_work(run)
        return StartReply.RUNNING

    def begin_work(self, run):
        run.began = self.world.now
        kind = EndKind.FAILED if run.fails else EndKind.DONE
        working_s = run.restore_s + run.left_s
        if run.fails and self.world.is_flaky(run.task_id):
            working_s *= random.Random(f"{run.task_id} {run.number}").uniform(0.2, 1.0)
        run.timers.append(self.world.loop.call_later(working_s, self.end, run, kind))
        if run.checkpointing:
            first_s = run.restore_s + CHECKPOINT_INTERVAL_S
            run.timers.append(
                self.world.loop.call_later(first_s, self._save_regularly, run)
            )

    def _save_regularly(self, run):
        self._save(run)
        run.timers.append(
            self.world.loop.call_later(CHECKPOINT_INTERVAL_S, self._save_regularly, run)
        )

    def _save(self, run):
        """Store a new checkpoint of a run that works."""
        worked_s = self.world.now - run.began - run.restore_s
        if not run.checkpointing or not run.began or worked_s <= 0:
            return
        saved_s = run.resumed_s + min(worked_s, run.left_s)
        run.checkpoint = self.world.checkpoints.add(run.task_id, saved_s)

    def stop(self, task_id, number, token):
        if token < self.token:
            return False
        self.token = token
        self.highest[task_id] = max(self.highest.get(task_id, 0), number)
        run = self.runs.get(task_id)
        if run is not None and run.number <= number:
            stop_s = self.world.bounds.stop_s
            run.timers.append(
                self.world.loop.call_later(stop_s, self.end, run, EndKind.STOPPED)
            )
        return True

    def end(self, run, kind):
        if self.runs.get(run.task_id) is not run:
            return
        self._cancel_timers(run)
        if kind is EndKind.STOPPED:
            self._save(run)
        del self.runs[run.task_id]
        self.highest[run.task_id] = max(self.highest.get(run.task_id, 0), run.number)
        self.sequence += 1
        row = EndedTask(self.sequence, run.task_id, run.number, kind, run.checkpoint)
        self.ended.append(row)
        self.changed.set()
        self.world.checker.on_end(self, run, kind)
        if run.gang:
            self.world.leave_gang(run, kind)

    def acknowledge(self, sequence):
        for row in self.ended:
            if row.sequence <= sequence:
                self.world.checker.on_acknowledged(row)
        self.ended = [row for row in self.ended if row.sequence > sequence]

    def report(self):
        running = tuple(
            RunningTask(run.task_id, run.number, run.checkpoint, self._percent(run))
            for run in self.runs.values()
        )
        ended = tuple(self.ended[:ENDED_ROWS])
        return WorkerReport(
            self.clock_ms,
            self.born_ms,
            running,
            ended,
            complete=len(ended) < ENDED_ROWS,
        )

    def _percent(self, run):
        """Return the progress of a run, in whole percent."""
        worked_s = self.world.now - run.began - run.restore_s if run.began else 0.0
        done_s = run.resumed_s + max(0.0, worked_s)
        return float(int(100 * done_s / max(run.resumed_s + run.left_s, 0.001)))

    def _extend(self, lease_ms):
        limit = self.clock_ms + int(self.world.bounds.lease_s / 0.95 * 1000)
        self.lease_ms = max(self.lease_ms, min(lease_ms, limit))
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        left = (self.lease_ms - self.clock_ms) / 1000 / 0.98
        self.lease_timer = self.world.loop.call_later(
            left, self._expire, self.incarnation
        )

    def _expire(self, incarnation):
        if incarnation == self.incarnation and self.clock_ms >= self.lease_ms - 1:
            for run in list(self.runs.values()):
                self.end(run, EndKind.LEASE_EXPIRED)

    def _cancel_timers(self, run):
        for timer in run.timers:
            timer.cancel()


class WorkerPort:
    """The connections of one node to all workers, with injected faults."""

    def __init__(self, world, node_name):
        self.world = world
        self.node = node_name
        self.unreachable = set()
        self.lost_share = 0.0
        self.late_share = 0.0
        # Orders in flight by worker, and the most at a time to one and to all.
        self.in_flight = Counter()
        self.most_to_one = self.most = 0

    @contextmanager
    def _counted(self, worker_id):
        self.in_flight[worker_id] += 1
        self.most_to_one = max(self.most_to_one, self.in_flight[worker_id])
        self.most = max(self.most, self.in_flight.total())
        try:
            yield
        finally:
            self.in_flight[worker_id] -= 1

    async def _reach(self, worker_id):
        worker = self.world.workers[worker_id]
        await self.world.wait_unfrozen(self.node)
        await asyncio.sleep(LATENCY_S)
        if not worker.up or worker_id in self.unreachable:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise NoReply(worker_id)
        return worker

    async def _answer(self, worker, apply):
        """Apply an order, possibly with delay, possibly losing the answer.

        A delayed order is applied by the incarnation that then has the worker's id.
        """
        roll = self.world.rng.random()
        if roll < self.late_share:
            self.world.loop.call_later(
                self.world.rng.uniform(1, self.world.bounds.order_delay_s),
                lambda: worker.up and apply(late=True),
            )
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise NoReply("late")
        result = apply()
        await asyncio.sleep(LATENCY_S)
        if roll < self.late_share + self.lost_share:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise NoReply("lost")
        await self.world.wait_unfrozen(self.node)
        return result

    async def start(self, entry, order):
        try:
            with self._counted(entry.worker_id):
                worker = await self._reach(entry.worker_id)

                def start(late=False):
                    with self.world.ordering(self.node, late):
                        return self.world.start(worker, order)

                return await self._answer(worker, start)
        except NoReply:
            return StartReply.UNKNOWN

    async def stop(self, entry, task_id, number, token):
        try:
            with self._counted(entry.worker_id):
                worker = await self._reach(entry.worker_id)
                return await self._answer(
                    worker, lambda late=False: worker.stop(task_id, number, token)
                )
        except NoReply:
            return False

    async def poll(self, entry, token, acknowledged, lease_ms, wait_s):
        worker = await self._reach(entry.worker_id)
        if token < worker.token:
            raise PollRefused(StartReply.FENCED)
        worker.token = token
        if lease_ms:
            worker._extend(lease_ms)
        worker.acknowledge(acknowledged)
        if not worker.ended and wait_s:
            worker.changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await worker.changed.wait()
            except TimeoutError:
                pass
        if not worker.up or entry.worker_id in self.unreachable:
            raise NoReply(entry.worker_id)
        return await self._answer(worker, lambda late=False: worker.report())


class AdvicePort:
    """An advice service that allows four workers for each step."""

    def __init__(self, world):
        self.world = world

    async def ask(self, step_id, workers, timeout_s):
        await asyncio.sleep(QUEUE.advice.duration(len(workers)))
        # Picks the same four of six workers, whichever workers the call names.
        own = [w for w, worker in self.world.workers.items() if not worker.foreign]
        ranked = sorted(own, key=lambda w: unit_hash(step_id + w))
        good = [w for w in ranked[:4] if w in workers]
        return Advice({w: f"t-{w}" for w in good}, QUEUE.advice.valid_s)


def unit_hash(text):
    return random.Random(text).random()


class DirectPeers:
    """Calls handlers of other nodes without a network."""

    def __init__(self, world):
        self.world = world
        self.handlers = {}

    def handle(self, request_type, handler):
        self.handlers[request_type] = handler

    @asynccontextmanager
    async def listen(self, address, grace_s):
        self.world.peers[address] = self
        try:
            yield self
        finally:
            self.world.peers.pop(address, None)

    async def call(self, address, request, timeout_s, reply):
        peer = self.world.peers.get(address)
        if peer is None:
            await asyncio.sleep(0.1)
            raise Refused("no peer")
        return await peer.handlers[type(request)](request)

    async def close_channel(self, address):
        pass

    async def close(self):
        pass


class Checkpoints:
    """Checkpoints that tasks have saved, and the work that each stands for."""

    def __init__(self, world):
        self.world = world
        self._saved = {}

    def owner(self, task_id):
        """Return the id of a task, or of its step if the step is a gang."""
        job_id, _, number, _ = task_id.split(".")
        spec = self.world.specs.get(job_id)
        step = spec.steps[int(number)] if spec is not None else None
        is_gang = step is not None and step.gang
        return task_id.rpartition(".")[0] if is_gang else task_id

    def add(self, task_id, saved_s):
        """Return a new checkpoint."""
        value = f"{len(self._saved):08x}"
        self._saved[value] = (self.owner(task_id), saved_s)
        return value

    def saved_s(self, task_id, value):
        """Return the saved work in seconds; 0 if the task has no such checkpoint."""
        owner, saved_s = self._saved.get(value, ("", 0.0))
        return saved_s if owner == self.owner(task_id) else 0.0

    def is_valid(self, task_id, value):
        """Return whether a task may be started with a checkpoint."""
        return not value or self._saved.get(value, ("",))[0] == self.owner(task_id)


class Disruptions:
    """Times at which the store, a node or a worker was disrupted."""

    def __init__(self, world):
        self.world = world
        self._spans = {}

    @contextmanager
    def during(self, *subjects):
        """Record a disruption of ``store`` or of a node or worker by name."""
        span = [self.world.now, float("inf")]
        for subject in subjects:
            self._spans.setdefault(subject, []).append(span)
        try:
            yield
        finally:
            span[1] = self.world.now

    def note(self, subject):
        """Record a disruption that has no duration."""
        self._spans.setdefault(subject, []).append([self.world.now, self.world.now])

    def is_calm(self, subject, since):
        """Return whether a subject has not been disrupted since a time."""
        return all(end < since for _, end in self._spans.get(subject, ()))


class Checker:
    """Records violations of the rules that must hold under any faults.

    A task of a cancelled job must not be started later than ``cancel_s`` after the
    acknowledgement, nor run ``stop_s`` beyond that. Disruptions of the store, of the
    node in question and of the worker suspend these two limits; others do not.
    """

    def __init__(self, world):
        self.world = world
        self.gang_checkpoints = {}
        self.overdue = set()
        self.violations = []
        self.done_acknowledged = set()
        self.done = set()
        self.failed_acknowledged = {}
        self.incomplete_gang_runs = 0
        self.started = set()

    def check_refusals(self):
        """Record jobs that ran although every attempt to submit them was refused.

        Called only at the end: a job may start before its submission is answered.
        """
        for job_id in sorted(self.started & self.world.refused):
            self.fail("REFUSED", job_id)

    def fail(self, rule, detail):
        self.violations.append(f"{self.world.now:.2f} {rule}: {detail}")

    def on_start(self, worker, run, order):
        job_id, _, step, _ = run.task_id.split(".")
        if not self.world.is_submitted(run.task_id):
            self.fail("UNASKED", f"{run.task_id} belongs to no submitted job")
            return
        self._check_content(run, order)
        used = sum(r.needs.cores_milli for r in worker.runs.values())
        if used > worker.capacity.cores_milli:
            self.fail("LIMIT", f"{worker.worker_id} {used}")
        for other in self.world.workers.values():
            if other is not worker and run.task_id in other.runs and other.up:
                self.fail("TWICE", f"{run.task_id} also on {other.worker_id}")
        if run.task_id in self.done_acknowledged:
            self.fail("TWICE", f"{run.task_id} started after its end was acknowledged")
        for before in self.world.specs[job_id].steps[int(step)].after:
            self._require_done(job_id, before, run.task_id)
        failed = self.failed_acknowledged.get(self._attempt(run.task_id), set())
        if len(failed) >= QUEUE.max_attempts:
            self.fail("BUDGET", run.task_id)
        since = self._cancelled_for(job_id)
        overdue = since > self.world.bounds.cancel_s
        if overdue and not run.late and self._is_in_touch(run.sender):
            self.fail(
                "UNASKED",
                f"{run.task_id} started by {run.sender} "
                + self.world.describe_cancellation(job_id),
            )
        self.started.add(job_id)

    def _check_content(self, run, order):
        """Check the payload and the checkpoint of a start."""
        payload = self.world.specs[run.task_id.partition(".")[0]].payload
        if order.payload != payload:
            self.fail("UNASKED", f"{run.task_id} with payload {order.payload!r}")
        if not self.world.checkpoints.is_valid(run.task_id, order.checkpoint):
            self.fail("UNASKED", f"{run.task_id} with checkpoint {order.checkpoint!r}")
        if run.gang:
            key = (self.world.checkpoints.owner(run.task_id), run.number)
            first = self.gang_checkpoints.setdefault(key, order.checkpoint)
            if order.checkpoint != first:
                self.fail(
                    "UNASKED",
                    f"{run.task_id} with checkpoint {order.checkpoint!r}, others of its"
                    f" gang with {first!r}",
                )

    def _cancelled_for(self, job_id):
        """Return the seconds since a job's cancellation was acknowledged."""
        return self.world.now - self.world.cancelled_at(job_id)

    def _is_in_touch(self, node):
        since = self.world.now - self.world.bounds.contact_s
        is_calm = self.world.disruptions.is_calm
        return is_calm("store", since) and is_calm(node, since)

    async def watch(self):
        """Check the runs of cancelled jobs regularly."""
        while True:
            for worker in self.world.workers.values():
                for run in worker.runs.values():
                    self.check_overdue(worker, run)
            await asyncio.sleep(WATCH_INTERVAL_S)

    def check_overdue(self, worker, run):
        """Record a run of a cancelled job that should have been stopped.

        It must be gone after each undisturbed stretch of ``cancel_s`` and ``stop_s``. A
        run that was started late counts only from ``contact_s`` after its start.
        """
        job_id = run.task_id.partition(".")[0]
        since = self._cancelled_for(job_id)
        if (run.task_id, run.number) in self.overdue:
            return
        bounds = self.world.bounds
        stretch_s = bounds.cancel_s + bounds.stop_s
        age_s = self.world.now - run.started
        if since <= stretch_s or (
            run.late and age_s <= bounds.contact_s + bounds.stop_s
        ):
            return
        begin = self.world.now - stretch_s
        is_calm = self.world.disruptions.is_calm
        nodes = self.world.leaders_since(begin) | {run.sender}
        # The store counts as undisturbed only some time after a disruption.
        if is_calm("store", begin - bounds.contact_s) and all(
            is_calm(subject, begin) for subject in (worker.worker_id, *nodes)
        ):
            self.overdue.add((run.task_id, run.number))
            self.fail(
                "UNASKED",
                f"{run.task_id} run {run.number} goes on at {worker.worker_id}"
                f" {self.world.describe_cancellation(job_id)}, {age_s:.2f} s after its"
                f" {'late ' if run.late else ''}start by {run.sender}",
            )

    def _require_done(self, job_id, step, task_id):
        count = self.world.specs[job_id].steps[step].count
        missing = [i for i in range(count) if f"{job_id}.0.{step}.{i}" not in self.done]
        if missing:
            self.fail("ORDER", f"{task_id} before step {step} was done")

    def _attempt(self, task_id):
        job_id, k, step, index = task_id.split(".")
        gang = self.world.specs[job_id].steps[int(step)].gang
        return (job_id, k, step, "gang" if gang else index)

    def on_end(self, worker, run, kind):
        self.check_overdue(worker, run)
        if not self.world.is_submitted(run.task_id):
            return
        if kind is EndKind.DONE:
            self._add(self.done, run)
        if kind is EndKind.GANG_INCOMPLETE:
            self.incomplete_gang_runs += 1

    def on_acknowledged(self, row):
        if not self.world.is_submitted(row.task_id):
            return
        if row.kind is EndKind.DONE:
            self._add(self.done_acknowledged, row)
        if row.kind is EndKind.FAILED:
            key = self._attempt(row.task_id)
            self.failed_acknowledged.setdefault(key, set()).add(row.number)

    def _add(self, target, run):
        job_id, k, step, _ = run.task_id.split(".")
        spec = self.world.specs[job_id].steps[int(step)]
        indexes = range(spec.count) if spec.gang else [run.task_id.split(".")[3]]
        target.update(f"{job_id}.{k}.{step}.{i}" for i in indexes)

    def on_state_shown(self, job_id, state):
        if state is not StepJobState.COMPLETED:
            return
        for number, step in enumerate(self.world.specs[job_id].steps):
            for index in range(step.count):
                if f"{job_id}.0.{number}.{index}" not in self.done:
                    self.fail("MIXED", f"{job_id} is shown as completed")
                    return


class World:
    """A store, workers and nodes whose random choices follow from one seed."""

    def __init__(self, seed, workers=6, nodes=3, failure_share=0.03, bounds=BOUNDS):
        self.seed = seed
        self.bounds = bounds
        self.retention_s = 1e9
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.lines = []
        self.failure_share = failure_share
        self.engine = kv.Engine(self.loop.time, history=100_000)
        self.checker = Checker(self)
        self.checkpoints = Checkpoints(self)
        self.disruptions = Disruptions(self)
        self.watch_task = None
        self.sender = ("", False)
        self.elections = []
        self.lines_read = 0
        self.specs = {}
        self.long_jobs = set()
        self.flaky_jobs = set()
        self.accepted = set()
        self.refused = set()
        self.unanswered = set()
        self.cancelled = {}
        self.cancelled_unknown = set()
        self.gangs = {}
        self.peers = {}
        self.unfrozen = {}
        self.workers = {}
        self.operator = MemoryStore(self.engine)
        self.configurations = {b"1": DESIRED}
        self.names = [f"n{i}" for i in range(nodes)]
        self.nodes = {}
        self.tasks = {}
        self.power_by_name = {}
        self.ports = {}
        self.stores = {}
        for index in range(workers):
            worker_id = f"w{index}"
            self.workers[worker_id] = FakeWorker(self, worker_id, f"r{index // 3}")

    @property
    def now(self):
        return self.loop.time()

    def duration(self, task_id):
        longest_s = 14.0 if task_id.partition(".")[0] in self.long_jobs else 2.5
        return random.Random(task_id).uniform(longest_s / 12.5, longest_s)

    def failure_share_of(self, task_id):
        """Return the share of a task's runs that fail."""
        return FLAKY_FAILURE_SHARE if self.is_flaky(task_id) else self.failure_share

    def is_flaky(self, task_id):
        """Return whether many runs of a task's job fail, before they have done all."""
        return task_id.partition(".")[0] in self.flaky_jobs

    def describe_cancellation(self, job_id):
        """Return how long ago and in which way a cancellation was acknowledged."""
        how = "as unknown" if job_id in self.cancelled_unknown else "with success"
        age_s = self.now - self.cancelled[job_id]
        return f"{age_s:.2f} s after its cancellation was acknowledged {how}"

    def cancelled_at(self, job_id):
        """Return when a job's cancellation was acknowledged; infinity if it was not."""
        return self.cancelled.get(job_id, float("inf"))

    def is_submitted(self, task_id):
        """Return whether a caller has submitted the job of a task."""
        job_id, occurrence, step, index = task_id.split(".")
        spec = self.specs.get(job_id)
        if spec is None or occurrence != "0" or int(step) >= len(spec.steps):
            return False
        return int(index) < spec.steps[int(step)].count

    @contextmanager
    def ordering(self, node, late):
        """Name the node whose order a worker carries out, possibly late."""
        self.sender = (node, late)
        try:
            yield
        finally:
            self.sender = ("", False)

    def leaders_since(self, begin):
        """Return the names of all nodes that led at a time or later."""
        for at, name, event, _ in self.lines[self.lines_read :]:
            if event == "leader elected":
                self.elections.append((at, name))
        self.lines_read = len(self.lines)
        before = [name for at, name in self.elections if at < begin]
        return {name for at, name in self.elections if at >= begin} | {*before[-1:]}

    async def begin(self):
        await self.operator.txn([], [Put("op/config", b"1")])
        for worker in self.workers.values():
            await self.register_worker(worker)
        for name in self.names:
            self.start_node(name)
        self.watch_task = asyncio.create_task(self.checker.watch())
        await asyncio.sleep(1.0)

    async def configure(self, desired):
        value = str(desired.version).encode()
        self.configurations[value] = desired
        await self.operator.txn([], [Put("op/config", value)])

    async def register_worker(self, worker):
        await self.operator.txn([], [Put(f"servers/{worker.worker_id}", b"x")])

    async def unregister_worker(self, worker):
        await self.operator.txn([], [Delete(f"servers/{worker.worker_id}")])

    def create_store(self, name):
        """Return a node's client of the store."""
        return MemoryStore(self.engine)

    def create_peers(self, name):
        """Return a node's connections to the other nodes."""
        return DirectPeers(self)

    def start_node(self, name):
        """Start a node, unless an overlapping fault has started it already.

        A VM runs one process at a time, so no two of them share a name.
        """
        if name in self.tasks and not self.tasks[name].done():
            return
        store = self.stores[name] = self.create_store(name)
        store.on_lost_answer = lambda: self.disruptions.note("store")
        port = self.ports[name] = WorkerPort(self, name)
        self.unfrozen[name] = asyncio.Event()
        self.unfrozen[name].set()
        platform = Platform(
            store=store,
            workers=port,
            advice=AdvicePort(self),
            config_prefix="op/",
            config_key="op/config",
            decode_config=lambda value: self.configurations[value],
            worker_prefix="servers/",
            decode_worker=lambda worker_id, value: self.workers[worker_id].entry,
            lease_s=self.bounds.lease_s,
            retention_s=self.retention_s,
        )
        peers = self.create_peers(name)
        log = RecordingLog(name, self.lines)
        process = ProcessRecord(name, name, "a", self.power_by_name.get(name, 1.0))
        rng = random.Random(f"{self.seed}{name}{len(self.lines)}")
        node = QueueNode(process, platform, self.loop.time, log, peers, peers, rng)
        self.nodes[name] = node
        self.tasks[name] = asyncio.create_task(node.run())

    async def kill_node(self, name):
        """Stop a node without cleanup: its lease expires, its sessions stay open."""
        self.stores[name].down = True
        self.unfrozen[name].clear()
        self.tasks[name].cancel()
        await asyncio.wait({self.tasks[name]})

    async def end(self):
        if self.watch_task is not None:
            self.watch_task.cancel()
        for name in self.names:
            await self.kill_node(name)

    async def wait_unfrozen(self, name):
        """Wait while the node is frozen."""
        await self.unfrozen[name].wait()

    def leader(self):
        for line in reversed(self.lines):
            if line[2] == "leader elected":
                return line[1]
        return None

    def start(self, worker, order):
        job_id, _, step, _ = order.task_id.split(".")
        spec = Step(1, Resources(0, 0))
        if self.is_submitted(order.task_id):
            spec = self.specs[job_id].steps[int(step)]
        return worker.start(order, spec, spec.count if spec.gang else 0, *self.sender)

    def join_gang(self, worker, run):
        key = (run.task_id.rpartition(".")[0], run.number)
        tasks = self.gangs.setdefault(key, {})
        tasks[run.task_id] = (worker, run)
        if len(tasks) == run.gang:
            longest = max(t[1].left_s for t in tasks.values())
            for holder, other in tasks.values():
                other.left_s = longest
                other.fails = run.fails and other is run
                holder.begin_work(other)
        else:
            run.timers.append(
                self.loop.call_later(
                    self.bounds.gang_start_timeout_s,
                    self._end_incomplete_gang,
                    worker,
                    run,
                    key,
                )
            )

    def _end_incomplete_gang(self, worker, run, key):
        if len(self.gangs.get(key, {})) < run.gang and not run.began:
            worker.end(run, EndKind.GANG_INCOMPLETE)

    def leave_gang(self, run, kind):
        key = (run.task_id.rpartition(".")[0], run.number)
        tasks = self.gangs.pop(key, {})
        for worker, other in tasks.values():
            if other is not run:
                worker.end(other, kind if kind is EndKind.DONE else EndKind.GANG_BROKEN)

    async def submit(self, name, spec):
        """Submit a job once; return whether it was accepted."""
        self.specs[spec.job_id] = spec
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await self.nodes[name].intake.submit(spec, 2.0)
        except (OutcomeUnknown, TimeoutError):
            self.unanswered.add(spec.job_id)
            self.refused.discard(spec.job_id)
            return False
        except FlamingowayError:
            if spec.job_id not in self.accepted | self.unanswered:
                self.refused.add(spec.job_id)
            return False
        self.refused.discard(spec.job_id)
        self.accepted.add(spec.job_id)
        return True

    async def submit_without_answer(self, name, spec):
        """Submit a job over a connection that breaks before the answer."""
        self.specs[spec.job_id] = spec
        self.unanswered.add(spec.job_id)
        self.refused.discard(spec.job_id)
        try:
            await self.nodes[name].intake.submit(spec, CALLER_TIMEOUT_S)
        except FlamingowayError:
            return

    async def cancel(self, name, job_id):
        """Cancel a job; return whether the node acknowledged it.

        The answer that there is no such job acknowledges a cancellation too.
        """
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                await self.nodes[name].intake.cancel(job_id, 2.0)
        except BadRequest as exc:
            if exc.code is not Code.NOT_FOUND:
                return False
            self.cancelled_unknown.add(job_id)
        except (FlamingowayError, TimeoutError):
            return False
        self.cancelled.setdefault(job_id, self.now)
        return True

    async def show(self, name, job_id):
        try:
            state = await self.nodes[name].intake.state(job_id)
        except Refused:
            return None
        except BadRequest:
            return "unknown"
        self.checker.on_state_shown(job_id, state)
        return state
