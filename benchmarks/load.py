"""Open-loop HTTP load over persistent connections."""

import asyncio
import json
import os
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from standins.cluster import HOST, Answer


class HttpPool:
    """Connections to one entry process; a request waits for a free one."""

    def __init__(self, port: int, authorization: str):
        self._port = port
        self._authorization = authorization
        self._free: asyncio.LifoQueue = asyncio.LifoQueue()

    async def open(self, count: int) -> None:
        """Open ``count`` connections."""
        for _ in range(count):
            self._free.put_nowait(await asyncio.open_connection(HOST, self._port))

    def close(self) -> None:
        """Close all connections."""
        while not self._free.empty():
            self._free.get_nowait()[1].close()

    async def _acquire(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a free connection; one that the server has closed is replaced."""
        reader, writer = await self._free.get()
        if reader.at_eof() or writer.is_closing():
            writer.close()
            return await asyncio.open_connection(HOST, self._port)
        return reader, writer

    async def send(
        self, method: str, path: str, body: dict, headers: dict[str, str] | None = None
    ) -> Answer:
        """Send one request and return its JSON answer."""
        data = json.dumps(body).encode()
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Authorization: Bearer {self._authorization}",
            "Content-Type: application/json",
            f"Content-Length: {len(data)}",
            *(f"{name}: {value}" for name, value in (headers or {}).items()),
        ]
        reader, writer = await self._acquire()
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            return await _read_answer(reader)
        finally:
            self._free.put_nowait((reader, writer))


async def _read_answer(reader: asyncio.StreamReader) -> Answer:
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    names = [line.partition(":") for line in head[1:]]
    headers = {name.lower(): value.strip() for name, _, value in names}
    body = await reader.readexactly(int(headers["content-length"]))
    return Answer(int(head[0].split()[1]), json.loads(body))


@asynccontextmanager
async def http_pool(
    port: int, authorization: str, connections: int = 64
) -> AsyncIterator[HttpPool]:
    """Yield open connections to an entry process."""
    pool = HttpPool(port, authorization)
    await pool.open(connections)
    try:
        yield pool
    finally:
        pool.close()


async def run_at_rate(
    rate: float, seconds: float, call: Callable[[int], Awaitable]
) -> list:
    """Start ``rate`` calls a second without waiting for earlier ones to end."""
    started = time.monotonic()
    tasks = []
    for index in range(round(rate * seconds)):
        await asyncio.sleep(started + index / rate - time.monotonic())
        tasks.append(asyncio.create_task(call(index)))
    return await asyncio.gather(*tasks)


async def run_concurrently(
    count: int, concurrency: int, call: Callable[[int], Awaitable]
) -> list:
    """Make ``count`` calls, at most ``concurrency`` at a time."""
    limit = asyncio.Semaphore(concurrency)

    async def limited(index: int):
        async with limit:
            return await call(index)

    return await asyncio.gather(*(limited(index) for index in range(count)))


def new_key() -> str:
    """Return a UUIDv7, as idempotency keys must be."""
    stamp = int(time.time() * 1000).to_bytes(6, "big")
    rest = bytearray(os.urandom(10))
    rest[0] = 0x70 | rest[0] & 0x0F
    rest[2] = 0x80 | rest[2] & 0x3F
    return str(uuid.UUID(bytes=stamp + bytes(rest)))
