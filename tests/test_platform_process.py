"""Guards the whole path through real processes against the platform's stand-in."""

import asyncio
import json
import os
import signal
import socket
import sys
from contextlib import AsyncExitStack
from pathlib import Path

import pytest
import yaml
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from flamingoway.store import Put
from standins import kv
from standins.memory import MemoryStore
from standins.platform import AdviceStandin, StoreStandin, WorkerStandin, config

ROOT = Path(__file__).parent.parent
SERVICE = "tile1"
JOB = {"spec": "x", "steps": [{"count": 3, "cpu": 500}, {"count": 1, "after": [0]}]}
WAIT_S = 20.0


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Entry:
    """A real entry process."""

    def __init__(self, folder, name, store, advice):
        self.name = name
        self.front, self.ready, self.peer, self.metrics = (
            free_port() for _ in range(4)
        )
        self.path = folder / f"{name}.yaml"
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
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flamingoway.platform",
            cwd=ROOT,
            env=os.environ | {"FLAMINGOWAY_SETTINGS": str(self.path)},
            stdout=asyncio.subprocess.PIPE,
        )
        await until(lambda: self.answers("/ready", self.ready, 200))

    async def answers(self, path, port, status):
        return (await call("GET", path, port)).code == status

    async def stop(self, number=signal.SIGTERM):
        """Send a signal; return the log lines and the exit code."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        out, _ = await asyncio.wait_for(self.process.communicate(), WAIT_S)
        return [json.loads(line) for line in out.splitlines()], self.process.returncode


async def call(method, path, port, body=None):
    request = HTTPRequest(
        f"http://127.0.0.1:{port}{path}",
        method=method,
        body=None if body is None else json.dumps(body),
        headers={"Host": "jobs.example", "Deadline-Ms": "3000"},
        request_timeout=5.0,
    )
    try:
        return await AsyncHTTPClient().fetch(request, raise_error=False)
    except OSError:
        return Unreachable


class Unreachable:
    """Stands for an answer that did not come."""

    code = 0
    body = b""


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
    """A platform with three workers, and entry processes."""

    def __init__(self, folder, stack):
        self.folder = folder
        self.stack = stack
        self.standin = StoreStandin()
        self.workers = [WorkerStandin(f"w{index}") for index in range(3)]
        self.advice = AdviceStandin()
        self.entries = []

    async def begin(self, entries):
        store = await self.stack.enter_async_context(self.standin.listen())
        advice = await self.stack.enter_async_context(self.advice.listen())
        operator = MemoryStore(self.standin.engine)
        queues = {"plans": "/p/", "sorts": "/s/"}
        await operator.txn([], [Put("op/config", config(1, SERVICE, queues))])
        await operator.txn([], [Put("servers/odd", b"\xff not an entry")])
        for worker in self.workers:
            address = await self.stack.enter_async_context(worker.listen())
            entry = worker.entry(address, SERVICE)
            await operator.txn([], [Put(f"servers/{worker.worker_id}", entry)])
        for index in range(entries):
            entry = Entry(self.folder, f"n{index}", store, advice)
            self.entries.append(entry)
            self.stack.push_async_callback(self._end, entry)
            await entry.start()
        self.operator = operator

    async def _end(self, entry):
        if entry.process is not None and entry.process.returncode is None:
            await entry.stop(signal.SIGKILL)

    def leader(self):
        item = self.standin.engine.range(kv.RangeOp(b"fw/leader"))
        value = item.entries[0].value if item.entries else b""
        for entry in self.entries:
            if entry.name.encode() in value:
                return entry
        return None


@pytest.fixture
def play(tmp_path):
    def run(body, entries=2):
        async def main():
            async with AsyncExitStack() as stack:
                cell = Cell(tmp_path, stack)
                await cell.begin(entries)
                await asyncio.wait_for(body(cell), 60)

        asyncio.run(main())

    return run


def test_a_job_runs_through_any_process(play):
    async def body(cell):
        for index, entry in enumerate(cell.entries):
            await complete(entry, f"00a{index}")
        started = [s["task"] for worker in cell.workers for s in worker.starts]
        assert len(started) == len(set(started)) == 8
        assert await state(cell.entries[0], "00a1") == "completed"
        metrics = await call("GET", "/metrics", cell.entries[0].metrics)
        assert b"flamingoway_queue_requests_total" in metrics.body
        lines, code = await cell.entries[0].stop()
        assert code == 0
        events = [line["event"] for line in lines]
        assert events[0] == "started" and events[-1] == "stopped"
        assert "entry skipped" in events

    play(body)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_another_process_leads_when_the_leader_ends(play, number):
    """Guards against jobs that stay behind with a leader that is gone."""

    async def body(cell):
        await complete(cell.entries[0], "00a0")
        leader = cell.leader()
        (other,) = [entry for entry in cell.entries if entry is not leader]
        stopping = asyncio.create_task(leader.stop(number))
        await complete(other, "00a1")
        await stopping
        assert await state(other, "00a0") == "completed"

    play(body)


def test_a_planned_stop_answers_what_was_asked(play):
    """Guards against requests that a planned stop cuts off."""

    async def body(cell):
        entry = cell.entries[0]
        stopping = asyncio.create_task(entry.stop())
        for index in range(10):
            answer = await call("POST", f"/p/00b{index}", entry.front, JOB)
            assert answer.code == 200
            await asyncio.sleep(0.1)
        lines, code = await stopping
        assert code == 0
        assert "requests abandoned" not in [line["event"] for line in lines]

    play(body)


def test_all_jobs_are_known_after_all_processes_were_killed(play):
    async def body(cell):
        await complete(cell.entries[0], "00a0")
        accepted = await call("POST", "/s/00a1", cell.entries[0].front, JOB)
        assert accepted.code == 200
        for entry in cell.entries:
            await entry.stop(signal.SIGKILL)
        for entry in cell.entries:
            await entry.start()
        assert await state(cell.entries[0], "00a0") == "completed"
        answer = None

        async def completed():
            nonlocal answer
            answer = await call("GET", "/s/00a1", cell.entries[1].front)
            return b"completed" in answer.body

        await until(completed)

    play(body)


def test_a_changed_settings_file_is_read_again(play):
    async def body(cell):
        entry = cell.entries[0]
        entry.path.write_text("nodeName: [")
        await asyncio.sleep(1.5)
        entry.path.write_text(yaml.safe_dump(entry.settings))
        entry.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        await complete(entry, "00a0")
        lines, _ = await entry.stop()
        events = [line["event"] for line in lines]
        assert "reload refused" in events and "reloaded" in events

    play(body, entries=1)
