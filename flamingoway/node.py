"""The tasks of one entry process and the order in which they start and stop."""

import asyncio
import contextlib

from absl import logging

from .admin import AdminApi
from .cellstatus import CellStatus
from .checks import Checks
from .context import Context
from .environments import Environments
from .errors import FlamingowayError
from .follower import Follower
from .ingress import Ingress
from .jobs import JobRouter
from .membership import Membership
from .messages import StatusReply
from .metrics import Metrics
from .ownerservice import OwnerService
from .peer import PeerClient, PeerServer
from .settings import Settings
from .shards import ShardManager
from .store import STORES
from .store import etcd as _etcd  # noqa: F401 (registers the adapter)
from .store.counted import CountedStore
from .trace import Tracer
from .vmlist import VmList

# Fraction of the grace time for requests. The rest is left for releasing the shards,
# which must happen even if a request never ends.
REQUEST_GRACE_FRACTION = 0.6
PEER_GRACE_S = 1.0


class Node:
    """One entry process.

    Must be created in a running event loop.

    Args:
        context: Settings, clocks and sinks of the process.
    """

    def __init__(self, context: Context):
        settings = context.settings
        context.metrics = context.metrics or Metrics(
            [environment.name for environment in settings.environments],
            [shard.name for shard in settings.shards],
        )
        context.tracer = context.tracer or Tracer(settings.trace, context.rng)
        self._context = context
        self._peers = PeerClient()
        self._server = PeerServer()
        adapter = STORES.get(settings.store.adapter)
        self._store = CountedStore(
            adapter(settings.store.endpoint, settings.store.timeout_s), context.metrics
        )
        self._membership = Membership(context, self._store)
        self._follower = Follower(
            context, self._store, self._peers, self._live_peer_addresses
        )
        self._vm_list = VmList(context)
        self._build_jobs()
        self._checks = Checks(
            context, self._follower, self._vm_list, self._membership, self._peers
        )
        self._build_ingress()

    @property
    def settings(self) -> Settings:
        """Settings of the process."""
        return self._context.settings

    @property
    def ready(self) -> bool:
        """Whether requests can be served."""
        return self._checks.loaded and self._follower.loaded

    async def run(self) -> None:
        """Serve until cancelled or until one of the tasks fails."""
        settings = self.settings
        self._register_peer_handlers()
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._store.close)
            stack.push_async_callback(self._peers.close)
            await stack.enter_async_context(
                self._server.listen(settings.peer_address, PEER_GRACE_S)
            )
            self._ingress.listen(settings.ip, settings.http_port)
            stack.push_async_callback(self._ingress.close)
            await self._run_tasks()

    async def stop(self) -> list[str]:
        """Shut down gracefully; return descriptions of abandoned work."""
        grace_s = self.settings.limits.grace_s * REQUEST_GRACE_FRACTION
        unfinished = await self._ingress.drain(grace_s)
        await self._shards.stop()
        try:
            await self._membership.close()
        except FlamingowayError as exc:
            logging.warning("session not closed: %s", exc.message)
        return [f"{unfinished} requests"] if unfinished else []

    def unfinished_work(self) -> list[str]:
        """Return descriptions of the work that stopping now would abandon."""
        found = []
        if self._ingress.in_flight:
            found.append(f"{self._ingress.in_flight} requests")
        found += [f"shard {name} not released" for name in self._shards.owners]
        return found or ["session not closed"]

    def _build_jobs(self) -> None:
        context = self._context
        self._owner_service = OwnerService(
            context,
            self._store,
            self._membership,
            self._follower,
            self._vm_list,
            self._peers,
        )
        self._shards = ShardManager(
            context,
            self._membership,
            self._owner_service.make_owner,
        )
        self._jobs = JobRouter(
            context,
            lambda: self._membership.owners,
            self._owner_service,
            self._peers,
        )

    def _build_ingress(self) -> None:
        self._cell_status = CellStatus(
            self.settings,
            self._peers,
            lambda: self._membership.processes,
            self._status,
        )
        admin = AdminApi(
            self._context,
            Environments(self.settings, self._store, self._context.wall_clock),
            self._follower,
            self._jobs,
            self._cell_status,
        )
        self._ingress = Ingress(
            self._context,
            self._checks,
            self._jobs,
            self._follower,
            admin.routes(),
            lambda: self.ready,
        )

    def _register_peer_handlers(self) -> None:
        self._owner_service.register(self._server)
        self._checks.register(self._server)
        self._follower.register_handlers(self._server)
        self._cell_status.register_handlers(self._server)

    async def _run_tasks(self) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(self._membership.run())
            group.create_task(self._follower.run())
            group.create_task(self._vm_list.run())
            group.create_task(self._shards.run())
            group.create_task(self._checks.serve())
            group.create_task(self._ingress.run())

    def _live_peer_addresses(self) -> list[str]:
        return [p.peer_address for p in self._membership.processes.values()]

    def _status(self) -> StatusReply:
        settings = self.settings
        return StatusReply(
            process_id=settings.process_id,
            incarnation=self._context.incarnation,
            zone=settings.zone,
            ready=self.ready,
            store_up=self._membership.store_up,
            shards=self._owner_service.status,
            documents=self._follower.versions,
            targets=self._checks.target_counts,
            checks=self._checks.check_counts,
        )
