"""Deposition of former owners: one that only fails to answer is not deposed."""

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
    """Answer each ``Depose`` with a fixed reply."""

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
    """Leave the port closed, as after the end of a process."""
    yield


CASES = {
    "deposed": (lambda a: answering(a, INCARNATION, True), False, True),
    "still owner": (lambda a: answering(a, INCARNATION, False), False, False),
    "another start": (lambda a: answering(a, "second", False), False, True),
    "paused": (silent, False, False),
    "nothing listens": (closed, False, True),
    # As after the loss of a zone: no answer, but the platform has removed the VM.
    "silent and off the VM list": (silent, True, True),
}


@pytest.mark.parametrize(
    ("serve", "departed", "deposed"), CASES.values(), ids=list(CASES)
)
def test_when_a_former_owner_counts_as_deposed(monkeypatch, serve, departed, deposed):
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
        is_deposed = former_owners._is_deposed

        async def counted(former):
            asked.append(await is_deposed(former))
            return asked[-1]

        former_owners._is_deposed = counted
        async with serve(address):
            task = asyncio.create_task(former_owners.run())
            await until(lambda: len(asked) >= (1 if deposed else 2))
            if deposed:
                await task
            assert (former_owners.deposed_at is not None) == deposed
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        await peers.close()

    asyncio.run(scenario())


def test_without_former_owners_deposed_at_is_the_takeover_time():
    async def scenario():
        owner = OwnerInfo("s", 1, "p1", "x", "127.0.0.1:1")
        assert FormerOwners(make_context(), None, owner, 7.0, set).deposed_at == 7.0

    asyncio.run(scenario())
