"""A step with a filler on each runner, after one runner was taken away."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rules import Runs, idle_spans  # noqa: E402
from world import World, run_case  # noqa: E402

JOB = "5c0e7a21d94b0001"
WIDTH = 24
# Fillers use idle processor time; these ask for no memory, so the field is omitted.
STEP = {
    "count": WIDTH,
    "cpu": 1000,
    "fills": True,
    "antiAffinity": 1,
    "estRuntimeMs": 2000,
}
TASK_S = 2.0
# The rule allows 3 s, if these and the 4 s before are calm; finish_s is 14 s.
IDLE_S = 3.0 + 4.0
FINISH_S = 14.0


async def case(record, trouble):
    runs = Runs(record)
    world = World(record, lambda task, run: (TASK_S, "done"), runs.observe)
    async with world:
        world.configure({"plans": {"prefix": "/plans/"}})
        await world.wait_ready()
        await asyncio.sleep(3.0)
        if trouble:
            await world.scale_in(world.workers[5])
        await world.submit(f"/plans/{JOB}", {"spec": "x", "steps": [STEP]})
        began = time.monotonic()
        await asyncio.sleep(2 * TASK_S + 2 * FINISH_S)
        done = {task for _, task, *_, how in runs.ends if how == "done"}
        for entry in world.entries:
            status, data = await world.request(entry, "GET", f"/plans/{JOB}")
        until = time.monotonic()
        if len(done) == WIDTH:
            until = max(at for at, *_ in runs.ends)
        return [
            f"LOST {JOB}: {len(done)} of {WIDTH} tasks done, nothing running for "
            f"{span:.1f} s on an idle service; shown as {status} {data}"
            for span in idle_spans(runs, JOB, began, until)
            if span > IDLE_S
        ]


run_case(case, FOLDER)
