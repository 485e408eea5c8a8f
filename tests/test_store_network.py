"""Network faults between the etcd adapter and the store: silence, not refusal."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from flamingoway.errors import StoreUnavailable
from flamingoway.store import Put
from flamingoway.store.etcd import EtcdStore
from standins.etcd_server import EtcdServer


class Network:
    """TCP proxy that can stay silent and stop forwarding."""

    def __init__(self, target):
        self._target = target
        self._writers = []
        self.silent = False
        self.open = asyncio.Event()
        self.open.set()
        self.second = asyncio.Event()

    @asynccontextmanager
    async def listen(self):
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        try:
            yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        finally:
            self.open.set()
            server.close()
            for writer in self._writers:
                writer.close()

    async def _accept(self, reader, writer):
        self._writers.append(writer)
        if len(self._writers) == 2:
            self.second.set()
        if self.silent:
            return
        back_reader, back = await asyncio.open_connection("127.0.0.1", self._target)
        self._writers.append(back)
        await asyncio.gather(
            self._forward(reader, back), self._forward(back_reader, writer)
        )

    async def _forward(self, reader, writer):
        while data := await reader.read(65536):
            await self.open.wait()
            writer.write(data)


def run(body):
    """Run a test with a network before a store and an adapter behind it."""

    async def main():
        async with EtcdServer().listen() as port:
            network = Network(port)
            async with network.listen() as address:
                store = EtcdStore(address, 1.0)
                await body(network, store)
                await store.close()

    asyncio.run(asyncio.wait_for(main(), 25))


async def until(call, *arguments):
    """Repeat a call until the store is reached."""
    while True:
        try:
            return await call(*arguments)
        except StoreUnavailable:
            await asyncio.sleep(0.01)


def test_a_silent_connection_attempt_is_given_up():
    """Guards against 20 s without a store after a network fault of a moment."""

    async def body(network, store):
        network.silent = True
        calls = asyncio.create_task(until(store.get, "k"))
        await asyncio.wait_for(network.second.wait(), 15)
        calls.cancel()

    run(body)


@pytest.mark.parametrize("quiet", [False, True], ids=["in traffic", "quiet"])
def test_a_watch_over_a_dead_connection_ends(quiet):
    """Guards against a process that sees no changes for minutes without knowing."""

    async def body(network, store):
        await until(store.txn, [], [Put("k", b"")])
        watch = store.watch("k", 1)
        await anext(watch)
        if quiet:
            await asyncio.sleep(1)
        network.open.clear()
        with pytest.raises(StoreUnavailable):
            await anext(watch)

    run(body)


def test_closing_ends_a_call_that_waits_for_the_connection():
    """Guards against an error of the library that no caller handles."""

    async def body(network, store):
        network.silent = True
        call = asyncio.create_task(store.get("k"))
        await asyncio.sleep(0.1)
        await store.close()
        with pytest.raises(StoreUnavailable):
            await call

    run(body)
