"""HTTP client to targets: one request on one connection, and a pool per target.

Every failure is mapped to a result code. A request is reported as not run only if no
byte of it was written to the socket, or if the target said so. The whole answer is
read and its length checked before the caller gets any of it.

Reuse of connections: a target may close an idle connection at the moment a request
is sent on it; the request's outcome is then unknown, and a non-idempotent check
must not be retried. A new connection for each check would avoid this, but costs
one more round trip (up to 3 ms) and about a quarter of the throughput of an entry
process. So a connection is verified immediately before use (no end of stream, no
unread bytes), and a non-idempotent check only uses one that answered within
``MAX_IDLE_NON_IDEMPOTENT_S``. Idle timeouts of HTTP servers are several seconds or
more, and a target that shuts down announces it by ``X-Leaving`` or
``Connection: close``. The case that remains is a target that crashes during the round
trip: the outcome is reported as unknown.
"""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado import httputil
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

from .errors import FlamingowayError, OutcomeUnknown, Refused
from .status import Code

MAX_IDLE_NON_IDEMPOTENT_S = 1.0
MAX_IDLE_S = 15.0
CONNECT_TIMEOUT_S = 1.0
MAX_HEADER_BYTES = 16 * 1024
# Bodies are limited by ``TargetRequest.max_answer_bytes``, which has its own result
# code; tornado's limit is therefore set out of reach.
_HTTP_PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEADER_BYTES, max_body_size=2**62
)


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A request to a target.

    Attributes:
        timeout_s: Time left until the deadline.
        idempotent: Whether it may be sent on a connection idle for up to
            ``MAX_IDLE_S`` instead of ``MAX_IDLE_NON_IDEMPOTENT_S``.
        max_answer_bytes: Largest body of the answer that is accepted.
    """

    path: str
    body: bytes
    request_id: str
    timeout_s: float
    traceparent: str = ""
    idempotent: bool = False
    max_answer_bytes: int = 1_048_576


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of a target.

    Attributes:
        not_run: Whether the target said that it did not run the request.
        leaving: Whether the target said that it is shutting down.
    """

    status: int
    content_type: str
    body: bytes
    leaving: bool = False
    not_run: bool = False


class _Stream(IOStream):
    """Counts the bytes written and read.

    The counts tell whether any of a request was sent and whether bytes followed the
    answer.
    """

    sent = 0
    received = 0
    head_bytes = 0

    def write_to_fd(self, data: memoryview) -> int:
        """Write to the socket and count the bytes."""
        count = super().write_to_fd(data)
        self.sent += count
        return count

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and count the bytes."""
        count = super().read_from_fd(buf)
        if count is not None:
            self.received += count
        return count

    async def read_until_regex(self, regex: bytes, max_bytes: int | None = None):
        """Read the status line and headers and count their bytes."""
        head = await super().read_until_regex(regex, max_bytes)
        self.head_bytes += len(head)
        return head


class _AnswerRejected(httputil.HTTPInputError):
    """Raised for an answer that is rejected; tornado then closes the connection."""


class _AnswerReader(httputil.HTTPMessageDelegate):
    """Collects one answer and enforces its limits."""

    def __init__(self, request: TargetRequest):
        self.status = 0
        self.headers = httputil.HTTPHeaders()
        self.complete = False
        self.error_code: Code | None = None
        self._request = request
        self._chunks: list[bytes] = []
        self._size = 0

    @property
    def body(self) -> bytes:
        """The body read so far."""
        return b"".join(self._chunks)

    @property
    def size(self) -> int:
        """Length of the body read so far, in bytes."""
        return self._size

    @property
    def chunked(self) -> bool:
        """Whether the body is sent in chunks, without ``Content-Length``."""
        return "Transfer-Encoding" in self.headers

    def headers_received(self, start_line, headers) -> None:
        """Check status and headers; an informational response is skipped."""
        if start_line.code < 200:
            return
        self.status = start_line.code
        self.headers = headers
        self._check_length(headers.get_list("Content-Length"))
        echoed = headers.get("X-Request-Id", self._request.request_id)
        if echoed != self._request.request_id:
            self._reject(Code.ANSWER_INVALID)

    def _check_length(self, lengths: list[str]) -> None:
        if self.status in (204, 304):
            return
        if len(lengths) + self.chunked != 1:
            self._reject(Code.ANSWER_INVALID)
        if lengths and not (lengths[0].isascii() and lengths[0].isdigit()):
            self._reject(Code.ANSWER_INVALID)
        if lengths and int(lengths[0]) > self._request.max_answer_bytes:
            self._reject(Code.ANSWER_TOO_LARGE)

    def data_received(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self._size += len(chunk)
        if self._size > self._request.max_answer_bytes:
            self._reject(Code.ANSWER_TOO_LARGE)
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Mark the answer as complete."""
        self.complete = True

    def on_connection_close(self) -> None:
        """Do nothing; the caller sees that the answer is not complete."""

    def _reject(self, code: Code) -> None:
        self.error_code = code
        raise _AnswerRejected(code.name)


@dataclass(slots=True, eq=False)
class Connection:
    """An open connection to a target; carries one request at a time."""

    stream: _Stream
    last_used: float
    _timed_out: bool = field(default=False, init=False)

    def verify(self) -> bool:
        """Return whether the idle connection is open and has no unread bytes."""
        if self.stream.closed():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()

    async def send(self, request: TargetRequest) -> tuple[Answer, bool]:
        """Send a request; return the answer and whether to keep the connection.

        Raises:
            Refused: No byte of the request was sent.
            OutcomeUnknown: The request may have run; the code says what failed.
        """
        stream = self.stream
        sent, received = stream.sent, stream.received
        stream.head_bytes = 0
        reader = _AnswerReader(request)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(request.timeout_s, self._expire)
        try:
            parsed = await _exchange(stream, request, reader)
        finally:
            timer.cancel()
            if not reader.complete:
                stream.close()
        sent = stream.sent - sent
        received = stream.received - received
        if not reader.complete:
            raise self._failure(reader, sent, received, parsed)
        extra_bytes = received - stream.head_bytes - reader.size
        reusable = not reader.chunked and extra_bytes == 0 and not stream.closed()
        closes = reader.headers.get("Connection", "").lower() == "close"
        return _to_answer(reader), reusable and not closes

    def _expire(self) -> None:
        self._timed_out = True
        self.stream.close()

    def _failure(
        self, reader: _AnswerReader, sent: int, received: int, parsed: bool
    ) -> FlamingowayError:
        """Return the error for an exchange without a complete answer."""
        if sent == 0:
            if self._timed_out:
                return Refused("the deadline passed", Code.DEADLINE_PASSED)
            return Refused(
                "the connection closed before the request was sent", Code.NO_TARGET
            )
        if self._timed_out:
            return OutcomeUnknown(
                "the target did not send a complete answer in time", Code.ANSWER_LATE
            )
        if reader.error_code is not None:
            return OutcomeUnknown("the target's answer was rejected", reader.error_code)
        invalid = isinstance(self.stream.error, UnsatisfiableReadError)
        if not parsed or invalid:
            return OutcomeUnknown(
                "the target's answer is not valid HTTP", Code.ANSWER_INVALID
            )
        if received:
            return OutcomeUnknown(
                "the connection closed in the middle of the answer",
                Code.ANSWER_CUT,
            )
        return OutcomeUnknown(
            "the connection closed before the answer", Code.OUTCOME_UNKNOWN
        )


async def _exchange(
    stream: _Stream, request: TargetRequest, reader: _AnswerReader
) -> bool:
    """Write the request and read the answer; return whether it could be parsed."""
    http = HTTP1Connection(stream, True, _HTTP_PARAMETERS)
    start = httputil.RequestStartLine("POST", request.path, "HTTP/1.1")
    try:
        http.write_headers(start, _request_headers(request), request.body)
        http.finish()
        await http.read_response(reader)
    except StreamClosedError:
        return True
    except ValueError:
        return False
    return reader.complete


def _request_headers(request: TargetRequest) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    headers["Host"] = "target"
    headers["Content-Type"] = "application/json"
    headers["Content-Length"] = str(len(request.body))
    headers["X-Request-Id"] = request.request_id
    headers["X-Deadline-Ms"] = str(max(1, int(request.timeout_s * 1000)))
    if request.traceparent:
        headers["traceparent"] = request.traceparent
    return headers


def _to_answer(reader: _AnswerReader) -> Answer:
    headers = reader.headers
    return Answer(
        status=reader.status,
        content_type=headers.get("Content-Type", ""),
        body=reader.body,
        leaving=headers.get("X-Leaving") == "1",
        not_run=reader.status == 503 and headers.get("X-Not-Run") == "1",
    )


class TargetPool:
    """Connections to one target.

    Args:
        ip: Address of the target.
        port: Port of the target.
        limit: Largest number of connections of this process to the target.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, ip: str, port: int, limit: int, clock: Callable[[], float]):
        self.limit = limit
        self._address = (ip, port)
        self._clock = clock
        self._idle: list[Connection] = []
        self._busy: set[Connection] = set()
        self._connecting = 0
        self._closed = False

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port of the target."""
        return self._address

    @property
    def open(self) -> int:
        """Connections that are open or being opened."""
        return len(self._idle) + len(self._busy) + self._connecting

    async def send(self, request: TargetRequest) -> Answer:
        """Send a request and return the complete answer.

        Raises:
            Refused: The request did not run: ``NO_TARGET`` if the target cannot be
                reached, ``OVERLOADED`` at the connection limit, ``TARGET_REFUSED``
                if the target said so, ``DEADLINE_PASSED``.
            OutcomeUnknown: The request may have run.
        """
        deadline = self._clock() + request.timeout_s
        connection = self._take_idle(request.idempotent)
        if connection is None:
            connection = await self._connect(request.timeout_s)
            if self._clock() >= deadline:
                connection.close()
                raise Refused("the deadline passed", Code.DEADLINE_PASSED)
        return await self._send_on(connection, request)

    async def _send_on(self, connection: Connection, request: TargetRequest) -> Answer:
        self._busy.add(connection)
        keep = False
        try:
            answer, keep = await connection.send(request)
        finally:
            self._busy.discard(connection)
            if keep and not self._closed:
                connection.last_used = self._clock()
                self._idle.append(connection)
            else:
                connection.close()
        if answer.not_run:
            raise Refused(
                "the target did not run the request",
                Code.TARGET_REFUSED,
                leaving=answer.leaving,
            )
        return answer

    def _take_idle(self, idempotent: bool) -> Connection | None:
        oldest = self._clock() - (
            MAX_IDLE_S if idempotent else MAX_IDLE_NON_IDEMPOTENT_S
        )
        while self._idle:
            connection = self._idle.pop()
            if connection.last_used >= oldest and connection.verify():
                return connection
            connection.close()
        return None

    async def _connect(self, timeout_s: float) -> Connection:
        if self.open >= self.limit:
            raise Refused(
                "the connection limit of the target is reached", Code.OVERLOADED
            )
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = _Stream(sock)
        self._connecting += 1
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                await stream.connect(self._address)
        except (OSError, StreamClosedError, TimeoutError):
            stream.close()
            raise Refused("the target cannot be reached", Code.NO_TARGET) from None
        except BaseException:
            stream.close()
            raise
        finally:
            self._connecting -= 1
        return Connection(stream, self._clock())

    def sweep(self) -> None:
        """Close connections idle for more than ``MAX_IDLE_S``."""
        oldest = self._clock() - MAX_IDLE_S
        for connection in [c for c in self._idle if c.last_used < oldest]:
            self._idle.remove(connection)
            connection.close()

    def close(self) -> None:
        """Close idle connections now and busy ones after their answer."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()
