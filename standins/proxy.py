"""Loopback proxy that delays, cuts, resets and silences connections."""

import asyncio
import enum
from contextlib import asynccontextmanager


class Link(enum.Enum):
    """What the proxy does with bytes and connections.

    Attributes:
        SILENT: Nothing passes in either direction, and nothing is closed.
        NO_ANSWERS: Requests pass, answers do not.
        REFUSE: New connections are closed at once.
    """

    OPEN = "open"
    SILENT = "silent"
    NO_ANSWERS = "no answers"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections to one address.

    Args:
        target: ``IP:port``.

    Attributes:
        link: What happens to connections at present.
        delay_s: Time by which each chunk is late.
    """

    def __init__(self, target: str):
        self.link = Link.OPEN
        self.delay_s = 0.0
        self._target = target
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
        """Break all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def _accept(self, reader, writer) -> None:
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer) -> None:
        if self.link is Link.REFUSE:
            writer.transport.abort()
            return
        ip, _, port = self._target.rpartition(":")
        try:
            upstream, onward = await asyncio.open_connection(ip, int(port))
        except OSError:
            # The target is down, which its clients see as a broken connection.
            writer.transport.abort()
            return
        self._writers |= {writer, onward}
        try:
            await asyncio.gather(
                self._pump(reader, onward, answers=False),
                self._pump(upstream, writer, answers=True),
            )
        finally:
            self._writers -= {writer, onward}
            writer.transport.abort()
            onward.transport.abort()

    async def _pump(self, reader, writer, answers: bool) -> None:
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._passes(answers):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            # One side is gone; the other one is closed with it.
            pass
        writer.transport.abort() if writer.is_closing() else writer.close()

    def _passes(self, answers: bool) -> bool:
        """Return whether bytes pass; those that do not are lost for good."""
        if self.link is Link.SILENT:
            return False
        return self.link is not Link.NO_ANSWERS or not answers
