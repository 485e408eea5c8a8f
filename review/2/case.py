"""A route is removed; later the leading process is stopped as in a rolling restart."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rules import Runs, idle_spans  # noqa: E402
from world import CannotRun, World, run_case  # noqa: E402

# Two steps of four tasks; the second one's turn comes after the restart.
PLAN = "5c0e7a21d94b0001"
STEP = {"count": 4, "cpu": 1000, "memMb": 512, "estRuntimeMs": 6000}
# One step of two tasks; the first run of the first task fails, after the restart.
SORT = "5c0e7a21d94b0002"
SORT_STEP = {"count": 2, "cpu": 1000, "memMb": 512, "estRuntimeMs": 12000}
MAX_ATTEMPTS = 4
PLANS, CHECKS = {"prefix": "/plans/"}, {"prefix": "/checks/"}
# The rule allows 3 s, if these and the 4 s before are calm; finish_s is 14 s.
IDLE_S = 3.0 + 4.0
FINISH_S = 14.0


def work(task, run):
    """Return how long a run takes and how it ends."""
    if task.startswith(PLAN):
        return 6.0, "done"
    if task == f"{SORT}.0.0.0" and run == 1:
        return 12.0, "failed"
    return 12.0, "done"


async def case(record, trouble):
    runs = Runs(record)
    world = World(record, work, runs.observe)
    async with world:
        world.configure({"plans": PLANS, "checks": CHECKS})
        await world.wait_ready()
        await asyncio.sleep(3.0)
        leader = world.leader()
        steps = [STEP, STEP | {"after": [0]}]
        await world.submit(f"/plans/{PLAN}", {"spec": "x", "steps": steps})
        await world.submit(f"/plans/{SORT}", {"spec": "y", "steps": [SORT_STEP]})
        await asyncio.sleep(1.0)
        world.configure({"checks": CHECKS})
        await asyncio.sleep(2.5)
        if trouble:
            record.write("SIGTERM", node=leader.name)
            await leader.end(signal.SIGTERM)
            await leader.start()
        # The last task that can be due ends 30 s after the jobs were handed in.
        await asyncio.sleep(27.0 + FINISH_S)
        broken = idle(runs, time.monotonic())
        world.configure({"plans": PLANS, "checks": CHECKS})
        await asyncio.sleep(2.5)
        for entry in world.entries:
            status, data = await world.request(entry, "GET", f"/plans/{SORT}")
            failed = sum(
                t.startswith(SORT) for _, t, *_, h in runs.ends if h == "failed"
            )
            if status == 200 and "failed" in data and failed < MAX_ATTEMPTS:
                broken.append(
                    f"LOST {SORT}: shown as failed by {entry.name} after {failed} "
                    f"failed run of a task; maxAttempts is {MAX_ATTEMPTS}"
                )
            elif status != 200 or "completed" not in data:
                raise CannotRun(f"{SORT} is shown as {status} {data}")
    return broken


def idle(runs, until):
    """Return violations of LOST: nothing of the plan runs although its turn came."""
    starts = [row for row in runs.starts if row[1].startswith(PLAN)]
    if len(starts) < 4:
        raise CannotRun("the first step did not start")
    ends = [row for row in runs.ends if row[1].startswith(PLAN)]
    done = {task for _, task, _, _, how in ends if how == "done"}
    if len(done) == 8:
        until = max(at for at, *_ in ends)
    return [
        f"LOST {PLAN}: accepted, not cancelled, {len(done)} of 8 tasks done, "
        f"nothing running for {span:.1f} s on an idle service"
        for span in idle_spans(runs, PLAN, starts[0][0], until)
        if span > IDLE_S
    ]


run_case(case, FOLDER)
