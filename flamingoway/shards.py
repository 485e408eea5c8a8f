"""Takes free shards and runs an owner task for each shard that was taken."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from absl import logging

from .context import Context
from .errors import FlamingowayError
from .membership import Acquired, Membership

RETRY_INTERVAL_S = 0.5


class Owner(Protocol):
    """What the manager needs of a shard owner."""

    async def run(self) -> None:
        """Own the shard until stopped or fenced."""

    async def stop(self) -> None:
        """Flush what is decided and release the shard."""


class ShardManager:
    """Owns the owner tasks of one process.

    Args:
        context: Settings and clocks of the process.
        membership: Gives the live processes and takes shards.
        make_owner: Creates the owner of a shard that was acquired.
    """

    def __init__(
        self,
        context: Context,
        membership: Membership,
        make_owner: Callable[[Acquired], Owner],
    ):
        self._context = context
        self._membership = membership
        self._make_owner = make_owner
        self._owners: dict[str, Owner] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._stopping = False

    @property
    def owners(self) -> dict[str, Owner]:
        """Owners that run in this process, by shard."""
        return {
            name: owner
            for name, owner in self._owners.items()
            if not self._tasks[name].done()
        }

    async def run(self) -> None:
        """Take free shards until cancelled."""
        changes = self._membership.subscribe()
        while True:
            for shard in self._context.settings.shards:
                await self._take_if_free(shard.name)
            try:
                await asyncio.wait_for(changes.get(), RETRY_INTERVAL_S)
            except TimeoutError:
                continue

    async def stop(self) -> None:
        """Stop all owners; each flushes and releases its shard."""
        self._stopping = True
        owners = list(self.owners.values())
        await asyncio.gather(*(owner.stop() for owner in owners))
        await self._join()

    async def _take_if_free(self, shard: str) -> None:
        if self._stopping or not self._membership.should_take(shard):
            return
        try:
            acquired = await self._membership.acquire(shard)
        except FlamingowayError as exc:
            logging.warning("shard %s not acquired: %s", shard, exc.message)
            return
        if acquired is not None:
            await self._start(shard, acquired)

    async def _start(self, shard: str, acquired: Acquired) -> None:
        # After a lost session this process may take its own shard again; the
        # former owner task is fenced by the higher epoch and must end first.
        former = self._tasks.pop(shard, None)
        if former is not None:
            former.cancel()
            await asyncio.gather(former, return_exceptions=True)
        owner = self._make_owner(acquired)
        self._owners[shard] = owner
        self._tasks[shard] = asyncio.create_task(
            self._run_owner(shard, owner), name=f"owner-{shard}"
        )

    async def _run_owner(self, shard: str, owner: Owner) -> None:
        try:
            await owner.run()
        except FlamingowayError as exc:
            logging.warning("owner of %s ended: %s", shard, exc.message)

    async def _join(self) -> None:
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
