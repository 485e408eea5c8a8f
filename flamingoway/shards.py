"""Claims shards and runs an owner task for each shard that this process holds."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from absl import logging

from .errors import FlamingowayError, StoreOutcomeUnknown, StoreUnavailable
from .membership import Membership, SessionLost
from .messages import OwnerInfo
from .ownership import Acquired

RECLAIM_INTERVAL_S = 0.3


class Owner(Protocol):
    """What the manager needs of a shard owner."""

    async def run(self) -> None:
        """Own the shard until stopped or fenced."""

    async def stop(self) -> None:
        """Flush what is decided and release the shard."""


class ShardManager:
    """Owns the owner tasks of one process.

    Args:
        shards: Names of the shards of the cell.
        membership: Claims shards and tells of lost sessions.
        make_owner: Creates the owner of a shard that was acquired.
    """

    def __init__(
        self,
        shards: list[str],
        membership: Membership,
        make_owner: Callable[[Acquired], Owner],
    ):
        self._shards = shards
        self._membership = membership
        self._make_owner = make_owner
        self._owners: dict[str, Owner] = {}
        self._claims: list[asyncio.Task] = []
        self._stopping = False

    @property
    def owners(self) -> dict[str, Owner]:
        """Owners that run in this process, by shard."""
        return self._owners

    async def run(self) -> None:
        """Claim shards and keep them until cancelled."""
        events = self._membership.subscribe()
        self._claims = [
            asyncio.create_task(self._hold(shard), name=f"shard-{shard}")
            for shard in self._shards
        ]
        try:
            while True:
                event = await events.get()
                if isinstance(event, SessionLost):
                    await self._reclaim(event.held)
        finally:
            self._membership.unsubscribe(events)
            await self._cancel_claims()

    async def stop(self) -> None:
        """Stop all owners; each flushes and releases its shard."""
        # A shard that is released must not be claimed again by this process.
        self._stopping = True
        await asyncio.gather(*(owner.stop() for owner in self._owners.values()))
        await self._cancel_claims()

    async def _hold(self, shard: str) -> None:
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

    async def _reclaim(self, held: list[OwnerInfo]) -> None:
        for owner in held:
            if not await self._reclaim_one(owner):
                # The next commit of the owner task fails on the epoch.
                logging.warning("shard %s was taken by another process", owner.shard)

    async def _reclaim_one(self, owner: OwnerInfo) -> bool:
        while owner.shard in self._owners:
            try:
                return await self._membership.reclaim(owner)
            except (StoreUnavailable, StoreOutcomeUnknown):
                await asyncio.sleep(RECLAIM_INTERVAL_S)
        return False

    async def _cancel_claims(self) -> None:
        await _cancel(self._claims)
        self._claims = []


async def _cancel(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
