"""HTTP client for everything on the platform: store, workers and advice."""

import asyncio
import socket
from collections.abc import Callable

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError

CONNECT_TIMEOUT_S = 1.0
# An idle connection older than this may have gone silent without a reset.
IDLE_S = 10.0
# The kernel gives up on unacknowledged data after this time.
USER_TIMEOUT_MS = 2000
MAX_BODY_BYTES = 8 * 1024 * 1024
_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=16 * 1024, max_body_size=MAX_BODY_BYTES, no_keep_alive=False
)


class NotSent(Exception):
    """The call did not leave this process; it has no effect."""


class NoAnswer(Exception):
    """The call was sent and no whole answer came; it may take effect later."""


class _Reader(httputil.HTTPMessageDelegate):
    """Collects one response."""

    def __init__(self):
        self.status = 0
        self.complete = False
        self.chunks: list[bytes] = []

    def headers_received(self, start_line, headers) -> None:
        """Note the status."""
        self.status = start_line.code

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Note that the response is whole."""
        self.complete = True


class HttpClient:
    """Keeps connections to platform addresses and makes calls on them.

    Args:
        clock: Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._idle: dict[str, list[tuple[IOStream, float]]] = {}

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
        stream = self._take(address)
        if stream is None:
            stream = await self._connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
        reader = _Reader()
        timer = loop.call_at(end, stream.close)
        try:
            await _exchange(stream, address, method, path, body, headers, reader)
        finally:
            timer.cancel()
            if not reader.complete:
                stream.close()
        if not reader.complete:
            raise NoAnswer(f"no whole answer of {address}")
        if not stream.closed():
            self._idle.setdefault(address, []).append((stream, self._clock()))
        return reader.status, b"".join(reader.chunks)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for stream, _ in self._idle.pop(address, ()):
            stream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    def _take(self, address: str) -> IOStream | None:
        idle = self._idle.get(address)
        while idle:
            stream, used_at = idle.pop()
            if self._clock() - used_at < IDLE_S and _is_open(stream):
                return stream
            stream.close()
        return None

    async def _connect(self, address: str, timeout_s: float) -> IOStream:
        ip, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        stream = IOStream(sock, max_buffer_size=2 * MAX_BODY_BYTES)
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((ip, int(port)))
        except (OSError, ValueError, StreamClosedError, TimeoutError) as exc:
            stream.close()
            raise NotSent(f"cannot connect to {address}: {exc!r}") from None
        except BaseException:
            stream.close()
            raise
        return stream


async def _exchange(
    stream: IOStream,
    address: str,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str] | None,
    reader: _Reader,
) -> None:
    http = HTTP1Connection(stream, True, _PARAMETERS)
    head = httputil.HTTPHeaders(headers or {})
    head["Host"] = address
    if body:
        head["Content-Type"] = "application/json"
    head["Content-Length"] = str(len(body))
    start = httputil.RequestStartLine(method, path, "HTTP/1.1")
    try:
        http.write_headers(start, head, body)
        http.finish()
        await http.read_response(reader)
    except (StreamClosedError, ValueError, httputil.HTTPInputError):
        # The caller sees that the response is not complete.
        pass


def _is_open(stream: IOStream) -> bool:
    """Return whether an idle connection is open and has no unread bytes."""
    if stream.closed():
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
