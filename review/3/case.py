"""One job of many small tasks is handed in beside the usual small jobs."""

import asyncio
import resource
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rules import Runs  # noqa: E402
from world import CannotRun, World, run_case  # noqa: E402

WIDE = "5c0e7a21d94b0001"
WIDTH = 6000
WIDE_STEP = {"count": WIDTH, "cpu": 50, "memMb": 64, "estRuntimeMs": 2000}
CHECK_STEP = {"count": 2, "cpu": 1400, "memMb": 4000, "estRuntimeMs": 640}
CHECKS = 45
PLANS, SLOTS = {"prefix": "/plans/"}, {"prefix": "/slots/", "priority": 0}
# The rule allows 3 s, if these and the 4 s before are calm.
IDLE_S = 3.0
CALM_S = 4.0
CAPACITY = 24 * 16000
CPU = {WIDE: WIDE_STEP["cpu"]}


def work(task, run):
    """Return how long a run takes and how it ends."""
    return (2.0, "done") if task.startswith(WIDE) else (0.64, "done")


async def case(record, trouble):
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    runs = Runs(record)
    world = World(record, work, runs.observe)
    accepted, leaders = {}, []
    async with world:
        world.configure({"plans": PLANS, "slots": SLOTS})
        await world.wait_ready()
        await asyncio.sleep(3.0)
        if trouble:
            await world.submit(f"/plans/{WIDE}", {"spec": "x", "steps": [WIDE_STEP]})
        calm_from = time.monotonic() + CALM_S
        for index in range(CHECKS):
            job_id = f"5c0e7a21d94c{index:04x}"
            job = {"spec": "y", "steps": [CHECK_STEP]}
            entry = world.entries[index % 3]
            status, _ = await world.request(entry, "POST", f"/slots/{job_id}", job)
            if status == 200:
                accepted[job_id] = time.monotonic()
            leader = world.leader()
            leaders.append(leader.name if leader else "none")
            await asyncio.sleep(1.0)
        await asyncio.sleep(4.0)
        record.write("leaders", seen=leaders)
    if len(accepted) < CHECKS / 2:
        raise CannotRun("most of the small jobs were not accepted")
    return idle_jobs(runs, accepted, calm_from, time.monotonic())


def idle_jobs(runs, accepted, calm_from, until):
    """Return violations of LOST: small jobs with nothing running on an idle service."""
    starts = sorted((at, task.partition(".")[0]) for at, task, *_ in runs.starts)
    first = {}
    for at, job_id in starts:
        first.setdefault(job_id, at)
    changes = [(at, CPU.get(job_id, CHECK_STEP["cpu"])) for at, job_id in starts]
    for at, task, *_ in runs.ends:
        changes.append((at, -CPU.get(task.partition(".")[0], CHECK_STEP["cpu"])))
    changes.sort()
    broken = []
    for job_id, since in accepted.items():
        to = first.get(job_id, until)
        if idle_span(changes, max(since, calm_from), to) > IDLE_S:
            state = "started" if job_id in first else "never started"
            broken.append(
                f"LOST {job_id}: nothing running for {to - since:.1f} s after its "
                f"acceptance, {state}, with under half of the service in use"
            )
    return broken


def idle_span(changes, since, to):
    """Return the longest time with under half of the service in use."""
    if to <= since:
        return 0.0
    used, began, longest = 0, since, 0.0
    for at, change in changes:
        if at > to:
            break
        before, used = used, used + change
        if before * 2 < CAPACITY <= used * 2 and at > since:
            longest = max(longest, at - began)
        if used * 2 < CAPACITY <= before * 2:
            began = max(at, since)
    if used * 2 < CAPACITY:
        longest = max(longest, to - began)
    return longest


run_case(case, FOLDER)
