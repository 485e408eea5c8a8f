"""gRPC services of the etcd v3 subset over the in-memory engine."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import grpc

from flamingoway.proto import etcd_pb2 as pb
from flamingoway.proto import etcd_pb2_grpc

from . import kv
from .faults import Counts, Faults, RateLimit

WRITES_PER_SECOND = 300
READS_PER_SECOND = 2000
EXPIRY_INTERVAL_S = 0.05
MAX_MESSAGE_BYTES = 64 * 1024 * 1024

SERVER_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # etcd rejects clients that ping more often than every 5 s.
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 5000),
]

NO_LEADER = "etcdserver: no leader"
TOO_MANY_REQUESTS = "etcdserver: too many requests"
LEASE_NOT_FOUND = "etcdserver: requested lease not found"
CONNECTION_LOST = "Socket closed"

RELATIONS = {
    pb.Compare.EQUAL: "equal",
    pb.Compare.GREATER: "greater",
    pb.Compare.LESS: "less",
    pb.Compare.NOT_EQUAL: "not_equal",
}
TARGETS = {
    pb.Compare.VERSION: "version",
    pb.Compare.CREATE: "create_revision",
    pb.Compare.MOD: "mod_revision",
    pb.Compare.VALUE: "value",
    pb.Compare.LEASE: "lease",
}


@dataclass(slots=True)
class Limits:
    """Rate limits and delay of the service.

    Attributes:
        writes: Writes a second, counting lease calls.
        reads: Reads a second, counting the opening of a watch.
        delay_s: Delay before each call takes effect, in seconds.
    """

    writes: int = WRITES_PER_SECOND
    reads: int = READS_PER_SECOND
    delay_s: float = 0.0


class EtcdServer:
    """An etcd server with injectable faults and call counts.

    Args:
        limits: Rate limits and delay.
        clock: Monotonic clock in seconds, for leases and rate limits.
    """

    def __init__(
        self,
        limits: Limits | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.limits = limits or Limits()
        self.engine = kv.Engine(clock)
        self.faults = Faults()
        self.counts = Counts()
        self._writes = RateLimit(self.limits.writes, clock)
        self._reads = RateLimit(self.limits.reads, clock)
        self._tasks: set[asyncio.Task] = set()
        self._streams: set[asyncio.Queue] = set()

    def set_down(self, down: bool) -> None:
        """Set whether all calls are refused; going down also ends open watches."""
        self.faults.down = down
        if down:
            self.break_watches()

    def break_watches(self) -> None:
        """End all open watches with UNAVAILABLE."""
        for queue in self._streams:
            queue.put_nowait(None)

    @asynccontextmanager
    async def listen(self, port: int = 0) -> AsyncIterator[int]:
        """Serve on 127.0.0.1 until the block ends; yield the port.

        Raises:
            OSError: If the port cannot be bound.
        """
        server = grpc.aio.server(options=SERVER_OPTIONS)
        etcd_pb2_grpc.add_KVServicer_to_server(_KV(self), server)
        etcd_pb2_grpc.add_LeaseServicer_to_server(_Lease(self), server)
        etcd_pb2_grpc.add_WatchServicer_to_server(_Watch(self), server)
        try:
            bound = server.add_insecure_port(f"127.0.0.1:{port}")
        except RuntimeError as exc:
            raise OSError(f"cannot listen on port {port}: {exc}") from exc
        await server.start()
        expiry = asyncio.create_task(self._expire())
        try:
            yield bound
        finally:
            expiry.cancel()
            self.break_watches()
            await server.stop(0)

    async def read(self, kind: str, context, run: Callable):
        """Run a read, subject to the rate limit, faults and delay."""
        await self._admit(kind, self._reads, "read", context)
        delay = self.limits.delay_s + self.faults.slow_s
        if delay:
            await asyncio.sleep(delay)
        return run()

    async def write(self, kind: str, context, run: Callable):
        """Run a write, subject to the rate limit, faults and delay."""
        await self._admit(kind, self._writes, "write", context)
        delay = self.limits.delay_s + self.faults.slow_s
        try:
            answer = await self._run_later(run, delay) if delay else run()
        except kv.LeaseNotFound:
            await context.abort(grpc.StatusCode.NOT_FOUND, LEASE_NOT_FOUND)
        except kv.InvalidRequest as exc:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(exc))
        await self._drop_response(context)
        return answer

    async def open_watch(self, context, request: pb.WatchCreateRequest):
        """Yield the responses of one watch until it breaks or the client cancels."""
        await self._admit("watch", self._reads, "read", context)
        queue: asyncio.Queue[kv.Changes | None] = asyncio.Queue()
        start = request.start_revision
        try:
            watcher = self.engine.watch(
                request.key, request.range_end, start, queue.put_nowait
            )
        except kv.Compacted as exc:
            yield pb.WatchResponse(canceled=True, compact_revision=exc.revision)
            return
        self._streams.add(queue)
        self.counts.open_watches += 1
        try:
            yield pb.WatchResponse(header=self.header(), created=True)
            while (batch := await queue.get()) is not None:
                yield _to_watch_response(batch)
        finally:
            self.counts.open_watches -= 1
            self._streams.discard(queue)
            self.engine.unwatch(watcher)
        await context.abort(grpc.StatusCode.UNAVAILABLE, NO_LEADER)

    def header(self) -> pb.ResponseHeader:
        """Return a response header with the current revision."""
        return pb.ResponseHeader(revision=self.engine.revision)

    async def _run_later(self, run: Callable, delay: float):
        async def apply():
            await asyncio.sleep(delay)
            return run()

        # A slow service applies a write even if its caller has cancelled the call.
        task = asyncio.create_task(apply())
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        return await asyncio.shield(task)

    def _discard_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            # Retrieved so that asyncio does not log it as never retrieved.
            task.exception()

    async def _drop_response(self, context) -> None:
        if not self.faults.drop:
            return
        self.faults.drop -= 1
        self.counts.dropped += 1
        if self.faults.drop_mode == "hang":
            await asyncio.Event().wait()
        await context.abort(grpc.StatusCode.UNAVAILABLE, CONNECTION_LOST)

    async def _admit(self, kind: str, limit: RateLimit, group: str, context) -> None:
        self.counts.calls[kind] += 1
        if self.faults.down:
            self.counts.refused += 1
            await context.abort(grpc.StatusCode.UNAVAILABLE, NO_LEADER)
        if not limit.admit():
            self.counts.limited[group] += 1
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, TOO_MANY_REQUESTS)

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.engine.expire()


class _KV(etcd_pb2_grpc.KVServicer):
    def __init__(self, server: EtcdServer):
        self._server = server

    async def Range(self, request, context):  # noqa: N802
        """Read one key or a range."""

        def run():
            return self._range_response(self._server.engine.range(_to_range(request)))

        return await self._server.read("range", context, run)

    async def Put(self, request, context):  # noqa: N802
        """Set one key."""
        op = _to_put(request)

        def run():
            self._server.engine.txn([], [op], [])
            return pb.PutResponse(header=self._server.header())

        return await self._server.write("put", context, run)

    async def Txn(self, request, context):  # noqa: N802
        """Run a transaction; one without puts or deletes counts as a read."""
        conditions = [_to_condition(c) for c in request.compare]
        success = [_to_op(op) for op in request.success]
        failure = [_to_op(op) for op in request.failure]

        def run():
            answer = self._server.engine.txn(conditions, success, failure)
            return self._txn_response(answer, success if answer.succeeded else failure)

        if all(isinstance(op, kv.RangeOp) for op in success + failure):
            return await self._server.read("txn_read", context, run)
        return await self._server.write("txn", context, run)

    def _txn_response(self, answer: kv.TxnResult, ops: list[kv.Op]) -> pb.TxnResponse:
        pairs = zip(ops, answer.results, strict=True)
        return pb.TxnResponse(
            header=self._server.header(),
            succeeded=answer.succeeded,
            responses=[self._op_response(op, result) for op, result in pairs],
        )

    def _op_response(self, op: kv.Op, result) -> pb.ResponseOp:
        header = self._server.header()
        if isinstance(op, kv.RangeOp):
            return pb.ResponseOp(response_range=self._range_response(result))
        if isinstance(op, kv.PutOp):
            return pb.ResponseOp(response_put=pb.PutResponse(header=header))
        deleted = pb.DeleteRangeResponse(header=header, deleted=result)
        return pb.ResponseOp(response_delete_range=deleted)

    def _range_response(self, answer: kv.RangeResult) -> pb.RangeResponse:
        return pb.RangeResponse(
            header=self._server.header(),
            kvs=[_to_kv(entry) for entry in answer.entries],
            more=answer.count > len(answer.entries),
            count=answer.count,
        )


class _Lease(etcd_pb2_grpc.LeaseServicer):
    def __init__(self, server: EtcdServer):
        self._server = server

    async def LeaseGrant(self, request, context):  # noqa: N802
        """Create a lease."""

        def run():
            lease_id = self._server.engine.grant(request.TTL, request.ID)
            header = self._server.header()
            return pb.LeaseGrantResponse(header=header, ID=lease_id, TTL=request.TTL)

        return await self._server.write("lease_grant", context, run)

    async def LeaseRevoke(self, request, context):  # noqa: N802
        """End a lease."""

        def run():
            self._server.engine.revoke(request.ID)
            return pb.LeaseRevokeResponse(header=self._server.header())

        return await self._server.write("lease_revoke", context, run)

    async def LeaseKeepAlive(self, requests, context):  # noqa: N802
        """Renew leases; each message counts as one call."""
        async for request in requests:

            def run(lease_id=request.ID):
                ttl = self._server.engine.keep_alive(lease_id)
                header = self._server.header()
                return pb.LeaseKeepAliveResponse(header=header, ID=lease_id, TTL=ttl)

            yield await self._server.write("lease_keep_alive", context, run)


class _Watch(etcd_pb2_grpc.WatchServicer):
    def __init__(self, server: EtcdServer):
        self._server = server

    async def Watch(self, requests, context):  # noqa: N802
        """Serve one watch on each stream."""
        async for request in requests:
            create = request.create_request
            async for answer in self._server.open_watch(context, create):
                yield answer
            return


def _to_range(request: pb.RangeRequest) -> kv.RangeOp:
    return kv.RangeOp(request.key, request.range_end, request.limit)


def _to_put(request: pb.PutRequest) -> kv.PutOp:
    return kv.PutOp(request.key, request.value, request.lease)


def _to_op(op: pb.RequestOp) -> kv.Op:
    kind = op.WhichOneof("request")
    if kind == "request_put":
        return _to_put(op.request_put)
    if kind == "request_range":
        return _to_range(op.request_range)
    delete = op.request_delete_range
    return kv.DeleteOp(delete.key, delete.range_end)


def _to_condition(compare: pb.Compare) -> kv.Condition:
    target = TARGETS[compare.target]
    expected = getattr(compare, target)
    return kv.Condition(compare.key, target, expected, RELATIONS[compare.result])


def _to_kv(entry: kv.Entry) -> pb.KeyValue:
    return pb.KeyValue(
        key=entry.key,
        create_revision=entry.create_revision,
        mod_revision=entry.mod_revision,
        version=entry.version,
        value=entry.value,
        lease=entry.lease,
    )


def _to_watch_response(batch: kv.Changes) -> pb.WatchResponse:
    header = pb.ResponseHeader(revision=batch.revision)
    events = [_to_event(change, batch.revision) for change in batch.changes]
    return pb.WatchResponse(header=header, events=events)


def _to_event(change: kv.Change, revision: int) -> pb.Event:
    if change.entry is not None:
        return pb.Event(type=pb.Event.PUT, kv=_to_kv(change.entry))
    deleted = pb.KeyValue(key=change.key, mod_revision=revision)
    return pb.Event(type=pb.Event.DELETE, kv=deleted)
