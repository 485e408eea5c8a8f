"""Guards against documents that take effect late, never, or revert to old versions."""

import asyncio
import random
import socket

import msgspec
import pytest

from flamingoway.context import Context
from flamingoway.document import DocumentVersion, digest
from flamingoway.environments import Environments
from flamingoway.errors import OutcomeUnknown, StoreUnavailable
from flamingoway.follower import Follower
from flamingoway.messages import Documents
from flamingoway.peer import PeerClient, PeerServer
from flamingoway.store import Put
from flamingoway.versions import EnvironmentKeys
from tests.document_fakes import ScriptedStore, make_document, make_settings

WAIT_S = 5.0


class FakeClient:
    """Answers GetDocuments from a table; calls to other addresses fail."""

    def __init__(self, replies=None):
        self.replies = replies or {}
        self.called_addresses = []
        self.calls = asyncio.Queue()

    async def call(self, address, request, timeout_s, reply):
        self.called_addresses.append(address)
        self.calls.put_nowait(address)
        if address not in self.replies:
            raise OutcomeUnknown("scripted")
        return Documents(self.replies[address])


def make_version(number, data=None):
    data = data if data is not None else make_document(float(number))
    return DocumentVersion(number=number, digest=digest(data), data=data)


def make_follower(store, client=None, peers=(), settings=None):
    context = Context(make_settings(**(settings or {})), rng=random.Random(1))
    return Follower(context, store, client or FakeClient(), lambda: peers)


def run(scenario):
    """Run a scenario and stop the followers that it started."""

    async def main():
        store = ScriptedStore()
        tasks = []

        def start(**kwargs):
            follower = make_follower(store, **kwargs)
            tasks.append(asyncio.create_task(follower.run()))
            return follower

        try:
            await scenario(store, start)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(main())


async def expect_version(queue, number):
    """Return the next delivered document; its version must be ``number``."""
    active = await asyncio.wait_for(queue.get(), WAIT_S)
    assert active.version.number == number
    return active


def test_a_refresh_reads_a_version_that_the_watch_has_not_delivered():
    """Guards against an owner that takes over with an old document."""

    async def scenario(store, _start):
        environments = Environments(make_settings(), store)
        await environments.try_document("trial", make_document(1.0), 0, "ana")
        follower = make_follower(store)
        await follower.refresh()
        assert follower.versions == {"trial": 1}
        await environments.try_document("trial", make_document(2.0), 1, "ana")
        await follower.refresh()
        assert follower.versions == {"trial": 2}
        store.down = True
        with pytest.raises(StoreUnavailable):
            await follower.refresh()

    run(scenario)


def test_new_version_arrives_by_the_watch():
    """Guards against new versions that take effect only after a restart."""

    async def scenario(store, start):
        environments = Environments(make_settings(), store)
        await environments.try_document("trial", make_document(1.0), 0, "ana")
        follower = start()
        queue = follower.subscribe()
        await expect_version(queue, 1)
        await environments.try_document("trial", make_document(2.0), 1, "ana")
        active = await expect_version(queue, 2)
        assert active.document.members[0].weight == 2.0
        assert follower.current("trial") is active
        assert follower.current("production") is None
        await expect_version(follower.subscribe(), 2)

    run(scenario)


def test_version_missed_by_a_broken_watch_is_read():
    """Guards against missing versions written between a broken watch and the next."""

    async def scenario(store, start):
        environments = Environments(make_settings(), store)
        await environments.try_document("trial", make_document(1.0), 0, "ana")
        queue = start().subscribe()
        await expect_version(queue, 1)
        store.break_watches()
        await environments.try_document("trial", make_document(2.0), 1, "ana")
        await expect_version(queue, 2)

    run(scenario)


def test_version_accepted_between_read_and_watch_is_seen():
    """Guards against a watch that starts too late to deliver a change."""

    async def scenario(store, start):
        environments = Environments(make_settings(), store)

        async def other_operator():
            await environments.try_document("trial", make_document(1.0), 0, "ana")

        store.before_watch = [other_operator]
        await expect_version(start().subscribe(), 1)

    run(scenario)


def test_newest_version_stays_in_effect_during_an_outage():
    """Guards against a process that drops its documents when the store is down."""

    async def scenario(store, start):
        environments = Environments(make_settings(), store)
        await environments.try_document("trial", make_document(1.0), 0, "ana")
        client = FakeClient({"10.0.0.2:1": {"trial": make_version(2)}})
        follower = start(client=client, peers=["10.0.0.2:1", "10.0.0.3:1"])
        queue = follower.subscribe()
        await expect_version(queue, 1)
        store.down = True
        await expect_version(queue, 2)
        store.down = False
        await environments.try_document("trial", make_document(2.0), 1, "ana")
        await environments.try_document("trial", make_document(3.0), 2, "ana")
        await expect_version(queue, 3)
        assert follower.versions == {"trial": 3}

    run(scenario)


@pytest.mark.parametrize("source", ["live", "settings"])
def test_start_without_the_store_asks_peers(source):
    """Guards against a process that has no documents after a restart in an outage."""

    async def scenario(store, start):
        store.down = True
        replies = {
            "10.0.0.2:1": {"trial": make_version(4)},
            "10.0.0.3:1": {"trial": make_version(6)},
        }
        addresses = ["127.0.0.1:18081", "10.0.0.9:1", *replies]
        client = FakeClient(replies)
        if source == "live":
            follower = start(client=client, peers=addresses)
        else:
            follower = start(client=client, settings={"peers": addresses})
        queue = follower.subscribe()
        while (await asyncio.wait_for(queue.get(), WAIT_S)).version.number < 6:
            pass
        assert follower.versions == {"trial": 6}
        assert "127.0.0.1:18081" not in client.called_addresses

    run(scenario)


@pytest.mark.parametrize(
    ("offered", "in_effect"),
    [
        ([make_version(3), make_version(2)], 3),
        ([make_version(2), make_version(2, make_document(9.0))], 2),
        ([make_version(2, b"members: 3")], 1),
        ([DocumentVersion(2, "0" * 64, make_document())], 1),
        ([make_version(2, b"members: 3"), make_version(3)], 3),
    ],
    ids=["older", "same-number", "invalid", "wrong-digest", "after-invalid"],
)
def test_version_never_decreases(offered, in_effect):
    """Guards against stale or damaged versions replacing a newer one."""

    async def scenario(store, start):
        keys = EnvironmentKeys("demo")
        queue = (follower := start()).subscribe()
        # Writes after the first delivery reach the follower through the watch, not
        # through its initial read of the store.
        environments = Environments(make_settings(), store)
        await environments.try_document("trial", make_document(), 0, "ana")
        await expect_version(queue, 1)
        for version in offered:
            value = msgspec.msgpack.encode(version)
            key = keys.environment_version("trial", version.number)
            await store.txn([], [Put(key, value)])
        value = msgspec.msgpack.encode(make_version(1))
        await store.txn([], [Put(keys.environment_version("production", 1), value)])
        while (await queue.get()).environment != "production":
            pass
        assert follower.versions["trial"] == in_effect
        assert follower.current("trial").document.members[0].weight == in_effect

    run(scenario)


def test_peers_get_only_newer_versions():
    """Guards against sending all documents with every reply during an outage."""

    async def scenario(store, start):
        environments = Environments(make_settings(), store)
        tried = await environments.try_document("trial", make_document(), 0, "ana")
        await environments.promote("production", "trial", tried.digest, 0, "ana")
        follower = start()
        queue = follower.subscribe()
        for _environment in range(2):
            await expect_version(queue, 1)
        handlers = {}

        class Server:
            def handle(self, request_type, handler):
                handlers[request_type] = handler

        follower.register_handlers(Server())
        ((request_type, handler),) = handlers.items()
        reply = await handler(request_type(known={"trial": 1}))
        assert set(reply.versions) == {"production"}

    run(scenario)


def test_documents_pass_between_real_peers():
    """Guards against documents altered by the encoding between processes."""

    async def scenario(store, start):
        data = make_document() + b"# \xc3\xa9 stays"
        environments = Environments(make_settings(), store)
        await environments.try_document("trial", data, 0, "ana")
        follower, server, client = start(), PeerServer(), PeerClient()
        await expect_version(follower.subscribe(), 1)
        follower.register_handlers(server)
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        other = make_follower(ScriptedStore(), client, [address])
        async with server.listen(address, grace_s=0.1):
            await other.fetch_from_peers()
            await client.close()
        assert other.current("trial").version == follower.current("trial").version

    run(scenario)


def test_outage_is_logged_once(caplog):
    """Guards against a log line for each retry during an outage of an hour."""

    async def scenario(store, start):
        store.down = True
        client = FakeClient()
        start(client=client, peers=["10.0.0.2:1"])
        for _attempt in range(3):
            await asyncio.wait_for(client.calls.get(), WAIT_S)

    with caplog.at_level("INFO"):
        run(scenario)
    lines = [record.getMessage() for record in caplog.records]
    assert sum("store is not reachable" in line for line in lines) == 1
