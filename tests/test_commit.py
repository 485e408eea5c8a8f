"""Group commit under faults: no group is lost, repeated or wrongly discarded."""

import asyncio

import pytest

from flamingoway import snapshot
from flamingoway.commit import MAX_GROUP_BYTES, GroupCommitter, LogPosition
from flamingoway.core.effects import Batch, Reply
from flamingoway.errors import Fenced, StoreOutcomeUnknown, StoreUnavailable
from flamingoway.records import CancelRequested, TaskEnded
from flamingoway.snapshot import SnapshotWriter, load
from flamingoway.store import Put
from flamingoway.store.keys import Keys
from standins.memory import MemoryStore
from tests.owner_bench import make_context, until

KEYS = Keys("test")


class Harness:
    """A committer on a memory store; ``done`` lists the effects it released."""

    def __init__(self, store=None):
        self.store = store or MemoryStore()
        self.done = []
        self.committer = None

    async def open(self, epoch=1):
        result = await self.store.txn([], [Put(KEYS.epoch("s"), b"%d" % epoch)])
        loaded = await load(self.store, KEYS, "s")
        self.position = LogPosition("s", epoch, result.revision, loaded.next_seq)
        self.committer = GroupCommitter(
            make_context(), self.store, self.position, self.done.extend
        )
        self.task = asyncio.create_task(self.committer.run())
        return self

    def add(self, name, records=1):
        batch = Batch([CancelRequested(name)] * records, [Reply(name, 1001)])
        self.committer.add(batch)

    async def logged(self):
        loaded = await load(self.store, KEYS, "s")
        return [getattr(r, "job_id", "") for r in loaded.records]

    async def close(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        return self.committer.abandon()


class LimitedStore(MemoryStore):
    """A store that is down after ``allowed`` more transactions."""

    allowed = 1000

    async def txn(self, *args):
        self.allowed -= 1
        if self.allowed < 0:
            raise StoreUnavailable("down")
        return await super().txn(*args)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 20))


FAULTS = {
    "no fault": lambda store: None,
    "answer lost after the effect": lambda store: store.drop_answers(1),
    "answer lost twice": lambda store: store.drop_answers(2),
    "lost before the effect": lambda store: store.drop_requests(1),
    "unavailable": lambda store: store.fail_next(2),
    "lost, then unavailable": lambda store: store.drop_answers(1),
}


@pytest.mark.parametrize("fault", list(FAULTS), ids=list(FAULTS))
def test_a_group_is_committed_once_and_in_order(fault):
    async def scenario():
        harness = await Harness().open()
        FAULTS[fault](harness.store)
        harness.add("a")
        if fault.endswith("then unavailable"):
            await until(lambda: harness.store.calls["txn"] >= 2)
            harness.store.fail_next(1)
        harness.add("b")
        await until(lambda: len(harness.done) == 2)
        assert [effect.waiter for effect in harness.done] == ["a", "b"]
        assert await harness.logged() == ["a", "b"]
        await harness.close()

    run(scenario())


def test_effects_wait_for_a_slow_write():
    """Guards against a reply or a start that is sent before the commit."""

    async def scenario():
        harness = await Harness().open()
        harness.store.pause()
        harness.add("a")
        harness.committer.add(Batch([], [Reply("refusal", 2007)]))
        await until(lambda: harness.store.calls["txn"] == 2)
        assert harness.done == []
        harness.store.resume()
        await until(lambda: len(harness.done) == 2)
        assert [effect.waiter for effect in harness.done] == ["a", "refusal"]
        await harness.close()

    run(scenario())


def test_a_batch_over_the_limit_is_split_and_its_effects_come_last():
    """Guards against a value that exceeds the size limit of the store."""

    async def scenario():
        harness = await Harness().open()
        record = TaskEnded("j/0", 1, "succeeded", bytes(200 * 1024))
        harness.committer.add(Batch([record] * 7, [Reply("big", 1001)]))
        harness.add("small")
        await until(lambda: len(harness.done) == 2)
        items = (await harness.store.range(KEYS.log("s"))).items
        assert max(len(item.value) for item in items) < MAX_GROUP_BYTES + 1024
        assert len(await harness.logged()) == 8
        await harness.close()

    run(scenario())


def test_a_fenced_owner_writes_nothing_and_reports_discarded_batches():
    async def scenario():
        old = await Harness().open(1)
        new = await Harness(old.store).open(2)
        old.add("a")
        with pytest.raises(Fenced):
            await old.task
        old.add("b")
        abandoned = old.committer.abandon()
        assert [e.waiter for e in abandoned.discarded] == ["a", "b"]
        assert not abandoned.unresolved
        assert await new.logged() == []
        await new.close()

    run(scenario())


def test_a_group_whose_lost_answer_is_found_after_the_takeover_is_committed():
    """Guards against reporting "not run" for a group that the new owner has read."""

    async def scenario():
        old = await Harness().open(1)
        old.store.drop_answers(1)
        old.add("a")
        await until(lambda: old.store.calls["txn"] >= 2)
        new = await Harness(MemoryStore(old.store.engine)).open(2)
        await until(lambda: old.done)
        assert await new.logged() == ["a"]
        await old.close()
        await new.close()

    run(scenario())


@pytest.mark.parametrize("applied", [True, False])
def test_a_group_that_may_be_in_the_new_owners_snapshot_is_unresolved(applied):
    """Guards against reporting "not run" for a possibly committed group.

    The new owner's snapshot truncates the log, so that a missing log entry no longer
    shows that the group was not committed.
    """

    async def scenario():
        old = await Harness().open(1)
        if applied:
            old.store.drop_answers(1)
        else:
            old.store.drop_requests(1)
        old.add("a")
        await until(lambda: old.store.calls["txn"] >= 2)
        old.store.pause()
        view = MemoryStore(old.store.engine)
        new = await Harness(view).open(2)
        new.add("b")
        await until(lambda: new.done)
        await _writer(view, new.position).write([b"x"], new.position.next_seq - 1, 1)
        old.store.resume()
        with pytest.raises(Fenced):
            await old.task
        assert [e.waiter for e in old.committer.abandon().unresolved] == ["a"]
        await new.close()

    run(scenario())


def test_stopping_during_an_outage_leaves_the_group_unresolved():
    async def scenario():
        harness = await Harness().open()
        harness.store.drop_requests(1)
        harness.add("a")
        await until(lambda: harness.store.calls["txn"] >= 2)
        harness.store.down = True
        harness.add("b")
        abandoned = await harness.close()
        assert [e.waiter for e in abandoned.unresolved] == ["a"]
        assert [e.waiter for e in abandoned.discarded] == ["b"]

    run(scenario())


def _writer(store, position):
    return SnapshotWriter(store, KEYS, "s", position.epoch_revision)


def test_a_snapshot_replaces_the_log_up_to_its_group():
    async def scenario():
        harness = await Harness().open()
        marks = []
        harness.add("a")
        harness.committer.add_marker(marks.append)
        harness.add("b")
        await until(lambda: len(harness.done) == 2)
        assert marks == [1]
        harness.store.drop_answers(1)
        await _writer(harness.store, harness.position).write([b"x", b"y"], marks[0], 1)
        loaded = await load(harness.store, KEYS, "s")
        assert loaded.snapshot == [b"x", b"y"]
        assert [r.job_id for r in loaded.records] == ["b"]
        assert loaded.next_seq == 3
        await harness.close()

    run(scenario())


@pytest.mark.parametrize("writes", [1, 2, 3])
def test_an_interrupted_snapshot_leaves_the_former_one_in_effect(writes):
    """Guards against a snapshot with parts of two versions.

    It would come about if the process was killed between two writes.
    """

    async def scenario():
        harness = await Harness(LimitedStore()).open()
        writer = _writer(harness.store, harness.position)
        await writer.write([b"old"], 0, 1)
        harness.add("a")
        await until(lambda: harness.done)
        harness.store.allowed = writes
        task = asyncio.create_task(writer.write([b"n1", b"n2", b"n3"], 1, 2))
        await until(lambda: harness.store.allowed < 0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        harness.store.allowed = 1000
        loaded = await load(harness.store, KEYS, "s")
        assert loaded.snapshot == [b"old"]
        assert [r.job_id for r in loaded.records] == ["a"]
        await writer.write([b"z"], 1, 2)
        assert (await load(harness.store, KEYS, "s")).snapshot == [b"z"]
        assert len((await harness.store.range(KEYS.snapshots("s"))).items) == 1
        await harness.close()

    run(scenario())


class DelayingStore(MemoryStore):
    """A store that delays the first write of one key and reports it as unknown."""

    def __init__(self, key):
        super().__init__()
        self.key = key
        self.delayed = None

    async def txn(self, compares, operations, read_on_failure=None):
        keys = [operation.key for operation in operations]
        if self.delayed is None and self.key in keys:
            self.delayed = (compares, operations, read_on_failure)
            raise StoreOutcomeUnknown("no answer")
        return await super().txn(compares, operations, read_on_failure)

    async def apply_delayed(self):
        return await super().txn(*self.delayed)


@pytest.mark.parametrize(
    "key", [KEYS.snapshot_head("s"), KEYS.snapshot_part("s", 1, 0)]
)
def test_a_late_write_of_a_snapshot_does_not_replace_a_newer_one(monkeypatch, key):
    """Guards against a shard that cannot be loaded any more.

    The head would name parts that the newer snapshot has deleted, and delete its parts.
    """

    async def scenario():
        monkeypatch.setattr(snapshot, "RETRY_INTERVAL_S", 0.001)
        harness = await Harness(DelayingStore(key)).open()
        harness.add("a")
        await until(lambda: harness.done)
        writer = _writer(harness.store, harness.position)
        await writer.write([b"old"], 1, 1)
        harness.add("b")
        harness.add("c")
        await until(lambda: len(harness.done) == 3)
        await writer.write([b"new"], 2, 2)
        await harness.store.apply_delayed()
        loaded = await load(harness.store, KEYS, "s")
        assert loaded.snapshot == [b"new"]
        assert loaded.generation == 2
        await writer.write([b"newest"], 2, 3)
        assert (await load(harness.store, KEYS, "s")).snapshot == [b"newest"]
        assert len((await harness.store.range(KEYS.snapshots("s"))).items) == 1
        await harness.close()

    run(scenario())


def test_a_fenced_owner_cannot_write_a_snapshot():
    async def scenario():
        old = await Harness().open(1)
        new = await Harness(old.store).open(2)
        with pytest.raises(Fenced):
            await _writer(old.store, old.position).write([b"x"], 0, 1)
        assert (await load(new.store, KEYS, "s")).snapshot == []
        await old.close()
        await new.close()

    run(scenario())
