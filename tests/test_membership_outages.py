"""Membership through outages of the store, alone and combined with other faults."""

import asyncio
import random

import pytest
from cells import SETTINGS, drain, run

from flamingoway.context import Context
from flamingoway.errors import StoreOutcomeUnknown, StoreUnavailable
from flamingoway.membership import Membership, SessionLost
from flamingoway.ownership import decode_owner
from flamingoway.settings import parse_settings
from flamingoway.store.etcd import EtcdStore
from flamingoway.takeover import candidates
from standins.etcd_server import EtcdServer

RANDOM_STEPS = 30


def test_a_short_outage_keeps_the_session():
    async def body(cell):
        a, b = cell.start("a"), cell.start("b")
        await cell.clock.advance(1)
        acquired = await a.acquire("s")
        queue = a.subscribe()
        cell.set_down(True)
        await cell.clock.advance(1.5)
        cell.set_down(False)
        await cell.clock.advance(5)
        assert not drain(queue, SessionLost)
        assert b.owners["s"] == acquired.owner

    run(body)


def test_a_long_outage_keeps_the_process_list_and_the_owner_reclaims_first():
    """Guards against an outage that empties the process list or moves every shard."""

    async def body(cell):
        memberships = {name: cell.start(name) for name in "abc"}
        await cell.clock.advance(1)
        live = memberships["a"].processes.values()
        first, owner, _ = [p.process_id for p in candidates("s", "brittany", live)]
        acquired = await memberships[owner].acquire("s")
        queue = memberships[owner].subscribe()
        claim = asyncio.create_task(memberships[first].claim("s"))
        cell.set_down(True)
        await cell.clock.advance(60)
        assert not memberships["a"].store_up
        assert not drain(queue, SessionLost)
        cell.set_down(False)
        for _ in range(20):
            await cell.clock.advance(0.1)
            assert all(len(m.processes) == 3 for m in memberships.values())
        assert [e.held for e in drain(queue, SessionLost)] == [[acquired.owner]]
        assert await memberships[owner].reclaim(acquired.owner)
        await cell.clock.advance(5)
        assert memberships["a"].owners["s"] == acquired.owner
        assert not claim.done() and memberships["a"].store_up
        claim.cancel()

    run(body)


def test_processes_that_do_not_return_after_an_outage_are_dropped():
    async def body(cell):
        a, _ = cell.start("a"), cell.start("b")
        await cell.clock.advance(1)
        cell.set_down(True)
        cell.kill("b")
        await cell.clock.advance(60)
        assert set(a.processes) == {"a", "b"}
        cell.set_down(False)
        await cell.clock.advance(6)
        assert set(a.processes) == {"a"}

    run(body)


async def manage_shard(cell, name, acquired):
    """Act as a process's shard manager; add each acquisition to ``acquired``."""
    membership = cell.memberships[name]
    events = membership.subscribe()
    while True:
        current = await membership.claim("s")
        acquired.append(current)
        owned = True
        while owned:
            if isinstance(await events.get(), SessionLost):
                owned = await reclaim(cell, membership, current.owner)


async def reclaim(cell, membership, owner):
    while True:
        try:
            return await membership.reclaim(owner)
        except (StoreUnavailable, StoreOutcomeUnknown):
            await cell.clock.sleep(0.3)


def inject_fault(cell, rng, name, dead, start):
    """Start or end one random fault."""
    store = cell.stores[name]

    def kill():
        if name not in dead:
            dead.add(name)
            cell.kill(name)
            cell.kill(f"{name} manager")

    def revive():
        if name in dead:
            dead.discard(name)
            start(name)

    def set_down(down):
        store.down = down

    actions = [
        store.pause,
        store.resume,
        store.break_watches,
        kill,
        revive,
        cell.engine.compact,
        lambda: set_down(True),
        lambda: set_down(False),
        lambda: store.drop_answers(rng.randint(1, 6)),
        lambda: store.drop_requests(rng.randint(1, 6)),
        lambda: store.fail_next(rng.randint(1, 6)),
        lambda: cell.set_down(True),
        lambda: cell.set_down(False),
    ]
    rng.choice(actions)()


@pytest.mark.parametrize("seed", range(4))
def test_random_faults_never_give_an_epoch_two_owners(seed):
    """Guards against reused epochs, forgotten former owners and stuck shards."""

    async def body(cell):
        rng = random.Random(seed)
        acquired, dead, starts = [], set(), dict.fromkeys("abcd", 0)

        def start(name):
            starts[name] += 1
            cell.start(name, incarnation=f"{name}-{starts[name]}")
            task = asyncio.create_task(manage_shard(cell, name, acquired))
            cell.tasks[f"{name} manager"] = task

        for name in starts:
            start(name)
        for _ in range(RANDOM_STEPS):
            inject_fault(cell, rng, rng.choice("abcd"), dead, start)
            await cell.clock.advance(rng.choice([0.05, 0.3, 1, 3, 6]))
        for store in cell.stores.values():
            store.heal()
        for name in dead:
            start(name)
        await cell.clock.advance(12)
        epochs = [a.owner.epoch for a in acquired]
        assert epochs == sorted(set(epochs))
        owner = decode_owner(await cell.owner())
        assert owner in [a.owner for a in acquired]
        for membership in cell.memberships.values():
            assert set(membership.processes) == set("abcd")
            assert membership.owners == {"s": owner}
        for earlier, later in zip(acquired, acquired[1:], strict=False):
            known = {later.owner.process_id, later.predecessor.process_id}
            known |= {former.process_id for former in later.owner.former}
            assert earlier.owner.process_id in known

    run(body)


def test_membership_over_the_etcd_adapter_survives_a_restart_of_the_service():
    """Guards against faults that occur only over the real etcd protocol."""
    text = SETTINGS.format(name="a", region="brittany", port=1)
    text = text.replace("store: {", "store: {session_ttl_s: 1, ")

    async def until(condition):
        while True:
            if condition():
                return
            await asyncio.sleep(0.02)

    async def body():
        server = EtcdServer()
        context = Context(parse_settings(text.encode()), rng=random.Random(1))
        async with server.listen() as port:
            store = EtcdStore(f"127.0.0.1:{port}", 1.0)
            membership = Membership(context, store)
            events = membership.subscribe()
            running = asyncio.create_task(membership.run())
            owner = (await membership.claim("s")).owner
            await until(lambda: membership.owners == {"s": owner})
        await until(lambda: not membership.store_up)
        assert set(membership.processes) == {"a"}
        async with server.listen(port):
            while not isinstance(await events.get(), SessionLost):
                pass
            await until(lambda: membership.store_up)
            assert await membership.reclaim(owner)
            await membership.close()
            assert server.engine.lease_ids == []
            running.cancel()
            await store.close()

    asyncio.run(asyncio.wait_for(body(), 30))
