"""Stand-ins for the scripts: store, workers, advice service, operator and requesters.

Everything runs in the process of the script except the project's own program, which is
started with the command of the deploy file, one process for each entry machine. Only
the standard library is used, and only loopback addresses. The stand-ins follow
PROTOCOL.md; a worker's ``observe`` callback tells the script what it has started and
how it ended.
"""

import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
SERVICE = "planner7"
HOST = "jobs.example"
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
ENDED_ROWS = 500
# Channels of a runner, as the sheets say.
CHANNELS = 64
# Descriptors of an entry machine.
MAX_FDS = 4200
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configMs": 2000,
    "backMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 6000,
    "stopMs": 900,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "fencing": False,
    "leaseMs": 3000,
}
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {event} {text}\n")


class Http:
    """HTTP/1.1 server with keep-alive; the handler returns status and body.

    Args:
        handler: Called with method, target, headers and body.
        channels: Most channels that are open at a time; more are reset.
    """

    def __init__(self, handler, channels=10_000):
        self._handler = handler
        self._channels = channels
        self.most_channels = 0
        self._server = None
        self._tasks = set()
        self.address = ""

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        if len(self._tasks) >= self._channels:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        self._tasks.add(task)
        self.most_channels = max(self.most_channels, len(self._tasks))
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                status, body = await self._handler(method, target, headers, data)
                writer.write(encode_answer(status, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


def encode_answer(status, body):
    data = json.dumps(body).encode()
    head = (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.leases = {}
        self._history = []
        self._next_lease = 100
        self._changed = asyncio.Event()
        self.http = Http(self._handle)

    def put(self, key, value, lease=0):
        """Write one key directly, as the operator and the workers do."""
        self._commit([(key, value, lease)], [])

    def remove(self, key):
        self._commit([], [key])

    def get(self, key):
        self._expire()
        return self.items.get(key)

    def _commit(self, puts, removes):
        self.revision += 1
        for key, value, lease in puts:
            known = self.items.get(key)
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": lease,
            }
            self.items[key] = item
            self._history.append((self.revision, key, item))
        for key in removes:
            if self.items.pop(key, None) is not None:
                gone = {"key": key, "revision": self.revision, "deleted": True}
                self._history.append((self.revision, key, gone))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        ended = [lease for lease, (until, _) in self.leases.items() if until <= now]
        for lease in ended:
            self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            self._commit([], keys)

    async def keep_expiring(self):
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    async def _handle(self, method, target, headers, data):
        await asyncio.sleep(STORE_ANSWER_S)
        self._expire()
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        body = json.loads(data) if data else {}
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, item | {"storeRevision": self.revision}
        if parts.path == "/kv-range":
            after = query.get("after", "")
            keys = sorted(
                k for k in self.items if k.startswith(query["prefix"]) and k > after
            )
            return 200, {
                "items": [self.items[k] for k in keys[:500]],
                "hasMore": len(keys) > 500,
                "storeRevision": self.revision,
            }
        if parts.path == "/kv-watch":
            return await self._watch(query)
        if parts.path == "/kv-txn":
            return self._txn(body)
        if parts.path == "/kv-lease":
            self._next_lease += 1
            self._renew(self._next_lease, body["ttlMs"])
            return 200, {"lease": self._next_lease, "ttlMs": body["ttlMs"]}
        lease = int(parts.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if parts.path.startswith("/kv-keep/"):
            ttl_ms = self.leases[lease][1]
            self._renew(lease, ttl_ms)
            return 200, {"lease": lease, "ttlMs": ttl_ms}
        self._end_lease(lease)
        return 200, {}

    def _renew(self, lease, ttl_ms):
        self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)

    async def _watch(self, query):
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        after, prefix = int(query["after"]), query["prefix"]
        while True:
            events = []
            for revision, key, event in reversed(self._history):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    events.append(event)
            left = until - time.monotonic()
            if events or left <= 0:
                events.reverse()
                return 200, {"events": events, "storeRevision": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _txn(self, body):
        expected = body.get("expectedRev", [])
        puts, removes = body.get("puts", []), body.get("remove", [])
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, {}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [r["key"] for r in expected]
                return 412, {"items": [self.items[k] for k in keys if k in self.items]}
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        rows = [
            (p["key"], base64.b64decode(p["value"]), p.get("lease", 0)) for p in puts
        ]
        self._commit(rows, removes)
        return 200, {"revision": self.revision}


class Worker:
    """A runner.

    Args:
        worker_id: Its id.
        plan: Called with a task's name and run; returns the seconds of work and how
            the run then ends.
        observe: Called with an event, the worker, a task's name and its run.
    """

    def __init__(self, worker_id, rack, plan, observe, capacity=(16000, 65536)):
        self.worker_id = worker_id
        self.capacity = capacity
        self.labels = ["a", rack]
        self.state = "ready"
        self.running = {}
        self.acknowledged = 0
        self._plan = plan
        self._observe = observe
        self._born = int(time.time() * 1000)
        self._origin = time.monotonic()
        self._token = 0
        self._until_ms = 0
        self._highest = {}
        self._ended = deque()
        self._sequence = 0
        self._changed = asyncio.Event()
        self.http = Http(self._handle, CHANNELS)
        self.seq = 0

    def entry(self):
        self.seq += 1
        body = {
            "service": SERVICE,
            "address": self.http.address,
            "zone": "z-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.capacity[0], "memMb": self.capacity[1]},
            "labels": self.labels,
            "born": self._born,
            "seq": self.seq,
        }
        return json.dumps(body).encode()

    def _clock_ms(self):
        return int((time.monotonic() - self._origin) * 1000)

    def _answer(self, status, **fields):
        return status, {"clockMs": self._clock_ms(), "born": self._born} | fields

    async def _handle(self, method, target, headers, data):
        if headers.get("target-instance") != self.worker_id:
            return 421, {}
        body = json.loads(data)
        token = body.get("fencingToken", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        self._token = token
        if target == "/run-start":
            return self._start(body)
        if target == "/run-stop":
            return self._stop(body)
        if target == "/hold":
            return await self._hold(body)
        return 404, {}

    def _extend(self, until_ms):
        latest = self._clock_ms() + BOUNDS["holdMaxMs"]
        self._until_ms = max(self._until_ms, min(until_ms, latest))

    def lapse_if_due(self):
        if self.running and self._clock_ms() >= self._until_ms:
            for task, run in list(self.running):
                self._end(task, run, "lapsed")

    def _start(self, body):
        task, run = body["task"], body["run"]
        if body["untilMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["untilMs"])
        if (task, run) in self.running:
            return self._answer(200)
        if run <= self._highest.get(task, 0):
            return self._answer(409, reason="old")
        seconds, how = self._plan(task, run)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(seconds, self._end, task, run, how)
        self.running[task, run] = (timer, time.monotonic(), seconds)
        self._observe("start", self, task, run, body)
        return self._answer(200)

    def _stop(self, body):
        task, run = body["task"], body["run"]
        self._highest[task] = max(run, self._highest.get(task, 0))
        for known in [k for k in self.running if k[0] == task and k[1] <= run]:
            asyncio.get_running_loop().call_later(0.05, self._end, *known, "stopped")
        return self._answer(200)

    def _end(self, task, run, how):
        known = self.running.pop((task, run), None)
        if known is None:
            return
        known[0].cancel()
        self._highest[task] = max(run, self._highest.get(task, 0))
        self._sequence += 1
        self._ended.append([self._sequence, task, run, how, ""])
        self._observe(how, self, task, run, {"sequence": self._sequence})
        self._changed.set()
        self._changed = asyncio.Event()

    async def _hold(self, body):
        if body.get("untilMs"):
            self._extend(body["untilMs"])
        seen = body.get("lastSeen", 0)
        while self._ended and self._ended[0][0] <= seen:
            _, task, run, how, _ = self._ended.popleft()
            self._observe("noted", self, task, run, {"how": how})
        if not self._ended and body.get("waitMs"):
            try:
                changed = self._changed
                await asyncio.wait_for(changed.wait(), body["waitMs"] / 1000)
            except TimeoutError:
                pass
        now = time.monotonic()
        rows = [
            [task, run, "", min(99, int(100 * (now - since) / max(seconds, 0.01)))]
            for (task, run), (_, since, seconds) in self.running.items()
        ]
        return self._answer(200, numRunning=rows, ended=list(self._ended)[:ENDED_ROWS])


class Entry:
    """One entry machine and its process."""

    def __init__(self, folder, name, zone, settings):
        self.name = name
        self.log = folder / f"{name}.log"
        self.path = folder / f"{name}.yaml"
        first = free_ports(4)
        self.front, self.ready = first, first + 1
        own = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": zone,
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "portRange": [first + 2, first + 3],
        }
        # JSON is YAML.
        self.path.write_text(json.dumps(settings | own))
        self.process = None

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FLAMINGOWAY_SETTINGS"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=limit_descriptors,
            )

    async def end(self, number=signal.SIGKILL, within_s=10.0):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            try:
                await asyncio.wait_for(self.process.wait(), within_s)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()


def limit_descriptors():
    """Give a process the descriptors of a machine; 200 of them are for files."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    most = MAX_FDS - 200 if hard < 0 else min(MAX_FDS - 200, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))


def free_ports(count):
    """Return the first of ``count`` consecutive free ports."""
    for _ in range(500):
        # Below the ephemeral ports.
        first = random.randrange(12_000, 30_000)
        sockets = []
        try:
            for port in range(first, first + count):
                held = socket.socket()
                sockets.append(held)
                held.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for held in sockets:
                held.close()
    raise CannotRun("no free ports")


class CannotRun(Exception):
    """The case could not be run."""


class World:
    """A small deployment: the store, workers, and entry processes."""

    def __init__(self, record, plan, observe, entries=3, workers=24, rack=8, **worker):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.advice_calls = 0
        self._advice = Http(self._advise)
        self.workers = [
            Worker(f"w{i:02}", f"r{i // rack}", plan, observe, **worker)
            for i in range(workers)
        ]
        self._entry_count = entries
        self.entries = []
        self._tasks = []
        self._version = 0

    async def __aenter__(self):
        try:
            await self._begin()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _begin(self):
        store = await self.store.http.start()
        advice = await self._advice.start()
        for worker in self.workers:
            await worker.http.start()
        self._tasks.append(asyncio.create_task(self.store.keep_expiring()))
        self._tasks.append(asyncio.create_task(self._beat()))
        settings = {
            "region": "z",
            "zones": {"z-a": "z", "z-b": "z", "z-c": "z"},
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": MAX_FDS,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"]
            + ["platform", "advice"],
            "bounds": BOUNDS,
            "orders": "rpc",
            "advice": advice,
            "platform": {
                "address": store,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "minTtlMs": 1000,
            },
        }
        for index in range(self._entry_count):
            zone = ("z-a", "z-b", "z-c")[index % 3]
            entry = Entry(self.folder, f"front-{zone}-{index}", zone, settings)
            self.entries.append(entry)
            await entry.start()

    async def __aexit__(self, *error):
        for entry in self.entries:
            await entry.end()
        for task in self._tasks:
            task.cancel()
        for server in (self.store.http, self._advice, *(w.http for w in self.workers)):
            if server.address:
                server.close()
        self.keep_logs()
        shutil.rmtree(self.folder, ignore_errors=True)

    def keep_logs(self):
        folder = os.environ.get("KEEP_LOGS")
        if folder:
            shutil.copytree(self.folder, folder, dirs_exist_ok=True)

    async def _beat(self):
        """Write the entries of all workers, as they do every ``HEARTBEAT_S``."""
        while True:
            for worker in self.workers:
                self.store.put(f"servers/{worker.worker_id}", worker.entry())
                worker.lapse_if_due()
            for _ in range(int(HEARTBEAT_S / 0.02)):
                await asyncio.sleep(0.02)
                for worker in self.workers:
                    worker.lapse_if_due()

    async def _advise(self, method, target, headers, data):
        body = json.loads(data)
        self.advice_calls += 1
        await asyncio.sleep((6.5 + 0.093 * len(body["workers"])) / 1000)
        good = [[worker, f"t-{worker}"] for worker in body["workers"]]
        return 200, {"good": good, "validMs": 2000}

    async def scale_in(self, worker):
        """Let a runner drain and leave, as the platform takes it away."""
        worker.state = "draining"
        self.store.put(f"servers/{worker.worker_id}", worker.entry())
        self.record.write("draining", worker=worker.worker_id)
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 1.0)
        self.workers.remove(worker)
        worker.http.close()
        self.store.remove(f"servers/{worker.worker_id}")
        self.record.write("left", worker=worker.worker_id)

    def configure(self, routes):
        """Write a desired state; the routes are names with their prefixes."""
        self._version += 3
        body = {
            "version": self._version,
            "routes": [route(name, **fields) for name, fields in routes.items()],
            "services": [{"name": SERVICE, "admissionCheck": False}],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(body).encode())
        self.record.write("operator", version=self._version, routes=list(routes))

    async def wait_ready(self, within_s=20.0):
        """Wait until all processes are ready and one of them leads all workers."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            ready = [await self.is_ready(e) for e in self.entries]
            if all(ready) and self.leader() is not None:
                self.record.write("ready", leader=self.leader().name)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the processes did not become ready")

    async def is_ready(self, entry):
        status, _ = await call("GET", entry.ready, "/ready", timeout_s=1.0)
        return status == 200

    def leader(self):
        """Return the entry whose process leads, by the record in the store."""
        item = self.store.get("fw/leader")
        value = base64.b64decode(item["value"]) if item else b""
        for entry in self.entries:
            if entry.name.encode() in value:
                return entry
        return None

    async def request(self, entry, method, path, body=None, timeout_s=3.5):
        """Send a requester's request; return status (0 for no answer) and body."""
        status, data = await call(method, entry.front, path, body, timeout_s)
        self.record.write(
            "request",
            node=entry.name,
            call=f"{method} {path}",
            status=status,
            body=data,
        )
        return status, data

    async def submit(self, path, job, within_s=20.0):
        """Hand a job in as a requester does, with retries at other nodes."""
        until = time.monotonic() + within_s
        attempt = 0
        while time.monotonic() < until:
            entry = self.entries[attempt % len(self.entries)]
            status, _ = await self.request(entry, "POST", path, job)
            if 200 <= status < 300:
                return
            attempt += 1
            await asyncio.sleep(0.5)
        raise CannotRun(f"{path} was not accepted")


def route(name, prefix, advice=False, priority=1, max_attempts=4):
    body = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "service": SERVICE,
        "priority": priority,
        "maxAttempts": max_attempts,
        "stretch": 2.2,
        "sloMs": 1000,
    }
    if advice:
        body["advice"] = {"decideMs": 6.5, "eachMs": 0.093, "validMs": 2000}
    return body


async def call(method, port, path, body=None, timeout_s=3.5):
    """Make one HTTP call on a new channel; status 0 stands for no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDeadline-Ms: 3000\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
        "Connection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + data)
            answer = await reader.read()
    except (OSError, TimeoutError):
        return 0, ""
    finally:
        if writer is not None:
            writer.close()
    status, _, payload = answer.partition(b"\r\n\r\n")
    if not status:
        return 0, ""
    return int(status.split(b" ")[1]), payload.decode()


def run_case(case, folder):
    """Run a case and exit as the issue asks: 1 broken, 0 held, 2 could not run.

    ``case`` is called with the record and whether the disruption is on, and returns the
    list of violations.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write("begin", trouble=int(trouble))

    async def bounded():
        async with asyncio.timeout(110):
            return await case(record, trouble)

    try:
        broken = asyncio.run(bounded())
    except (CannotRun, TimeoutError, OSError) as exc:
        record.write("could not run", why=repr(exc))
        print(f"could not run: {exc!r}")
        sys.exit(2)
    for line in broken[:20]:
        record.write("broken", what=line)
        print(line)
    print(f"{len(broken)} violations, trouble={int(trouble)}")
    sys.exit(1 if broken else 0)
