"""Loopback proxy that delays, cuts, holds, resets and silences connections."""

import asyncio
import enum
from contextlib import asynccontextmanager
from dataclasses import dataclass


class Link(enum.Enum):
    """Fault mode of the proxy.

    Attributes:
        OPEN: Bytes pass in both directions.
        SILENT: Bytes are discarded in both directions; connections stay open.
        NO_ANSWERS: Requests pass; responses are discarded.
        REFUSE: New connections are aborted at once.
    """

    OPEN = "open"
    SILENT = "silent"
    NO_ANSWERS = "no answers"
    REFUSE = "refuse"


@dataclass(eq=False)
class _Channel:
    """A connection through the proxy; ``silent`` ones forward nothing, not the end."""

    silent: bool = False


class Proxy:
    """Forwards connections to one address.

    Args:
        target: ``IP:port``.

    Attributes:
        link: Fault mode in force.
        delay_s: Delay added to each chunk, in seconds.
    """

    def __init__(self, target: str):
        self.link = Link.OPEN
        self.delay_s = 0.0
        self._target = target
        self._passes = {False: asyncio.Event(), True: asyncio.Event()}
        self._channels: set[_Channel] = set()
        self.hold()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @asynccontextmanager
    async def listen(self):
        """Serve until the block ends; yields ``IP:port``."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            yield f"127.0.0.1:{port}"
        finally:
            server.close()
            self.reset()
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def hold(self, requests: bool = False, answers: bool = False) -> None:
        """Hold the bytes of a direction back, as a partition does, or let them pass.

        No connection is opened while either direction is held.
        """
        for direction, held in ((False, requests), (True, answers)):
            event = self._passes[direction]
            event.clear() if held else event.set()

    def silence(self) -> None:
        """Discard all further bytes of the open connections, which stay open."""
        for channel in self._channels:
            channel.silent = True

    def _accept(self, reader, writer) -> None:
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer) -> None:
        if self.link is Link.REFUSE:
            writer.transport.abort()
            return
        for event in self._passes.values():
            await event.wait()
        ip, _, port = self._target.rpartition(":")
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            # The target is down: its clients see an aborted connection.
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        channel = _Channel()
        self._channels.add(channel)
        try:
            await asyncio.gather(
                self._pump(channel, reader, upstream_writer, answers=False),
                self._pump(channel, upstream_reader, writer, answers=True),
            )
        finally:
            self._channels.discard(channel)
            self._writers -= {writer, upstream_writer}
            writer.transport.abort()
            upstream_writer.transport.abort()

    async def _pump(self, channel, reader, writer, answers: bool) -> None:
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._passes[answers].wait()
                if self._forwards(answers) and not channel.silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            # One side has disconnected; the other one is closed below.
            pass
        await self._passes[answers].wait()
        if not channel.silent:
            writer.transport.abort() if writer.is_closing() else writer.close()

    def _forwards(self, answers: bool) -> bool:
        """Return whether bytes are forwarded; others are discarded, not delayed."""
        if self.link is Link.SILENT:
            return False
        return self.link is not Link.NO_ANSWERS or not answers
