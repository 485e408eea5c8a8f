"""Shard manager: claims, handovers and releases of shards by one process."""

import asyncio
from dataclasses import dataclass, field

import pytest

from flamingoway.context import Context
from flamingoway.errors import StoreUnavailable
from flamingoway.membership import SessionLost
from flamingoway.messages import OwnerInfo, ProcessInfo
from flamingoway.ownership import Acquisition
from flamingoway.settings import load_settings
from flamingoway.shards import MIN_UPTIME_S, ShardManager

SETTINGS = load_settings("examples/settings/node.yaml")
OWN = SETTINGS.process_id
NOW = 1000.0


def process(name: str, region: str, age_s: float) -> ProcessInfo:
    return ProcessInfo(name, name, region, "z", "a", "h", NOW - age_s)


@dataclass
class FakeMembership:
    """Grants each shard of ``free`` once; blocks claims of others until freed."""

    free: list[str]
    processes: dict[str, ProcessInfo] = field(default_factory=dict)
    reclaims: list = field(default_factory=list)
    store_up: bool = True
    events: asyncio.Queue = field(default_factory=asyncio.Queue)
    freed: asyncio.Event = field(default_factory=asyncio.Event)
    epoch: int = 0

    def subscribe(self) -> asyncio.Queue:
        return self.events

    def unsubscribe(self, _queue) -> None:
        pass

    async def claim(self, shard: str) -> Acquisition:
        while shard not in self.free:
            await self.freed.wait()
            self.freed.clear()
        self.free.remove(shard)
        self.epoch += 1
        return Acquisition(OwnerInfo(shard, self.epoch, OWN, "i", "a"), None, 1)

    async def reclaim(self, _owner: OwnerInfo) -> bool:
        outcome = self.reclaims.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class FakeOwner:
    """Runs until stopped; a stopped shard is free again."""

    def __init__(self, membership: FakeMembership, shard: str):
        self._membership = membership
        self.shard = shard
        self.stopped = asyncio.Event()

    async def run(self) -> None:
        await self.stopped.wait()

    async def stop(self) -> None:
        self.stopped.set()
        self._membership.free.append(self.shard)
        self._membership.freed.set()


async def let_tasks_run() -> None:
    for _ in range(50):
        await asyncio.sleep(0)


async def start_manager(membership: FakeMembership, sleep):
    created: list[FakeOwner] = []

    def make_owner(acquired: Acquisition) -> FakeOwner:
        created.append(FakeOwner(membership, acquired.owner.shard))
        return created[-1]

    context = Context(SETTINGS, wall_clock=lambda: NOW)
    manager = ShardManager(context, membership, make_owner, sleep)
    task = asyncio.create_task(manager.run())
    await let_tasks_run()
    return manager, created, task


async def never(_seconds: float) -> None:
    await asyncio.Event().wait()


def test_a_stopped_process_does_not_claim_its_released_shard_again():
    async def run() -> None:
        manager, created, task = await start_manager(
            FakeMembership(["brittany"]), never
        )
        await manager.stop()
        await let_tasks_run()
        task.cancel()
        assert [owner.shard for owner in created] == ["brittany"]
        assert manager.owners == {}

    asyncio.run(run())


@pytest.mark.parametrize(
    "others, handed_over",
    [
        ([], False),
        ([process("entry-and", "andes", MIN_UPTIME_S + 1)], True),
        ([process("entry-and", "andes", MIN_UPTIME_S - 1)], False),
    ],
)
def test_a_shard_of_another_region_is_handed_over_after_the_minimum_uptime(
    others, handed_over
):
    """Guards against all shards staying on the process that started first."""

    async def run() -> None:
        ticks = [True]

        async def sleep_once(_seconds: float) -> None:
            if not ticks:
                await asyncio.Event().wait()
            ticks.pop()

        own = process(OWN, "brittany", 100)
        processes = {p.process_id: p for p in [own, *others]}
        membership = FakeMembership(["andes"], processes)
        _manager, created, task = await start_manager(membership, sleep_once)
        task.cancel()
        assert created[0].stopped.is_set() == handed_over

    asyncio.run(run())


def test_a_shard_of_a_lost_session_is_reclaimed_after_store_failures():
    async def run() -> None:
        async def no_wait(seconds: float) -> None:
            if seconds >= 1:
                await never(seconds)
            await asyncio.sleep(0)

        membership = FakeMembership(["brittany"])
        membership.reclaims = [StoreUnavailable("down"), StoreUnavailable("down"), True]
        manager, created, task = await start_manager(membership, no_wait)
        membership.events.put_nowait(
            SessionLost([OwnerInfo("brittany", 1, OWN, "i", "a")])
        )
        await let_tasks_run()
        task.cancel()
        assert membership.reclaims == []
        assert list(manager.owners) == ["brittany"]
        assert len(created) == 1

    asyncio.run(run())
