"""Outages of the store: how they are noticed, and what becomes of lost calls."""

import asyncio

import pytest

from flamingoway.errors import StoreOutcomeUnknown, StoreUnavailable
from flamingoway.store import Put
from flamingoway.store.monitored import PROBE_INTERVAL_S, STALL_S, MonitoredStore
from standins import kv
from standins.memory import MemoryStore
from tests.virtual import run_virtual

# Scheduling of a few callbacks in virtual time.
SLACK_S = 0.05


class Rig:
    """A monitored store over one in memory."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.engine = kv.Engine(self.loop.time)
        self.memory = MemoryStore(self.engine)
        self.store = MonitoredStore(self.memory, "a", self.loop.time)

    async def put(self, value=b"1"):
        return await self.store.txn([], [Put("a", value)])


def play(body):
    async def main():
        rig = Rig()
        await rig.put()
        await body(rig)
        await rig.store.close()

    run_virtual(main)


def test_a_refusing_store_is_noticed_at_once_and_its_return_by_a_probe():
    async def body(rig):
        rig.memory.down = True
        with pytest.raises(StoreUnavailable):
            await rig.store.get("a")
        await asyncio.sleep(3.0)
        assert rig.store.outage_s == pytest.approx(3.0)
        rig.memory.down = False
        began = rig.loop.time()
        await rig.store.wait_returned(5.0)
        assert rig.loop.time() - began <= PROBE_INTERVAL_S + SLACK_S
        assert rig.store.outage_s == 0.0

    play(body)


def test_a_silent_store_is_noticed_after_the_time_of_a_stall():
    """Guards against an outage that is noticed only when a call times out."""

    async def body(rig):
        await asyncio.sleep(1.0)
        rig.memory.pause()
        call = asyncio.create_task(rig.put(b"2"))
        await asyncio.sleep(STALL_S - SLACK_S)
        assert rig.store.outage_s == 0.0
        await asyncio.sleep(3 * SLACK_S)
        assert rig.store.outage_s > 0.0
        call.cancel()

    play(body)


def test_calls_that_an_outage_swallowed_end_when_a_later_one_is_answered():
    """Guards against calls that wait for their timeout after the store has returned."""

    class Swallowing(MemoryStore):
        swallow = False

        async def txn(self, *args):
            if self.swallow:
                await asyncio.sleep(3600)
            return await super().txn(*args)

        async def changes(self, *args):
            if self.swallow:
                await asyncio.sleep(3600)
            return await super().changes(*args)

        async def get(self, key):
            if self.swallow:
                await asyncio.sleep(3600)
            return await super().get(key)

    async def body(rig):
        memory = Swallowing(rig.engine)
        rig.store = MonitoredStore(memory, "a", rig.loop.time)
        memory.swallow = True
        write = asyncio.create_task(rig.put(b"2"))
        watch = asyncio.create_task(rig.store.changes("b", 1, 0.8))
        await asyncio.sleep(3.0)
        memory.swallow = False
        await asyncio.sleep(PROBE_INTERVAL_S + SLACK_S)
        with pytest.raises(StoreOutcomeUnknown):
            write.result()
        with pytest.raises(StoreUnavailable):
            watch.result()

    play(body)


def test_one_refused_call_does_not_end_the_watches():
    async def body(rig):
        watch = asyncio.create_task(rig.store.changes("b", rig.engine.revision, 5.0))
        await asyncio.sleep(0.1)
        rig.memory.fail_next()
        with pytest.raises(StoreUnavailable):
            await rig.store.get("a")
        await asyncio.sleep(1.0)
        assert rig.store.outage_s == 0.0 and not watch.done()
        watch.cancel()

    play(body)


def test_a_slow_store_is_no_outage():
    class Slow(MemoryStore):
        async def txn(self, *args):
            await asyncio.sleep(0.5)
            return await super().txn(*args)

    async def body(rig):
        rig.store = MonitoredStore(Slow(rig.engine), "a", rig.loop.time)
        for _ in range(5):
            await rig.put()
            assert rig.store.outage_s == 0.0

    play(body)
