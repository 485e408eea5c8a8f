"""Keeps the controller of a shard in line with VM list and environment documents."""

import asyncio

from .context import Context
from .controller import ShardController
from .follower import ActiveDocument, Follower
from .vmlist import Vm, VmList

WORKER_CHECK_S = 1.0


class Feeds:
    """Input of one shard owner.

    Args:
        context: Settings of this process.
        shard: Name of the shard.
        controller: Receives workers and documents.
        vms: Gives the workers.
        follower: Gives the environment documents.
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
        self._passed_on: list[Vm] = []

    async def check_workers(self) -> None:
        """Look for workers whose tasks are proved lost, at intervals."""
        while True:
            self.attach_workers()
            self._controller.check_workers()
            await asyncio.sleep(WORKER_CHECK_S)

    def attach_workers(self) -> None:
        """Pass on a changed list, and attach to workers without a link.

        Machines that took over the id of a lost one are attached to again. Passing
        on an unchanged list each second would cost time for every worker.
        """
        workers = self._workers()
        if workers != self._passed_on or self._controller.has_missing_link(workers):
            self._pass_on(workers)

    async def follow_vms(self) -> None:
        """Pass on changes of the VM list."""
        changes = self._vms.subscribe()
        while True:
            await changes.get()
            self._pass_on(self._workers())

    async def follow_documents(self) -> None:
        """Pass on the documents in effect and their successors."""
        changes = self._follower.subscribe()
        for environment in self._settings.environments:
            active = self._follower.current(environment.name)
            if active is not None:
                self._set_document(active)
        while True:
            self._set_document(await changes.get())

    def _pass_on(self, workers: list[Vm]) -> None:
        self._passed_on = workers
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
