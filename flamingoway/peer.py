"""Calls between entry processes: gRPC with msgspec-encoded messages.

A module that serves calls registers one handler per request type on a ``PeerServer``.
A caller sends a request with ``PeerClient.call``. The request class declares the reply
type, so no generated code is needed.
"""

import asyncio
import weakref
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, ClassVar, TypeVar

import grpc
import msgspec
from absl import logging

from .addresses import parse_address
from .errors import BadRequest, FlamingowayError, OutcomeUnknown, Refused
from .status import Code

SERVICE = "flamingoway.Peer"
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0

CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.initial_reconnect_backoff_ms", 100),
    # Timeout of one connection attempt; the default of 20 s is longer than a takeover.
    ("grpc.min_reconnect_backoff_ms", 1000),
    ("grpc.enable_http_proxy", 0),
    # Two processes on one machine must not share a port.
    ("grpc.so_reuseport", 0),
    # A channel that replaces another one must not share its connection.
    ("grpc.use_local_subchannel_pool", 1),
]


class Message(msgspec.Struct, frozen=True):
    """Base of messages between entry processes."""


class PeerError(Message):
    """An error raised by the handler, with its result code."""

    code: int
    message: str
    details: dict[str, Any] = {}


class Request(Message):
    """Base of requests; ``reply`` is the type of a successful reply."""

    reply: ClassVar[type[Message]]


class _Envelope(msgspec.Struct, frozen=True):
    """A reply or an error."""

    ok: bytes | None = None
    error: PeerError | None = None


R = TypeVar("R", bound=Message)
Handler = Callable[[Any], Awaitable[Message]]

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)


def _log_error(method: str, error: Exception) -> None:
    logging.error("call %s failed: %r", method, error, exc_info=error)


class PeerServer:
    """Serves calls from other entry processes.

    Attributes:
        on_error: Called with the request's type and an error that a handler should not
            raise.
    """

    def __init__(self):
        self.on_error: Callable[[str, Exception], None] = _log_error
        self._handlers: dict[str, tuple[msgspec.msgpack.Decoder, Handler]] = {}

    def handle(self, request_type: type[Request], handler: Handler) -> None:
        """Register ``handler`` for one request type."""
        decoder = msgspec.msgpack.Decoder(request_type)
        self._handlers[request_type.__name__] = (decoder, handler)

    @asynccontextmanager
    async def listen(
        self, address: str, grace_s: float = 5.0
    ) -> AsyncIterator["PeerServer"]:
        """Serve at ``address`` (``IP:port``) until the block ends.

        Args:
            address: Address to listen on.
            grace_s: Time for calls in progress to complete after the block ends.

        Raises:
            OSError: If the port cannot be bound.
        """
        server = grpc.aio.server(options=CHANNEL_OPTIONS)
        server.add_generic_rpc_handlers([_GenericHandler(self)])
        try:
            server.add_insecure_port(address)
        except RuntimeError as exc:
            raise OSError(f"cannot listen on {address}: {exc}") from exc
        await server.start()
        try:
            yield self
        finally:
            await server.stop(grace_s)


class _GenericHandler(grpc.GenericRpcHandler):
    def __init__(self, server: PeerServer):
        self._handlers = server._handlers
        self._server = server

    def service(self, call_details: grpc.HandlerCallDetails):
        """Return the handler for the called method, or ``None``."""
        name = call_details.method.removeprefix(f"/{SERVICE}/")
        if name not in self._handlers:
            return None
        decoder, handler = self._handlers[name]

        async def serve(data: bytes, _context: grpc.aio.ServicerContext) -> bytes:
            try:
                return _ENCODER.encode(await _run(decoder, handler, data))
            except Exception as exc:
                # The handler may have carried out the request before the error.
                self._server.on_error(name, exc)
                error = PeerError(Code.OUTCOME_UNKNOWN, repr(exc))
                return _ENCODER.encode(_Envelope(error=error))

        return grpc.unary_unary_rpc_method_handler(serve)


async def _run(
    decoder: msgspec.msgpack.Decoder, handler: Handler, data: bytes
) -> _Envelope:
    try:
        request = decode_message(decoder, data)
    except BadRequest as exc:
        return _Envelope(error=PeerError(Code.BAD_REQUEST, exc.message))
    try:
        reply = await handler(request)
    except FlamingowayError as exc:
        details = {k: v for k, v in exc.details.items() if _is_serializable(v)}
        return _Envelope(error=PeerError(int(exc.code), exc.message, details))
    return _Envelope(ok=_ENCODER.encode(reply))


def decode_message(decoder: msgspec.msgpack.Decoder, data: bytes):
    """Decode a message of another process, which may be of another build.

    Raises:
        BadRequest: If it is not valid.
    """
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise BadRequest(f"not a valid message: {exc}") from None


def _is_serializable(value: Any) -> bool:
    return isinstance(value, str | int | float | bool | list | dict | None)


class PeerClient:
    """Calls peers over one channel per peer."""

    def __init__(self):
        self._channels: dict[str, grpc.aio.Channel] = {}
        # Loop times until which calls on the channels may go on.
        self._busy_until = weakref.WeakKeyDictionary[grpc.aio.Channel, float]()
        # Channels that were replaced, with the tasks that close them.
        self._replaced: dict[asyncio.Task, grpc.aio.Channel] = {}

    async def call(
        self, address: str, request: Request, timeout_s: float, reply: type[R]
    ) -> R:
        """Call a peer and return its reply.

        Args:
            address: ``IP:port`` of the peer.
            request: Message to send.
            timeout_s: Longest wait, in seconds.
            reply: Type of the reply, ``type(request).reply``.

        Raises:
            Refused: With ``OWNER_UNAVAILABLE`` if the peer cannot be reached or does
                not serve the request; the call was not handled.
            OutcomeUnknown: If the call was sent and no reply arrived.
            FlamingowayError: As raised by the peer's handler, with its code.
        """
        data = await self._send(address, request, timeout_s)
        try:
            envelope = decode_message(_ENVELOPE_DECODER, data)
            if envelope.error is None:
                decoder = msgspec.msgpack.Decoder(reply)
                return decode_message(decoder, envelope.ok or b"")
        except BadRequest as exc:
            raise OutcomeUnknown(
                f"the reply of peer {address} is not valid: {exc.message}"
            ) from None
        raise _to_exception(envelope.error)

    async def _send(self, address: str, request: Request, timeout_s: float) -> bytes:
        channel = self._channels.get(address)
        if channel is None:
            _check_address(address)
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        await _connect(channel, address, min(CONNECT_TIMEOUT_S, timeout_s))
        method = f"/{SERVICE}/{type(request).__name__}"
        ends_at = asyncio.get_running_loop().time() + timeout_s
        self._busy_until[channel] = max(self._busy_until.get(channel, 0.0), ends_at)
        try:
            call = channel.unary_unary(method)(
                _ENCODER.encode(request), timeout=timeout_s
            )
        except grpc.aio.UsageError:
            raise Refused(
                f"the channel to peer {address} was closed", Code.OWNER_UNAVAILABLE
            ) from None
        try:
            return await call
        except asyncio.CancelledError:
            # Closing a channel makes gRPC cancel its calls, although the task that
            # awaits them is not cancelled.
            if asyncio.current_task().cancelling():
                raise
            raise OutcomeUnknown(f"the channel to peer {address} was closed") from None
        except grpc.aio.AioRpcError as exc:
            if exc.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
                self._replace_channel(address, channel)
            if exc.code() == grpc.StatusCode.UNIMPLEMENTED:
                raise Refused(
                    f"peer {address} does not serve {type(request).__name__}",
                    Code.OWNER_UNAVAILABLE,
                ) from None
            raise OutcomeUnknown(
                f"no reply from peer {address}: {exc.code().name}"
            ) from None

    def _replace_channel(self, address: str, channel: grpc.aio.Channel) -> None:
        """Use a new channel for further calls; the connection may be dead."""
        if self._channels.get(address) is channel:
            del self._channels[address]
            left_s = self._busy_until[channel] - asyncio.get_running_loop().time()
            task = asyncio.create_task(channel.close(max(0.0, left_s)))
            self._replaced[task] = channel
            task.add_done_callback(self._replaced.pop)

    async def close_channel(self, address: str) -> None:
        """Close the channel to a peer; the next call opens a new one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for channel in [*self._channels.values(), *self._replaced.values()]:
            await channel.close()
        self._channels.clear()


def _check_address(address: str) -> None:
    try:
        parse_address(address)
    except ValueError as exc:
        raise Refused(f"invalid peer address: {exc}", Code.OWNER_UNAVAILABLE) from None


async def _connect(channel: grpc.aio.Channel, address: str, timeout_s: float) -> None:
    # Connecting before the call distinguishes "not sent" from "no reply".
    if channel.get_state(try_to_connect=True) == grpc.ChannelConnectivity.READY:
        return
    try:
        # Unlike asyncio.wait_for in Python 3.11, asyncio.timeout never swallows a
        # cancellation.
        async with asyncio.timeout(timeout_s):
            await channel.channel_ready()
    except (TimeoutError, grpc.aio.UsageError):
        raise Refused(
            f"peer {address} cannot be reached", Code.OWNER_UNAVAILABLE
        ) from None


def _to_exception(error: PeerError) -> FlamingowayError:
    kinds = {2: Refused, 3: OutcomeUnknown}
    kind = kinds.get(error.code // 1000, FlamingowayError)
    # A peer of another build may use codes and details that are not known here.
    code = Code(error.code) if error.code in set(Code) else kind.code
    exception = kind(error.message, code)
    exception.details.update(error.details)
    return exception
