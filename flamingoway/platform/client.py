"""HTTP client for the platform's store, its workers and its advice service.

A leader makes hundreds of small calls per second on half a core, so the client is a
plain asyncio protocol around the ``httptools`` parser.
"""

import asyncio
import socket
from collections.abc import Callable

import httptools

CONNECT_TIMEOUT_S = 1.0
# A connection that has been idle for longer may be dead without having been reset.
MAX_IDLE_S = 10.0
# Idle connections to all addresses; the one that was idle for longest is closed first.
MAX_IDLE_CONNECTIONS = 1024
# The kernel closes a connection whose data stays unacknowledged for this time.
TCP_USER_TIMEOUT_MS = 2000
# A page of a range read holds about 1 MB, encoded in base64.
MAX_BODY_BYTES = 8 * 1024 * 1024


class NotSent(Exception):
    """The call was not sent and has no effect."""


class ResponseLost(Exception):
    """No complete response arrived; the call may have taken effect or still do so."""


class HttpClient:
    """HTTP client that keeps idle connections for reuse.

    Args:
        clock: Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        # Idle connections and the times of their last use, oldest first, in all and by
        # address.
        self._idle: dict[_Connection, tuple[str, float]] = {}
        self._idle_by_address: dict[str, dict[_Connection, None]] = {}

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = 1.0,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Make one call; return the status and the body of the response.

        Args:
            address: ``IP:port``.
            method: HTTP method.
            path: Path with query.
            body: Body in JSON.
            timeout_s: Timeout of the call; connecting takes at most
                ``CONNECT_TIMEOUT_S`` of it.
            headers: Additional headers.

        Raises:
            NotSent: If connecting failed; the call has no effect.
            ResponseLost: If no complete response arrived in time; the call may have
                taken effect or still do so.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = self._take_idle(address) or await self._connect(address, timeout_s)
        request = _encode(address, method, path, body, headers)
        response = connection.send(request)
        timer = loop.call_at(deadline, self._time_out, address, connection)
        answered = False
        try:
            status, data = await response
            answered = True
        except ConnectionError as exc:
            raise ResponseLost(f"no complete response from {address}: {exc}") from None
        finally:
            timer.cancel()
            if not answered:
                connection.close()
        if connection.open:
            self._keep_idle(address, connection)
        return status, data

    async def _connect(self, address: str, timeout_s: float) -> "_Connection":
        """Open a connection; timers do not count the time of a suspended VM."""
        began = self._clock()
        connection = await _connect(address, min(timeout_s, CONNECT_TIMEOUT_S))
        if self._clock() - began > timeout_s:
            connection.close()
            raise NotSent(f"the process was suspended while connecting to {address}")
        return connection

    def forget(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in list(self._idle_by_address.get(address, ())):
            self._remove_idle(connection)
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle_by_address):
            self.forget(address)

    def _time_out(self, address: str, connection: "_Connection") -> None:
        # A network fault affects all connections to an address, so the idle ones are
        # closed too.
        connection.close()
        self.forget(address)

    def _take_idle(self, address: str) -> "_Connection | None":
        for connection in reversed(list(self._idle_by_address.get(address, ()))):
            used_at = self._remove_idle(connection)
            if self._clock() - used_at < MAX_IDLE_S and connection.open:
                return connection
            connection.close()
        return None

    def _keep_idle(self, address: str, connection: "_Connection") -> None:
        self._idle[connection] = (address, self._clock())
        self._idle_by_address.setdefault(address, {})[connection] = None
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            oldest = next(iter(self._idle))
            self._remove_idle(oldest)
            oldest.close()

    def _remove_idle(self, connection: "_Connection") -> float:
        """Remove an idle connection; return the time of its last use."""
        address, used_at = self._idle.pop(connection)
        same = self._idle_by_address[address]
        del same[connection]
        if not same:
            del self._idle_by_address[address]
        return used_at


class _Connection(asyncio.Protocol):
    """Connection that carries one call at a time."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._response: asyncio.Future | None = None
        self._chunks: list[bytes] = []
        self._size = 0

    @property
    def open(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, request: bytes) -> asyncio.Future:
        """Send a request; return a future of the status and the body."""
        self._response = asyncio.get_running_loop().create_future()
        self._chunks = []
        self._size = 0
        self._transport.write(request)
        return self._response

    def close(self) -> None:
        """Close the connection and fail the pending call."""
        if self._transport is not None:
            self._transport.abort()
        self._fail("connection closed by the client")

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        if self._response is None:
            # After unsolicited data, responses can no longer be matched to requests.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            self._fail(f"invalid HTTP response: {exc}")
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the pending call."""
        self._transport = None
        self._fail(f"connection lost: {exc}")

    # Callbacks of httptools

    def on_body(self, chunk: bytes) -> None:
        """Append a chunk of the body, up to ``MAX_BODY_BYTES``."""
        self._size += len(chunk)
        if self._size > MAX_BODY_BYTES:
            self._fail(f"body is larger than {MAX_BODY_BYTES} bytes")
            self.close()
        else:
            self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Resolve the future of the pending call."""
        response, self._response = self._response, None
        if not self._parser.should_keep_alive():
            self._transport.close()
        if response is not None and not response.done():
            status = self._parser.get_status_code()
            response.set_result((status, b"".join(self._chunks)))

    def _fail(self, reason: str) -> None:
        response, self._response = self._response, None
        if response is not None and not response.done():
            response.set_exception(ConnectionError(reason))


async def _connect(address: str, timeout_s: float) -> _Connection:
    ip, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as exc:
        # The process has no descriptor left.
        raise NotSent(f"cannot connect to {address}: {exc!r}") from None
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(sock, (ip, int(port)))
            _, connection = await loop.create_connection(_Connection, sock=sock)
    except (OSError, ValueError, OverflowError, TimeoutError) as exc:
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
