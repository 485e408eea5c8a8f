"""Fakes shared by the tests of the shard owner."""

import asyncio
import functools
import random

import msgspec

from flamingoway.context import Context, boot_time
from flamingoway.messages import FormerOwner, OwnerInfo
from flamingoway.model import JobSpec, Policy, Resources
from flamingoway.ownerservice import OwnerService
from flamingoway.ownership import Acquisition, encode_owner
from flamingoway.peer import PeerClient
from flamingoway.settings import parse_settings
from flamingoway.store import Put
from flamingoway.store.keys import Keys
from flamingoway.vmlist import Vm
from flamingoway.worker import (
    LinkDown,
    LinkFenced,
    ReportReceived,
    from_report,
    to_command,
)
from standins.memory import MemoryStore
from standins.worker_state import StaleEpoch, WorkerState

SETTINGS = b"""
cell: test
process_id: p1
region: r
zone: z1
ip: 127.0.0.1
http_port: 1
peer_port: 2
store: {endpoint: "127.0.0.1:1"}
vm_list: {url: "http://127.0.0.1:1/vms", interval_s: 0.05}
shards:
  - {name: s, region: r, zones: [z1, z2]}
environments:
  - {name: e, application: app, stage: trial, shards: [s]}
operators: []
"""


def make_context(clock=boot_time, wall=lambda: 1000.0, **changes) -> Context:
    """Return a context with fixed settings, seed and the given clock."""
    settings = parse_settings(SETTINGS)
    context = Context(settings, clock=clock, wall_clock=wall, rng=random.Random(1))
    for name, value in changes.items():
        setattr(context, name, value)
    return context


async def until(condition, timeout_s=10.0):
    """Wait until other tasks have made ``condition`` true.

    Raises:
        TimeoutError: If that takes longer than ``timeout_s``.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.001)


class FakeClock:
    """A clock that tests set."""

    def __init__(self, now=1000.0):
        self.now = now

    def __call__(self) -> float:
        return self.now


class FakeMembership:
    """The part of ``Membership`` that an owner uses."""

    def __init__(self):
        self.owners = {}
        self.store_up = True
        self.released = []
        self.queues = []

    def subscribe(self):
        self.queues.append(asyncio.Queue())
        return self.queues[-1]

    def unsubscribe(self, queue):
        self.queues.remove(queue)

    async def release(self, owner):
        self.released.append(owner)


class FakeFeed:
    """Replaces ``VmList`` and ``Follower``.

    Attributes:
        documents: Documents that this process knows.
        stored: Newest documents in the store, if others.
    """

    def __init__(self, vms=(), documents=None):
        self.vms = {vm.id: vm for vm in vms}
        self.documents = documents or {}
        self.stored = {}

    def current(self, environment):
        return self.documents.get(environment)

    async def refresh(self):
        self.documents = self.documents | self.stored

    def subscribe(self):
        return asyncio.Queue()


class Network:
    """In-process workers, and the owners that can reach each of them.

    Attributes:
        disconnected: Pairs of process id and worker id without a connection.
        delayed_processes: Ids of the processes whose commands wait in
            ``delayed_commands`` until ``deliver`` is called.
    """

    def __init__(self, clock, workers=("w1",), cores=4):
        self.clock = clock
        self.disconnected = set()
        self.delayed_processes = set()
        self.delayed_commands = []
        self.ledger = []
        capacity = Resources(cores * 1000, 65536)
        self.workers = {
            name: WorkerState(name, capacity, clock, self._recorder(name))
            for name in workers
        }
        self.vms = [
            Vm(name, "worker", "10.0.0.1", i, "r", "z1", cores=cores, memory_mb=65536)
            for i, name in enumerate(workers)
        ]

    def _recorder(self, worker_id):
        def record(entry):
            self.ledger.append({"worker": worker_id, "at": self.clock(), **entry})

        return record

    def starts(self, task_id=None):
        """Return worker and attempt of each start, of one task or of all."""
        return [
            (entry["worker"], entry["attempt"])
            for entry in self.ledger
            if entry["event"] == "start" and task_id in (None, entry["task_id"])
        ]

    def deliver(self):
        """Deliver delayed commands; return how many were refused as stale."""
        refused = 0
        commands, self.delayed_commands = self.delayed_commands, []
        for state, stream, command in commands:
            try:
                state.on_command(stream, command)
            except StaleEpoch:
                refused += 1
        return refused


class FakeLink:
    """A worker link without sockets; see ``Network``."""

    def __init__(self, network, context, info, shard, epoch, events, stream_numbers):
        self._network = network
        self._state = network.workers[info.worker_id]
        self._id = info.worker_id
        self._process = context.settings.process_id
        self._shard, self._epoch = shard, epoch
        self._events, self._stream_numbers = events, stream_numbers
        self._clock = context.clock
        self._stream = None
        self._stream_number = self._seq = 0

    @property
    def _is_disconnected(self):
        return (self._process, self._id) in self._network.disconnected

    def send(self, command, stream):
        if self._stream is None or stream != self._stream_number:
            return 0
        self._seq += 1
        message = to_command(command, self._shard, self._epoch, self._seq)
        self._network.delayed_commands.append((self._state, self._stream, message))
        if (
            self._process not in self._network.delayed_processes
            and not self._is_disconnected
        ):
            self._network.deliver()
        return self._seq

    async def run(self):
        while True:
            if not self._is_disconnected:
                try:
                    await self._serve_stream()
                except StaleEpoch:
                    self._events.put_nowait(LinkFenced(self._id))
                    return
            await asyncio.sleep(0.002)

    async def _serve_stream(self):
        self._stream = stream = self._state.attach(self._shard, self._epoch)
        self._stream_number, self._seq = next(self._stream_numbers), 0
        last = float("-inf")
        while not stream.replaced_by and not self._is_disconnected:
            self._state.advance()
            if stream.changed or self._clock() - last >= 5:
                last = self._clock()
                self._report(stream)
            await asyncio.sleep(0.002)
        self._stream = None
        self._events.put_nowait(LinkDown(self._id, self._stream_number))
        if stream.replaced_by > self._epoch:
            raise StaleEpoch("higher epoch")

    def _report(self, stream):
        message = self._state.report(stream)
        self._events.put_nowait(
            ReportReceived(
                self._id,
                self._stream_number,
                message.command_seq,
                self._clock(),
                from_report(message, self._id),
            )
        )


class Cell:
    """Store, clock and workers that several owners share."""

    def __init__(self, workers=("w1",), cores=4, documents=None):
        self.clock = FakeClock()
        self.network = Network(self.clock, workers, cores)
        self.engine = MemoryStore(clock=self.clock).engine
        self.documents = documents
        self.feed = FakeFeed(self.network.vms, documents)
        self.peers = PeerClient()
        self.epoch = 0
        self.former = []

    async def own(self, process_id="p1", address="127.0.0.1:1", keep_former=True):
        """Start an owner with the next epoch; return the process that runs it."""
        self.epoch += 1
        context = make_context(self.clock, incarnation=f"{process_id}-{self.epoch}")
        settings = msgspec.structs.replace(context.settings, process_id=process_id)
        context.settings = settings
        owner = OwnerInfo(
            "s", self.epoch, process_id, context.incarnation, address, self.former
        )
        if keep_former:
            last = FormerOwner(self.epoch, process_id, context.incarnation, address, 0)
            self.former = [last, *self.former]
        store = MemoryStore(self.engine)
        result = await store.txn(
            [], [Put(Keys("test").epoch("s"), encode_owner(owner))]
        )
        return OwnerProcess(
            self, context, store, Acquisition(owner, None, result.revision)
        )


class OwnerProcess:
    """The parts of an entry process that a shard owner uses."""

    def __init__(self, cell, context, store, acquisition):
        self.cell = cell
        self.store = store
        self.membership = FakeMembership()
        self.service = OwnerService(
            context,
            store,
            self.membership,
            cell.feed,
            cell.feed,
            cell.peers,
            functools.partial(FakeLink, cell.network),
        )
        self.owner = self.service.make_owner(acquisition)
        self.task = asyncio.create_task(self.owner.run())
        # Retrieves the exception, which asyncio would log if no test awaits the task.
        self.task.add_done_callback(lambda task: task.cancelled() or task.exception())

    async def ready(self):
        """Return this process once its owner has an attached worker."""
        await until(lambda: self.owner.status["workers"] > 0)
        return self

    async def submit(self, job_id="j", run_ms=-1, **fields):
        """Submit a job directly to the owner; return the reply."""
        fields.setdefault("request_digest", "d")
        params = b'{"run_ms": %d}' % run_ms
        spec = JobSpec(job_id, "e", "m", "k", Policy.BATCH, params=params, **fields)
        return await self.owner.submit(spec)

    def state(self, job_id="j"):
        """Return the state of a job as the owner knows it, or ``None``."""
        job = self.owner.scheduler.view(job_id)
        return job and job.state.value

    async def end(self):
        """Cancel the owner without a planned stop."""
        self.task.cancel()
        return await asyncio.gather(self.task, return_exceptions=True)
