"""Check times through real processes during floods of sorts and of checks.

Run ``python -m benchmarks.process_flood [--json] [--seconds N]``. Three entry
processes serve one deployment. One run measures, without and with a flood, the 99th
percentile of check times while inventory sorts are submitted at ten times their
ordinary rate, and the part of one member's checks that is answered while another
member sends ten times as many.
"""

import argparse
import asyncio
import gc
import json
import sys
import time
from contextlib import AsyncExitStack, contextmanager
from dataclasses import asdict, dataclass

import numpy as np

from standins.cluster import Cluster, running_cluster
from standins.demo import promote

from .load import http_pool, run_at_rate

ENTRIES = 3
CHECKS_PER_S = 60.0
SORTS_PER_S = 5.0
FLOOD_FACTOR = 10
SERVICE_MS = 20
ENVIRONMENT = "kerbihan-production"
MEMBER = "agency-quimper"
FLOODING_MEMBER = "agency-brest"


@dataclass(frozen=True, slots=True)
class Figures:
    """Check times and answers of one phase.

    Attributes:
        kept: Part of the member's checks that were answered with 200.
    """

    p50_ms: float
    p99_ms: float
    kept: float


@contextmanager
def served_cell():
    """Yield a cell with a document in effect."""
    with running_cluster("kerbihan") as cluster:
        for index in range(ENTRIES):
            cluster.start_entry(cluster.deployments[0], index)
        cluster.wait_ready()
        promote(cluster, cluster.entries, cluster.deployments[0])
        yield cluster


async def measure(cluster: Cluster, seconds: float) -> dict[str, Figures]:
    """Return the figures of each phase."""
    async with AsyncExitStack() as stack:
        pools = {
            member: [
                await stack.enter_async_context(
                    http_pool(entry.http_port, f"key-{member}")
                )
                for entry in cluster.entries
            ]
            for member in (MEMBER, FLOODING_MEMBER)
        }
        checks = CheckLoad(pools[MEMBER])
        flood = CheckLoad(pools[FLOODING_MEMBER])
        rate = CHECKS_PER_S * FLOOD_FACTOR
        phases = {
            "checks alone": None,
            "ordinary sorts": lambda: sorts(
                pools[FLOODING_MEMBER], SORTS_PER_S, seconds
            ),
            "flood of sorts": lambda: sorts(
                pools[FLOODING_MEMBER], SORTS_PER_S * FLOOD_FACTOR, seconds
            ),
            "flood of checks": lambda: flood.run(rate, seconds),
            "after the floods": None,
        }
        figures = {}
        for name, load in phases.items():
            background = asyncio.create_task(load()) if load else None
            figures[name] = await checks.run(CHECKS_PER_S, seconds)
            if background:
                await background
        return figures


class CheckLoad:
    """Sends checks through all entry processes in turn."""

    def __init__(self, pools: list):
        self._pools = pools

    async def run(self, rate: float, seconds: float) -> Figures:
        """Send checks at a rate; times include the wait for a free connection."""
        times: list[float] = []
        answered = 0

        async def check(index: int) -> None:
            nonlocal answered
            began = time.monotonic()
            pool = self._pools[index % len(self._pools)]
            path = f"/v1/{ENVIRONMENT}/checks/slot-check"
            answer = await pool.send("POST", path, {"service_ms": SERVICE_MS})
            if answer.status == 200:
                answered += 1
                times.append((time.monotonic() - began) * 1000)

        await run_at_rate(rate, seconds, check)
        p50, p99 = np.percentile(times, [50, 99])
        return Figures(round(p50, 1), round(p99, 1), answered / round(rate * seconds))


async def sorts(pools: list, rate: float, seconds: float) -> None:
    """Submit inventory sorts at a rate."""

    async def submit(index: int) -> None:
        body = {"kind": "inventory-sort", "params": {"run_ms": 2000}}
        path = f"/v1/{ENVIRONMENT}/jobs"
        await pools[index % len(pools)].send("POST", path, body)

    await run_at_rate(rate, seconds, submit)


def main() -> int:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seconds", type=float, default=15.0)
    arguments = parser.parse_args()
    with served_cell() as cluster:
        # Collections of the load generator stalled it for up to 0.26 s, which the
        # check times would include.
        gc.disable()
        figures = asyncio.run(measure(cluster, arguments.seconds))
    if arguments.json:
        print(json.dumps({name: asdict(value) for name, value in figures.items()}))
        return 0
    for name, value in figures.items():
        print(
            f"{name:18} p50 {value.p50_ms:6.1f} ms  p99 {value.p99_ms:6.1f} ms", end=""
        )
        print(f"  kept {value.kept:.3f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
