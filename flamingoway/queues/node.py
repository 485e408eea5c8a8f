"""The tasks of one entry process that serves queues, and how they start and stop."""

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

from ..errors import Refused, StoreUnavailable
from ..peer import PeerClient, PeerServer
from ..status import Code
from ..store import Store
from ..store.monitored import MonitoredStore
from . import records
from .advice import AdviceDispatcher
from .decisions import DecisionLog
from .faults import FaultReporter
from .intake import Intake
from .limits import check_job
from .messages import (
    AnnounceRequest,
    AskReply,
    AskRequest,
    CancelRequest,
    Done,
    EndedRequest,
    StateReply,
    StateRequest,
    SubmitRequest,
    TakeOverRequest,
)
from .metrics import QueueMetrics
from .mirror import (
    CONFIG_READ_INTERVAL_S,
    FOLLOWER_READ_INTERVAL_S,
    LEADER_READ_INTERVAL_S,
    WORKER_READ_INTERVAL_S,
    Listener,
    Mirror,
)
from .model import DesiredState, WorkerEntry
from .ports import AdviceService, NoReply, WorkerClient
from .records import ProcessRecord
from .registry import ConfigListener, WorkerRegistry
from .relay import Relay
from .session import Election, Session
from .table import JobTable
from .term import LeadershipLost, Term

# A process is not ready, so that callers go to others, if the store has not answered
# for this long.
READY_STORE_AGE_S = 2.0
# Nor if its copy of the records or of the configuration is older than this; followers
# read twice a second, and a watch waits for 0.8 s.
READY_MIRROR_AGE_S = 4.0
# It is not ready either if all calls to the store have failed for this long.
READY_STORE_LOST_S = 0.5
# Longest wait for the store before agreeing to lead; a slow store takes 0.25 s.
TAKE_OVER_CHECK_S = 0.35
# Pause between leaderships, so that a persistent fault does not cause a busy loop.
TERM_INTERVAL_S = 0.2
# Time for calls from other processes to finish when this one stops.
PEER_GRACE_S = 0.2


@dataclass(frozen=True, slots=True)
class Platform:
    """What a platform adapter provides.

    Attributes:
        config_prefix: Prefix of the operator's keys.
        config_key: Key of the operator's configuration.
        worker_prefix: Prefix of the keys of workers' registry entries.
        lease_s: Longest lease that a worker accepts.
        retention_s: How long ended jobs are kept.
    """

    store: Store
    workers: WorkerClient
    advice: AdviceService
    config_prefix: str
    config_key: str
    decode_config: Callable[[bytes], DesiredState]
    worker_prefix: str
    decode_worker: Callable[[str, bytes], WorkerEntry]
    lease_s: float
    retention_s: float


class QueueNode:
    """One entry process that serves queues and may become the leader.

    Args:
        process: Name and addresses of the process.
        platform: Platform adapter.
        clock: Monotonic clock that counts suspended time, in seconds.
        log: Decision log.
        server: Serves calls from other processes.
        peers: Calls other processes.
        rng: Source of jitter.
    """

    def __init__(
        self,
        process: ProcessRecord,
        platform: Platform,
        clock: Callable[[], float],
        log: DecisionLog,
        server: PeerServer,
        peers: PeerClient,
        rng: random.Random,
    ):
        self.metrics = QueueMetrics()
        self._process = process
        self._platform = platform
        self._clock = clock
        self._log = log
        self._rng = rng
        self._faults = FaultReporter(log, self.metrics, clock)
        self._table = JobTable(self._faults)
        self._store = MonitoredStore(platform.store, records.LEADER_KEY, clock)
        self._mirror = self._create_mirror(
            records.ROOT, self._table, FOLLOWER_READ_INTERVAL_S, records.LEADER_KEY
        )
        config = ConfigListener(
            platform.config_key,
            platform.decode_config,
            self._configure,
            log,
            self._faults,
        )
        self._config_mirror = self._create_mirror(
            platform.config_prefix, config, CONFIG_READ_INTERVAL_S
        )
        self._relay = Relay(
            process.name, peers, lambda: self._table.processes, rng, log
        )
        self._intake = Intake(
            self._store,
            self._table,
            self._mirror,
            self._relay,
            process.name,
            log,
            self.metrics,
        )
        self._session = Session(
            self._store, self._table, process, clock, log, self._faults
        )
        self._server = server
        self._peers = peers
        self._election = Election(
            self._store, self._table, self._session, process, log, rng
        )
        self._term: Term | None = None
        self._lead_task: asyncio.Task | None = None
        self._stopping = False

    @property
    def intake(self) -> Intake:
        """Handles callers' requests."""
        return self._intake

    @property
    def faults(self) -> FaultReporter:
        """Reports records that are not valid and unforeseen errors."""
        return self._faults

    @property
    def ready(self) -> bool:
        """Whether the process can serve callers."""
        return (
            not self._stopping
            and self._intake.desired is not None
            and self._store.age_s < READY_STORE_AGE_S
            and self._mirror.age_s < READY_MIRROR_AGE_S
            and self._config_mirror.age_s < READY_MIRROR_AGE_S
            and self._store_lost_s() < READY_STORE_LOST_S
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        server = self._server
        server.on_error = self._on_call_error
        server.handle(AskRequest, self._handle_ask)
        server.handle(AnnounceRequest, self._handle_announce)
        server.handle(SubmitRequest, self._handle_submit)
        server.handle(CancelRequest, self._handle_cancel)
        server.handle(StateRequest, self._handle_state)
        server.handle(EndedRequest, self._handle_ended)
        server.handle(TakeOverRequest, self._handle_take_over)
        async with AsyncExitStack() as stack:
            address = self._process.peer_address
            await stack.enter_async_context(server.listen(address, PEER_GRACE_S))
            stack.push_async_callback(self._peers.close)
            stack.push_async_callback(self._store.close)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._mirror.run())
                group.create_task(self._config_mirror.run())
                group.create_task(self._session.run())
                await self._mirror.wait_synced()
                await self._config_mirror.wait_synced()
                self._lead_task = group.create_task(self._lead())

    async def stop(self) -> None:
        """Resign leadership and become unready; callers are still served."""
        self._stopping = True
        if self._lead_task is not None:
            self._lead_task.cancel()
            await asyncio.wait({self._lead_task})
        if self._term is not None:
            await self._term.resign()

    async def close(self) -> None:
        """Remove this process from the list of live processes."""
        await self._session.close()

    def _create_mirror(
        self,
        prefix: str,
        listener: Listener,
        read_interval_s: float,
        heartbeat_key: str = "",
    ) -> Mirror:
        return Mirror(
            self._store,
            prefix,
            listener,
            self._clock,
            self._log,
            self._faults,
            self._rng,
            read_interval_s,
            heartbeat_key,
        )

    def _store_age_s(self) -> float:
        return self._mirror.age_s

    def _store_lost_s(self) -> float:
        return self._store.outage_s

    def _configure(self, desired: DesiredState) -> None:
        self._intake.set_desired_state(desired)
        if self._term is not None:
            self._term.configure()

    async def _lead(self) -> None:
        while True:
            if self._intake.desired is not None:
                # The process serves callers even if it cannot lead.
                with self._faults.contain("leadership", self._process.name):
                    await self._lead_once()
            await asyncio.sleep(TERM_INTERVAL_S)

    async def _lead_once(self) -> None:
        """Wait until this process is elected and lead until it is replaced."""
        leadership = await self._election.campaign()
        async with self._follow_workers() as (registry, mirror):
            self._term = Term(
                leadership=leadership,
                store=self._store,
                store_age_s=self._store_age_s,
                mirror=self._mirror,
                table=self._table,
                intake=self._intake,
                workers=self._platform.workers,
                registry=registry,
                registry_mirror=mirror,
                dispatcher_factory=self._create_dispatcher,
                relay=self._relay,
                process=self._process,
                lease_s=self._platform.lease_s,
                retention_s=self._platform.retention_s,
                clock=self._clock,
                metrics=self.metrics,
                log=self._log,
                faults=self._faults,
            )
            await self._run_term(self._term)
            self._term = None

    async def _run_term(self, term: Term) -> None:
        self._mirror.read_every(LEADER_READ_INTERVAL_S)
        try:
            await term.run()
        except LeadershipLost:
            return
        except Exception as exc:
            # An error while leading must not end the process, which also serves
            # callers; the next leader restores its state from the store.
            self._faults.report_contained("term", self._process.name, exc)
            await term.resign()
        finally:
            self._mirror.read_every(FOLLOWER_READ_INTERVAL_S)

    @asynccontextmanager
    async def _follow_workers(self):
        registry = WorkerRegistry(self._platform.decode_worker, self._faults)
        mirror = self._create_mirror(
            self._platform.worker_prefix, registry, WORKER_READ_INTERVAL_S
        )
        task = asyncio.create_task(mirror.run())
        try:
            yield registry, mirror
        finally:
            task.cancel()

    def _create_dispatcher(self, done) -> AdviceDispatcher:
        return AdviceDispatcher(
            self._process.name,
            self._platform.advice,
            self._peers,
            lambda: self._table.processes,
            done,
            self._clock,
            self._log,
        )

    def _on_call_error(self, method: str, error: Exception) -> None:
        self._faults.report_contained("call", method, error)

    async def _handle_ask(self, request: AskRequest) -> AskReply:
        try:
            advice = await self._platform.advice.ask(
                request.step_id, request.workers, request.timeout_s
            )
        except NoReply as exc:
            raise Refused(str(exc), Code.NO_TARGET) from None
        return AskReply(advice.tickets, advice.valid_s)

    async def _handle_announce(self, request: AnnounceRequest) -> Done:
        self._intake.apply_announcement(request)
        return Done()

    async def _handle_submit(self, request: SubmitRequest) -> Done:
        check_job(request.spec)
        await self._intake.submit(
            request.spec, request.timeout_s, relay=False, queue=request.queue
        )
        return Done()

    async def _handle_cancel(self, request: CancelRequest) -> Done:
        await self._intake.cancel(request.job_id, request.timeout_s, relay=False)
        return Done()

    async def _handle_state(self, request: StateRequest) -> StateReply:
        return StateReply(await self._intake.state(request.job_id, relay=False))

    async def _handle_ended(self, request: EndedRequest) -> Done:
        for end in request.ends:
            self._table.apply_end(end.job_id, end.state, end.ended_at)
        return Done()

    async def _handle_take_over(self, request: TakeOverRequest) -> Done:
        can_lead = not self._stopping and await self._reaches_store()
        if not can_lead or not self._election.take_over(request.epoch):
            raise Refused("this process cannot lead", Code.STORE_UNAVAILABLE)
        return Done()

    async def _reaches_store(self) -> bool:
        """Return whether the store answers this process now.

        At the beginning of an outage, no call may have failed yet.
        """
        if self._store_lost_s():
            return False
        try:
            async with asyncio.timeout(TAKE_OVER_CHECK_S):
                await self._store.get(records.LEADER_KEY)
        except (StoreUnavailable, TimeoutError):
            return False
        return True
