"""Soak test of real entry processes under external faults.

``python -m tests.soak FIRST COUNT`` runs seeds by hand. Faults overlap and follow each
other: broken proxy links, signals to processes, store errors, crashed workers and
changed configurations. The guarantees are checked against what callers and workers
observe.
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path

from flamingoway.store import Put
from standins.platform import WorkerStandin, config
from standins.proxy import Link, Proxy
from tests import invalid_records
from tests.platform_cell import SERVICE, Cell, Unreachable, call

ENTRY_COUNT = 4
WORKER_COUNT = 5
FAULT_S = 12.0
# Longer than the horizon of a leader, a lease and a takeover combined.
RECOVERY_S = 30.0
WORKER_CORES_MILLI = 16_000
SUBMIT_ATTEMPTS = 4
QUEUES = {"plans": "/p/", "sorts": "/s/"}
# First id of jobs that are not valid.
INVALID_ID = 0xBAD0 << 48
FAULTS = {}


def fault(function):
    """Register a fault under its name; the fault lasts until its coroutine ends."""
    FAULTS[function.__name__] = function
    return function


@dataclass
class Submitted:
    """A job as seen by its caller.

    Attributes:
        accepted: Whether an attempt succeeded.
        refused: Whether every attempt was refused.
        shown: States returned to the caller, in order.
    """

    path: str
    body: dict
    accepted: bool = False
    refused: bool = False
    shown: list = field(default_factory=list)


class Ledger:
    """Records where tasks ran, and violations of the guarantees.

    Attributes:
        broken: The violations. Name used by the two-build check.
        trace: What the workers reported and which faults began, as JSON lines.
    """

    def __init__(self):
        self.broken = []
        self.trace = []
        self.jobs = {}
        self.running = {}
        self.done = set()

    def write(self, event, **fields):
        row = {"at": round(time.time(), 3), "event": event} | fields
        self.trace.append(json.dumps(row).encode())

    def observe(self, kind, task, worker):
        worker_id, born_ms = worker.worker_id, worker.born_ms
        self.write("observed", kind=kind, task=task, worker=worker_id, born_ms=born_ms)
        if kind != "start":
            self.running.get(task, {}).pop(worker.worker_id, None)
            if kind == "done":
                self.done.update(self.completed_with(task))
            return
        job_id, _, number, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None:
            self.broken.append(f"UNASKED {task}")
            return
        places = self.running.setdefault(task, {})
        step = job.body["steps"][int(number)]
        if places:
            self.broken.append(f"TWICE {task} on {worker.worker_id} and {places}")
        places[worker.worker_id] = step["cpu"]
        for before in step.get("after", ()):
            wide = range(job.body["steps"][before]["count"])
            if any(f"{job_id}.0.{before}.{i}" not in self.done for i in wide):
                self.broken.append(f"ORDER {task}")
        used = sum(p.get(worker.worker_id, 0) for p in self.running.values())
        if used > WORKER_CORES_MILLI:
            self.broken.append(f"LIMIT {worker.worker_id} has {used}")

    def completed_with(self, task):
        """Return the tasks that are done once ``task`` is: a gang ends as a whole."""
        job_id, _, number, _ = task.split(".")
        step = self.jobs[job_id].body["steps"][int(number)]
        gang_indexes = range(step["count"]) if step.get("gang") else ()
        return {task} | {f"{job_id}.0.{number}.{index}" for index in gang_indexes}

    def tasks_of(self, job_id):
        steps = self.jobs[job_id].body["steps"]
        return [
            f"{job_id}.0.{number}.{index}"
            for number, step in enumerate(steps)
            for index in range(step["count"])
        ]


class Soak(Cell):
    """A cell behind proxies, with callers and fault injection."""

    def __init__(self, folder, stack, seed):
        super().__init__(folder, stack)
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.version = 1
        self.store_links = []
        self.worker_links = []
        self.workers = [
            WorkerStandin(
                f"w{index}",
                task_s=0.2 + 0.2 * index,
                clock_rate=0.98 if index % 2 else 1.0,
                observe=self.ledger.observe,
            )
            for index in range(WORKER_COUNT)
        ]

    async def reach_store(self, address):
        proxy = Proxy(address)
        self.store_links.append(proxy)
        return await self.stack.enter_async_context(proxy.listen())

    async def reach_worker(self, address):
        proxy = Proxy(address)
        self.worker_links.append(proxy)
        return await self.stack.enter_async_context(proxy.listen())

    # Callers

    def random_job(self):
        rng = self.rng
        steps = [{"count": rng.randint(1, 4), "cpu": rng.choice([1000, 4000, 7000])}]
        if rng.random() < 0.3:
            steps.append({"count": rng.randint(1, 3), "cpu": 2000, "after": [0]})
        if rng.random() < 0.2:
            steps[0]["gang"] = True
        return {"spec": "x", "steps": [{"estRuntimeMs": 500} | s for s in steps]}

    async def submit(self, job_id):
        prefix = self.rng.choice(list(QUEUES.values()))
        job = Submitted(prefix + job_id, self.random_job())
        self.ledger.jobs[job_id] = job
        answers = []
        for _ in range(SUBMIT_ATTEMPTS):
            entry = self.rng.choice(self.entries)
            answer = await call("POST", job.path, entry.front, job.body)
            answers.append(answer.code)
            if answer.code == 200:
                job.accepted = True
                return
            await asyncio.sleep(0.3)
        # A request may have arrived although its connection was refused or broken.
        job.refused = all(code in (429, 503) for code in answers)

    async def poll(self, job):
        """Poll the state of a job until it is completed, at most ``RECOVERY_S``."""
        until = time.monotonic() + RECOVERY_S
        while time.monotonic() < until:
            entry = self.rng.choice(self.entries)
            answer = await call("GET", job.path, entry.front)
            if answer is not Unreachable and answer.code == 200:
                job.shown.append(json.loads(answer.body)["state"])
                if job.shown[-1] == "completed":
                    return
            await asyncio.sleep(0.4)

    async def submit_jobs(self, seconds):
        calls = []
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            number += 1
            calls.append(asyncio.create_task(self.submit(f"{number:016x}")))
            await asyncio.sleep(self.rng.expovariate(12.0))
        await asyncio.gather(*calls)

    # Faults

    async def inject_faults(self, names):
        until = time.monotonic() + FAULT_S
        running = []
        while time.monotonic() < until:
            name = self.rng.choice(names)
            self.ledger.write("fault", name=name)
            running.append(asyncio.create_task(FAULTS[name](self)))
            await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        await asyncio.gather(*running)

    def clear_faults(self):
        for proxy in self.store_links + self.worker_links:
            proxy.link, proxy.delay_s = Link.OPEN, 0.0
        self.standin.faults.status = 0
        self.standin.faults.silent = False
        self.standin.faults.lost_answers = 0

    def check(self):
        ledger = self.ledger
        for job_id, job in ledger.jobs.items():
            tasks = ledger.tasks_of(job_id)
            done = [task in ledger.done for task in tasks]
            if job.accepted and (not all(done) or job.shown[-1:] != ["completed"]):
                ledger.broken.append(f"LOST {job_id}: {sum(done)} of {len(done)} done")
            if job.refused and any(task in ledger.running for task in tasks):
                ledger.broken.append(f"REFUSED {job_id} ran")
            if "completed" in job.shown and not all(done):
                ledger.broken.append(f"MIXED {job_id} is shown as completed")
        return ledger.broken


async def restart(entry, number, pause_s=0.0):
    """Restart a process, unless another fault is restarting it."""
    if entry.restarting.locked():
        return
    async with entry.restarting:
        await entry.stop(number)
        await asyncio.sleep(pause_s)
        await entry.start()


@fault
async def kill(soak):
    entry = soak.rng.choice(soak.entries)
    await restart(entry, signal.SIGKILL, soak.rng.uniform(0, 2))


@fault
async def kill_leader(soak):
    entry = soak.leader()
    if entry is not None:
        await restart(entry, signal.SIGKILL)


@fault
async def kill_all(soak):
    await asyncio.gather(*(restart(e, signal.SIGKILL, 0.3) for e in soak.entries))


@fault
async def terminate(soak):
    await restart(soak.rng.choice(soak.entries), signal.SIGTERM)


@fault
async def pause(soak):
    entry = soak.leader() if soak.rng.random() < 0.5 else None
    entry = entry or soak.rng.choice(soak.entries)
    if entry.process.returncode is None:
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(soak.rng.uniform(0.5, 4))
        if entry.process.returncode is None:
            entry.process.send_signal(signal.SIGCONT)


@fault
async def reload(soak):
    entry = soak.rng.choice(soak.entries)
    if entry.process.returncode is None:
        entry.process.send_signal(signal.SIGHUP)


@fault
async def cut_store(soak):
    proxies = soak.rng.sample(soak.store_links, soak.rng.randint(1, ENTRY_COUNT))
    link = soak.rng.choice([Link.SILENT, Link.NO_ANSWERS, Link.REFUSE])
    for proxy in proxies:
        proxy.link = link
        if link is Link.REFUSE:
            proxy.reset()
    await asyncio.sleep(soak.rng.uniform(0.5, 4))
    for proxy in proxies:
        proxy.link = Link.OPEN
        # A connection that lost bytes never answers again.
        proxy.reset()


@fault
async def slow_store(soak):
    for proxy in soak.store_links:
        proxy.delay_s = 0.12
    await asyncio.sleep(soak.rng.uniform(1, 4))
    for proxy in soak.store_links:
        proxy.delay_s = 0.0


@fault
async def refuse_in_store(soak):
    soak.standin.faults.status = soak.rng.choice([429, 503])
    await asyncio.sleep(soak.rng.uniform(0.5, 3))
    soak.standin.faults.status = 0


@fault
async def lose_answers(soak):
    soak.standin.faults.lost_answers = soak.rng.randint(1, 6)


@fault
async def cut_worker(soak):
    proxy = soak.rng.choice(soak.worker_links)
    proxy.link = soak.rng.choice([Link.SILENT, Link.NO_ANSWERS, Link.REFUSE])
    await asyncio.sleep(soak.rng.uniform(0.5, 8))
    proxy.link = Link.OPEN
    proxy.reset()


@fault
async def reset_worker(soak):
    soak.rng.choice(soak.worker_links).reset()


@fault
async def crash_worker(soak):
    worker = soak.rng.choice(soak.workers)
    worker.crash()
    await soak.register(worker)


@fault
async def configure(soak):
    for _ in range(soak.rng.randint(1, 4)):
        soak.version += 1
        value = config(soak.version, SERVICE, QUEUES)
        await soak.operator.txn([], [Put("op/config", value)])
        await asyncio.sleep(0.2)


@fault
async def write_invalid_records(soak):
    """Write invalid entries beside those of workers and processes, and over one."""
    entries = list(invalid_records.worker_entries(SERVICE).values())
    for number in range(soak.rng.randint(1, 6)):
        key = soak.rng.choice(
            [f"servers/invalid{number}", f"fw/member/invalid{number}"]
        )
        value = soak.rng.choice(entries)
        await soak.operator.txn([], [Put(key, value)])
        await asyncio.sleep(soak.rng.uniform(0, 0.3))
    worker = soak.rng.choice(soak.workers)
    key = f"servers/{worker.worker_id}"
    await soak.operator.txn([], [Put(key, soak.rng.choice(entries))])
    await asyncio.sleep(soak.rng.uniform(0, 2))
    await soak.register(worker)


@fault
async def submit_invalid_jobs(soak):
    for number, (name, body) in enumerate(invalid_records.job_bodies().items()):
        path = f"/p/{INVALID_ID + number:016x}"
        answer = await call("POST", path, soak.rng.choice(soak.entries).front, body)
        if answer.code == 200:
            soak.ledger.broken.append(f"LIMITS {name} was accepted")


def unexpected(logs):
    """Return output of processes outside their decision log, such as tracebacks."""
    lines = [line for log in logs for line in log.splitlines()]
    return [f"OUTPUT {line[:200]!r}" for line in lines if not line.startswith(b"{")]


async def play(seed, names=None):
    """Run one seed. Name used by the two-build check.

    Args:
        seed: Seed of all random choices.
        names: Names of the faults to draw from; all by default.

    Returns:
        The violations, the log of each process and the number of accepted jobs.
    """
    names = names or sorted(FAULTS)
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            soak = Soak(Path(folder), stack, seed)
            await soak.begin(ENTRY_COUNT)
            calls = asyncio.create_task(soak.submit_jobs(FAULT_S + 2))
            await soak.inject_faults(names)
            soak.clear_faults()
            await calls
            accepted = [job for job in soak.ledger.jobs.values() if job.accepted]
            await asyncio.gather(*(soak.poll(job) for job in accepted))
            violations = soak.check()
            lines = [entry.log.read_bytes() for entry in soak.entries]
            violations += unexpected(lines)
            lines.append(b"\n".join(soak.ledger.trace) + b"\n")
            if violations:
                keep_logs(seed, lines)
            return violations, lines, len(accepted)


def keep_logs(seed, lines):
    """Write the logs of a failed run and its trace to the temporary folder."""
    moment = time.strftime("%H%M%S")
    path = Path(tempfile.gettempdir()) / f"soak-{seed}-{moment}.log"
    path.write_bytes(b"".join(lines))
    print(f"logs of seed {seed}: {path}", flush=True)


def main(first, count):
    failed = 0
    for seed in range(first, first + count):
        violations, lines, accepted = asyncio.run(play(seed))
        print(
            seed,
            f"{accepted} jobs accepted",
            violations[:5] or "kept",
            flush=True,
        )
        if violations:
            failed += 1
    return failed


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
