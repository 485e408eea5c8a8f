"""Membership: sessions, acquisition, release and takeover of shards."""

import asyncio
import random

import pytest
from cells import KEYS, drain, run

from flamingoway.errors import StoreOutcomeUnknown, StoreUnavailable
from flamingoway.membership import SessionLost
from flamingoway.store import Delete, Put
from flamingoway.takeover import candidates, takeover_delay


def test_processes_are_listed_until_their_session_expires():
    async def body(cell):
        a, b = cell.start("a"), cell.start("b")
        await cell.clock.advance(1)
        assert set(a.processes) == set(b.processes) == {"a", "b"}
        assert a.store_up and a.last_store_contact > 0
        cell.kill("b")
        await cell.clock.advance(6)
        assert set(a.processes) == {"a"}

    run(body)


@pytest.mark.parametrize("seed", range(5))
def test_one_of_two_racing_processes_wins(seed):
    """Guards against two owners with the same epoch."""

    async def body(cell):
        racers = [cell.start("a"), cell.start("b")]
        await cell.clock.advance(1)
        random.Random(seed).shuffle(racers)
        results = await asyncio.gather(*(m.acquire("s") for m in racers))
        winners = [r for r in results if r]
        assert len(winners) == 1
        assert winners[0].owner.epoch == 1
        assert winners[0].predecessor is None
        await cell.clock.advance(1)
        assert all(m.owners == {"s": winners[0].owner} for m in racers)

    run(body)


def test_an_expired_owner_is_replaced_with_a_higher_epoch():
    """Guards against a shard that stays without an owner, and a reused epoch."""

    async def body(cell):
        memberships = {name: cell.start(name) for name in "abc"}
        await cell.clock.advance(1)
        for epoch in (1, 2, 3):
            claims = {
                n: asyncio.create_task(m.claim("s")) for n, m in memberships.items()
            }
            await cell.clock.advance(8)
            done = {n: t.result() for n, t in claims.items() if t.done()}
            assert len(done) == 1
            (name, acquired), *_ = done.items()
            assert acquired.owner.epoch == epoch
            assert (acquired.predecessor is None) == (epoch == 1)
            for claim in claims.values():
                claim.cancel()
            cell.kill(name)
            del memberships[name]

    run(body)


def test_the_next_in_rank_takes_over_from_a_paused_process():
    """Guards against a takeover blocked by one unresponsive process."""

    async def body(cell):
        memberships = {name: cell.start(name) for name in "abc"}
        await cell.clock.advance(1)
        live = memberships["a"].processes.values()
        first, second, _ = [p.process_id for p in candidates("s", "brittany", live)]
        cell.stores[first].pause()
        claims = [
            asyncio.create_task(memberships[n].claim("s")) for n in (first, second)
        ]
        await cell.clock.advance(1)
        assert claims[1].done() and not claims[0].done()
        claims[0].cancel()

    run(body)


def test_other_regions_take_over_only_if_none_of_the_region_is_left():
    async def body(cell):
        a, far = cell.start("a"), cell.start("far", region="andes")
        await cell.clock.advance(1)
        live = a.processes.values()
        assert takeover_delay("s", "brittany", live, "far") is None
        claim = asyncio.create_task(far.claim("s"))
        await cell.clock.advance(5)
        assert not claim.done()
        cell.kill("a")
        await cell.clock.advance(6)
        assert claim.result().owner.process_id == "far"

    run(body)


@pytest.mark.parametrize("fault", ["drop_answers", "drop_requests"])
@pytest.mark.parametrize("count", [1, 2])
def test_a_lost_answer_on_acquire_is_resolved(fault, count):
    """Guards against a shard acquired unnoticed, or an epoch raised twice."""

    async def body(cell):
        a = cell.start("a")
        await cell.clock.advance(1)
        getattr(cell.stores["a"], fault)(count)
        acquired = await a.acquire("s")
        assert acquired.owner.epoch == 1
        item = await cell.stores["a"].get(KEYS.epoch("s"))
        assert item.mod_revision == acquired.epoch_revision

    run(body)


def test_an_unresolved_acquire_keeps_its_predecessor():
    """Guards against a takeover that skips deposing the former owner."""

    async def body(cell):
        a, b = cell.start("a"), cell.start("b")
        await cell.clock.advance(1)
        old = await b.acquire("s")
        cell.kill("b")
        await cell.clock.advance(6)
        cell.stores["a"].drop_answers(3)
        with pytest.raises(StoreOutcomeUnknown):
            await a.acquire("s")
        claim = asyncio.create_task(a.claim("s"))
        await cell.clock.advance(1)
        assert claim.result().predecessor == old.owner
        assert claim.result().owner.epoch == 2

    run(body)


def test_a_retried_acquire_loses_to_an_epoch_raised_meanwhile():
    """Guards against a reused epoch after another owner has released the shard."""

    async def body(cell):
        a, b = cell.start("a"), cell.start("b")
        await cell.clock.advance(1)
        cell.stores["a"].drop_requests(3)
        with pytest.raises(StoreOutcomeUnknown):
            await a.acquire("s")
        other = await b.acquire("s")
        await b.release(other.owner)
        assert await a.acquire("s") is None
        assert (await a.acquire("s")).owner.epoch == other.owner.epoch + 1

    run(body)


def test_former_owners_are_kept_for_the_retention_period():
    """Guards against forgetting a former owner that was never deposed.

    This could happen if its successor ended before it had deposed it.
    """

    async def body(cell):
        a, b, c = (cell.start(name) for name in "abc")
        await cell.clock.advance(1)
        for membership in (a, b, c):
            acquired = await membership.acquire("s")
            await membership.release(acquired.owner)
        assert [f.process_id for f in acquired.owner.former] == ["b", "a"]
        cell.wall_offset = 7000
        acquired = await b.acquire("s")
        assert [f.process_id for f in acquired.owner.former] == ["c"]

    run(body)


def test_release_frees_the_shard_at_once_and_keeps_a_successors_key():
    """Guards against a release that removes the successor's key."""

    async def body(cell):
        a, b = cell.start("a"), cell.start("b")
        await cell.clock.advance(1)
        first = await a.acquire("s")
        await a.release(first.owner)
        second = await b.acquire("s")
        assert second.owner.epoch == 2
        await a.release(first.owner)
        await cell.clock.advance(0)
        assert a.owners["s"] == second.owner

    run(body)


def test_a_failed_release_is_retried_by_the_next_claim():
    """Guards against a shard stuck with the key of an owner that does not run."""

    async def body(cell):
        a = cell.start("a")
        await cell.clock.advance(1)
        acquired = await a.acquire("s")
        cell.stores["a"].fail_next()
        with pytest.raises(StoreUnavailable):
            await a.release(acquired.owner)
        claim = asyncio.create_task(a.claim("s"))
        await cell.clock.advance(2)
        assert claim.result().owner.epoch == 2

    run(body)


def test_an_unreadable_owner_is_neither_followed_nor_replaced():
    """Guards against one bad value that stops the membership of every process."""

    async def body(cell):
        a = cell.start("a")
        await cell.clock.advance(1)
        store = cell.stores["a"]
        await store.txn([], [Put(KEYS.owner("s"), b"?"), Put(KEYS.process("x"), b"?")])
        claim = asyncio.create_task(a.claim("s"))
        await cell.clock.advance(5)
        assert not claim.done() and a.store_up
        await store.txn([], [Delete(KEYS.owner("s"))])
        await cell.clock.advance(2)
        assert claim.result().owner.epoch == 1

    run(body)


def test_a_session_lost_while_paused_is_reported_and_its_taken_shard_not_reclaimed():
    """Guards against a paused owner that continues at its old epoch."""

    async def body(cell):
        a, b = cell.start("a"), cell.start("b")
        await cell.clock.advance(1)
        acquired = await a.acquire("s")
        queue = a.subscribe()
        claim = asyncio.create_task(b.claim("s"))
        cell.stores["a"].pause()
        await cell.clock.advance(8)
        assert claim.result().owner.epoch == 2
        cell.stores["a"].resume()
        await cell.clock.advance(2)
        assert drain(queue, SessionLost) == [SessionLost([acquired.owner])]
        assert not await a.reclaim(acquired.owner)
        assert a.owners["s"] == claim.result().owner

    run(body)


def test_a_new_session_shows_that_the_others_may_have_dropped_the_process():
    """Guards against a process that takes its view for proof that it stayed live."""

    async def body(cell):
        a, b = cell.start("a"), cell.start("b")
        await cell.clock.advance(1)
        started_at = a.session_started_at
        await cell.clock.advance(8)
        assert a.session_started_at == started_at
        cell.stores["a"].pause()
        await cell.clock.advance(8)
        assert "a" not in b.processes
        assert not a.store_up
        cell.stores["a"].resume()
        await cell.clock.advance(2)
        assert "a" in b.processes and a.store_up
        assert a.session_started_at > started_at

    run(body)


def test_a_restart_at_the_same_address_frees_its_shards_at_once():
    """Guards against waiting for the lease of an incarnation known to have ended."""

    async def body(cell):
        await asyncio.sleep(0)
        old = cell.start("a")
        await cell.clock.advance(1)
        await old.acquire("s")
        cell.kill("a")
        new = cell.start("a", incarnation="a-2")
        await cell.clock.advance(0)
        claim = asyncio.create_task(new.claim("s"))
        await cell.clock.advance(0.5)
        assert claim.result().owner.epoch == 2

    run(body)


def test_close_releases_shards_and_leases():
    async def body(cell):
        a = cell.start("a")
        await cell.clock.advance(1)
        await a.acquire("s")
        await a.close()
        await cell.clock.advance(2)
        assert await cell.owner() is None
        assert cell.engine.lease_ids == []

    run(body)


def test_acquire_without_a_session_or_store():
    async def body(cell):
        a = cell.start("a")
        assert await a.acquire("s") is None
        await cell.clock.advance(1)
        cell.set_down(True)
        with pytest.raises(StoreUnavailable):
            await a.acquire("s")
        cell.set_down(False)
        assert (await a.acquire("s")).owner.epoch == 1

    run(body)
