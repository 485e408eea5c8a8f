"""Contract of the ``Store`` port, for the memory store and the etcd adapter."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from flamingoway.errors import BadRequest, StoreUnavailable
from flamingoway.store import Compare, Delete, LeaseExpired, Put
from flamingoway.store.etcd import EtcdStore
from standins.etcd_server import EtcdServer
from standins.memory import MemoryStore


class Clock:
    """Clock that a test advances."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@asynccontextmanager
async def memory(clock):
    yield MemoryStore(clock=clock)


@asynccontextmanager
async def etcd(clock):
    async with EtcdServer(clock=clock).listen() as port:
        store = EtcdStore(f"127.0.0.1:{port}", timeout_s=5.0)
        try:
            yield store
        finally:
            await store.close()


@pytest.fixture(params=[memory, etcd], ids=["memory", "etcd"])
def run_with_store(request):
    """Run an async test body with a store and its clock."""

    def run(body):
        async def main():
            clock = Clock()
            async with request.param(clock) as store:
                await asyncio.wait_for(body(store, clock), 20)

        asyncio.run(main())

    return run


def absent(key):
    return Compare(key, "mod_revision", 0)


async def put(store, key, value=b"v", lease=0):
    return (await store.txn([], [Put(key, value, lease)])).revision


def test_get_returns_what_was_put(run_with_store):
    async def body(store, clock):
        assert await store.get("a") is None
        first = await put(store, "a", b"1")
        second = await put(store, "a", b"2")
        item = await store.get("a")
        assert (item.value, item.create_revision) == (b"2", first)
        assert item.mod_revision == second > first

    run_with_store(body)


def test_range_returns_only_the_prefix_in_order(run_with_store):
    """Guards against leaking keys of a neighbouring prefix."""

    async def body(store, clock):
        for key in ("p/2", "p/1", "p0", "o", "p/3", "p/10"):
            await put(store, key)
        result = await store.range("p/")
        assert [i.key for i in result.items] == ["p/1", "p/10", "p/2", "p/3"]
        assert result.revision == result.items[-1].mod_revision + 1
        limited = await store.range("p/", start="p/10", limit=2)
        assert [i.key for i in limited.items] == ["p/10", "p/2"]

    run_with_store(body)


@pytest.mark.parametrize(
    "compare, holds",
    [
        (Compare("a", "value", b"1"), True),
        (Compare("a", "value", b"2"), False),
        (Compare("none", "value", b""), False),
        (Compare("a", "mod_revision", 0), False),
        (Compare("none", "mod_revision", 0), True),
        (Compare("none", "create_revision", 0), True),
        (Compare("a", "create_revision", 0), False),
    ],
)
def test_txn_applies_only_if_the_condition_holds(run_with_store, compare, holds):
    """Guards against a commit by a fenced owner."""

    async def body(store, clock):
        await put(store, "a", b"1")
        result = await store.txn([compare], [Put("b", b"x")], ["a", "none"])
        assert result.succeeded == holds
        assert (await store.get("b") is not None) == holds
        assert set(result.reads) == (set() if holds else {"a"})

    run_with_store(body)


def test_txn_is_atomic(run_with_store):
    """Guards against a partly applied transaction."""

    async def body(store, clock):
        await put(store, "log/1")
        await put(store, "log/2")
        await put(store, "log/3")
        operations = [Delete("log/1", "log/3"), Delete("none"), Put("head", b"2")]
        result = await store.txn([absent("head")], operations)
        items = (await store.range("log/")).items
        assert [i.key for i in items] == ["log/3"]
        assert (await store.get("head")).mod_revision == result.revision
        with pytest.raises(LeaseExpired):
            await store.txn([], [Put("x", b""), Put("y", b"", lease=99)])
        assert await store.get("x") is None

    run_with_store(body)


def test_values_up_to_a_mebibyte(run_with_store):
    async def body(store, clock):
        large = b"x" * (1 << 20)
        await put(store, "a", large)
        assert (await store.get("a")).value == large
        with pytest.raises(BadRequest):
            await put(store, "b", large + b"x")
        assert await store.get("b") is None

    run_with_store(body)


def test_an_expired_lease_removes_its_keys(run_with_store):
    """Guards against an owner key that outlives its process."""

    async def body(store, clock):
        lease = await store.grant_lease(4)
        await put(store, "owner", lease=lease)
        clock.now += 3.9
        assert await store.keep_alive(lease) == 4
        clock.now += 3.9
        assert (await store.get("owner")).lease == lease
        clock.now += 0.2
        assert await store.get("owner") is None
        assert await store.keep_alive(lease) == 0
        with pytest.raises(LeaseExpired):
            await put(store, "owner", lease=lease)
        await store.revoke_lease(lease)

    run_with_store(body)


def test_revoke_removes_only_keys_still_bound_to_the_lease(run_with_store):
    async def body(store, clock):
        old, new = await store.grant_lease(4), await store.grant_lease(4)
        for key in ("a", "b"):
            await put(store, key, lease=old)
        await put(store, "b", lease=new)
        await store.revoke_lease(old)
        assert await store.get("a") is None
        assert await store.get("b") is not None

    run_with_store(body)


def test_watch_replays_history_and_follows(run_with_store):
    """Guards against changes lost between a range read and its watch."""

    async def body(store, clock):
        await put(store, "p/0")
        revision = (await store.range("p/")).revision
        await store.txn([], [Put("p/1", b"1"), Put("q", b""), Put("p/2", b"2")])
        await put(store, "q")
        watch = store.watch("p/", revision + 1)
        first = await anext(watch)
        assert [(e.key, e.item.value) for e in first.events] == [
            ("p/1", b"1"),
            ("p/2", b"2"),
        ]
        deleted = await store.txn([], [Delete("p/1")])
        second = await anext(watch)
        assert second.revision == deleted.revision
        assert [(e.key, e.item) for e in second.events] == [("p/1", None)]
        await watch.aclose()

    run_with_store(body)


def test_watch_reports_an_expired_lease(run_with_store):
    """Guards against a takeover that is delayed until the next poll."""

    async def body(store, clock):
        lease = await store.grant_lease(1)
        revision = await put(store, "p/1", lease=lease)
        watch = store.watch("p/", revision + 1)
        clock.now += 2
        assert await store.get("other") is None
        batch = await anext(watch)
        assert [(e.key, e.item) for e in batch.events] == [("p/1", None)]
        await watch.aclose()

    run_with_store(body)


def test_closing_the_store_ends_its_watches(run_with_store):
    async def body(store, clock):
        watch = store.watch("p/", 0)
        waiting = asyncio.create_task(anext(watch))
        await asyncio.sleep(0.05)
        await store.close()
        with pytest.raises(StoreUnavailable):
            await waiting

    run_with_store(body)
