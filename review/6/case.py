"""Idle runners crash, two at a time, and start again under the ids that they had."""

import asyncio
import sys
import time

from review.deployment import BOUNDS, Deployment, main

RUNNERS = 16
# The largest share of the site is 0.14 of the runners, and the longest crash 4.5 s.
CRASHED_AT_ONCE = 2
DOWN_S = 4.5
FINISH_S = BOUNDS["finish_s"]
# By the rule, nothing of the job has run for this long.
IDLE_S = 3.0


async def case(record, trouble):
    """Return how the rule was broken."""
    cell = Deployment(record)
    for index in range(RUNNERS):
        cell.add_runner(f"runner-{index}", rack=f"r{index}")
    runners = list(cell.runners.values())
    async with cell.running():
        for first in range(0, RUNNERS, CRASHED_AT_ONCE):
            if trouble:
                pair = runners[first : first + CRASHED_AT_ONCE]
                await asyncio.gather(*(crash(runner) for runner in pair))
            # The next ones crash at another moment of their heartbeats.
            await asyncio.sleep(0.7)
        # Longer than contactMs after the last runner is back.
        await asyncio.sleep(5.0)
        jobs = {}
        for index, runner in enumerate(runners):
            step = {"count": 1, "cpu": 1000, "memMb": 256, "estRuntimeMs": 100}
            job_id = f"{index + 1:016x}"
            entry = cell.entries[index % len(cell.entries)]
            if await cell.submit(entry, job_id, [step | {"constraints": runner.rack}]):
                jobs[job_id] = runner
        if not jobs:
            raise RuntimeError("no job was accepted")
        ended_at = time.time()
        record.write("traffic ends")
        await asyncio.sleep(FINISH_S + IDLE_S)
        broken = []
        for job_id, runner in jobs.items():
            state = await cell.state(cell.entries[0], job_id)
            if not cell.runs_of(job_id):
                waited_s = time.time() - ended_at
                broken.append(
                    f"LOST: {job_id} is accepted and {state} {waited_s:.1f} s after "
                    "the end of the traffic, no task has started, and "
                    f"{runner.worker_id} of its rack is up, ready and empty"
                )
        return broken


async def crash(runner):
    """Crash a runner; it comes back under its id."""
    await runner.kill()
    await asyncio.sleep(DOWN_S)
    runner.begin_again()


if __name__ == "__main__":
    sys.exit(main(case, __file__))
