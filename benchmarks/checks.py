"""Added latency of a check, and checks a second of one entry process on one core.

``python benchmarks/checks.py [--json] [--seed N]`` starts a target stand-in and an
entry process as child processes of the benchmark and measures:

- latency: calls to the target directly and through the entry process, one at a
  time and in random order in the same run, so that both see the same machine; the
  added latency is the difference of the two medians and of the two percentiles;
- rate: ``RATE_CALLERS`` callers keep the entry process busy; its processor time is
  read from ``/proc`` to give checks per second of processor time.
"""

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from request_path import (  # noqa: E402
    ENVIRONMENT,
    IP,
    Vm,
    check_request,
    entry,
    read_answer,
)

TARGET_PORT = 18910
TARGETS = 24
ENTRY_PORT = 18940
LATENCY_CALLS = 3000
WARM_UP_CALLS = 300
RATE_CALLERS = 32
RATE_SECONDS = 5.0
SERVICE_MS = 2
START_TIMEOUT_S = 10.0


async def serve_entry() -> None:
    """Run an entry process on ``ENTRY_PORT`` until it is terminated."""
    vms = [Vm(f"t{n}", IP, TARGET_PORT + n) for n in range(TARGETS)]
    async with entry(vms, port=ENTRY_PORT):
        await asyncio.Event().wait()


@contextmanager
def child_process(*arguments: str, port: int):
    """Start a child process and wait until its port answers; stop it at the end."""
    process = subprocess.Popen([sys.executable, *arguments], cwd=ROOT)
    try:
        asyncio.run(wait_for_port(port))
        yield process
    finally:
        process.terminate()
        process.wait()


async def wait_for_port(port: int) -> None:
    """Wait until something listens on ``port``."""
    end = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            _, writer = await asyncio.open_connection(IP, port)
        except OSError:
            if time.monotonic() > end:
                raise
            await asyncio.sleep(0.05)
            continue
        writer.close()
        return


class Caller:
    """One connection that sends checks one after another."""

    def __init__(self, port: int, request: bytes):
        self._port = port
        self._request = request

    async def open(self) -> None:
        """Connect."""
        streams = await asyncio.open_connection(IP, self._port)
        self._reader, self._writer = streams

    async def call(self) -> float:
        """Send a check; return its latency in seconds."""
        start = time.perf_counter()
        self._writer.write(self._request)
        status, _, body = await read_answer(self._reader)
        elapsed = time.perf_counter() - start
        if status != 200:
            raise RuntimeError(f"status {status}: {body!r}")
        return elapsed


async def measure_latency(rng: random.Random) -> dict:
    """Return latencies in milliseconds of direct and of routed calls."""
    body = {"service_ms": SERVICE_MS}
    direct = Caller(TARGET_PORT, check_request(body, path="/slot"))
    routed = Caller(ENTRY_PORT, check_request(body))
    samples: dict[Caller, list[float]] = {direct: [], routed: []}
    await direct.open()
    await routed.open()
    for number in range(WARM_UP_CALLS + LATENCY_CALLS):
        order = [direct, routed]
        rng.shuffle(order)
        for caller in order:
            elapsed = await caller.call()
            if number >= WARM_UP_CALLS:
                samples[caller].append(elapsed * 1000)
    median = {c: percentile(values, 0.5) for c, values in samples.items()}
    p99 = {c: percentile(values, 0.99) for c, values in samples.items()}
    return {
        "calls": LATENCY_CALLS,
        "direct_median_ms": round(median[direct], 3),
        "direct_p99_ms": round(p99[direct], 3),
        "routed_median_ms": round(median[routed], 3),
        "routed_p99_ms": round(p99[routed], 3),
        "added_median_ms": round(median[routed] - median[direct], 3),
        "added_p99_ms": round(p99[routed] - p99[direct], 3),
    }


async def measure_rate(pid: int) -> dict:
    """Return checks a second, in total and per second of processor time."""
    request = check_request({"service_ms": SERVICE_MS})
    callers = [Caller(ENTRY_PORT, request) for _ in range(RATE_CALLERS)]
    for caller in callers:
        await caller.open()
    end = time.perf_counter() + RATE_SECONDS
    processor_s = processor_seconds(pid)
    start = time.perf_counter()
    counts = await asyncio.gather(*[call_until(caller, end) for caller in callers])
    elapsed = time.perf_counter() - start
    processor_s = processor_seconds(pid) - processor_s
    return {
        "checks": sum(counts),
        "checks_per_s": round(sum(counts) / elapsed),
        "checks_per_processor_s": round(sum(counts) / processor_s),
        "entry_processor_use": round(processor_s / elapsed, 3),
    }


async def call_until(caller: Caller, end: float) -> int:
    """Send checks until ``end``; return how many were answered."""
    count = 0
    while time.perf_counter() < end:
        await caller.call()
        count += 1
    return count


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def run(seed: int) -> dict:
    """Measure latency and rate against new child processes."""
    targets = ("-m", "standins.target", "--port", str(TARGET_PORT))
    targets += ("--count", str(TARGETS))
    with (
        child_process(*targets, port=TARGET_PORT),
        child_process(__file__, "--serve-entry", port=ENTRY_PORT) as process,
    ):
        latency = asyncio.run(measure_latency(random.Random(seed)))
        rate = asyncio.run(measure_rate(process.pid))
    return {"seed": seed, "environment": ENVIRONMENT, **latency, **rate}


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--serve-entry", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.serve_entry:
        asyncio.run(serve_entry())
        return
    figures = run(arguments.seed)
    if arguments.json:
        print(json.dumps(figures))
        return
    for name, value in figures.items():
        print(f"{name:24} {value}")


if __name__ == "__main__":
    main()
