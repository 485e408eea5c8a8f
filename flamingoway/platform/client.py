"""HTTP client for everything on the platform: store, workers and advice.

A leader makes hundreds of small calls a second on half a core. The client is
therefore a protocol of asyncio around the parser ``httptools``.
"""

import asyncio
import socket
from collections.abc import Callable

import httptools

CONNECT_TIMEOUT_S = 1.0
# An idle connection older than this may have gone silent without a reset.
IDLE_S = 10.0
# The kernel gives up on unacknowledged data after this time.
USER_TIMEOUT_MS = 2000
# A page of a range read has about 1 MB, in base64.
MAX_BODY_BYTES = 8 * 1024 * 1024


class NotSent(Exception):
    """The call did not leave this process; it has no effect."""


class NoAnswer(Exception):
    """The call was sent and no whole answer came; it may take effect later."""


class HttpClient:
    """Keeps connections to platform addresses and makes calls on them.

    Args:
        clock: Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._idle: dict[str, list[tuple[_Connection, float]]] = {}

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = 1.0,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Make one call; return the status and the body.

        Args:
            address: ``IP:port``.
            method: HTTP method.
            path: Path with query.
            body: JSON.
            timeout_s: Longest time for connecting, sending and answering.
            headers: Additional headers.

        Raises:
            NotSent: The call has no effect.
            NoAnswer: The call may take effect, possibly later.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        connection = self._take(address)
        if connection is None:
            limit_s = min(timeout_s, CONNECT_TIMEOUT_S)
            connection = await _connect(address, limit_s)
        request = _encode(address, method, path, body, headers)
        answer = connection.send(request)
        timer = loop.call_at(end, self._give_up, address, connection)
        try:
            status, data = await answer
        except ConnectionError as exc:
            raise NoAnswer(f"no whole answer of {address}: {exc}") from None
        finally:
            timer.cancel()
            if connection.busy:
                connection.close()
        if connection.open:
            self._idle.setdefault(address, []).append((connection, self._clock()))
        return status, data

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection, _ in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _give_up(self, address: str, connection: "_Connection") -> None:
        # Connections of one path go silent together, so the idle ones go as well.
        connection.close()
        self.forget(address)

    def _take(self, address: str) -> "_Connection | None":
        idle = self._idle.get(address)
        while idle:
            connection, used_at = idle.pop()
            if self._clock() - used_at < IDLE_S and connection.open:
                return connection
            connection.close()
        return None


class _Connection(asyncio.Protocol):
    """One connection, which carries one call at a time."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._answer: asyncio.Future | None = None
        self._chunks: list[bytes] = []
        self._size = 0

    @property
    def open(self) -> bool:
        """Whether another call can be made."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def busy(self) -> bool:
        """Whether a call waits for its answer."""
        return self._answer is not None

    def send(self, request: bytes) -> asyncio.Future:
        """Send a request; return the future of status and body."""
        self._answer = asyncio.get_running_loop().create_future()
        self._chunks = []
        self._size = 0
        self._transport.write(request)
        return self._answer

    def close(self) -> None:
        """Close the connection; a call that waits fails."""
        if self._transport is not None:
            self._transport.abort()
        self._fail("closed by this process")

    # Events of the transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse a part of an answer."""
        if self._answer is None:
            # Nothing was asked, so the connection cannot be trusted any more.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"not an HTTP answer: {exc}")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call that waits."""
        self._transport = None
        self._fail(f"the connection was lost: {exc}")

    # Events of the parser

    def on_body(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._size += len(chunk)
        if self._size > MAX_BODY_BYTES:
            self._fail(f"more than {MAX_BODY_BYTES} bytes")
            self.close()
        else:
            self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Hand the answer to the caller."""
        answer, self._answer = self._answer, None
        if not self._parser.should_keep_alive():
            self._transport.close()
        if answer is not None and not answer.done():
            status = self._parser.get_status_code()
            answer.set_result((status, b"".join(self._chunks)))

    def _fail(self, why: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None and not answer.done():
            answer.set_exception(ConnectionError(why))


async def _connect(address: str, timeout_s: float) -> _Connection:
    ip, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, (ip, int(port)))
            _, connection = await loop.create_connection(_Connection, sock=sock)
    except (OSError, ValueError, TimeoutError) as exc:
        sock.close()
        raise NotSent(f"cannot connect to {address}: {exc!r}") from None
    except BaseException:
        sock.close()
        raise
    return connection


def _encode(
    address: str, method: str, path: str, body: bytes, headers: dict[str, str] | None
) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1") + body
