"""Stand-in of the users' platform over HTTP: store, workers and advice service."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from flamingoway.httpserver import HttpRequest, HttpResponse, HttpServer
from flamingoway.store.keys import prefix_end

from . import kv

PAGE_ITEMS = 500
EXPIRY_POLL_S = 0.05
MAX_BODY_BYTES = 4 * 1024 * 1024


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store that are in force.

    Attributes:
        status: HTTP status returned for every call; 0 for no fault.
        silent: Whether calls are left without a response.
        lost_answers: Number of coming writes that are applied without a response.
    """

    status: int = 0
    silent: bool = False
    lost_answers: int = 0


class StoreStandin:
    """The metadata store.

    Args:
        engine: Key-value engine that holds the data; a new one by default.
    """

    def __init__(self, engine: kv.Engine | None = None):
        self.engine = engine or kv.Engine(time.monotonic)
        self.faults = StoreFaults()
        self.calls = 0
        self._server = HttpServer(self._handle, _refuse, MAX_BODY_BYTES)

    @asynccontextmanager
    async def listen(self, port: int = 0):
        """Serve until the block ends; yields ``IP:port``."""
        self._server.listen("127.0.0.1", port)
        try:
            yield f"127.0.0.1:{self._server.port}"
        finally:
            await self._server.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return HttpResponse(self.faults.status, b"")
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        body = json.loads(request.body or b"{}")
        answer = await self._call(request.method, request.path, query, body)
        if request.method != "GET" and self.faults.lost_answers:
            self.faults.lost_answers -= 1
            await asyncio.sleep(3600)
        return answer

    async def _call(self, method, path, query, body) -> HttpResponse:
        if path == "/kv-key":
            return self._get(query["key"])
        if path == "/kv-range":
            return self._range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._txn(body)
        if path == "/kv-lease":
            lease = self.engine.grant(body["ttlMs"] / 1000)
            return _json(200, {"lease": lease, "ttlMs": body["ttlMs"]})
        lease = int(path.rpartition("/")[2])
        if path.startswith("/kv-keep/"):
            ttl = self.engine.keep_alive(lease)
            return _json(200 if ttl else 404, {"ttlMs": int(ttl * 1000)})
        try:
            self.engine.revoke(lease)
        except kv.LeaseNotFound:
            return _json(404, {})
        return _json(200, {})

    def _get(self, key: str) -> HttpResponse:
        entries = self.engine.range(kv.RangeOp(key.encode())).entries
        if not entries:
            return _json(404, {})
        return _json(200, _item(entries[0]) | {"storeRevision": self.engine.revision})

    def _range(self, prefix: str, after: str) -> HttpResponse:
        first = after.encode() + b"\0" if after else prefix.encode()
        end = prefix_end(prefix).encode()
        entries = self.engine.range(kv.RangeOp(first, end, PAGE_ITEMS + 1)).entries
        body = {
            "items": [_item(e) for e in entries[:PAGE_ITEMS]],
            "hasMore": len(entries) > PAGE_ITEMS,
            "storeRevision": self.engine.revision,
        }
        return _json(200, body)

    async def _watch(self, query: dict) -> HttpResponse:
        prefix = query["prefix"]
        events: list[dict] = []
        first, end = prefix.encode(), prefix_end(prefix).encode()

        def notify(batch):
            events.extend(_event(change, batch.revision) for change in batch.changes)

        try:
            watcher = self.engine.watch(first, end, int(query["after"]) + 1, notify)
        except kv.Compacted:
            return _json(410, {})
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        try:
            while not events and time.monotonic() < until:
                await asyncio.sleep(EXPIRY_POLL_S)
                self.engine.expire()
        finally:
            self.engine.unwatch(watcher)
        body = {"events": events, "storeRevision": self.engine.revision}
        return _json(200, body)

    def _txn(self, body: dict) -> HttpResponse:
        expected = body.get("expectedRev", [])
        conditions = [
            kv.Condition(row["key"].encode(), "mod_revision", row["revision"])
            for row in expected
        ]
        operations: list = [
            kv.PutOp(put["key"].encode(), base64.b64decode(put["value"]), put["lease"])
            for put in body.get("puts", [])
        ]
        operations += [kv.DeleteOp(key.encode(), b"") for key in body.get("remove", [])]
        try:
            answer = self.engine.txn(conditions, operations, [])
        except kv.LeaseNotFound:
            return _json(404, {})
        except kv.InvalidRequest as exc:
            return _json(400, {"error": str(exc)})
        if answer.succeeded:
            return _json(200, {"revision": answer.revision})
        ops = [kv.RangeOp(row["key"].encode()) for row in expected]
        found = [e for op in ops for e in self.engine.range(op).entries]
        return _json(412, {"items": [_item(entry) for entry in found]})


@dataclass(slots=True)
class _Task:
    """A running task: its run number and the timer that ends it."""

    number: int
    timer: asyncio.TimerHandle


@dataclass(slots=True)
class WorkerFaults:
    """Faults of a worker that are in force.

    Attributes:
        silent: Whether calls are left without a response.
        status: HTTP status returned for every start; 0 for no fault.
    """

    silent: bool = False
    status: int = 0


class WorkerStandin:
    """A worker whose tasks all run for the same time.

    Args:
        worker_id: Id in the registry.
        task_s: Duration of a task, in seconds.
        lease_max_s: Longest lease that it accepts, in seconds.
        clock_rate: Speed of its clock relative to real time.
        observe: Called with an event, the task id and the worker. The event is
            ``start`` or the outcome of the run.
    """

    def __init__(
        self,
        worker_id: str,
        task_s: float = 0.05,
        lease_max_s: float = 6.0,
        clock_rate: float = 1.0,
        observe: Callable[[str, str, "WorkerStandin"], None] = lambda *event: None,
    ):
        self.worker_id = worker_id
        self.faults = WorkerFaults()
        self.starts: list[dict] = []
        self._task_s = task_s
        self._lease_max_s = lease_max_s
        self._clock_rate = clock_rate
        self._observe = observe
        self._clock_origin_s = 0.0
        self._begin_incarnation()
        self._server = HttpServer(self._handle, _refuse, MAX_BODY_BYTES)

    def _begin_incarnation(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._token = 0
        self._lease_until_ms = 0
        self._tasks: dict[str, _Task] = {}
        self._highest_runs: dict[str, int] = {}
        self._finished: list[list] = []
        self._last_seq = 0
        self._changed = asyncio.Event()

    @property
    def running(self) -> list[str]:
        """Ids of the running tasks."""
        return list(self._tasks)

    def crash(self) -> None:
        """Lose all running tasks and restart with a new incarnation."""
        for task in list(self._tasks):
            self._end(task, "lost")
        self._clock_origin_s = time.monotonic()
        self._begin_incarnation()

    @asynccontextmanager
    async def listen(self):
        """Serve until the block ends; yields ``IP:port``."""
        self._server.listen("127.0.0.1", 0)
        try:
            yield f"127.0.0.1:{self._server.port}"
        finally:
            await self._server.close()

    def entry(self, address: str, service: str, state: str = "ready") -> bytes:
        """Return the worker's entry in the registry."""
        body = {
            "service": service,
            "address": address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": 16000, "memMb": 65536},
            "labels": ["a", "r1"],
            "born": self.born_ms,
            "seq": 1,
        }
        return json.dumps(body).encode()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if self.faults.silent:
            await asyncio.sleep(3600)
        if request.headers.get("Target-Instance") != self.worker_id:
            return _json(421, {})
        body = json.loads(request.body)
        if body["fencingToken"] < self._token:
            return self._answer(409, reason="fence")
        self._token = body["fencingToken"]
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            task, number = body["task"], body["run"]
            self._highest_runs[task] = max(number, self._highest_runs.get(task, 0))
            if task in self._tasks and self._tasks[task].number <= number:
                self._end(task, "stopped")
            return self._answer(200)
        return await self._hold(body)

    def _start(self, body: dict) -> HttpResponse:
        if self.faults.status:
            return _json(self.faults.status, {})
        if body["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["untilMs"])
        task, number = body["task"], body["run"]
        known = self._tasks.get(task)
        if known is not None and known.number == number:
            return self._answer(200)
        if known is not None or number <= self._highest_runs.get(task, 0):
            return self._answer(409, reason="old")
        self.starts.append(body)
        self._highest_runs[task] = number
        loop = asyncio.get_running_loop()
        timer = loop.call_later(self._task_s, self._end, task, "done")
        self._tasks[task] = _Task(number, timer)
        self._observe("start", task, self)
        return self._answer(200)

    def _extend(self, until_ms: int) -> None:
        """Extend the lease of all tasks, to at most ``lease_max_s`` from now."""
        latest_ms = self._clock_ms() + int(self._lease_max_s * 1000)
        self._lease_until_ms = max(self._lease_until_ms, min(until_ms, latest_ms))
        remaining_s = (
            (self._lease_until_ms - self._clock_ms()) / 1000 / self._clock_rate
        )
        asyncio.get_running_loop().call_later(remaining_s, self._expire, self.born_ms)

    def _expire(self, born_ms: int) -> None:
        if born_ms == self.born_ms and self._clock_ms() >= self._lease_until_ms:
            for task in list(self._tasks):
                self._end(task, "lapsed")

    async def _hold(self, body: dict) -> HttpResponse:
        if body.get("untilMs"):
            self._extend(body["untilMs"])
        self._finished = [row for row in self._finished if row[0] > body["lastSeen"]]
        if not self._finished and body.get("waitMs"):
            self._changed.clear()
            try:
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                pass
        running = [[task, t.number, "", 50] for task, t in self._tasks.items()]
        return self._answer(200, numRunning=running, ended=self._finished)

    def _end(self, task: str, outcome: str) -> None:
        ended = self._tasks.pop(task)
        ended.timer.cancel()
        self._last_seq += 1
        self._finished.append([self._last_seq, task, ended.number, outcome, ""])
        self._changed.set()
        self._observe(outcome, task, self)

    def _answer(self, status: int, **fields) -> HttpResponse:
        clock = {"clockMs": self._clock_ms(), "born": self.born_ms}
        return _json(status, clock | fields)

    def _clock_ms(self) -> int:
        elapsed_s = time.monotonic() - self._clock_origin_s
        return int(elapsed_s * 1000 * self._clock_rate)


@dataclass(slots=True)
class AdviceStandin:
    """An advice service that allows every worker.

    Attributes:
        steps: Step of each request, in order of arrival.
    """

    steps: list[str] = field(default_factory=list)

    @asynccontextmanager
    async def listen(self):
        """Serve until the block ends; yields ``IP:port``."""
        server = HttpServer(self._handle, _refuse, MAX_BODY_BYTES)
        server.listen("127.0.0.1", 0)
        try:
            yield f"127.0.0.1:{server.port}"
        finally:
            await server.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        body = json.loads(request.body)
        self.steps.append(body["step"])
        allowed = [[worker, f"t-{worker}"] for worker in body["workers"]]
        return _json(200, {"good": allowed, "validMs": 2000})


def config(version: int, service: str, queues: dict[str, str]) -> bytes:
    """Return a configuration document as JSON.

    Args:
        version: Version of the document.
        service: The service of all queues.
        queues: Path prefixes by queue name.
    """
    routes = [
        {
            "name": name,
            "host": "jobs.example",
            "prefix": prefix,
            "service": service,
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 2.0,
            "sloMs": 500,
            "advice": {"decideMs": 5, "eachMs": 0.1, "validMs": 2000},
        }
        for name, prefix in queues.items()
    ]
    body = {
        "version": version,
        "routes": routes,
        "services": [{"name": service, "admissionCheck": False}],
        "limits": {"maxBodyBytes": 262144},
    }
    return json.dumps(body).encode()


def _json(status: int, body: dict) -> HttpResponse:
    data = json.dumps(body).encode()
    return HttpResponse(status, data, {"Content-Type": "application/json"})


def _refuse(code, message) -> HttpResponse:
    return _json(400, {"error": message})


def _item(entry: kv.Entry) -> dict:
    return {
        "key": entry.key.decode(),
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.mod_revision,
        "created": entry.create_revision,
        "lease": entry.lease,
    }


def _event(change: kv.Change, revision: int) -> dict:
    if change.entry is None:
        return {"key": change.key.decode(), "revision": revision, "deleted": True}
    return _item(change.entry)
