"""A lasting task restarts over 1,000 times; then the leading process is stopped."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rules import Runs  # noqa: E402
from world import CannotRun, World, run_case  # noqa: E402

JOB = "5c0e7a21d94b0001"
STEP = {
    "count": 1,
    "cpu": 500,
    "memMb": 512,
    "estRuntimeMs": 1000,
    "longRunning": True,
}
RUNS = 1300
RUN_S = 0.02
# The rule allows 3 s from 6 s after the last run, if these and the 4 s before are calm.
IDLE_S = 6.0 + 3.0 + 4.0
WATCHED_S = 25.0


async def case(record, trouble):
    runs = Runs(record)
    world = World(record, lambda task, run: (RUN_S, "done"), runs.observe)
    async with world:
        world.configure({"plans": {"prefix": "/plans/"}})
        await world.wait_ready()
        await asyncio.sleep(3.0)
        await world.submit(f"/plans/{JOB}", {"spec": "x", "steps": [STEP]})
        end = time.monotonic() + 70.0
        while len(runs.starts) < RUNS:
            if time.monotonic() > end:
                raise CannotRun(f"the task was started only {len(runs.starts)} times")
            await asyncio.sleep(0.1)
        leader = world.leader()
        if trouble:
            record.write("SIGTERM", node=leader.name)
            await leader.end(signal.SIGTERM)
            await leader.start()
            record.write("started", node=leader.name)
        since = time.monotonic()
        await asyncio.sleep(WATCHED_S)
        until = time.monotonic()
        for entry in world.entries:
            await world.request(entry, "GET", f"/plans/{JOB}")
    times = [since, *(at for at, *_ in runs.starts if at > since), until]
    gap = max(later - at for at, later in zip(times, times[1:], strict=False))
    if gap <= IDLE_S:
        return []
    return [
        f"LOST {JOB}: the lasting task has nothing running for {gap:.1f} s on an idle "
        f"service; highest run so far {max(run for _, _, run, _ in runs.starts)}"
    ]


run_case(case, FOLDER)
