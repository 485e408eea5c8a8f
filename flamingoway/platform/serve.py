"""One entry process on the users' platform: its servers and signals."""

import asyncio
import gc
import os
import random
import signal

from .. import __version__
from ..addresses import parse_address
from ..context import boot_time
from ..errors import BadSettings
from ..httpserver import HttpRequest, HttpResponse, HttpServer
from ..peer import PeerClient, PeerServer
from ..queues.decisions import DecisionLog
from ..queues.node import Platform, QueueNode
from ..queues.records import ProcessRecord
from ..status import Code
from . import wire
from .client import HttpClient
from .ingress import JobIngress, error_answer
from .settings import NodeSettings, load
from .store import PlatformStore
from .workers import PlatformAdvice, PlatformWorkers

SETTINGS_PATH_VARIABLE = "FLAMINGOWAY_SETTINGS"
MAX_BODY_BYTES = 1024 * 1024
# After two failed readiness checks, one per second, the platform sends new connections
# to other processes.
DRAIN_NOTICE_S = 2.2
# Part of the grace period reserved for ending the session and the process.
STOP_RESERVE_S = 1.0
# The settings file may change without a signal, so its modification time is polled.
SETTINGS_POLL_S = 1.0
CONFIG_PREFIX = "op/"
CONFIG_KEY = "op/config"
WORKER_PREFIX = "servers/"
# Leases are shorter than the longest that a worker accepts, so that an estimate of the
# worker's clock that is ahead does not exceed the limit.
LEASE_FRACTION = 0.95
# Added to the required retention of ended jobs, since the clocks of two machines may
# differ by seconds.
RETENTION_MARGIN_S = 60.0


def main() -> int:
    """Run the entry process with its settings file; return the exit code."""
    path = os.environ.get(SETTINGS_PATH_VARIABLE, "/etc/flamingoway/node.yaml")
    try:
        settings = load(path)
    except BadSettings as exc:
        DecisionLog("unknown").write("settings refused", path=path, why=exc.message)
        return exc.code.exit_code
    gc.collect()
    gc.freeze()
    return asyncio.run(EntryProcess(settings, path).run())


class EntryProcess:
    """Entry process.

    Args:
        settings: Settings at the start.
        path: Path of the settings file, which is read again when it changes.
    """

    def __init__(self, settings: NodeSettings, path: str):
        self._settings = settings
        self._path = path
        self._log = DecisionLog(settings.node_name)
        self._client = HttpClient(boot_time)
        self._store = PlatformStore(settings.platform.address, self._client)
        self._advice = PlatformAdvice(settings.advice or "", self._client)
        process = ProcessRecord(
            settings.node_name,
            settings.peer_address,
            settings.zone,
            settings.standard_cores,
        )
        platform = Platform(
            store=self._store,
            workers=PlatformWorkers(self._client, self._log),
            advice=self._advice,
            config_prefix=CONFIG_PREFIX,
            config_key=CONFIG_KEY,
            decode_config=wire.to_desired_state,
            worker_prefix=WORKER_PREFIX,
            decode_worker=wire.to_worker,
            lease_s=settings.bounds.hold_max_ms / 1000 * LEASE_FRACTION,
            retention_s=settings.bounds.status_s + RETENTION_MARGIN_S,
        )
        self._node = QueueNode(
            process,
            platform,
            boot_time,
            self._log,
            PeerServer(),
            PeerClient(),
            random.Random(),
        )
        self._reload_requested = asyncio.Event()

    async def run(self) -> int:
        """Serve until SIGTERM; return the exit code."""
        self._log.write(
            "started",
            version=__version__,
            zone=self._settings.zone,
            pid=os.getpid(),
        )
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        ingress = JobIngress(self._node.intake, self._node.metrics, self._node.faults)
        job_server = HttpServer(ingress.handle, error_answer, MAX_BODY_BYTES)
        ready_server = HttpServer(self._answer_ready, error_answer, MAX_BODY_BYTES)
        metrics_server = HttpServer(self._answer_metrics, error_answer, MAX_BODY_BYTES)
        job_server.listen(*parse_address(self._settings.listen.front))
        ready_server.listen(*parse_address(self._settings.listen.ready))
        metrics_server.listen(self._settings.ip, self._settings.metrics_port)
        node = asyncio.create_task(self._node.run())
        background = [
            asyncio.create_task(job_server.sweep()),
            asyncio.create_task(self._watch_settings()),
        ]
        stopped = asyncio.create_task(stop.wait())
        await asyncio.wait({node, stopped}, return_when=asyncio.FIRST_COMPLETED)
        if node.done():
            self._log.write("stopped", why=repr(node.exception()))
            return Code.INTERNAL.exit_code
        await self._drain(job_server)
        for task in background:
            task.cancel()
        node.cancel()
        await asyncio.wait({node}, timeout=STOP_RESERVE_S / 2)
        await ready_server.close()
        await metrics_server.close()
        self._client.close()
        self._log.write("stopped", why="signal")
        return 0

    async def _drain(self, job_server: HttpServer) -> None:
        started_at = asyncio.get_running_loop().time()
        self._log.write("stopping", in_flight=job_server.in_flight)
        # The store may be unreachable, so the handover must not delay the callers.
        handover = asyncio.create_task(self._node.stop())
        await asyncio.sleep(DRAIN_NOTICE_S)
        job_server.stop_listening()
        elapsed = asyncio.get_running_loop().time() - started_at
        remaining = self._settings.bounds.grace_s - STOP_RESERVE_S - elapsed
        cut_off = await job_server.drain(max(0.1, remaining))
        if cut_off:
            self._log.write("requests abandoned", requests=cut_off)
        handover.add_done_callback(lambda task: task.cancelled() or task.exception())
        try:
            async with asyncio.timeout(STOP_RESERVE_S / 2):
                await handover
                await self._node.close()
        except TimeoutError:
            self._log.write("session left to expire", why="the store is unreachable")

    async def _watch_settings(self) -> None:
        modified_at = _modification_time(self._path)
        while True:
            try:
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._reload_requested.wait()
            except TimeoutError:
                if _modification_time(self._path) == modified_at:
                    continue
            self._reload_requested.clear()
            modified_at = _modification_time(self._path)
            self._reload()

    def _reload(self) -> None:
        try:
            settings = load(self._path)
        except BadSettings as exc:
            self._log.write("reload refused", why=exc.message)
            return
        self._store.address = settings.platform.address
        self._advice.address = settings.advice or ""
        self._log.write("reloaded", store=settings.platform.address)

    async def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200 if self._node.ready else 503, b"")

    async def _answer_metrics(self, request: HttpRequest) -> HttpResponse:
        metrics = self._node.metrics
        metrics.dropped_lines.set(self._log.dropped)
        return HttpResponse(
            200, metrics.render(), {"Content-Type": metrics.content_type}
        )


def _modification_time(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        # The platform is replacing the file; the next poll sees the new one.
        return 0.0
