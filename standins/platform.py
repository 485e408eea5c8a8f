"""Stand-in of the users' platform over HTTP: store, workers and advice service."""

import asyncio
import base64
import json
import random
import time
from collections.abc import Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from flamingoway.httpserver import HttpRequest, HttpResponse, HttpServer
from flamingoway.store.keys import prefix_end

from . import kv

PAGE_ITEMS = 500
EXPIRY_POLL_S = 0.05
MAX_BODY_BYTES = 4 * 1024 * 1024
# Delays, in seconds, of calls that are executed although they got no response.
WRITE_DELAY_S = (1.0, 6.0)
ORDER_DELAY_S = (2.0, 12.0)


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store that are in force.

    Attributes:
        status: HTTP status returned for every call; 0 for no fault.
        silent: Whether calls are left without a response.
        lost_answers: Number of coming writes that are applied without a response.
        late_share: Share of the transactions that get no response and are applied
            seconds later, if their conditions still hold.
        muted: Whether watches return no events, only the newest revision.
    """

    status: int = 0
    silent: bool = False
    lost_answers: int = 0
    late_share: float = 0.0
    muted: bool = False


class StoreStandin:
    """The metadata store.

    Args:
        engine: Key-value engine that holds the data; a new one by default.
        rng: Source of the choices of faults.
    """

    def __init__(
        self, engine: kv.Engine | None = None, rng: random.Random | None = None
    ):
        self.engine = engine or kv.Engine(time.monotonic)
        self._rng = rng or random.Random(0)
        self._compactions = 0
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

    def compact(self) -> None:
        """Drop all history and end the watches that wait."""
        self.engine.compact()
        self._compactions += 1

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        if self.faults.silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return HttpResponse(self.faults.status, b"")
        query = {k: v[0] for k, v in parse_qs(request.query).items()}
        body = json.loads(request.body or b"{}")
        late = request.path == "/kv-txn" and self._rng.random() < self.faults.late_share
        if late:
            await asyncio.sleep(self._rng.uniform(*WRITE_DELAY_S))
        answer = await self._call(request.method, request.path, query, body)
        if late:
            await asyncio.sleep(3600)
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
        compactions = self._compactions
        try:
            while (not events or self.faults.muted) and time.monotonic() < until:
                await asyncio.sleep(EXPIRY_POLL_S)
                self.engine.expire()
                if compactions != self._compactions:
                    return _json(503, {})
        finally:
            self.engine.unwatch(watcher)
        if self.faults.muted:
            events.clear()
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


@dataclass(frozen=True, slots=True)
class Work:
    """What a task does.

    Attributes:
        duration_s: Work until the task is done; infinite for a long-running task.
        save_s: Work between two checkpoints, in seconds; 0 for no checkpoints.
        gang: Number of tasks that work only together; 0 if each works alone.
        fails_after_s: Work after which the run fails; infinite if it does not.
    """

    duration_s: float
    save_s: float = 0.0
    gang: int = 0
    fails_after_s: float = float("inf")


@dataclass(slots=True, eq=False)
class WorkerRun:
    """A run on a worker; its times are wall-clock times in seconds.

    Attributes:
        order: Body of the start order.
        late: Whether the order was executed seconds after it was sent.
        ended_at: Time of the end; infinite before.
        checkpoints: Checkpoints that were shown, in order.
    """

    worker: "WorkerStandin"
    order: dict
    work: Work = Work(0.0)
    late: bool = False
    started_at: float = field(default_factory=time.time)
    ended_at: float = float("inf")
    checkpoints: list[str] = field(default_factory=list)
    stopping: bool = False
    _base_s: float = 0.0
    _works_since: float | None = None
    _timer: asyncio.TimerHandle | None = None

    @property
    def task(self) -> str:
        """Id of the task."""
        return self.order["task"]

    @property
    def number(self) -> int:
        """Number of the run."""
        return self.order["run"]

    @property
    def step(self) -> str:
        """Id of the step."""
        return self.task.rpartition(".")[0]

    @property
    def percent(self) -> float:
        """Share of the work that is complete, in percent; 100 if it never is."""
        if self.work.duration_s == float("inf"):
            return 100.0
        return min(100.0, self._worked_s() / max(self.work.duration_s, 1e-9) * 100)

    @property
    def works(self) -> bool:
        """Whether the work has begun: all tasks of a gang were present."""
        return self._works_since is not None

    def checkpoint(self, exact: bool = False) -> str:
        """Return the newest checkpoint; an exact one holds all work, as at a stop."""
        step_s = self.work.save_s
        saved_s = self._worked_s() if exact else self._worked_s() // (step_s or 1)
        saved_ms = int((saved_s if exact else saved_s * step_s) * 1000)
        if not step_s or saved_ms <= int(self._base_s * 1000):
            return self.order.get("checkpoint", "") if step_s else ""
        text = f"{saved_ms:08x}-{self.task}-{self.number}"
        if self.checkpoints[-1:] != [text]:
            self.checkpoints.append(text)
        return text

    def wait_for_gang(self, seconds: float) -> None:
        """Limit the time until the other tasks of the gang are present."""
        self._set_timer(seconds, "alone")

    def begin_work(self) -> None:
        """Begin the work, at the checkpoint of the order."""
        saved = self.order.get("checkpoint", "")
        self._base_s = int(saved[:8], 16) / 1000 if self.work.save_s and saved else 0.0
        self._works_since = time.monotonic()
        if self.work.fails_after_s < self.work.duration_s:
            self._set_timer(self.work.fails_after_s, "failed")
        elif self.work.duration_s < float("inf"):
            self._set_timer(self.work.duration_s - self._base_s, "done")

    def stop(self, seconds: float) -> None:
        """End the run after some time, unless it is being stopped already."""
        if not self.stopping:
            self.stopping = True
            self._set_timer(seconds, "stopped")

    def end(self) -> None:
        """Record the end."""
        self.ended_at = time.time()
        if self._timer is not None:
            self._timer.cancel()

    def _set_timer(self, seconds: float, outcome: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self.worker.finish, self, outcome)

    def _worked_s(self) -> float:
        if self._works_since is None:
            return 0.0
        return self._base_s + time.monotonic() - self._works_since


@dataclass(slots=True)
class WorkerFaults:
    """Faults of a worker that are in force.

    Attributes:
        silent: Whether calls are left without a response.
        status: HTTP status returned for every start; 0 for no fault.
        late_share: Share of the calls that get no response and are executed seconds
            later.
        lost_share: Share of the calls that are executed without a response.
    """

    silent: bool = False
    status: int = 0
    late_share: float = 0.0
    lost_share: float = 0.0


class WorkerStandin:
    """A worker that runs tasks.

    Args:
        worker_id: Id in the registry.
        task_s: Duration of a task, in seconds.
        lease_max_s: Longest lease that it accepts, in seconds.
        clock_rate: Speed of its clock relative to real time.
        observe: Called with an event, the task id and the worker. The event is
            ``start`` or the outcome of the run.
        work_of: See the attribute; by default a task works for ``task_s``.
        stop_s: Longest duration of a stop, in seconds.
        gang_s: Time for which a task waits for the others of its gang, in seconds.
        rng: Source of the choices of faults and of the durations of stops.

    Attributes:
        work_of: Returns what a task does, given its id and the worker.
        observed: The run that the last event was about.
        peers: Workers on which the tasks of a gang find each other.
    """

    def __init__(
        self,
        worker_id: str,
        task_s: float = 0.05,
        lease_max_s: float = 6.0,
        clock_rate: float = 1.0,
        observe: Callable[[str, str, "WorkerStandin"], None] = lambda *event: None,
        work_of: Callable[[str, "WorkerStandin"], Work] | None = None,
        stop_s: float = 0.0,
        gang_s: float = 3.0,
        rng: random.Random | None = None,
    ):
        self.worker_id = worker_id
        self.faults = WorkerFaults()
        self.starts: list[dict] = []
        self.observed: WorkerRun | None = None
        self.peers: Sequence[WorkerStandin] = (self,)
        self._lease_max_s = lease_max_s
        self._clock_rate = clock_rate
        self._observe = observe
        self.work_of = work_of or (lambda task, worker: Work(task_s))
        self._stop_s = stop_s
        self._gang_s = gang_s
        self._rng = rng or random.Random(worker_id)
        self._clock_origin_s = 0.0
        self._begin_incarnation()
        self._server = HttpServer(self._handle, _refuse, MAX_BODY_BYTES)

    def _begin_incarnation(self) -> None:
        self.born_ms = int(time.time() * 1000)
        self._token = 0
        self._lease_until_ms = 0
        self._runs: dict[str, WorkerRun] = {}
        self._highest_runs: dict[str, int] = {}
        self._finished: list[list] = []
        self._last_seq = 0
        self._changed = asyncio.Event()

    @property
    def running(self) -> list[str]:
        """Ids of the running tasks."""
        return list(self._runs)

    @property
    def runs(self) -> list[WorkerRun]:
        """The runs that have not ended."""
        return list(self._runs.values())

    def crash(self) -> None:
        """Lose all running tasks and restart with a new incarnation."""
        for run in self.runs:
            self.finish(run, "lost")
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
        chance = self._rng.random()
        late = chance < self.faults.late_share
        lost = late or chance < self.faults.late_share + self.faults.lost_share
        if late:
            await asyncio.sleep(self._rng.uniform(*ORDER_DELAY_S))
        answer = await self._execute(request.path, body, late)
        if lost:
            await asyncio.sleep(3600)
        return answer

    async def _execute(self, path: str, body: dict, late: bool) -> HttpResponse:
        if body["fencingToken"] < self._token:
            return self._answer(409, reason="fence")
        self._token = body["fencingToken"]
        if path == "/run-start":
            return self._start(body, late)
        if path == "/run-stop":
            task, number = body["task"], body["run"]
            self._highest_runs[task] = max(number, self._highest_runs.get(task, 0))
            if task in self._runs and self._runs[task].number <= number:
                self._stop(self._runs[task])
            return self._answer(200)
        return await self._hold(body)

    def _start(self, body: dict, late: bool) -> HttpResponse:
        if self.faults.status:
            return _json(self.faults.status, {})
        if body["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["untilMs"])
        task, number = body["task"], body["run"]
        known = self._runs.get(task)
        if known is not None and known.number == number:
            return self._answer(200)
        if known is not None or number <= self._highest_runs.get(task, 0):
            return self._answer(409, reason="old")
        self.starts.append(body)
        self._highest_runs[task] = number
        run = WorkerRun(self, body, self.work_of(task, self), late)
        self._runs[task] = run
        self._report("start", run)
        members = self._members(run)
        if len(members) < run.work.gang:
            run.wait_for_gang(self._gang_s)
        else:
            for member in members:
                member.begin_work()
        return self._answer(200)

    def _stop(self, run: WorkerRun) -> None:
        if self._stop_s:
            run.stop(self._rng.uniform(0, self._stop_s))
        else:
            self.finish(run, "stopped")

    def _members(self, run: WorkerRun) -> list[WorkerRun]:
        """Return the runs that work together with a run, and itself."""
        if not run.work.gang:
            return [run]
        runs = [r for worker in self.peers for r in worker.runs]
        return [r for r in runs if (r.step, r.number) == (run.step, run.number)]

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
            for run in self.runs:
                self.finish(run, "lapsed")

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
        running = [
            [run.task, run.number, run.checkpoint(), run.percent] for run in self.runs
        ]
        return self._answer(200, numRunning=running, ended=self._finished)

    def finish(self, run: WorkerRun, outcome: str) -> None:
        """End a run, and the others of a gang that works; ignored if it has ended."""
        members = self._members(run)
        if self._runs.get(run.task) is not run:
            return
        if outcome == "done" and any(member.stopping for member in members):
            # The gang ends when the stop is complete.
            return
        del self._runs[run.task]
        saved = "" if outcome == "done" else run.checkpoint(outcome == "stopped")
        run.end()
        self._last_seq += 1
        self._finished.append([self._last_seq, run.task, run.number, outcome, saved])
        self._changed.set()
        self._report(outcome, run)
        if run.work.gang and run.works:
            for member in members:
                ending = "done" if outcome == "done" else "broken"
                member.worker.finish(member, ending)

    def _report(self, event: str, run: WorkerRun) -> None:
        self.observed = run
        self._observe(event, run.task, self)

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
