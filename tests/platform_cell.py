"""Real entry processes running against stand-ins of the platform."""

import asyncio
import json
import os
import signal
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import yaml
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from flamingoway.store import Put
from standins import kv
from standins.cluster import free_ports
from standins.memory import MemoryStore
from standins.platform import AdviceStandin, StoreStandin, WorkerStandin, config

# Folder of the build whose processes are started.
ROOT = Path(os.environ.get("FLAMINGOWAY_BUILD", Path(__file__).parent.parent))
SERVICE = "tile1"
JOB = {"spec": "x", "steps": [{"count": 3, "cpu": 500}, {"count": 1, "after": [0]}]}
WAIT_S = 20.0


class Entry:
    """A real entry process, its settings and its log file."""

    def __init__(self, folder, name, store, advice):
        self.name = name
        first = free_ports(4)
        self.front, self.ready, self.peer, self.metrics = range(first, first + 4)
        self.path = folder / f"{name}.yaml"
        self.log = folder / f"{name}.log"
        self.settings = {
            "nodeName": name,
            "ip": "127.0.0.1",
            "zone": "z1",
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready}",
            },
            "portRange": [self.peer, self.metrics],
            "bounds": {"holdMaxMs": 6000, "graceS": 6, "newField": 1},
            "advice": advice,
            "platform": {"address": store, "form": "kv"},
        }
        self.path.write_text(yaml.safe_dump(self.settings))
        # The C core of gRPC writes lines of its own to standard error.
        self.environment = {
            "FLAMINGOWAY_SETTINGS": str(self.path),
            "GRPC_VERBOSITY": "NONE",
        }
        self.process = None
        self.restarting = asyncio.Lock()

    async def start(self):
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "flamingoway.platform",
                cwd=ROOT,
                env=os.environ | self.environment,
                stdout=output,
                stderr=output,
            )

    async def ready_again(self):
        await until(lambda: self.answers("/ready", self.ready, 200))

    async def answers(self, path, port, status):
        return (await call("GET", path, port)).code == status

    async def stop(self, number=signal.SIGTERM):
        """Send a signal and wait for the exit.

        Returns:
            The decision log lines, decoded, and the exit code.
        """
        if self.process.returncode is None:
            self.process.send_signal(number)
        await asyncio.wait_for(self.process.wait(), WAIT_S)
        lines = self.log.read_bytes().splitlines()
        decisions = [json.loads(line) for line in lines if line.startswith(b"{")]
        return decisions, self.process.returncode


async def call(method, path, port, body=None, timeout_s=5.0):
    request = HTTPRequest(
        f"http://127.0.0.1:{port}{path}",
        method=method,
        body=body if body is None or isinstance(body, bytes) else json.dumps(body),
        headers={"Host": "jobs.example", "Deadline-Ms": "3000"},
        request_timeout=timeout_s,
    )
    try:
        return await AsyncHTTPClient().fetch(request, raise_error=False)
    except (OSError, HTTPClientError):
        return Unreachable


class Unreachable:
    """Response of a call that got no answer."""

    code = 0
    body = b""


def run_in_cell(folder, body, entries=2, timeout_s=60.0):
    """Run a test with a cell of real processes; their files are in ``folder``."""

    async def main():
        async with AsyncExitStack() as stack:
            cell = Cell(folder, stack)
            await cell.begin(entries)
            await asyncio.wait_for(body(cell), timeout_s)

    asyncio.run(main())


async def until(condition):
    async with asyncio.timeout(WAIT_S):
        while True:
            if await condition():
                return
            await asyncio.sleep(0.05)


async def state(entry, job_id):
    answer = await call("GET", f"/p/{job_id}", entry.front)
    return json.loads(answer.body).get("state") if answer.code == 200 else None


async def complete(entry, job_id):
    answer = await call("POST", f"/p/{job_id}", entry.front, JOB)
    assert answer.code == 200

    async def completed():
        return await state(entry, job_id) == "completed"

    await until(completed)


class Cell:
    """A stand-in platform with three workers, and the entry processes on it."""

    def __init__(self, folder, stack):
        self.folder = folder
        self.stack = stack
        self.standin = StoreStandin()
        self.workers = [WorkerStandin(f"w{index}") for index in range(3)]
        self.advice = AdviceStandin()
        self.entries = []
        self.addresses = {}
        self.operator = None

    async def begin(self, entries):
        address = await self.stack.enter_async_context(self.standin.listen())
        advice = await self.stack.enter_async_context(self.advice.listen())
        operator = MemoryStore(self.standin.engine)
        queues = {"plans": "/p/", "sorts": "/s/"}
        await operator.txn([], [Put("op/config", config(1, SERVICE, queues))])
        await operator.txn([], [Put("servers/odd", b"\xff not an entry")])
        self.operator = operator
        for worker in self.workers:
            direct = await self.stack.enter_async_context(worker.listen())
            self.addresses[worker.worker_id] = await self.reach_worker(direct)
            await self.register(worker)
        for index in range(entries):
            store = await self.reach_store(address)
            entry = Entry(self.folder, f"n{index}", store, advice)
            self.entries.append(entry)
            self.stack.push_async_callback(self._kill, entry)
            await entry.start()
            await entry.ready_again()

    async def reach_store(self, address):
        """Return the address at which an entry reaches the store."""
        return address

    async def reach_worker(self, address):
        """Return the address under which a worker is registered."""
        return address

    async def register(self, worker):
        entry = worker.entry(self.addresses[worker.worker_id], SERVICE)
        await self.operator.txn([], [Put(f"servers/{worker.worker_id}", entry)])

    async def _kill(self, entry):
        if entry.process is not None and entry.process.returncode is None:
            await entry.stop(signal.SIGKILL)

    def leader(self):
        item = self.standin.engine.range(kv.RangeOp(b"fw/leader"))
        value = item.entries[0].value if item.entries else b""
        for entry in self.entries:
            if entry.name.encode() in value:
                return entry
        return None
