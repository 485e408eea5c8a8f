"""HTTP/1.1 server: strict header checks, size and time limits, result codes.

tornado parses and frames the messages. This module adds what an entry process
needs: requests whose headers two parsers could read differently are rejected, every
rejection has a body with a result code, slow clients are disconnected, and a graceful
shutdown lets requests in flight finish.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from absl import logging
from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError, UnsatisfiableReadError
from tornado.netutil import add_accept_handler, bind_sockets

from .httpheaders import head_error
from .httpstream import ClientStream, discard
from .status import Code

# Headers between MAX_HEADER_BYTES and this limit are still read, so that the request
# can be rejected with a result code in the normal way.
MAX_READ_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 1024 * 1024
MAX_CONNECTIONS = 4096
IDLE_TIMEOUT_S = 75.0
REQUEST_TIMEOUT_S = 10.0
WRITE_TIMEOUT_S = 10.0
SWEEP_INTERVAL_S = 1.0
# During shutdown an idle connection stays open this long, so that a request that is
# already on its way is still answered.
DRAIN_IDLE_S = 2.0


@dataclass(slots=True)
class HttpRequest:
    """A completely received request.

    Attributes:
        client_disconnected: Done when the client closes the connection before it has
            the response.
    """

    method: str
    path: str
    query: str
    headers: httputil.HTTPHeaders
    body: bytes
    client_disconnected: asyncio.Future


@dataclass(slots=True)
class HttpResponse:
    """A complete response; ``Content-Length`` is added when it is sent."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
Refusal = Callable[[Code, str], HttpResponse]


class _Http(HTTP1Connection):
    """Sends ``Connection: close`` if the connection closes after the response."""

    closing = False

    def write_headers(self, start_line, headers, chunk=None):
        """Write the status line and headers of a response."""
        if self.closing:
            headers["Connection"] = "close"
        return super().write_headers(start_line, headers, chunk)


class HttpServer:
    """Listens on one address and calls a handler for each complete request.

    Args:
        handler: Coroutine that returns the response to a request; must not raise.
        refuse: Builds the response to a request that this server rejects itself.
        max_body: Largest body of a request, in bytes.
        fallback: Delegate (for example a ``tornado.web.Application``) for paths
            that ``owns`` does not accept.
        owns: Whether the handler, not the fallback, serves a path.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Refusal,
        max_body: int,
        fallback: httputil.HTTPServerConnectionDelegate | None = None,
        owns: Callable[[str], bool] = lambda path: True,
    ):
        self.handler = handler
        self.refuse = refuse
        self.max_body = max_body
        self.fallback = fallback
        self.owns = owns
        self.closing = False
        self._connections: dict[_Connection, asyncio.Task] = {}
        self._lingering: set[asyncio.Task] = set()
        self._sockets: list[socket.socket] = []
        self._stop_accepting: list[Callable[[], None]] = []
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_READ_HEADER_BYTES,
            max_body_size=max(MAX_BODY_BYTES, max_body),
        )

    @property
    def port(self) -> int:
        """Port of the first listening socket."""
        return self._sockets[0].getsockname()[1]

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return bool(self._sockets)

    @property
    def in_flight(self) -> int:
        """Requests that are being read or answered."""
        return sum(connection.busy for connection in self._connections)

    def listen(self, ip: str, port: int) -> None:
        """Start accepting connections.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._sockets = bind_sockets(port, ip)
        for sock in self._sockets:
            self._stop_accepting.append(add_accept_handler(sock, self._accept))

    def stop_listening(self) -> None:
        """Close the listening sockets; open connections stay open."""
        for stop in self._stop_accepting:
            stop()
        for sock in self._sockets:
            sock.close()
        self._stop_accepting.clear()
        self._sockets.clear()

    async def sweep(self) -> None:
        """Close connections of slow clients periodically until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for connection in list(self._connections):
                connection.close_if_slow(now)

    async def drain(self, timeout_s: float) -> int:
        """Wait until all connections are closed; return how many requests were aborted.

        Args:
            timeout_s: Time after which the connections still open are closed.
        """
        self.closing = True
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        idle_end = loop.time() + DRAIN_IDLE_S
        while self._connections and loop.time() < end:
            for connection in list(self._connections):
                if not connection.busy and loop.time() >= idle_end:
                    connection.close()
            await asyncio.sleep(0.02)
        abandoned = self.in_flight
        await self.close()
        return abandoned

    async def close(self) -> None:
        """Close all sockets and connections at once."""
        self.stop_listening()
        tasks = [*self._connections.values(), *self._lingering]
        for connection in list(self._connections):
            connection.close()
        for task in self._lingering:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = ClientStream(sock)
        stream.build_refusal = self._encoded_bad_request
        stream.linger = self._linger
        connection = _Connection(self, stream, self._parameters)
        task = asyncio.create_task(connection.run())
        self._connections[connection] = task
        task.add_done_callback(lambda _: self._connections.pop(connection))

    def _encoded_bad_request(self) -> bytes:
        answer = self.refuse(Code.BAD_REQUEST, "the request is not valid HTTP")
        return _encode(answer)

    def _linger(self, sock: socket.socket) -> None:
        task = asyncio.create_task(discard(sock))
        self._lingering.add(task)
        task.add_done_callback(self._lingering.discard)


class _Connection:
    """One client connection; its requests are served one after another."""

    def __init__(
        self,
        server: HttpServer,
        stream: ClientStream,
        parameters: HTTP1ConnectionParameters,
    ):
        self._server = server
        self._stream = stream
        self._parameters = parameters
        self._exchange: _Exchange | None = None
        self._loop = asyncio.get_running_loop()
        self._phase_deadline = self._loop.time() + IDLE_TIMEOUT_S

    @property
    def busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._exchange is not None and self._exchange.started

    def limit_phase(self, seconds: float) -> None:
        """Set the time limit of the current phase of the request; may be infinite."""
        self._phase_deadline = self._loop.time() + seconds

    def close_if_slow(self, now: float) -> None:
        """Close the connection if the time limit of the current phase has passed."""
        if now >= self._phase_deadline:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        keep = True
        try:
            while keep and not self._stream.closed():
                keep = await self._serve_one()
        except (StreamClosedError, UnsatisfiableReadError, ValueError):
            pass
        finally:
            self._stream.close()

    async def _serve_one(self) -> bool:
        http = _Http(self._stream, False, self._parameters)
        self._exchange = _Exchange(self._server, self, http)
        self.limit_phase(IDLE_TIMEOUT_S)
        keep = await http.read_response(self._exchange)
        self._exchange = None
        return keep and not http.closing


class _Exchange(httputil.HTTPMessageDelegate):
    """Reads one request, calls the handler and writes the response."""

    def __init__(self, server: HttpServer, connection: _Connection, http: _Http):
        self.started = False
        self._server = server
        self._connection = connection
        self._http = http
        self._request: HttpRequest | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._refused = False
        self._head_only = False
        # A body above the limit of the server, but not above MAX_BODY_BYTES, is read to
        # its end and discarded: closing a connection with unread bytes resets it, and
        # the client could lose the response.
        self._too_large = False
        self._fallback: httputil.HTTPMessageDelegate | None = None
        self._task: asyncio.Task | None = None

    def headers_received(self, start_line, headers):
        """Check the headers before any of the body is read."""
        self.started = True
        self._connection.limit_phase(REQUEST_TIMEOUT_S)
        self._head_only = start_line.method == "HEAD"
        error = head_error(start_line, headers)
        if error:
            return self._refuse(Code.BAD_REQUEST, error)
        path, _, query = start_line.path.partition("?")
        if self._server.fallback is not None and not self._server.owns(path):
            return self._start_fallback(start_line, headers)
        length = int(headers.get("Content-Length", "0"))
        if length > MAX_BODY_BYTES:
            return self._refuse_body()
        self._too_large = length > self._server.max_body
        disconnected = asyncio.get_running_loop().create_future()
        self._request = HttpRequest(
            start_line.method, path, query, headers, b"", disconnected
        )
        return None

    def data_received(self, chunk: bytes):
        """Collect a part of the body; parts beyond the limit are discarded."""
        if self._fallback is not None:
            return self._fallback.data_received(chunk)
        self._size += len(chunk)
        self._too_large = self._too_large or self._size > self._server.max_body
        if not self._too_large:
            self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Start the handler, or reject a body that is too long."""
        self._connection.limit_phase(float("inf"))
        if self._fallback is not None:
            self._fallback.finish()
            return
        if self._refused:
            return
        if self._too_large:
            self._refuse_body()
            return
        self._request.body = b"".join(self._chunks)
        self._http.set_close_callback(self._note_client_disconnected)
        self._task = asyncio.create_task(self._run_handler())

    def on_connection_close(self) -> None:
        """Tell the fallback that the client closed the connection early."""
        if self._fallback is not None:
            self._fallback.on_connection_close()

    def _note_client_disconnected(self) -> None:
        if not self._request.client_disconnected.done():
            self._request.client_disconnected.set_result(None)

    def _start_fallback(self, start_line, headers):
        self._http.closing = self._server.closing
        self._fallback = self._server.fallback.start_request(None, self._http)
        return self._fallback.headers_received(start_line, headers)

    def _refuse_body(self) -> None:
        limit = self._server.max_body
        message = f"the request body is longer than {limit} bytes"
        self._refuse(Code.BODY_TOO_LARGE, message)

    def _refuse(self, code: Code, message: str) -> None:
        self._refused = True
        self._http.closing = True
        self._http.stream.refused = True
        self._write(self._server.refuse(code, message))

    async def _run_handler(self) -> None:
        try:
            answer = await self._server.handler(self._request)
        except Exception as exc:
            logging.error("the handler of a request failed", exc_info=exc)
            answer = self._server.refuse(Code.INTERNAL, "internal error")
        self._http.closing = self._server.closing
        self._write(answer)

    def _write(self, answer: HttpResponse) -> None:
        if self._http.stream.closed():
            return
        self._connection.limit_phase(WRITE_TIMEOUT_S)
        start, headers = _answer_head(answer)
        body = b"" if self._head_only else answer.body
        self._http.write_headers(start, headers, body)
        self._http.finish()


def _answer_head(answer: HttpResponse):
    reason = httputil.responses.get(answer.status, "Unknown")
    start = httputil.ResponseStartLine("HTTP/1.1", answer.status, reason)
    headers = httputil.HTTPHeaders(answer.headers)
    headers["Content-Length"] = str(len(answer.body))
    return start, headers


def _encode(answer: HttpResponse) -> bytes:
    start, headers = _answer_head(answer)
    headers["Connection"] = "close"
    lines = [f"HTTP/1.1 {start.code} {start.reason}"]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + answer.body
