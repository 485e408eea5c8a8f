"""Passes the VM list and environment documents to the controller of a shard."""

import asyncio

from .context import Context
from .controller import ShardController
from .follower import ActiveDocument, Follower
from .vmlist import Vm, VmList

WORKER_CHECK_INTERVAL_S = 1.0


class Feeds:
    """Inputs of the controller of one shard.

    Args:
        context: Settings of this process.
        shard: Name of the shard.
        controller: Receives workers and documents.
        vms: Source of the workers.
        follower: Source of the environment documents.
    """

    def __init__(
        self,
        context: Context,
        shard: str,
        controller: ShardController,
        vms: VmList,
        follower: Follower,
    ):
        self._settings = context.settings
        self._shard = shard
        self._controller = controller
        self._vms = vms
        self._follower = follower
        self._last_workers: list[Vm] = []

    async def check_workers(self) -> None:
        """Periodically pass on the workers and requeue the tasks of lost ones."""
        while True:
            self.attach_workers()
            self._controller.check_workers()
            await asyncio.sleep(WORKER_CHECK_INTERVAL_S)

    def attach_workers(self) -> None:
        """Pass on the list if it has changed or if a worker has no link.

        The latter attaches to a machine that has taken over the id of a lost one. An
        unchanged list is not passed on, because that costs time for every worker.
        """
        workers = self._workers()
        if workers != self._last_workers or self._controller.has_missing_link(workers):
            self._apply_workers(workers)

    async def follow_vms(self) -> None:
        """Pass on the VM list after each change."""
        changes = self._vms.subscribe()
        while True:
            await changes.get()
            self._apply_workers(self._workers())

    async def follow_documents(self) -> None:
        """Pass on the documents in effect, then each new version."""
        changes = self._follower.subscribe()
        for environment in self._settings.environments:
            active = self._follower.current(environment.name)
            if active is not None:
                self._set_document(active)
        while True:
            self._set_document(await changes.get())

    def _apply_workers(self, workers: list[Vm]) -> None:
        self._last_workers = workers
        self._controller.on_vm_list(workers)

    def _workers(self) -> list[Vm]:
        shard = self._settings.shard(self._shard)
        return [
            vm
            for vm in self._vms.vms.values()
            if vm.role == "worker"
            and vm.region == shard.region
            and vm.zone in shard.zones
        ]

    def _set_document(self, active: ActiveDocument) -> None:
        environment = self._settings.environment(active.environment)
        if environment is None or self._shard not in environment.shards:
            return
        zones = {shard.name: len(shard.zones) for shard in self._settings.shards}
        total = sum(zones[name] for name in environment.shards)
        share = zones[self._shard] / total
        scheduler = self._controller.scheduler
        scheduler.set_document(active.environment, active.document, share)
        self._controller.wake.set()
