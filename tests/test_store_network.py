"""Silent network faults (no reset) between the etcd adapter and the store."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from flamingoway.errors import StoreUnavailable
from flamingoway.store import Put
from flamingoway.store.etcd import EtcdStore
from standins.etcd_server import EtcdServer


class Proxy:
    """TCP proxy that can ignore new connections and pause forwarding."""

    def __init__(self, target):
        self._target = target
        self._writers = []
        self.silent = False
        self.forwarding = asyncio.Event()
        self.forwarding.set()
        self.second_connection = asyncio.Event()

    @asynccontextmanager
    async def listen(self):
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        try:
            yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        finally:
            self.forwarding.set()
            server.close()
            for writer in self._writers:
                writer.close()

    async def _accept(self, reader, writer):
        self._writers.append(writer)
        if len(self._writers) == 2:
            self.second_connection.set()
        if self.silent:
            return
        upstream_reader, upstream = await asyncio.open_connection(
            "127.0.0.1", self._target
        )
        self._writers.append(upstream)
        await asyncio.gather(
            self._forward(reader, upstream), self._forward(upstream_reader, writer)
        )

    async def _forward(self, reader, writer):
        while data := await reader.read(65536):
            await self.forwarding.wait()
            writer.write(data)


def run(body):
    """Run a test with an etcd adapter that reaches its store through a proxy."""

    async def main():
        async with EtcdServer().listen() as port:
            proxy = Proxy(port)
            async with proxy.listen() as address:
                store = EtcdStore(address, 1.0)
                await body(proxy, store)
                await store.close()

    asyncio.run(asyncio.wait_for(main(), 25))


async def until(call, *arguments):
    """Repeat a call until the store is reached."""
    while True:
        try:
            return await call(*arguments)
        except StoreUnavailable:
            await asyncio.sleep(0.01)


def test_a_silent_connection_attempt_times_out():
    """Guards against 20 s without the store after a momentary network fault."""

    async def body(proxy, store):
        proxy.silent = True
        calls = asyncio.create_task(until(store.get, "k"))
        await asyncio.wait_for(proxy.second_connection.wait(), 15)
        calls.cancel()

    run(body)


@pytest.mark.parametrize("quiet", [False, True], ids=["in traffic", "quiet"])
def test_a_watch_over_a_dead_connection_ends(quiet):
    """Guards against a process that misses changes unnoticed for minutes."""

    async def body(proxy, store):
        await until(store.txn, [], [Put("k", b"")])
        watch = store.watch("k", 1)
        await anext(watch)
        if quiet:
            await asyncio.sleep(1)
        proxy.forwarding.clear()
        with pytest.raises(StoreUnavailable):
            await anext(watch)

    run(body)


def test_closing_ends_a_call_that_waits_for_the_connection():
    """Guards against an error of the gRPC library that no caller handles."""

    async def body(proxy, store):
        proxy.silent = True
        call = asyncio.create_task(store.get("k"))
        await asyncio.sleep(0.1)
        await store.close()
        with pytest.raises(StoreUnavailable):
            await call

    run(body)
