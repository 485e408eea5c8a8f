"""Soak test at the size of a large site: real entry processes, many workers.

``python -m tests.site_soak SEED SECONDS [--entries N] [--workers N] [--code FOLDER]``
plays one seed; the processes run the code of FOLDER, and two in seven that of the
folder after ``--beside``. The workers run in a process of
their own. What callers sent and what workers were told is written to a record, and
``tests.site_checks`` checks the guarantees on it afterwards.
"""

import argparse
import asyncio
import base64
import functools
import json
import os
import random
import re
import signal
import struct
import sys
import tempfile
import time
import zlib
from contextlib import AsyncExitStack, contextmanager
from pathlib import Path
from urllib.parse import parse_qs

import msgspec
import yaml

from standins import kv
from standins.platform import StoreStandin, _event, config
from tests import site_checks
from tests.platform_cell import SERVICE, Cell, Entry
from tests.site_faults import FAULTS, fault
from tests.site_workers import Http, Record, forever

ROOT = Path(__file__).parent.parent
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
FINISH_S = 25.0
DEADLINE_S = 3.0
ZONES = ["sierra-cusco", "sierra-puno", "sierra-junin", "sierra-ancash"]
ZONES.append("sierra-ayacucho")
BOUNDS = {"contactMs": 4000, "ackMs": 6000, "drainMs": 3000, "graceS": 6}
BOUNDS |= {"configMs": 3000, "holdMaxMs": 10_000, "stopMs": 400, "gangMs": 4000}
BOUNDS |= {"cancel_ms": 4000, "visible_ms": 3000, "saveS": 0.5, "restoreMs": 250}
# Per class: arrivals a second at 175 workers, share of second steps, width, work in
# ms, cores, memory in MB, shares of gangs, checkpoints, repeats, cancels and failing
# runs, priority, attempts, advice (ms, ms a worker, share of allowed workers).
CLASSES = {
    "lineage": (2.95, 0.2, 20, 4000, 4500, 17000, 1.0, 0.5, 0.0, 0.08, 0.005)
    + (1, 4, 455, 6.5, 0.3),
    "marker": (6.16, 0.5, 25, 2200, 1700, 3600, 0.0, 0.8, 0.2, 0.08, 0.02)
    + (2, 3, 104, 1.43, 0.45),
    "viability": (55, 0, 3.2, 800, 2500, 7100, 0.3, 0.3, 0.05, 0.08, 0.05)
    + (0, 3, 11.7, 0.169, 0.7),
}
PREFIXES = {"lineage": "/lin/", "marker": "/mar", "viability": "/via/"}
# Routes that come and go; some begin with the prefix of another.
EXTRA_PREFIXES = ["/via/q", "/via/q/", "/marx", "/marx/", "/lin/z", "/solo/"]
# Values of the store without a fault.
NORMAL = {"slow": 1.0, "lost": 0.0, "late": 0.0}
# An entry process in a response of the store: its name and its record.
MEMBER = re.compile(rb'"key": "fw/member/([^"]+)", "value": "([^"]*)"')
# The harness counts as starved when it resumes later than this, in seconds.
LONGEST_GAP_S = 0.5


async def call(method, port, path, body=None, timeout_s=DEADLINE_S + 0.2):
    """Make one HTTP call; returns the status (0 for no answer) and the body."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: "
        f"{int(DEADLINE_S * 1000)}\r\nContent-Length: {len(data)}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + data)
            answer = await reader.read()
        head, _, payload = answer.partition(b"\r\n\r\n")
        return (int(head.split(b" ")[1]), payload) if head else (0, b"")
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()


class SiteStore(StoreStandin):
    """Store whose faults can be limited to some callers.

    Attributes:
        modes: ``silent``, ``reset`` or a status, by caller; ``*`` stands for all.
        slow: Factor on the duration of an answer; ``busy`` is another one.
        lost: Share of writes that are applied without an answer.
        late: Share of writes that are applied 1 to 6 s late, without an answer.
        deaf: Whether watches report new revisions without their changes.
        restarts: Number of restarts; a write under way at one gets no answer and is
            applied, not applied or applied up to 6 s late.
        links: Addresses of the proxies between processes, by caller and target.
    """

    def __init__(self, rng):
        super().__init__(kv.Engine(time.monotonic, history=3000))
        self.rng = rng
        self.modes = {}
        self.slow, self.lost, self.late, self.deaf = 1.0, 0.0, 0.0, False
        self.cut = asyncio.Event()
        self.restarts, self.busy = 0, 1.0
        self.links = {}

    def put(self, key, value):
        self.engine.txn([], [kv.PutOp(key.encode(), value)], [])

    async def answer(self, caller, method, target, headers, data):
        """Answer a call; processes see each other at the addresses of the proxies."""
        answer = await self.carry_out(caller, method, target, data)
        if answer is None or method != "GET":
            return answer
        status, body = answer
        body = body if isinstance(body, bytes) else json.dumps(body).encode()
        return status, MEMBER.sub(functools.partial(self.redirect, caller), body)

    def redirect(self, caller, match):
        address = self.links.get((caller, match[1].decode()))
        if address is None:
            return match[0]
        record = msgspec.msgpack.decode(base64.b64decode(match[2]))
        value = msgspec.msgpack.encode(record | {"peer_address": address})
        return match[0].replace(match[2], base64.b64encode(value))

    async def carry_out(self, caller, method, target, data):
        restarts = self.restarts
        await asyncio.sleep(STORE_ANSWER_S * self.slow * self.busy)
        if restarts != self.restarts:
            if not target.startswith("/kv-txn"):
                return None
            fate = self.rng.choice(["lost", "applied", "late"])
            if fate != "lost":
                await asyncio.sleep(self.rng.uniform(0.2, 6) * (fate == "late"))
                await self._call(method, "/kv-txn", {}, json.loads(data))
            return None
        mode = self.modes.get(caller) or self.modes.get("*")
        if mode == "silent":
            await forever()
        if mode:
            return None if mode == "reset" else (int(mode), {})
        path, _, text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(text).items()}
        if path == "/kv-watch":
            return await self.wait_changes(query)
        body = json.loads(data or b"{}")
        chance = self.rng.random() if path == "/kv-txn" else 1.0
        if chance < self.late:
            await asyncio.sleep(self.rng.uniform(1, 6))
        reply = await self._call(method, path, query, body)
        if chance < self.late + self.lost:
            await forever()
        return reply.status, reply.body

    async def wait_changes(self, query):
        prefix, batches, heard = query["prefix"], [], asyncio.Event()
        end = prefix[:-1] + chr(ord(prefix[-1]) + 1)

        def notify(batch):
            batches.append(batch)
            heard.set()

        after = int(query["after"]) + 1
        try:
            watcher = self.engine.watch(prefix.encode(), end.encode(), after, notify)
        except kv.Compacted:
            return 410, {}
        if self.deaf:
            heard.clear()
        waits = [asyncio.ensure_future(event.wait()) for event in (self.cut, heard)]
        wait_s = int(query.get("waitMs", 0)) / 1000
        try:
            # A wait that a silent gap overlaps goes on until it is cut or ends.
            async with asyncio.timeout(wait_s):
                while self.deaf or not (batches or waits[0].done()):
                    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
                    if waits[0].done():
                        return None
                    if self.deaf:
                        await self.cut.wait()
        except TimeoutError:
            pass
        finally:
            self.engine.unwatch(watcher)
            for wait in waits:
                wait.cancel()
        changes = [] if self.deaf else batches
        rows = [_event(c, batch.revision) for batch in changes for c in batch.changes]
        return 200, {"events": rows, "storeRevision": self.engine.revision}


class SiteEntry(Entry):
    """An entry process of a site; ``code`` is the folder whose code it runs."""

    def __init__(self, site, index):
        self.index = index
        super().__init__(site.folder, f"e{index:03}", "127.0.0.1:1", site.advice_url)
        beside = site.options.beside
        self.code = beside if beside and index % 7 < 2 else site.options.code
        self.clock = site.folder / f"{self.name}.clock"
        self.set_clock(0.0)
        shim = str(ROOT / "tests" / "clock_shim")
        self.environment |= {"SITE_CLOCK": str(self.clock), "PYTHONPATH": shim}
        self.server = None
        large = index % 3 == 0
        limits = {"cpuShare": 0.717 if large else 0.516, "cores": 3 if large else 1}
        self.settings |= {"zone": ZONES[index % len(ZONES)], "bounds": BOUNDS}
        self.settings |= {"limits": limits | {"memoryMb": 552 if large else 200}}

    async def start(self):
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "flamingoway.platform",
                cwd=self.code,
                env=os.environ | self.environment,
                stdout=output,
                stderr=output,
            )

    async def restart(self, number, pause_s=0.0):
        if self.restarting.locked():
            return
        async with self.restarting:
            self.send(signal.SIGCONT)
            await self.stop(number)
            await asyncio.sleep(pause_s)
            await self.start()

    def set_clock(self, offset_s):
        """Shift the time of day of the process."""
        with self.clock.open("r+b" if self.clock.exists() else "wb") as file:
            file.write(struct.pack("d", offset_s))

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)


class Site(Cell):
    """The processes of a site, their callers and the faults."""

    def __init__(self, folder, stack, options):
        super().__init__(folder, stack)
        self.options = options
        self.rng = random.Random(options.seed)
        self.standin = self.store = SiteStore(self.rng)
        self.record = Record(folder / "record.jsonl")
        self.routes = dict(PREFIXES)
        self.version, self.jobs, self.paused, self.rate = 0, 0, False, 1.0
        self.listed, self.silent, self.classes = {}, set(), {}
        self.advice_url, self.host, self.next_worker = "", None, 0
        self.links, self.linked, self.longest_gap_s = None, {}, 0.0
        self.tasks = set()

    # Set-up

    async def begin(self, entries):
        self.advice_url = await Http(self.advise).listen()
        path, seed = str(self.folder / "workers.jsonl"), str(self.options.seed)
        self.host = await self.start_helper("tests.site_workers", path, seed)
        self.links = await self.start_helper("tests.site_links")
        self.spawn(self.watch_harness())
        self.spawn(self.read_host())
        self.spawn(self.read_links())
        self.spawn(self.send_heartbeats())
        self.add_workers(self.options.workers)
        self.configure()
        await asyncio.gather(*(self.add_entry() for _ in range(entries)))
        async with asyncio.timeout(120):
            await asyncio.gather(*(self.wait_ready(entry) for entry in self.entries))
            await self.wait_leader()
        self.record.write("ready", leader=self.leader().name)

    async def start_helper(self, module, *arguments):
        helper = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 20,
        )
        self.stack.push_async_callback(self.end_helper, helper)
        return helper

    async def end_helper(self, helper):
        helper.kill()
        await helper.wait()

    async def watch_harness(self):
        """Record the times in which the harness itself did not run."""
        while True:
            due = time.monotonic() + 0.1
            await asyncio.sleep(0.1)
            gap_s = time.monotonic() - due
            self.longest_gap_s = max(gap_s, self.longest_gap_s)
            if gap_s > LONGEST_GAP_S:
                self.record.write("harness", starved_s=round(gap_s, 3))

    async def read_links(self):
        while line := await self.links.stdout.readline():
            row = json.loads(line)
            for caller, target, address in row["links"]:
                self.store.links[caller, target] = address
            self.linked[row["name"]].set()

    def order_links(self, action, **fields):
        line = json.dumps({"do": action} | fields)
        self.links.stdin.write(line.encode() + b"\n")

    async def wait_leader(self):
        while True:
            if self.leader() is not None:
                return
            await asyncio.sleep(0.1)

    async def wait_ready(self, entry):
        while True:
            if (await call("GET", entry.ready, "/ready"))[0] == 200:
                return
            if entry.process.returncode is not None:
                raise RuntimeError(f"{entry.name} ended before it was ready")
            await asyncio.sleep(0.2)

    async def add_entry(self):
        entry = SiteEntry(self, len(self.entries))
        self.entries.append(entry)
        entry.server = Http(functools.partial(self.store.answer, entry.name))
        entry.settings["platform"]["address"] = await entry.server.listen()
        self.linked[entry.name] = asyncio.Event()
        address = f"127.0.0.1:{entry.peer}"
        self.order_links("add", name=entry.name, address=address)
        await self.linked[entry.name].wait()
        entry.path.write_text(yaml.safe_dump(entry.settings))
        self.stack.push_async_callback(self._kill, entry)
        await entry.start()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def order(self, action, ids, value=None):
        line = json.dumps({"do": action, "ids": list(ids), "value": value})
        self.host.stdin.write(line.encode() + b"\n")

    def add_workers(self, count):
        ids = [f"w{self.next_worker + i:04}" for i in range(count)]
        self.next_worker += count
        self.order("restart", ids)

    async def read_host(self):
        while line := await self.host.stdout.readline():
            row = json.loads(line)
            number = int(row["id"][1:])
            self.listed[row["id"]] = {
                "service": SERVICE,
                "address": row["address"],
                "zone": ZONES[number % len(ZONES)],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": 16000, "memMb": 65536},
                "labels": ["ab"[number % 2], f"r{number // 12}"],
                "born": row["born"],
                "seq": 0,
            }
            self.write_entry(row["id"])

    def write_entry(self, worker_id):
        entry = self.listed[worker_id]
        entry["seq"] += 1
        self.store.put(f"servers/{worker_id}", json.dumps(entry).encode())

    def unlist(self, worker_id):
        key = f"servers/{worker_id}".encode()
        self.store.engine.txn([], [kv.DeleteOp(key)], [])

    async def send_heartbeats(self):
        while True:
            for worker_id in list(self.listed):
                if worker_id in self.listed and worker_id not in self.silent:
                    self.write_entry(worker_id)
                    await asyncio.sleep(HEARTBEAT_S / max(1, len(self.listed)))
            await asyncio.sleep(0.01)

    def configure(self):
        """Write a configuration with the present routes; returns when it is stored."""
        self.version += self.rng.randint(1, 4)
        body = json.loads(config(self.version, SERVICE, self.routes))
        for row in body["routes"]:
            shape = CLASSES.get(row["name"], CLASSES["viability"])
            row |= {"priority": shape[11], "maxAttempts": shape[12]}
            row["advice"] = {"decideMs": shape[13], "eachMs": shape[14]}
            row["advice"]["validMs"] = 1500
        self.store.put("op/config", json.dumps(body).encode())
        self.record.write("config", routes=self.routes, version=self.version)

    async def advise(self, method, target, headers, data):
        body = json.loads(data)
        name = self.classes.get(body["step"].split(".")[0], "viability")
        decide_ms, each_ms, share = CLASSES[name][13:]
        await asyncio.sleep((decide_ms + each_ms * len(body["workers"])) / 1000)
        until = time.monotonic() + 1.5
        good = [
            [worker, f"{body['step']}|{worker}|{until}"]
            for worker in body["workers"]
            if zlib.crc32(f"{body['step']}{worker}".encode()) % 100 < share * 100
        ]
        return 200, {"good": good, "validMs": 1500}

    # Callers

    def random_job(self, job_id, name):
        rng, (_, second, width, work_ms, cpu, mem, gang, saves, *_) = (
            self.rng,
            CLASSES[name],
        )
        gang = rng.random() < gang
        most = max(2, self.options.workers // 8)
        steps = []
        for number in range(1 + (rng.random() < second)):
            step = {"count": min(most, 1 + int(rng.expovariate(1 / width)))}
            step["cpu"] = int(cpu * rng.uniform(0.6, 1.4))
            step["memMb"] = int(mem * rng.uniform(0.5, 1.5))
            step["estRuntimeMs"] = int(work_ms * rng.uniform(0.4, 1.6))
            step["ms"] = int(work_ms * rng.uniform(0.4, 1.8))
            step["errors"] = CLASSES[name][10]
            step |= {"gang": True} if gang else {}
            step |= {"checkpointing": True} if rng.random() < saves else {}
            step |= {"after": [number - 1]} if number else {}
            step |= {"bad": True} if rng.random() < 0.01 else {}
            steps.append(step)
        spec = json.dumps({"id": job_id, "salt": rng.random(), "steps": steps})
        private = ("ms", "errors", "bad")
        shown = [{k: v for k, v in s.items() if k not in private} for s in steps]
        return {"spec": spec, "steps": shown}

    async def send(self, job_id, path, body, timeout_s=DEADLINE_S + 0.2):
        entry, sent = self.rng.choice(self.entries), time.monotonic()
        status, _ = await call("POST", entry.front, path, body, timeout_s)
        self.record.write(
            "submitted", job=job_id, status=status, sent=sent, at=entry.name
        )
        return status

    async def play_job(self, name, prefix, prompt=None):
        """Submit a job, perhaps cancel it or repeat the request, and follow it."""
        rng = self.rng
        self.jobs += 1
        job_id = f"{rng.getrandbits(40):010x}{self.jobs:06x}"
        self.classes[job_id] = name
        path, body = prefix + job_id, self.random_job(job_id, name)
        stays = prefix in PREFIXES.values()
        self.record.write(
            "submit", job=job_id, path=path, spec=body["spec"], stays=stays
        )
        cancels = prompt is not None or rng.random() < CLASSES[name][9]
        prompt = rng.random() < 0.5 if prompt is None else prompt
        cancel = None
        if cancels and prompt:
            cancel = self.spawn(self.cancel(job_id, path, rng.uniform(0, 1.2)))
        leaves = rng.random() < 0.03
        status = 0
        for _ in range(5):
            timeout_s = rng.uniform(0.05, 0.5) if leaves else DEADLINE_S + 0.2
            status = await self.send(job_id, path, body, timeout_s)
            if status in (200, 400, 404) or (cancel and cancel.done()):
                break
            await asyncio.sleep(rng.uniform(0.1, 0.6))
        if status == 200 and rng.random() < CLASSES[name][8]:
            await asyncio.sleep(rng.uniform(0, 3))
            self.spawn(self.send(job_id, path, body))
        if cancels and not prompt:
            self.spawn(self.cancel(job_id, path, rng.uniform(0, 4)))
        if status == 200:
            await self.follow(job_id, path)

    async def cancel(self, job_id, path, delay_s):
        await asyncio.sleep(delay_s)
        self.record.write("cancel", job=job_id)
        for _ in range(60):
            entry = self.rng.choice(self.entries)
            status, _ = await call("DELETE", entry.front, path)
            self.record.write("cancelled", job=job_id, status=status, at=entry.name)
            if status // 100 == 2 or status == 410:
                return
            await asyncio.sleep(0.3)

    async def follow(self, job_id, path):
        while self.options.deadline > time.monotonic():
            await asyncio.sleep(self.rng.uniform(1, 3))
            entry = self.rng.choice(self.entries)
            status, data = await call("GET", entry.front, path)
            state = json.loads(data)["state"] if status == 200 else ""
            self.record.write(
                "state", job=job_id, status=status, state=state, at=entry.name
            )
            if state in ("completed", "failed", "cancelled"):
                return

    async def submit_jobs(self, name, until):
        per_s = CLASSES[name][0] * self.options.load * self.options.workers / 175
        while time.monotonic() < until:
            await asyncio.sleep(self.rng.expovariate(per_s * self.rate))
            self.spawn(self.play_job(name, self.routes[name]))

    # Faults

    @contextmanager
    def disturb(self, kind, on=(), benign=False):
        """Record a fault; ``benign`` ones do not excuse a run that goes on."""
        fields = {"kind": kind, "on": list(on), "benign": benign}
        begin = time.monotonic()
        self.record.write("fault begins", **fields)
        try:
            yield
        finally:
            self.record.write("fault", begin=begin, **fields)

    def leading(self):
        return self.leader() or self.rng.choice(self.entries)

    def some_entries(self, share):
        count = max(1, round(share * len(self.entries)))
        return self.rng.sample(self.entries, min(count, len(self.entries)))

    def some_workers(self, share):
        return self.rng.sample(
            sorted(self.listed), max(1, int(share * len(self.listed)))
        )

    async def cancel_promptly(self):
        """Submit jobs that are cancelled at once, beside a fault."""
        for _ in range(10):
            await asyncio.sleep(self.rng.uniform(0, 1))
            name = self.rng.choice(list(CLASSES))
            self.spawn(self.play_job(name, PREFIXES[name], prompt=True))

    async def inject(self, name):
        self.spawn(self.cancel_promptly())
        try:
            await FAULTS[name](self)
        except TimeoutError as exc:
            self.record.write("harness", fault=name, why=repr(exc))

    async def inject_faults(self, names, until):
        """Play faults one after another and in pairs, with calm spans between them."""
        while time.monotonic() < until:
            chosen = self.rng.choices(names, k=self.rng.choice([1, 2, 2]))
            running = []
            for name in chosen:
                running.append(self.spawn(self.inject(name)))
                await asyncio.sleep(self.rng.uniform(0, 1.5))
            await asyncio.gather(*running)
            await asyncio.sleep(self.rng.choice([0.3, 1, 3, 6]))


@fault
async def kill_leader(site):
    entry = site.leading()
    with site.disturb("kill_leader", [entry.name]):
        await entry.restart(signal.SIGKILL, site.rng.uniform(0, 3.5))


@fault
async def kill_some(site):
    entries = site.some_entries(0.3)
    with site.disturb("kill_some", [e.name for e in entries]):
        await asyncio.gather(*(e.restart(signal.SIGKILL, 1.0) for e in entries))


@fault
async def kill_all(site):
    with site.disturb("kill_all", [e.name for e in site.entries]):
        calls = (
            e.restart(signal.SIGKILL, site.rng.uniform(0.3, 0.9)) for e in site.entries
        )
        await asyncio.gather(*calls)


@fault
async def pause_leader(site):
    entry = site.leading()
    with site.disturb("pause_leader", [entry.name]):
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(site.rng.uniform(1, 8))
        entry.send(signal.SIGCONT)


@fault
async def roll_term(site):
    for entry in site.some_entries(0.2):
        with site.disturb("roll_term", [entry.name], benign=True):
            restart = site.spawn(entry.restart(signal.SIGTERM))
            await asyncio.sleep(site.rng.uniform(0.5, 1.3))
            await restart


@fault
async def term_leader(site):
    entry = site.leading()
    with site.disturb("term_leader", [entry.name], benign=True):
        await entry.restart(signal.SIGTERM)


@fault
async def add_entries(site):
    if len(site.entries) < site.options.entries + 4:
        with site.disturb("add_entries", benign=True):
            await site.add_entry()
            await asyncio.sleep(4)


@fault
async def change_routes(site):
    with site.disturb("change_routes", benign=True):
        for prefix in site.rng.sample(EXTRA_PREFIXES, 3):
            for _ in range(3):
                name = f"extra{EXTRA_PREFIXES.index(prefix)}"
                if site.routes.pop(name, None) is None:
                    site.routes[name] = prefix
                site.configure()
                for _ in range(4):
                    # Short time limit: half of these requests come around the change.
                    site.spawn(site.play_job("viability", prefix))
                    await asyncio.sleep(site.rng.uniform(0.02, 0.5))


def _call_fault(function, name, arguments, site):
    return function(site, name, *arguments)


async def break_store_for(site, kind, attribute, value, seconds, after_s=0.0):
    with site.disturb(kind, ["core"]):
        setattr(site.store, attribute, value)
        await asyncio.sleep(seconds)
        # Two of these may overlap, so the value before is not the one without a fault.
        setattr(site.store, attribute, NORMAL[attribute])
        await asyncio.sleep(after_s)


async def break_store(site, kind, callers, seconds):
    mode = site.rng.choice(["silent", "reset", "503", "429"])
    with site.disturb(f"{kind} {mode}", ["core"]):
        site.store.modes.update(dict.fromkeys(callers, mode))
        await asyncio.sleep(seconds)
        for caller in callers:
            site.store.modes.pop(caller, None)


@fault
async def store_down(site):
    await break_store(site, "store_down", ["*"], 4.5)


@fault
async def store_refuses_some(site):
    names = [e.name for e in site.some_entries(0.35)]
    names += [site.leading().name] if site.rng.random() < 0.5 else []
    await break_store(site, "store_refuses_some", names, site.rng.uniform(4, 9))


@fault
async def history_dropped(site):
    """Watches hear nothing for a second, then are cut, and the history is gone."""
    for _ in range(site.rng.randint(1, 3)):
        with site.disturb("history_dropped", ["core"]):
            site.store.deaf = True
            for _ in range(4):
                site.spawn(site.play_job("marker", PREFIXES["marker"], prompt=True))
                await asyncio.sleep(0.25)
            site.store.cut.set()
            site.store.engine.compact()
            site.store.deaf, site.store.cut = False, asyncio.Event()
        await asyncio.sleep(2.0)


async def disturb_workers(site, kind, share, faults, seconds, after_s=0.0):
    ids = site.some_workers(share)
    with site.disturb(kind, ["workers"]):
        site.order("faults", ids, faults)
        if "cut" in faults and site.rng.random() < 0.5:
            site.silent.update(ids)
            await asyncio.sleep(min(seconds, 3 * HEARTBEAT_S))
            for worker_id in ids:
                site.unlist(worker_id)
        await asyncio.sleep(seconds)
        site.order("faults", ids, {})
        site.silent.difference_update(ids)
        await asyncio.sleep(after_s)


@fault
async def restart_workers(site):
    with site.disturb("restart_workers", ["workers"]):
        for worker_id in site.some_workers(0.1):
            site.order("restart", [worker_id])
            await asyncio.sleep(site.rng.uniform(0.05, 0.4))


async def retire(site, kind, share, drains):
    ids = site.some_workers(share)
    with site.disturb(kind, ["workers"], benign=drains):
        if drains:
            for worker_id in ids:
                site.listed[worker_id]["state"] = "draining"
                site.write_entry(worker_id)
            await asyncio.sleep(BOUNDS["drainMs"] / 1000 + site.rng.uniform(0.2, 3))
        site.order("leave", ids)
        for worker_id in ids:
            site.listed.pop(worker_id, None)
            site.silent.discard(worker_id)
        if not drains:
            await asyncio.sleep(3 * HEARTBEAT_S)
        for worker_id in ids:
            site.unlist(worker_id)
    site.add_workers(len(ids))


@fault
async def burst(site):
    with site.disturb("burst", benign=True):
        site.rate = 2.0
        await asyncio.sleep(4.0)
        site.rate = 1.0


# Faults that differ in their values only: the function and its arguments.
for _name, _function, *_arguments in (
    ("lose_answers", break_store_for, "lost", 0.35, 4.5),
    ("apply_late", break_store_for, "late", 0.06, 5.5, 6.0),
    ("apply_many_late", break_store_for, "late", 0.3, 4.5, 6.0),
    ("store_slow", break_store_for, "slow", 60.0, 4.5),
    ("cut_workers", disturb_workers, 0.17, {"cut": 1}, 4.0),
    ("late_orders", disturb_workers, 0.45, {"late": 0.06}, 5.5, 12.0),
    ("few_answers_lost", disturb_workers, 0.45, {"lost": 0.025}, 5.5),
    ("many_answers_lost", disturb_workers, 0.45, {"lost": 0.2}, 5.5),
    ("grey_workers", disturb_workers, 0.14, {"grey": 0.45}, 6.5),
    ("drain_workers", retire, 0.1, True),
    ("lose_workers", retire, 0.06, False),
):
    FAULTS[_name] = functools.partial(_call_fault, _function, _name, _arguments)


async def play(options):
    """Play one seed; returns the violations and the excused cases."""
    folder = options.logs / f"{options.label}-{options.seed}-{time.strftime('%H%M%S')}"
    folder.mkdir(parents=True)
    async with AsyncExitStack() as stack:
        site = Site(folder, stack, options)
        await site.begin(options.entries)
        until = time.monotonic() + options.seconds
        options.deadline = until + FINISH_S
        callers = [site.spawn(site.submit_jobs(name, until)) for name in CLASSES]
        names = options.faults.split(",") if options.faults else sorted(FAULTS)
        names = [name for name in names if name not in options.skip.split(",")]
        await site.inject_faults(names, until)
        await asyncio.gather(*callers)
        options.deadline = time.monotonic() + FINISH_S
        await asyncio.sleep(FINISH_S)
        for task in list(site.tasks):
            task.cancel()
        await asyncio.gather(*site.tasks, return_exceptions=True)
    broken, excused = site_checks.check(site_checks.load(folder))
    for name, rows in (("broken", broken), ("excused", excused)):
        lines = "".join(json.dumps(row) + "\n" for row in rows)
        (folder / f"{name}.jsonl").write_text(lines)
    print(folder, f"{site.jobs} jobs", site_checks.counts(broken), flush=True)
    print(f"  longest gap of the harness: {site.longest_gap_s:.2f} s", flush=True)
    print("  excused:", site_checks.counts(excused), flush=True)
    return broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("seed", type=int)
    parser.add_argument("seconds", type=float)
    parser.add_argument("--entries", type=int, default=12)
    parser.add_argument("--workers", type=int, default=60)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--code", type=Path, default=ROOT)
    parser.add_argument(
        "--beside", type=Path, help="folder of a build that some processes run"
    )
    parser.add_argument("--label", default="now")
    parser.add_argument(
        "--logs", type=Path, default=Path(tempfile.gettempdir()) / "site-soak"
    )
    parser.add_argument("--faults", default="", help="names, separated by commas")
    parser.add_argument("--skip", default="", help="names of faults to leave out")
    return asyncio.run(play(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(bool(main()))
