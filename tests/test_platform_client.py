"""Calls of the platform's HTTP client on sound and faulty connections."""

import asyncio
import errno
import socket
import time
from contextlib import asynccontextmanager

import pytest

from flamingoway.platform import client as client_module
from flamingoway.platform.client import (
    MAX_BODY_BYTES,
    HttpClient,
    NotSent,
    ResponseLost,
)

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


@asynccontextmanager
async def served(*answers):
    """Answer each request with the next of ``answers``, or not at all for ``None``.

    Yields the address and the list of accepted connections.
    """
    connections = []
    remaining = list(answers)

    async def handle(reader, writer):
        connections.append(writer)
        while await reader.readline():
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length: ")[2].split()[0])
            await reader.readexactly(length)
            answer = remaining.pop(0)
            if answer is None:
                await reader.read()
                break
            writer.write(answer)
            if b"Connection: close" in answer or answer.endswith(b"cut"):
                break
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", connections
    finally:
        server.close()


def run(body, *answers):
    async def main():
        async with served(*answers) as (address, connections):
            client = HttpClient(time.monotonic)
            await body(client, address, connections)
            client.close()

    asyncio.run(asyncio.wait_for(main(), 20))


def test_calls_share_a_connection():
    """Guards against a new connection for each call; the platform charges for it."""

    async def body(client, address, connections):
        for _ in range(3):
            assert await client.call(address, "POST", "/a", b"{}") == (200, b"{}")
        assert len(connections) == 1

    run(body, OK, OK, OK)


def test_a_chunked_answer_is_read_completely():
    async def body(client, address, connections):
        assert await client.call(address, "GET", "/a") == (409, b"abcde")

    chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    run(body, b"HTTP/1.1 409 No\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks)


def test_a_connection_that_the_peer_closes_is_not_reused():
    async def body(client, address, connections):
        for _ in range(2):
            assert (await client.call(address, "GET", "/a"))[0] == 200
        assert len(connections) == 2

    run(body, OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"), OK)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut",
        b"nonsense\r\n\r\ncut",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
        + bytes(MAX_BODY_BYTES + 1),
    ],
    ids=["cut", "nonsense", "too long"],
)
def test_a_broken_answer_is_reported_as_lost(answer):
    """Guards against a partial answer that is taken for a complete one."""

    async def body(client, address, connections):
        with pytest.raises(ResponseLost):
            await client.call(address, "GET", "/a")
        assert (await client.call(address, "GET", "/a"))[0] == 200

    run(body, answer, OK)


def test_a_timeout_closes_the_idle_connections_to_the_address():
    """Guards against a time-out on each idle connection after a network fault."""

    async def body(client, address, connections):
        await asyncio.gather(*(client.call(address, "GET", "/a") for _ in range(3)))
        assert len(connections) == 3
        with pytest.raises(ResponseLost):
            await client.call(address, "GET", "/a", timeout_s=0.1)
        assert (await client.call(address, "GET", "/a"))[0] == 200
        assert len(connections) == 4

    run(body, OK, OK, OK, None, OK)


def test_a_closed_port_means_not_sent():
    async def body(client, address, connections):
        with pytest.raises(NotSent):
            await client.call("127.0.0.1:1", "GET", "/a")

    run(body)


def test_a_call_without_a_free_descriptor_is_not_sent(monkeypatch):
    """Guards against calls to the store that end the leadership of a busy process."""

    def fail(*args):
        raise OSError(errno.EMFILE, "too many open files")

    async def body(client, address, connections):
        with monkeypatch.context() as patch, pytest.raises(NotSent):
            patch.setattr(socket, "socket", fail)
            await client.call(address, "GET", "/a")
        assert (await client.call(address, "GET", "/a"))[0] == 200

    run(body, OK)


def test_the_oldest_idle_connections_are_closed(monkeypatch):
    """Guards against idle connections that use up the descriptors of the process."""
    monkeypatch.setattr(client_module, "MAX_IDLE_CONNECTIONS", 2)

    async def body(client, address, connections):
        await asyncio.gather(*(client.call(address, "GET", "/a") for _ in range(4)))
        await asyncio.sleep(0.1)
        still_open = [c for c in connections if not c.is_closing()]
        assert len(connections) == 4 and len(still_open) == 2
        await asyncio.gather(*(client.call(address, "GET", "/a") for _ in range(2)))
        assert len(connections) == 4

    run(body, *[OK] * 6)


def test_a_cancelled_call_closes_its_connection():
    """Guards against a later call receiving the answer to a cancelled one."""

    async def body(client, address, connections):
        call = asyncio.create_task(client.call(address, "GET", "/a"))
        await asyncio.sleep(0.05)
        call.cancel()
        await asyncio.wait({call})
        assert (await client.call(address, "GET", "/a"))[0] == 200
        assert len(connections) == 2

    run(body, None, OK)
