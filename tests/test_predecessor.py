"""Guards against taking a silent former owner for a dead one."""

import asyncio
import contextlib
import socket

import pytest

from flamingoway import predecessor
from flamingoway.messages import Depose, DeposeReply, FormerOwner, OwnerInfo
from flamingoway.peer import PeerClient, PeerServer
from flamingoway.predecessor import FormerOwners
from tests.owner_bench import make_context, until

INCARNATION = "first"


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@contextlib.asynccontextmanager
async def answering(address, incarnation, dropped):
    """Serve ``Depose`` with a fixed answer."""

    async def depose(_request):
        return DeposeReply(incarnation, dropped)

    server = PeerServer()
    server.handle(Depose, depose)
    async with server.listen(address, 0):
        yield


@contextlib.asynccontextmanager
async def silent(address):
    """Accept connections and never answer, as a paused process does."""
    ip, _, port = address.rpartition(":")
    with socket.create_server((ip, int(port))):
        yield


@contextlib.asynccontextmanager
async def closed(_address):
    """Listen at no port."""
    yield


CASES = {
    "deposed": (lambda a: answering(a, INCARNATION, True), False, True),
    "still owner": (lambda a: answering(a, INCARNATION, False), False, False),
    "another start": (lambda a: answering(a, "second", False), False, True),
    "paused": (silent, False, False),
    "nothing listens": (closed, False, True),
    # As after the loss of a zone: no answer, but the platform says it is gone.
    "silent and off the VM list": (silent, True, True),
}


@pytest.mark.parametrize(("serve", "departed", "gone"), CASES.values(), ids=list(CASES))
def test_proof_of_a_former_owners_end(monkeypatch, serve, departed, gone):
    monkeypatch.setattr(predecessor, "ASK_TIMEOUT_S", 0.3)
    monkeypatch.setattr(predecessor, "ASK_INTERVAL_S", 0.01)

    async def scenario():
        address = free_address()
        former = FormerOwner(1, "p1", INCARNATION, address, 0.0)
        owner = OwnerInfo("s", 2, "p2", "x", "127.0.0.1:1", [former])
        peers = PeerClient()
        listed = {address} if departed else set()
        former_owners = FormerOwners(make_context(), peers, owner, 0.0, lambda: listed)
        asked = []
        is_gone = former_owners._is_deposed

        async def counted(former):
            asked.append(await is_gone(former))
            return asked[-1]

        former_owners._is_deposed = counted
        async with serve(address):
            task = asyncio.create_task(former_owners.run())
            await until(lambda: len(asked) >= (1 if gone else 2))
            if gone:
                await task
            assert (former_owners.deposed_at is not None) == gone
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await peers.close()

    asyncio.run(scenario())


def test_without_former_owners_the_takeover_time_counts():
    async def scenario():
        owner = OwnerInfo("s", 1, "p1", "x", "127.0.0.1:1")
        assert FormerOwners(make_context(), None, owner, 7.0, set).deposed_at == 7.0

    asyncio.run(scenario())
