"""Loopback proxy that delays, cuts, resets and silences connections."""

import asyncio
import enum
from contextlib import asynccontextmanager


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
            upstream_reader, upstream_writer = await asyncio.open_connection(
                ip, int(port)
            )
        except OSError:
            # The target is down: its clients see an aborted connection.
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        try:
            await asyncio.gather(
                self._pump(reader, upstream_writer, answers=False),
                self._pump(upstream_reader, writer, answers=True),
            )
        finally:
            self._writers -= {writer, upstream_writer}
            writer.transport.abort()
            upstream_writer.transport.abort()

    async def _pump(self, reader, writer, answers: bool) -> None:
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self._forwards(answers):
                    writer.write(data)
                    await writer.drain()
        except OSError:
            # One side has disconnected; the other one is closed below.
            pass
        writer.transport.abort() if writer.is_closing() else writer.close()

    def _forwards(self, answers: bool) -> bool:
        """Return whether bytes are forwarded; others are discarded, not delayed."""
        if self.link is Link.SILENT:
            return False
        return self.link is not Link.NO_ANSWERS or not answers
