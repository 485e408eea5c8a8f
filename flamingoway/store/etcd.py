"""Adapter of the ``Store`` port for the public etcd v3 gRPC API.

Calls are sent only on a connected channel, so a failure to connect is known to have no
effect. Reads that fail later raise ``StoreUnavailable``. Writes that fail later raise
``StoreOutcomeUnknown``, unless the error shows that the write was refused or not sent.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Iterator
from contextlib import contextmanager

import grpc

from ..errors import (
    BadRequest,
    FlamingowayError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from ..proto import etcd_pb2 as pb
from ..proto import etcd_pb2_grpc
from . import (
    STORES,
    Compare,
    Delete,
    KeyValue,
    LeaseExpired,
    Put,
    RangeResult,
    TxnResult,
    WatchBatch,
    WatchEvent,
)
from .keys import prefix_end

MAX_MESSAGE_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0

# Servers close connections that are pinged more often than every 5 s.
PING_INTERVAL_MS = 6000
PING_TIMEOUT_MS = 2000

CHANNEL_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    # Also the timeout of one connection attempt; the default of 20 s is longer than a
    # takeover.
    ("grpc.min_reconnect_backoff_ms", 1000),
    ("grpc.keepalive_time_ms", PING_INTERVAL_MS),
    ("grpc.keepalive_timeout_ms", PING_TIMEOUT_MS),
    ("grpc.http2.max_pings_without_data", 0),
    # A bandwidth probe that is in flight when the network fails would otherwise hide
    # the failure for the default of 60 s.
    ("grpc.http2.ping_timeout_ms", PING_TIMEOUT_MS),
    ("grpc.enable_http_proxy", 0),
]

# Makes a server that has no leader reject the call before processing it.
REQUIRE_LEADER = (("hasleader", "true"),)
NO_LEADER = "etcdserver: no leader"
LEASE_NOT_FOUND = "etcdserver: requested lease not found"
# Prefix of the error details of a call that gRPC failed locally because it had no
# connection; such a call was not sent.
NOT_CONNECTED_PREFIX = "failed to connect to all addresses"

COMPARE_TARGETS = {
    "create_revision": pb.Compare.CREATE,
    "mod_revision": pb.Compare.MOD,
    "value": pb.Compare.VALUE,
}


@STORES.register("etcd")
class EtcdStore:
    """Client of one etcd v3 endpoint.

    Must be created inside a running event loop.

    Args:
        endpoint: ``IP:port``.
        timeout_s: Timeout of one call, in seconds.
    """

    def __init__(self, endpoint: str, timeout_s: float = 2.0):
        self._endpoint = endpoint
        self._timeout_s = timeout_s
        self._channel = grpc.aio.insecure_channel(endpoint, options=CHANNEL_OPTIONS)
        self._kv = etcd_pb2_grpc.KVStub(self._channel)
        self._lease = etcd_pb2_grpc.LeaseStub(self._channel)
        self._watch = etcd_pb2_grpc.WatchStub(self._channel)
        self._keep_alive_call: grpc.aio.StreamStreamCall | None = None
        self._keep_alive_lock = asyncio.Lock()
        self._closed = False

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or ``None``."""
        response = await self._read(pb.RangeRequest(key=key.encode()))
        return _to_item(response.kvs[0]) if response.kvs else None

    async def range(self, prefix: str, start: str = "", limit: int = 0) -> RangeResult:
        """Return the keys that begin with ``prefix``; see ``Store.range``."""
        request = pb.RangeRequest(
            key=(start or prefix).encode(),
            range_end=prefix_end(prefix).encode(),
            limit=limit,
        )
        response = await self._read(request)
        return RangeResult(
            [_to_item(kv) for kv in response.kvs], response.header.revision
        )

    async def txn(
        self,
        compares: list[Compare],
        operations: list[Put | Delete],
        read_on_failure: list[str] | None = None,
    ) -> TxnResult:
        """Apply ``operations`` atomically if all ``compares`` hold."""
        request = pb.TxnRequest(
            compare=[_to_compare(compare) for compare in compares],
            success=[_to_request_op(op) for op in operations],
            failure=[_to_read(key) for key in read_on_failure or []],
        )
        response = await self._write(self._kv.Txn, request)
        reads = {}
        if not response.succeeded:
            found = [kv for r in response.responses for kv in r.response_range.kvs]
            reads = {item.key: item for item in map(_to_item, found)}
        return TxnResult(response.succeeded, response.header.revision, reads)

    async def grant_lease(self, ttl: int) -> int:
        """Return the id of a new lease with a TTL of ``ttl`` seconds."""
        request = pb.LeaseGrantRequest(TTL=ttl)
        response = await self._write(self._lease.LeaseGrant, request)
        return response.ID

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""
        async with self._keep_alive_lock:
            await self._connect()
            try:
                with self._raise_on_close(StoreOutcomeUnknown):
                    # asyncio.wait_for of Python 3.11 can swallow a cancellation.
                    async with asyncio.timeout(self._timeout_s):
                        return await self._renew(lease_id)
            except TimeoutError:
                self._cancel_keep_alive()
                raise StoreOutcomeUnknown("lease renewal timed out") from None
            except grpc.aio.AioRpcError as exc:
                self._cancel_keep_alive()
                raise _to_write_error(exc) from None
            except BaseException:
                self._cancel_keep_alive()
                raise

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; no error if it has expired."""
        request = pb.LeaseRevokeRequest(ID=lease_id)
        try:
            await self._write(self._lease.LeaseRevoke, request)
        except LeaseExpired:
            pass

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[WatchBatch]:
        """Yield changes under ``prefix`` from ``start_revision`` on."""
        await self._connect()
        call = self._watch.Watch(metadata=REQUIRE_LEADER)
        create = pb.WatchCreateRequest(
            key=prefix.encode(),
            range_end=prefix_end(prefix).encode(),
            start_revision=start_revision,
        )
        try:
            await self._send_create_request(call, create)
            while (response := await self._next_response(call)) is not None:
                for batch in _to_batches(response):
                    yield batch
        finally:
            call.cancel()
        raise StoreUnavailable("watch cancelled by the store")

    async def close(self) -> None:
        """Close the connection; open watches raise ``StoreUnavailable``."""
        self._closed = True
        self._cancel_keep_alive()
        await self._channel.close()

    @contextmanager
    def _raise_on_close(self, error: type[FlamingowayError]) -> Iterator[None]:
        # A call that close() cancels raises CancelledError in the waiting task although
        # that task is not cancelled.
        try:
            yield
        except asyncio.CancelledError:
            if not self._closed or asyncio.current_task().cancelling():
                raise
            raise error("connection closed during the call") from None

    async def _send_create_request(
        self, call: grpc.aio.StreamStreamCall, create: pb.WatchCreateRequest
    ) -> None:
        try:
            with self._raise_on_close(StoreUnavailable):
                await call.write(pb.WatchRequest(create_request=create))
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as exc:
            raise StoreUnavailable(f"watch failed: {_describe(exc)}") from None

    async def _next_response(
        self, call: grpc.aio.StreamStreamCall
    ) -> pb.WatchResponse | None:
        try:
            with self._raise_on_close(StoreUnavailable):
                response = await call.read()
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as exc:
            raise StoreUnavailable(f"watch failed: {_describe(exc)}") from None
        if response is grpc.aio.EOF or response.canceled:
            return None
        return response

    async def _connect(self) -> None:
        if self._closed:
            raise StoreUnavailable("connection is closed")
        # Connecting first tells a call that was not sent from one without a response.
        if self._channel.get_state(try_to_connect=True) == _READY:
            return
        timeout_s = min(CONNECT_TIMEOUT_S, self._timeout_s)
        try:
            async with asyncio.timeout(timeout_s):
                await self._channel.channel_ready()
        except (TimeoutError, grpc.aio.UsageError):
            raise StoreUnavailable(
                f"cannot connect to the store at {self._endpoint}"
            ) from None
        if self._closed:
            raise StoreUnavailable("connection is closed")

    async def _read(self, request: pb.RangeRequest) -> pb.RangeResponse:
        await self._connect()
        try:
            with self._raise_on_close(StoreUnavailable):
                return await self._kv.Range(
                    request, timeout=self._timeout_s, metadata=REQUIRE_LEADER
                )
        except grpc.aio.AioRpcError as exc:
            raise StoreUnavailable(f"read failed: {_describe(exc)}") from None

    async def _write(self, method: grpc.aio.UnaryUnaryMultiCallable, request):
        await self._connect()
        call: Awaitable = method(
            request, timeout=self._timeout_s, metadata=REQUIRE_LEADER
        )
        try:
            with self._raise_on_close(StoreOutcomeUnknown):
                return await call
        except grpc.aio.AioRpcError as exc:
            raise _to_write_error(exc) from None

    async def _renew(self, lease_id: int) -> float:
        if self._keep_alive_call is None or self._keep_alive_call.done():
            self._keep_alive_call = self._lease.LeaseKeepAlive(metadata=REQUIRE_LEADER)
        call = self._keep_alive_call
        try:
            await call.write(pb.LeaseKeepAliveRequest(ID=lease_id))
            response = await call.read()
        except asyncio.InvalidStateError:
            raise StoreOutcomeUnknown("lease renewal stream ended") from None
        if response is grpc.aio.EOF or lease_id != response.ID:
            raise StoreOutcomeUnknown("lease renewal stream ended")
        return float(response.TTL)

    def _cancel_keep_alive(self) -> None:
        if self._keep_alive_call is not None:
            self._keep_alive_call.cancel()
            self._keep_alive_call = None


_READY = grpc.ChannelConnectivity.READY


def _describe(exc: Exception) -> str:
    if isinstance(exc, grpc.aio.AioRpcError):
        return f"{exc.code().name}: {exc.details()}"
    return str(exc)


def _to_write_error(exc: grpc.aio.AioRpcError) -> FlamingowayError:
    code, text = exc.code(), _describe(exc)
    if code == grpc.StatusCode.RESOURCE_EXHAUSTED:
        return StoreUnavailable(f"store refused the write: {text}")
    if code == grpc.StatusCode.UNAVAILABLE and exc.details() == NO_LEADER:
        return StoreUnavailable(f"store refused the write: {text}")
    if code == grpc.StatusCode.UNAVAILABLE and _was_not_sent(exc):
        return StoreUnavailable(f"write was not sent: {text}")
    if code == grpc.StatusCode.NOT_FOUND and exc.details() == LEASE_NOT_FOUND:
        return LeaseExpired("lease has expired")
    if code == grpc.StatusCode.INVALID_ARGUMENT:
        return BadRequest(f"store rejected the write: {text}")
    return StoreOutcomeUnknown(f"outcome of a write is unknown: {text}")


def _was_not_sent(exc: grpc.aio.AioRpcError) -> bool:
    return (exc.details() or "").startswith(NOT_CONNECTED_PREFIX)


def _to_item(kv: pb.KeyValue) -> KeyValue:
    return KeyValue(
        kv.key.decode(), kv.value, kv.create_revision, kv.mod_revision, kv.lease
    )


def _to_compare(compare: Compare) -> pb.Compare:
    return pb.Compare(
        result=pb.Compare.EQUAL,
        target=COMPARE_TARGETS[compare.target],
        key=compare.key.encode(),
        **{compare.target: compare.expected},
    )


def _to_request_op(op: Put | Delete) -> pb.RequestOp:
    if isinstance(op, Put):
        put = pb.PutRequest(key=op.key.encode(), value=op.value, lease=op.lease)
        return pb.RequestOp(request_put=put)
    delete = pb.DeleteRangeRequest(key=op.key.encode(), range_end=op.end.encode())
    return pb.RequestOp(request_delete_range=delete)


def _to_read(key: str) -> pb.RequestOp:
    return pb.RequestOp(request_range=pb.RangeRequest(key=key.encode()))


def _to_batches(response: pb.WatchResponse) -> list[WatchBatch]:
    batches: dict[int, list[WatchEvent]] = {}
    for event in response.events:
        deleted = event.type == pb.Event.DELETE
        item = None if deleted else _to_item(event.kv)
        events = batches.setdefault(event.kv.mod_revision, [])
        events.append(WatchEvent(event.kv.key.decode(), item))
    return [WatchBatch(revision, events) for revision, events in batches.items()]
