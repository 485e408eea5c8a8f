"""Directed scenarios on real processes for cancellations and unknown jobs.

``python -m tests.site_scenarios [--code FOLDER] [NAME ...]`` plays each scenario once
and prints what the checks of ``tests.site_checks`` find.
"""

import argparse
import asyncio
import json
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

from tests import site_checks
from tests.site_soak import DEADLINE_S, ROOT, Site, SiteStore, call

JOB_ID = "00000000000000{:02x}"
SCENARIOS = {}


def scenario(function):
    """Register a scenario under its name."""
    SCENARIOS[function.__name__] = function
    return function


class HookedStore(SiteStore):
    """Store with a hook before and after the handling of each call.

    Attributes:
        before: Coroutine called with caller, path and body.
        after: Called with caller and path once the answer is ready.
    """

    before = after = None
    waiting = None

    async def answer(self, caller, method, target, headers, data):
        if self.before:
            await self.before(caller, target, data)
        self.waiting = self.waiting or set()
        key = (caller, target.partition("prefix=")[2].partition("&")[0])
        self.waiting.add(key)
        try:
            return await super().answer(caller, method, target, headers, data)
        finally:
            self.waiting.discard(key)
            if self.after:
                self.after(caller, target)


class Stage(Site):
    """A small site on which one scenario is played."""

    def __init__(self, folder, stack, options):
        super().__init__(folder, stack, options)
        self.standin = self.store = HookedStore(self.rng)

    def follower(self):
        return next(e for e in self.entries if e is not self.leader())

    def job(self, number, then=(), **step):
        """Record a job of one long step, and others; return its id, path and body."""
        job_id = JOB_ID.format(number)
        step = {"count": 2, "cpu": 1000, "estRuntimeMs": 12_000, "ms": 12_000} | step
        steps = [step, *then]
        spec = json.dumps({"id": job_id, "steps": steps})
        path = "/via/" + job_id
        self.record.write("submit", job=job_id, path=path, spec=spec)
        return job_id, path, {"spec": spec, "steps": steps}

    async def post(self, job, entry, timeout_s=DEADLINE_S + 0.2):
        sent = time.monotonic()
        status, _ = await call("POST", entry.front, job[1], job[2], timeout_s)
        row = {"job": job[0], "status": status, "sent": sent, "at": entry.name}
        self.record.write("submitted", **row)
        return status

    async def delete(self, job, entries):
        self.record.write("cancel", job=job[0])
        for entry in entries:
            status, _ = await call("DELETE", entry.front, job[1])
            self.record.write("cancelled", job=job[0], status=status, at=entry.name)
            if status in (200, 410):
                return


@scenario
async def late_write(stage):
    """A job's write is applied 5.8 s late, after a cancellation was answered 410."""
    job, entry = stage.job(1), stage.follower()
    others = [e for e in stage.entries if e is not entry]

    async def delay(caller, target, data):
        if caller == entry.name and b"fw/job/" in data:
            await asyncio.sleep(5.8)

    stage.store.before = delay
    with stage.disturb("apply_late", ["core"]):
        post = asyncio.create_task(stage.post(job, entry, 0.3))
        await asyncio.sleep(0.4)
    await stage.delete(job, others)
    await post
    await asyncio.sleep(16)


@scenario
async def held_request(stage):
    """A process holds a request while it doesn't reach the store."""
    job, entry = stage.job(1), stage.follower()
    others = [e for e in stage.entries if e is not entry]

    async def refuse_relay(caller, target, data):
        if stage.store.modes and b"fw/job/" in data:
            await asyncio.sleep(10)

    stage.store.before = refuse_relay
    with stage.disturb("store_refuses_some", ["core"]):
        stage.store.modes = {entry.name: "503"}
        await asyncio.sleep(0.8)
        # The other processes are paused, so that the request can't be forwarded.
        for other in others:
            other.send(signal.SIGSTOP)
        post = asyncio.create_task(stage.post(job, entry))
        await asyncio.sleep(1.2)
        for other in others:
            other.send(signal.SIGCONT)
        await stage.delete(job, others)
        stage.store.modes, stage.store.before = {}, None
    await post
    await asyncio.sleep(16)


@scenario
async def paused_process(stage):
    """A paused process carries out a request after its caller has cancelled the job."""
    job, entry = stage.job(1), stage.follower()
    others = [e for e in stage.entries if e is not entry]
    with stage.disturb("pause", [entry.name]):
        entry.send(signal.SIGSTOP)
        post = asyncio.create_task(stage.post(job, entry, 1.0))
        await asyncio.sleep(1.1)
        await stage.delete(job, others)
        await asyncio.sleep(5.0)
        entry.send(signal.SIGCONT)
    await post
    await asyncio.sleep(16)


@scenario
async def repeated_request(stage):
    """The first request is lost, a cancellation is answered 410, a repeat arrives."""
    job, entry = stage.job(1), stage.follower()
    others = [e for e in stage.entries if e is not entry]
    with stage.disturb("kill", [entry.name]):
        entry.send(signal.SIGSTOP)
        await stage.post(job, entry, 0.3)
        await entry.restart(signal.SIGKILL)
    await stage.delete(job, others)
    await asyncio.sleep(4.5)
    await stage.post(job, others[0])
    await asyncio.sleep(16)


@scenario
async def silent_gap(stage):
    """A cancellation falls into a gap of the watches before the history is dropped."""
    for number in range(1, 4):
        job = stage.job(number)
        await stage.post(job, stage.entries[0])
        await asyncio.sleep(1.5)
        await stage.wait_leader()
        leader = stage.leader()
        with stage.disturb("history_dropped", ["core"]):
            stage.store.deaf = True
            await stage.delete(job, [stage.follower()])
            await asyncio.sleep(1.0)
            for _ in range(4000):
                if (leader.name, "fw%2F") not in stage.store.waiting:
                    break
                await asyncio.sleep(0.0005)
            busy = [k for k in stage.store.waiting if k[0] == leader.name]
            stage.record.write("gap", leader=leader.name, waiting=busy)
            stage.store.cut.set()
            stage.store.engine.compact()
            stage.store.deaf, stage.store.cut = False, asyncio.Event()
        await asyncio.sleep(11)


@scenario
async def old_answer(stage):
    """The leader resumes with an old answer of the store, which then is silent."""
    leader = stage.leader()
    others = [e for e in stage.entries if e is not leader]
    last = {"count": 1, "cpu": 100, "estRuntimeMs": 9000, "ms": 9000, "after": [0]}
    jobs = [
        stage.job(number + 1, then=[last], count=1, cpu=100, ms=2500 + 500 * number)
        for number in range(12)
    ]
    for job in jobs:
        await stage.post(job, others[0])
    await asyncio.sleep(0.4)
    paused = asyncio.Event()

    def pause(caller, target):
        if caller == leader.name and "prefix=fw" in target and not paused.is_set():
            leader.send(signal.SIGSTOP)
            paused.set()

    with stage.disturb("pause_leader", [leader.name]):
        stage.store.after = pause
        await paused.wait()
        await asyncio.gather(*(stage.delete(job, others) for job in jobs))
        # No other process takes over meanwhile.
        for other in others:
            other.send(signal.SIGSTOP)
        await asyncio.sleep(3)
        stage.store.modes = {leader.name: "silent"}
        leader.send(signal.SIGCONT)
        stage.record.write("resumed")
        await asyncio.sleep(7)
        stage.store.modes = {}
        for other in others:
            other.send(signal.SIGCONT)
    await asyncio.sleep(12)


@scenario
async def shorter_route(stage):
    """A request to a removed route begins with the prefix of another route."""
    stage.routes["extra"] = "/via/q"
    stage.configure()
    await asyncio.sleep(3)
    del stage.routes["extra"]
    stage.configure()
    for number, entry in enumerate(stage.entries):
        job = stage.job(number + 1, ms=500)
        job = (job[0], f"/via/q{job[0]}", job[2])
        await stage.post(job, entry)
        await asyncio.sleep(1)
    await asyncio.sleep(4)


async def play(name, options):
    """Play one scenario; returns the violations."""
    folder = options.logs / f"{options.label}-{name}-{time.strftime('%H%M%S')}"
    folder.mkdir(parents=True)
    async with AsyncExitStack() as stack:
        stage = Stage(folder, stack, options)
        await stage.begin(options.entries)
        # A process with more processor time takes over first.
        await asyncio.sleep(6)
        await stage.wait_leader()
        await SCENARIOS[name](stage)
        for task in list(stage.tasks):
            task.cancel()
        await asyncio.gather(*stage.tasks, return_exceptions=True)
    rows = site_checks.load(folder)
    broken, excused = site_checks.check(rows)
    codes = [r["status"] for r in rows if r["ev"] in ("submitted", "cancelled")]
    print(options.label, name, "answers", codes, "broken", flush=True, end=" ")
    print(
        site_checks.counts(broken), "excused", site_checks.counts(excused), flush=True
    )
    for row in broken + excused:
        print("   ", json.dumps(row), flush=True)
    return broken


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("names", nargs="*", default=list(SCENARIOS))
    parser.add_argument("--code", type=Path, default=ROOT)
    parser.add_argument("--label", default="now")
    parser.add_argument(
        "--logs", type=Path, default=Path(tempfile.gettempdir()) / "site-soak"
    )
    options = parser.parse_args()
    options.seed, options.entries, options.workers = 1, 3, 12
    options.beside = None
    return sum(len(asyncio.run(play(name, options))) for name in options.names)


if __name__ == "__main__":
    sys.exit(bool(main()))
