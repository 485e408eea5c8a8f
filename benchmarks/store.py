"""Processor time of the etcd adapter per call, on the client side.

``python benchmarks/store.py [--json] [--repeat N]`` starts the store stand-in as a
child process and measures this process's own processor time (all threads):

- ``alone``: calls one after the other, as fast as answers come;
- ``parallel``: 16 callers at once;
- ``paced``: 50 calls a second, which is closer to use in operation; the cost of the
  same pacing without calls is subtracted.

Reported are the medians over the repetitions, with the smallest and largest.
"""

import argparse
import asyncio
import itertools
import json
import statistics
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from flamingoway.errors import StoreUnavailable  # noqa: E402
from flamingoway.store import Compare, Put  # noqa: E402
from flamingoway.store.etcd import EtcdStore  # noqa: E402

ALONE_CALLS = 800
PARALLEL_CALLERS = 16
PACED_CALLS_PER_S = 50
PACED_DURATION_S = 2
WARM_UP_CALLS = 300
REPETITIONS = 5
# Rate limit of the stand-in, high enough not to affect the measurement.
UNLIMITED = 1_000_000
START_TIMEOUT_S = 10.0
LEASE_TTL_S = 600
GROUP_BYTES = {"1 KiB": 1024, "64 KiB": 65_536}

Call = Callable[[], Awaitable]


@contextmanager
def store_stand_in():
    """Start the store stand-in; yield its address and stop it at the end."""
    options = ["--port=0", f"--writes={UNLIMITED}", f"--reads={UNLIMITED}"]
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.store", *options],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield process.stdout.readline().split()[-1]
    finally:
        process.terminate()
        process.wait()


@asynccontextmanager
async def connected(address: str):
    """Yield a connected adapter."""
    store = EtcdStore(address, timeout_s=5.0)
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            await store.get("none")
            break
        except StoreUnavailable:
            if time.monotonic() > deadline:
                raise
            await asyncio.sleep(0.1)
    try:
        yield store
    finally:
        await store.close()


async def make_calls(store: EtcdStore) -> dict[str, Call]:
    """Return the measured calls by name."""
    lease = await store.grant_lease(LEASE_TTL_S)
    await store.txn([], [Put("epoch", b"e")])
    revision = (await store.get("epoch")).mod_revision
    calls = {
        "get": lambda: store.get("epoch"),
        "keep_alive": lambda: store.keep_alive(lease),
    }
    sequence = itertools.count()
    for label, size in GROUP_BYTES.items():
        calls[f"txn {label}"] = _commit(store, revision, sequence, b"x" * size)
    return calls


def _commit(store: EtcdStore, revision: int, sequence, value: bytes) -> Call:
    # The transaction of a group commit. The keys repeat after 100 calls to bound the
    # memory of the store.
    async def commit():
        key = f"log/{next(sequence) % 100:016d}"
        await store.txn(
            [Compare("epoch", "mod_revision", revision)], [Put(key, value)], [key]
        )

    return commit


async def alone(call: Call) -> dict[str, float]:
    """Measure calls one after the other."""
    latencies = []
    start = time.process_time()
    for _ in range(ALONE_CALLS):
        sent = time.perf_counter()
        await call()
        latencies.append(time.perf_counter() - sent)
    used = time.process_time() - start
    return {
        "cpu_us": used / ALONE_CALLS * 1e6,
        "wait_us": statistics.median(latencies) * 1e6,
    }


async def parallel(call: Call) -> dict[str, float]:
    """Measure calls of several callers at once."""

    async def caller():
        for _ in range(ALONE_CALLS // PARALLEL_CALLERS):
            await call()

    start = time.process_time()
    await asyncio.gather(*(caller() for _ in range(PARALLEL_CALLERS)))
    count = ALONE_CALLS // PARALLEL_CALLERS * PARALLEL_CALLERS
    return {"cpu_us": (time.process_time() - start) / count * 1e6}


async def paced(call: Call) -> dict[str, float]:
    """Measure calls at a fixed rate, less the cost of the pacing."""
    with_calls = await _pace(call)
    without = await _pace(lambda: asyncio.sleep(0))
    count = PACED_CALLS_PER_S * PACED_DURATION_S
    return {"cpu_us": (with_calls - without) / count * 1e6}


async def _pace(call: Call) -> float:
    start = time.process_time()
    for _ in range(PACED_CALLS_PER_S * PACED_DURATION_S):
        await asyncio.sleep(1 / PACED_CALLS_PER_S)
        await call()
    return time.process_time() - start


async def measure(address: str, repeat: int) -> dict:
    """Run every measurement ``repeat`` times, interleaved."""
    samples: dict[str, list[float]] = {}
    async with connected(address) as store:
        calls = await make_calls(store)
        for call in calls.values():
            for _ in range(WARM_UP_CALLS):
                await call()
        for _ in range(repeat):
            for name, call in calls.items():
                for mode in (alone, parallel, paced):
                    for unit, value in (await mode(call)).items():
                        key = f"{name} {mode.__name__} {unit}"
                        samples.setdefault(key, []).append(value)
    return {key: _summary(values) for key, values in samples.items()}


def _summary(values: list[float]) -> dict[str, float]:
    return {
        "median": round(statistics.median(values), 1),
        "min": round(min(values), 1),
        "max": round(max(values), 1),
    }


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--repeat", type=int, default=REPETITIONS)
    options = parser.parse_args()
    with store_stand_in() as address:
        result = asyncio.run(measure(address, options.repeat))
    if options.json:
        print(json.dumps(result, indent=2))
        return
    for key, summary in result.items():
        print(f"{key:34}" + "".join(f" {k} {v:8.1f}" for k, v in summary.items()))


if __name__ == "__main__":
    main()
