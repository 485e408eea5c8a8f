"""More than 500 runs end on one runner while the leading process is replaced."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rules import Runs  # noqa: E402
from world import CannotRun, World, run_case  # noqa: E402

JOBS = 15
WIDTH = 60
TASK_S = 4.0
STEP = {"count": WIDTH, "cpu": 17, "memMb": 64, "estRuntimeMs": 4000}


async def case(record, trouble):
    runs = Runs(record)
    world = World(record, lambda task, run: (TASK_S, "done"), runs.observe)
    async with world:
        world.configure({"plans": {"prefix": "/plans/"}})
        await world.wait_ready()
        await asyncio.sleep(3.0)
        leader = world.leader()
        ids = [f"5c0e7a21d94b{index:04x}" for index in range(JOBS)]
        job = {"spec": "x", "steps": [STEP]}
        for count, job_id in enumerate(ids, 1):
            await world.submit(f"/plans/{job_id}", job)
            await until(lambda: len(runs.starts) >= count * WIDTH, 5.0)  # noqa: B023
        await until(lambda: runs.ends, 10.0)
        if trouble:
            record.write("kill", node=leader.name)
            await leader.end()
            await asyncio.sleep(1.0)
            await leader.start()
        others = [entry for entry in world.entries if entry is not leader]
        for job_id in ids:
            await completed(world, others[0], f"/plans/{job_id}")
        await asyncio.sleep(6.0)
    return runs.twice()


async def until(condition, within_s):
    end = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRun("the jobs did not start or end in time")
        await asyncio.sleep(0.01)


async def completed(world, entry, path):
    for _ in range(60):
        status, data = await world.request(entry, "GET", path)
        if status == 200 and "completed" in data:
            return
        await asyncio.sleep(0.5)
    raise CannotRun(f"{path} was not completed")


run_case(case, FOLDER)
