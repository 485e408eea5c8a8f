"""Stand-in of worker machines: serves ``Worker.Attach`` and simulates tasks.

Run as ``python -m standins.worker --port 7001 --id w1 --ledger w1.jsonl``. With
``--count N``, one process serves N workers on consecutive ports; their ids are
``<id>-0`` to ``<id>-<N-1>``.
"""

import argparse
import asyncio
import json
import os
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import grpc

from flamingoway.context import boot_time
from flamingoway.model import Resources
from flamingoway.proto import worker_pb2_grpc

from .worker_state import StaleEpoch, Stream, WorkerState

REPORT_INTERVAL_S = 5.0
MIN_WAIT_S = 0.001
SERVER_OPTIONS = [("grpc.so_reuseport", 0), ("grpc.enable_http_proxy", 0)]

Record = Callable[[dict[str, Any]], None]


class WorkerServicer(worker_pb2_grpc.WorkerServicer):
    """Serves the streams of one worker and advances its simulated tasks."""

    def __init__(self, state: WorkerState, interval_s: float = REPORT_INTERVAL_S):
        self._state = state
        self._interval_s = interval_s
        self._wake_events: dict[int, asyncio.Event] = {}
        self._command_received = asyncio.Event()

    async def Attach(self, requests, context):  # noqa: N802 (name set by the protocol)
        """Serve one owner until its stream ends or is replaced."""
        first = await context.read()
        if first is grpc.aio.EOF:
            return
        try:
            stream = self._state.attach(first.shard, first.epoch)
        except StaleEpoch as exc:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(exc))
        wake = asyncio.Event()
        self._wake_events[id(stream)] = wake
        self._wake_all()
        reader = asyncio.create_task(self._read(stream, context))
        try:
            await self._write(stream, context, wake, reader)
        finally:
            reader.cancel()
            del self._wake_events[id(stream)]
        if stream.replaced_by > stream.epoch:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, "higher epoch")
        elif stream.replaced_by:
            await context.abort(grpc.StatusCode.ABORTED, "replaced by a new stream")

    async def advance_forever(self) -> None:
        """End tasks on time, even while no owner is attached."""
        while True:
            self._state.advance()
            self._wake_all()
            event = self._state.next_event()
            wait_s = self._interval_s
            if event is not None:
                wait_s = max(event - boot_time(), MIN_WAIT_S)
            self._command_received.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await self._command_received.wait()
            except TimeoutError:
                pass

    async def _read(self, stream: Stream, context) -> None:
        while True:
            command = await context.read()
            if command is grpc.aio.EOF:
                return
            try:
                self._state.on_command(stream, command)
            except StaleEpoch:
                return
            self._command_received.set()
            self._wake_all()

    async def _write(self, stream, context, wake, reader) -> None:
        last_report = float("-inf")
        while not stream.replaced_by and not reader.done():
            due_s = last_report + self._interval_s - boot_time()
            if stream.changed or due_s <= 0:
                last_report = boot_time()
                await context.write(self._state.report(stream))
                continue
            wake.clear()
            try:
                async with asyncio.timeout(due_s):
                    await wake.wait()
            except TimeoutError:
                pass

    def _wake_all(self) -> None:
        for wake in self._wake_events.values():
            wake.set()


async def start_worker(
    state: WorkerState, port: int, interval_s: float = REPORT_INTERVAL_S
) -> tuple[grpc.aio.Server, int, asyncio.Task]:
    """Serve ``state`` on 127.0.0.1; return server, bound port and timer task."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    servicer = WorkerServicer(state, interval_s)
    worker_pb2_grpc.add_WorkerServicer_to_server(servicer, server)
    bound = server.add_insecure_port(f"127.0.0.1:{port}")
    await server.start()
    return server, bound, asyncio.create_task(servicer.advance_forever())


@contextmanager
def ledger_file(path: str) -> Iterator[Callable[[str], Record]]:
    """Open a ledger for appending JSON lines; yield a factory of writers by worker."""
    with open(path or os.devnull, "a", buffering=1) as file:

        def writer(worker_id: str) -> Record:
            def write(entry: dict[str, Any]) -> None:
                times = {"wall": time.time(), "monotonic": boot_time()}
                file.write(json.dumps({"worker": worker_id, **entry, **times}) + "\n")

            return write

        yield writer


async def serve(args: argparse.Namespace) -> None:
    """Serve all workers of this process until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    capacity = Resources(
        round(args.cores * 1000), args.memory_mb, accelerators=args.accelerators
    )
    servers = []
    with ledger_file(args.ledger) as writer:
        for index in range(args.count):
            name = args.id if args.count == 1 else f"{args.id}-{index}"
            state = WorkerState(
                name, capacity, boot_time, writer(name), fail_all=args.fail_all
            )
            servers.append(
                await start_worker(state, args.port + index, args.report_interval_s)
            )
        await stop.wait()
        for server, _port, timer in servers:
            timer.cancel()
            await server.stop(None)


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Stand-in of worker machines")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--cores", type=float, default=16.0)
    parser.add_argument("--memory-mb", type=int, default=65536)
    parser.add_argument("--accelerators", type=int, default=0)
    parser.add_argument("--ledger", default="")
    parser.add_argument("--fail-all", action="store_true")
    parser.add_argument("--report-interval-s", type=float, default=REPORT_INTERVAL_S)
    return parser.parse_args(argv)


if __name__ == "__main__":
    asyncio.run(serve(parse_arguments()))
