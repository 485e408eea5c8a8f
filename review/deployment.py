"""A small deployment on loopback addresses, for the scripts of the second review.

The entry processes are the project's own program, started with the command of the
deploy file. The platform's store, the advice service and the runners are stand-ins that
run in the process of the script. What is sent, answered and run goes to a record.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import yaml
from standins import kv
from standins.platform import AdviceStandin, StoreStandin, Work, WorkerStandin
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

ROOT = Path(__file__).resolve().parent.parent
HOST = "jobs.example"
PREFIX = "/plans/"
SERVICE = "planner"
# A runner writes its entry this often; the entry goes after three times that without.
HEARTBEAT_S = 1.5
POLL_S = 0.05
LASTS = Work(float("inf"))
# Bounds of the site ccra-andes, as in its page.
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
    "holdMaxMs": 10000,
    "stopMs": 400,
    "gangMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farX": 3,
    "saveS": 0.5,
    "restoreMs": 250,
    "noticeMs": 4500,
    "moveS": 1.5,
    "upkeepS": 2,
    "fencing": False,
    "leaseMs": 3000,
    "thawMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self.began = time.time()

    def write(self, event: str, **fields) -> None:
        """Write one line."""
        line = {"at_s": round(time.time() - self.began, 3), "event": event} | fields
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Runner(WorkerStandin):
    """A runner that registers itself, leaves, crashes and starts again.

    Args:
        runner_id: Id in the registry, which it keeps when it starts again.
        store: The store's stand-in.
        record: Record of the script.
        rack: Label of its rack.
        kind: Label of its kind.
        cpu: Its processor time, in thousandths of a core.
        **options: Further arguments of ``WorkerStandin``.
    """

    def __init__(
        self,
        runner_id: str,
        store: StoreStandin,
        record: Record,
        rack: str = "r1",
        kind: str = "a",
        cpu: int = 16000,
        **options,
    ):
        options.setdefault("lease_max_s", BOUNDS["holdMaxMs"] / 1000)
        super().__init__(runner_id, observe=self._note, **options)
        self.rack, self.kind, self.cpu = rack, kind, cpu
        self.state = "ready"
        self._store = store
        self._record = record
        self._seq = 0
        self._port = 0
        self._beat: asyncio.Task | None = None
        self._beat_at = 0.0
        # Times of the starts and ends of runs: event, task, number, time.
        self.history: list[tuple[str, str, int, float]] = []

    def _note(self, event: str, task: str, worker: WorkerStandin) -> None:
        run = self.observed
        self.history.append((event, task, run.number, time.time()))
        self._record.write(
            "run " + event,
            runner=self.worker_id,
            task=task,
            run=run.number,
            kind=self.kind,
        )

    @property
    def key(self) -> bytes:
        """Key of its entry."""
        return b"servers/" + self.worker_id.encode()

    def start(self) -> None:
        """Listen, and register at once."""
        self._server.listen("127.0.0.1", self._port)
        self._port = self._server.port
        self.state = "ready"
        self._record.write(
            "runner up", runner=self.worker_id, born=self.born_ms, kind=self.kind
        )
        self._beat = asyncio.create_task(self._send_heartbeats())

    async def leave(self, serve_s: float) -> None:
        """Report that it drains, serve on for a while, and exit."""
        self.state = "draining"
        self.write_entry()
        await asyncio.sleep(serve_s)
        await self._end("runner leaves")
        self._store.engine.txn([], [kv.DeleteOp(self.key, b"")], [])

    async def kill(self) -> None:
        """Crash: it sends nothing, and its entry expires."""
        await self._end("runner crashes")
        silent_s = asyncio.get_running_loop().time() - self._beat_at
        left_s = max(0.0, 3 * HEARTBEAT_S - silent_s)
        asyncio.get_running_loop().call_later(left_s, self._expire_entry, self._seq)

    def begin_again(self) -> None:
        """Become a new incarnation under the same id and address."""
        self.crash()
        self.start()

    def write_entry(self) -> None:
        """Write its entry to the store."""
        self._seq += 1
        entry = {
            "service": SERVICE,
            "address": f"127.0.0.1:{self._port}",
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": [self.kind, self.rack],
            "born": self.born_ms,
            "seq": self._seq,
        }
        put = kv.PutOp(self.key, json.dumps(entry).encode(), 0)
        self._store.engine.txn([], [put], [])

    async def _end(self, event: str) -> None:
        self._beat.cancel()
        self._record.write(event, runner=self.worker_id, running=self.running)
        for run in self.runs:
            self.finish(run, "gone")
        await self._server.close()

    async def _send_heartbeats(self) -> None:
        while True:
            self._beat_at = asyncio.get_running_loop().time()
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def _expire_entry(self, seq: int) -> None:
        if seq == self._seq:
            self._record.write("entry expires", runner=self.worker_id)
            self._store.engine.txn([], [kv.DeleteOp(self.key, b"")], [])


class Entry:
    """One entry process."""

    def __init__(self, folder: Path, name: str, store: str, advice: str, bounds: dict):
        self.name = name
        self.ports = free_ports(4)
        front, ready, first, last = self.ports
        settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": "z1",
            "region": "r",
            "zones": {"z1": "r"},
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "portRange": [first, last],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4200},
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1500,
            "bounds": BOUNDS | bounds,
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
        self.path = folder / f"{name}.yaml"
        self.path.write_text(yaml.safe_dump(settings))
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> int:
        """Port for callers."""
        return self.ports[0]

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        passed = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = passed | {
            "FLAMINGOWAY_SETTINGS": str(self.path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "flamingoway.platform",
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    async def ready(self) -> bool:
        """Return whether the process says that it is ready."""
        return (await call("GET", self.ports[1], "/ready"))[0] == 200

    async def signal(self, number: int) -> None:
        """Send a signal and wait for the exit."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()


class Deployment:
    """The store, the advice service, the runners and the entry processes.

    Args:
        record: Record of the script.
        entries: Number of entry processes.
        bounds: Bounds that differ from those of the site.
    """

    def __init__(self, record: Record, entries: int = 3, bounds: dict | None = None):
        self.record = record
        self.store = StoreStandin()
        self.runners: dict[str, Runner] = {}
        self.entries: list[Entry] = []
        self._count = entries
        self._bounds = bounds or {}

    def add_runner(self, runner_id: str, **options) -> Runner:
        """Add a runner; it is started with the deployment."""
        runner = Runner(runner_id, self.store, self.record, **options)
        self.runners[runner_id] = runner
        return runner

    def put(self, key: str, value: bytes) -> None:
        """Write a key, as another writer of the store."""
        self.store.engine.txn([], [kv.PutOp(key.encode(), value, 0)], [])

    @asynccontextmanager
    async def running(self):
        """Run everything until the block ends."""
        async with AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            store = await stack.enter_async_context(self.store.listen())
            advice = await stack.enter_async_context(AdviceStandin().listen())
            self.put("op/config", config())
            for runner in self.runners.values():
                runner.start()
            for index in range(self._count):
                entry = Entry(folder, f"front-{index}", store, advice, self._bounds)
                self.entries.append(entry)
                stack.push_async_callback(entry.signal, signal.SIGKILL)
                await entry.start()
            try:
                for entry in self.entries:
                    await until(entry.ready, 20.0)
                # The first leader has taken over and polled the runners by then.
                await asyncio.sleep(4.0)
                yield
            finally:
                self._keep_logs()

    def _keep_logs(self) -> None:
        if folder := os.environ.get("KEEP_LOGS"):
            for entry in self.entries:
                Path(folder, entry.log.name).write_bytes(entry.log.read_bytes())

    def leader(self) -> Entry | None:
        """Return the entry process that leads."""
        found = self.store.engine.range(kv.RangeOp(b"fw/leader")).entries
        value = found[0].value if found else b""
        return next((e for e in self.entries if e.name.encode() in value), None)

    async def submit(self, entry: Entry, job_id: str, steps: list[dict]) -> bool:
        """Submit a job; return whether it was accepted."""
        body = json.dumps({"spec": "work of " + job_id, "steps": steps})
        status, _ = await call("POST", entry.front, PREFIX + job_id, body)
        self.record.write("submitted", job=job_id, at=entry.name, status=status)
        return 200 <= status < 300

    async def state(self, entry: Entry, job_id: str) -> str:
        """Return the state of a job, or the status of the answer."""
        status, data = await call("GET", entry.front, PREFIX + job_id)
        state = json.loads(data).get("state") if status == 200 else str(status)
        self.record.write("asked", job=job_id, at=entry.name, state=state)
        return state

    def runs_of(self, job_id: str) -> list[tuple[float, float]]:
        """Return the times of the runs of a job's tasks; infinite if not ended."""
        open_runs, spans = {}, []
        events = [e for r in self.runners.values() for e in r.history]
        for event, task, number, at in sorted(events, key=lambda e: e[3]):
            if not task.startswith(job_id):
                continue
            if event == "start":
                open_runs[task, number] = at
            elif (task, number) in open_runs:
                spans.append((open_runs.pop((task, number)), at))
        return spans + [(at, float("inf")) for at in open_runs.values()]


def config() -> bytes:
    """Return the desired state: one queue without a policy for advice."""
    route = {
        "name": "plans",
        "host": HOST,
        "prefix": PREFIX,
        "service": SERVICE,
        "priority": 1,
        "maxAttempts": 3,
        "stretch": 2.0,
        "sloMs": 500,
    }
    body = {
        "version": 1,
        "routes": [route],
        "services": [{"name": SERVICE, "admissionCheck": False}],
        "limits": {"maxBodyBytes": 262144},
    }
    return json.dumps(body).encode()


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


async def call(
    method: str, port: int, path: str, body: str | None = None
) -> tuple[int, bytes]:
    """Make one call as a requester; return status 0 if no answer came."""
    request = HTTPRequest(
        f"http://127.0.0.1:{port}{path}",
        method=method,
        body=body,
        headers={
            "Host": HOST,
            "Deadline-Ms": "3000",
            "Content-Type": "application/json",
        },
        request_timeout=3.0,
    )
    try:
        answer = await AsyncHTTPClient().fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        return 0, b""
    return (answer.code if answer.code != 599 else 0), answer.body or b""


async def until(condition, timeout_s: float) -> None:
    """Wait until a condition holds."""
    for _ in range(int(timeout_s / POLL_S)):
        if await condition():
            return
        await asyncio.sleep(POLL_S)
    raise TimeoutError("not ready in time")


def main(case, path: str) -> int:
    """Run a case; return 1 if a rule was broken, 0 if it held, 2 if it couldn't run.

    Args:
        case: Coroutine function of the record and of whether to cause the disruption.
            Returns the sentences that say how the rule was broken.
        path: Path of the script.
    """
    record = Record(Path(path).parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case begins", trouble=trouble)
    # Ends the processes that were started, like an interrupt.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(case(record, trouble))
    except (Exception, KeyboardInterrupt) as exc:
        record.write("case could not run", why=repr(exc))
        print(f"could not run: {exc!r}")
        return 2
    for sentence in broken:
        record.write("rule broken", what=sentence)
        print(sentence)
    record.write("case ends", broken=len(broken))
    record.close()
    return 1 if broken else 0
