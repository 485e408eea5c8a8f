"""Medians of processor time, memory and store calls over several windows."""

import asyncio
import statistics
import time
from dataclasses import asdict, dataclass

from standins.cluster import Entry

from .cell import CapacityCell
from .procfs import memory, processor_seconds

WRITE_CALLS = ("txn", "lease_grant", "lease_keep_alive", "lease_revoke")


@dataclass(frozen=True, slots=True)
class MeasurementPlan:
    """How long each point is measured.

    Attributes:
        settle_s: Time before the first window.
        window_s: Length of a window.
        windows: Number of windows whose median is reported.
    """

    settle_s: float
    window_s: float
    windows: int

    @property
    def load_s(self) -> float:
        """Time for which load must last to cover the windows."""
        return self.settle_s + self.window_s * self.windows + 1.0


@dataclass(frozen=True, slots=True)
class Point:
    """Medians over the windows of one process.

    Attributes:
        x: Size at which it was measured.
        cpu_ms_per_s: Processor time, milliseconds a second.
        cpu_windows: The same for each window.
        rss_kib: Resident memory after the last window.
        private_kib: The part of it that no other process shares.
        store_writes_per_s: Write calls of all processes that reached the store.
        store_reads_per_s: All other calls of all processes.
    """

    x: float
    cpu_ms_per_s: float
    cpu_windows: list[float]
    rss_kib: int
    private_kib: int
    store_writes_per_s: float
    store_reads_per_s: float

    def to_json(self) -> dict:
        """Return the point with rounded figures."""
        return {
            name: round(value, 3) if isinstance(value, float) else value
            for name, value in asdict(self).items()
        }


async def measure(
    cell: CapacityCell, entry: Entry, plan: MeasurementPlan, x: float
) -> Point:
    """Measure one entry process after the settling time."""
    await asyncio.sleep(plan.settle_s)
    return (await measure_all(cell, [entry], plan, x))[0]


async def measure_all(
    cell: CapacityCell, entries: list[Entry], plan: MeasurementPlan, x: float
) -> list[Point]:
    """Measure several entry processes in the same windows, without settling."""
    pids = [entry.process.popen.pid for entry in entries]
    cpu: list[list[float]] = [[] for _ in pids]
    writes, reads = [], []
    for _ in range(plan.windows):
        calls = await asyncio.to_thread(_store_calls, cell)
        before = [processor_seconds(pid) for pid in pids]
        started = time.monotonic()
        await asyncio.sleep(plan.window_s)
        seconds = time.monotonic() - started
        for used, pid, earlier in zip(cpu, pids, before, strict=True):
            used.append(round(1000 * (processor_seconds(pid) - earlier) / seconds, 2))
        later = await asyncio.to_thread(_store_calls, cell)
        writes.append((later[0] - calls[0]) / seconds)
        reads.append((later[1] - calls[1]) / seconds)
    return [
        Point(
            x,
            statistics.median(used),
            used,
            memory(pid).rss,
            memory(pid).private,
            statistics.median(writes),
            statistics.median(reads),
        )
        for used, pid in zip(cpu, pids, strict=True)
    ]


def _store_calls(cell: CapacityCell) -> tuple[int, int]:
    """Return the writes and the other calls that the store has counted."""
    calls = cell.store_control()["calls"]
    writes = sum(calls.get(name, 0) for name in WRITE_CALLS)
    return writes, sum(calls.values()) - writes
