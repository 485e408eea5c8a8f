"""Claims shards and runs an owner task for each shard that this process holds."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from absl import logging

from .context import Context
from .errors import FlamingowayError, StoreOutcomeUnknown, StoreUnavailable
from .membership import Membership, SessionLost
from .messages import OwnerInfo
from .ownership import Acquisition
from .store.watch import Sleep
from .takeover import candidates

RECLAIM_INTERVAL_S = 0.3
# Interval of the check for shards that another process should hold.
BALANCE_INTERVAL_S = 5.0
# Uptime that a process needs before a shard is handed over to it, so that shards do
# not move to a process that restarts in a loop.
MIN_UPTIME_S = 15.0


class Owner(Protocol):
    """Interface of a shard owner to the manager."""

    async def run(self) -> None:
        """Own the shard until stopped or fenced."""

    async def stop(self) -> None:
        """Commit pending decisions and release the shard."""


class ShardManager:
    """Runs the shard owners of one process.

    Args:
        context: Settings, clocks and random numbers.
        membership: Claims shards and reports lost sessions.
        make_owner: Creates the owner of an acquired shard.
        sleep: Waits some seconds; tests pass that of a fake clock.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        make_owner: Callable[[Acquisition], Owner],
        sleep: Sleep = asyncio.sleep,
    ):
        self._context = context
        self._membership = membership
        self._make_owner = make_owner
        self._sleep = sleep
        self._owners: dict[str, Owner] = {}
        self._tasks: list[asyncio.Task] = []
        self._stopping = False

    @property
    def owners(self) -> dict[str, Owner]:
        """Owners that run in this process, by shard."""
        return self._owners

    async def run(self) -> None:
        """Claim shards and keep them until cancelled."""
        events = self._membership.subscribe()
        self._tasks = [
            asyncio.create_task(self._claim_and_own(shard.name))
            for shard in self._context.settings.shards
        ]
        self._tasks.append(asyncio.create_task(self._balance()))
        try:
            while True:
                event = await events.get()
                if isinstance(event, SessionLost):
                    await self._reclaim(event.held)
        finally:
            self._membership.unsubscribe(events)
            await self._cancel_tasks()

    async def stop(self) -> None:
        """Stop all owners; each commits pending decisions and releases its shard."""
        # This process must not claim the released shards again.
        self._stopping = True
        await asyncio.gather(*(owner.stop() for owner in self._owners.values()))
        await self._cancel_tasks()

    async def _claim_and_own(self, shard: str) -> None:
        while not self._stopping:
            acquired = await self._membership.claim(shard)
            owner = self._make_owner(acquired)
            self._owners[shard] = owner
            try:
                await owner.run()
            except FlamingowayError as exc:
                logging.warning("owner of shard %s ended: %s", shard, exc.message)
            finally:
                self._owners.pop(shard, None)

    async def _balance(self) -> None:
        """Hand over one shard at a time to the process that should hold it.

        This is needed because the first process of a cell claims every shard, also
        those of other regions.
        """
        while not self._stopping:
            await self._sleep(BALANCE_INTERVAL_S)
            shard = next(filter(self._should_hand_over, list(self._owners)), None)
            if shard is not None and self._membership.store_up:
                logging.info("shard %s: handing over to a higher ranked process", shard)
                await self._owners[shard].stop()

    def _should_hand_over(self, shard: str) -> bool:
        region = self._context.settings.shard(shard).region
        processes = self._membership.processes.values()
        best = next(iter(candidates(shard, region, processes)), None)
        if best is None or best.process_id == self._context.settings.process_id:
            return False
        return self._context.wall_clock() - best.started_at > MIN_UPTIME_S

    async def _reclaim(self, held: list[OwnerInfo]) -> None:
        for owner in held:
            if not await self._reclaim_one(owner):
                # The owner is fenced at its next commit, as the epoch has changed.
                logging.warning("shard %s was taken by another process", owner.shard)

    async def _reclaim_one(self, owner: OwnerInfo) -> bool:
        while owner.shard in self._owners:
            try:
                return await self._membership.reclaim(owner)
            except (StoreUnavailable, StoreOutcomeUnknown):
                await self._sleep(RECLAIM_INTERVAL_S)
        return False

    async def _cancel_tasks(self) -> None:
        await _cancel(self._tasks)
        self._tasks = []


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
