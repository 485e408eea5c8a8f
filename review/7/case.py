"""The leader is killed while the registry holds an entry of an unknown service."""

import asyncio
import json
import signal
import sys
import time

from review.deployment import BOUNDS, Deployment, free_ports, main

RUNNERS = 8
JOBS = 12
FINISH_S = BOUNDS["finish_s"]
# By the rule, nothing of the job runs for this long.
IDLE_S = 3.0
TASK_S = 3.0


async def case(record, trouble):
    """Return how the rule was broken."""
    cell = Deployment(record)
    for index in range(RUNNERS):
        cell.add_runner(f"runner-{index}", task_s=TASK_S)
    # Nobody listens at its address, and no desired state names its service.
    odd = {
        "service": "nowhere",
        "address": f"127.0.0.1:{free_ports(1)[0]}",
        "zone": "z1",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
        "labels": ["a", "r1"],
        "born": int(time.time() * 1000),
        "seq": 1,
    }
    cell.put("servers/odd", json.dumps(odd).encode())
    async with cell.running():
        leader = cell.leader()
        others = [entry for entry in cell.entries if entry is not leader]
        step = {"count": 2, "cpu": 1000, "memMb": 256, "estRuntimeMs": 3000}
        jobs = []
        for index in range(JOBS):
            job_id = f"{index + 1:016x}"
            steps = [step, step | {"after": [0]}]
            if await cell.submit(others[index % len(others)], job_id, steps):
                jobs.append(job_id)
        if not jobs:
            raise RuntimeError("no job was accepted")
        ended_at = time.time()
        record.write("traffic ends")
        await asyncio.sleep(2.0)
        if trouble:
            record.write("leader killed", entry=leader.name)
            await leader.signal(signal.SIGKILL)
        await asyncio.sleep(FINISH_S - (time.time() - ended_at))
        broken = []
        asked_at = time.time()
        for job_id in jobs:
            state = await cell.state(others[0], job_id)
            spans = cell.runs_of(job_id)
            quiet_s = asked_at - max((end for _, end in spans), default=ended_at)
            if state in ("queued", "running") and quiet_s >= IDLE_S:
                broken.append(
                    f"LOST: {job_id} is {state} {asked_at - ended_at:.1f} s after the "
                    "end of the traffic, its second step may run, nothing of it has "
                    f"run for {quiet_s:.1f} s, and all {RUNNERS} runners are up and "
                    "empty"
                )
        return broken


if __name__ == "__main__":
    sys.exit(main(case, __file__))
