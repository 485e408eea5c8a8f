"""Platform store adapter: its key-value calls and the faults of the store."""

import asyncio
import time

import pytest

from flamingoway.errors import StoreOutcomeUnknown, StoreUnavailable
from flamingoway.platform.client import HttpClient
from flamingoway.platform.store import PlatformStore
from flamingoway.store import Compare, Delete, LeaseExpired, Put, RevisionCompacted
from standins.platform import StoreStandin


def run(body):
    async def main():
        standin = StoreStandin()
        async with standin.listen() as address:
            client = HttpClient(time.monotonic)
            store = PlatformStore(address, client, timeout_s=0.3)
            try:
                await asyncio.wait_for(body(store, standin), 20)
            finally:
                client.close()

    asyncio.run(main())


def absent(key):
    return Compare(key, "mod_revision", 0)


def test_a_key_is_written_once_under_a_condition():
    """Guards against a job that is accepted twice."""

    async def body(store, standin):
        first = await store.txn([absent("j/1")], [Put("j/1", b"a")])
        second = await store.txn([absent("j/1")], [Put("j/1", b"b")])
        assert first.succeeded and not second.succeeded
        assert second.reads["j/1"].value == b"a"
        item = await store.get("j/1")
        assert (item.value, item.mod_revision) == (b"a", first.revision)
        assert await store.get("none") is None

    run(body)


def test_a_range_longer_than_a_page_is_complete():
    """Guards against jobs that are missed beyond the first page."""

    async def body(store, standin):
        for index in range(1203):
            await store.txn([], [Put(f"p/{index:05}", b"x")])
        await store.txn([], [Put("q", b"")])
        result = await store.range("p/")
        assert len(result.items) == 1203
        assert [i.key for i in result.items] == sorted(i.key for i in result.items)

    run(body)


def test_changes_start_after_the_given_revision():
    """Guards against changes lost between a range read and its watch."""

    async def body(store, standin):
        await store.txn([], [Put("p/0", b"0")])
        revision = (await store.range("p/")).revision
        await store.txn([], [Put("p/1", b"1"), Put("q", b"")])
        await store.txn([], [Delete("p/0")])
        changes = await store.changes("p/", revision, 1.0)
        assert [(e.key, e.item and e.item.value) for e in changes.events] == [
            ("p/1", b"1"),
            ("p/0", None),
        ]
        empty = await store.changes("p/", changes.revision, 0.05)
        assert empty.events == []

    run(body)


def test_changes_from_compacted_history_are_refused():
    async def body(store, standin):
        for value in (b"1", b"2"):
            await store.txn([], [Put("p/0", value)])
        standin.engine.compact()
        with pytest.raises(RevisionCompacted):
            await store.changes("p/", 1, 0.05)

    run(body)


def test_an_expired_lease_removes_its_keys():
    async def body(store, standin):
        lease = await store.grant_lease(0.4)
        await store.txn([], [Put("m/1", b"", lease)])
        assert await store.keep_alive(lease) == pytest.approx(0.4)
        await asyncio.sleep(0.5)
        assert await store.get("m/1") is None
        assert await store.keep_alive(lease) == 0
        with pytest.raises(LeaseExpired):
            await store.txn([], [Put("m/1", b"", lease)])
        await store.revoke_lease(lease)

    run(body)


@pytest.mark.parametrize("status", [429, 503])
def test_a_refused_write_had_no_effect(status):
    """Guards against "outcome unknown" for a write that the store refused."""

    async def body(store, standin):
        standin.faults.status = status
        with pytest.raises(StoreUnavailable):
            await store.txn([], [Put("a", b"")])
        standin.faults.status = 0
        assert await store.get("a") is None

    run(body)


def test_a_write_with_a_lost_answer_has_an_unknown_outcome():
    """Guards against "not accepted" for a job that was stored."""

    async def body(store, standin):
        standin.faults.lost_answers = 1
        with pytest.raises(StoreOutcomeUnknown):
            await store.txn([], [Put("a", b"1")])
        assert (await store.get("a")).value == b"1"

    run(body)


def test_a_call_to_a_silent_store_times_out():
    """Guards against a connection that went silent without a reset."""

    async def body(store, standin):
        assert await store.get("a") is None
        standin.faults.silent = True
        started = time.monotonic()
        with pytest.raises(StoreUnavailable):
            await store.get("a")
        assert time.monotonic() - started < 2.0
        standin.faults.silent = False
        assert await store.get("a") is None

    run(body)


def test_a_write_to_a_closed_port_had_no_effect():
    async def body(store, standin):
        store.address = "127.0.0.1:1"
        with pytest.raises(StoreUnavailable):
            await store.txn([], [Put("a", b"")])

    run(body)
