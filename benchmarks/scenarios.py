"""Scenarios of the capacity benchmark, one function each.

Each scenario starts its own cell and returns lists of points by series name.
"""

import asyncio
import statistics
import time
from dataclasses import dataclass, field
from threading import Lock

from standins.cluster import Entry

from .cell import (
    PRODUCTION,
    TRIAL,
    CapacityCell,
    change_document,
    make_document,
    promote_document,
    running_cell,
    versions,
)
from .load import HttpPool, http_pool, new_key, run_at_rate, run_concurrently
from .windows import MeasurementPlan, Point, measure, measure_all

MEMBER_KEY = "key-member-0"
JOBS_PATH = f"/v1/{PRODUCTION}/jobs"
CHECK_PATH = f"/v1/{PRODUCTION}/checks/slot-check"
CHECK_SERVICE_MS = 5
TASK_RUN_MS = 1000
# A task with a negative run time runs until it is stopped.
ENDLESS_TASK_RUN_MS = -1
MAX_TASKS_PER_JOB = 1000
SUBMIT_CONCURRENCY = 64
START_TIMEOUT_S = 60.0
CHANGE_POLL_INTERVAL_S = 0.01
START_POLL_INTERVAL_S = 0.25
TIMED_CHANGES = 5


@dataclass(frozen=True, slots=True)
class Sizes:
    """Sizes at which each series is measured."""

    idle_workers: list[int] = field(default_factory=lambda: [24, 113, 300, 790])
    running_tasks: list[int] = field(default_factory=lambda: [400, 1600, 5800])
    start_rates: list[float] = field(default_factory=lambda: [5, 15, 30, 55])
    start_workers: int = 113
    queued_jobs: list[int] = field(default_factory=lambda: [2000, 10_000])
    check_rates: list[float] = field(default_factory=lambda: [20, 60, 150])
    members: list[int] = field(default_factory=lambda: [30, 100, 290])
    change_rate: float = 2.0


QUICK_SIZES = Sizes(
    idle_workers=[24, 60, 113],
    running_tasks=[100, 300],
    start_rates=[5, 15],
    start_workers=24,
    queued_jobs=[500, 1000],
    check_rates=[20, 60],
    members=[30, 100],
)

Series = dict[str, list[dict]]


async def idle(
    workers: int, sizes: Sizes, plan: MeasurementPlan, start_lock: Lock
) -> Series:
    """Measure an idle shard owner.

    The largest size also measures running tasks, and the smallest queued jobs.
    """
    with running_cell(workers, 1, start_lock) as cell:
        cell.wait_ready()
        owner = cell.owner()
        point = await measure(cell, owner, plan, workers)
        series = {"idle": [point.to_json()]}
        if workers == max(sizes.idle_workers):
            series["running"] = await _running(cell, owner, sizes, plan)
        if workers == min(sizes.idle_workers):
            series["queued"] = await _queued(cell, owner, sizes, workers, plan)
        return series


async def _running(
    cell: CapacityCell, owner: Entry, sizes: Sizes, plan: MeasurementPlan
) -> list[dict]:
    promote_document(cell)
    points = [await measure(cell, owner, plan, 0)]
    started = 0
    async with http_pool(owner.http_port, MEMBER_KEY, 4) as pool:
        for wanted in sizes.running_tasks:
            while started < wanted:
                tasks = min(MAX_TASKS_PER_JOB, wanted - started)
                await _submit(pool, "small", ENDLESS_TASK_RUN_MS, tasks)
                started += tasks
            await _wait_starts(cell, wanted)
            points.append(await measure(cell, owner, plan, wanted))
    return [point.to_json() for point in points]


async def _queued(
    cell: CapacityCell, owner: Entry, sizes: Sizes, workers: int, plan: MeasurementPlan
) -> list[dict]:
    promote_document(cell)
    async with http_pool(owner.http_port, MEMBER_KEY, SUBMIT_CONCURRENCY) as pool:
        await _submit(pool, "whole", ENDLESS_TASK_RUN_MS, workers)
        await _wait_starts(cell, workers)
        points = [await measure(cell, owner, plan, 0)]
        queued = 0
        for wanted in sizes.queued_jobs:
            await run_concurrently(
                wanted - queued,
                SUBMIT_CONCURRENCY,
                lambda _: _submit(pool, "whole", ENDLESS_TASK_RUN_MS),
            )
            queued = wanted
            points.append(await measure(cell, owner, plan, wanted))
    return [point.to_json() for point in points]


async def starts(sizes: Sizes, plan: MeasurementPlan, start_lock: Lock) -> Series:
    """Measure jobs of one short task at several rates."""
    with running_cell(sizes.start_workers, 1, start_lock) as cell:
        cell.wait_ready()
        owner = cell.owner()
        promote_document(cell)
        points = [(await measure(cell, owner, plan, 0)).to_json()]
        points[0]["finished_jobs"] = 0
        async with http_pool(owner.http_port, MEMBER_KEY) as pool:
            for rate in sizes.start_rates:
                points.append(await _measure_start_rate(cell, owner, pool, rate, plan))
        return {"starts": points}


async def _measure_start_rate(
    cell: CapacityCell, owner: Entry, pool: HttpPool, rate: float, plan: MeasurementPlan
) -> dict:
    submit_times: dict[str, tuple[float, float]] = {}

    async def submit(_index: int) -> None:
        sent = time.time()
        job_id = await _submit(pool, "small", TASK_RUN_MS)
        submit_times[job_id] = (sent, time.time())

    load = asyncio.create_task(run_at_rate(rate, plan.load_s, submit))
    point = await measure(cell, owner, plan, rate)
    await load
    await asyncio.sleep(TASK_RUN_MS / 1000 + 1)
    ledger = cell.starts()
    started = {entry["task_id"].rpartition("/")[0]: entry["wall"] for entry in ledger}
    job_times = [
        (started[job], *submit_times[job]) for job in submit_times if job in started
    ]
    if len(job_times) != len(submit_times):
        raise RuntimeError(
            f"{len(submit_times) - len(job_times)} of {len(submit_times)} jobs "
            "did not start"
        )
    return point.to_json() | {
        "finished_jobs": len(ledger),
        "submit_to_start_ms": _quantiles([s - sent for s, sent, _ in job_times]),
        "accepted_to_start_ms": _quantiles(
            [s - answered for s, _, answered in job_times]
        ),
    }


async def checks(sizes: Sizes, plan: MeasurementPlan, start_lock: Lock) -> Series:
    """Measure checks at several rates, without and with idempotency keys."""
    with running_cell(min(sizes.idle_workers), 1, start_lock) as cell:
        cell.wait_ready()
        owner = cell.owner()
        promote_document(cell)
        series: Series = {}
        async with http_pool(owner.http_port, MEMBER_KEY) as pool:
            for name, keyed in (("checks", False), ("keyed_checks", True)):
                points = [(await measure(cell, owner, plan, 0)).to_json()]
                sent = 0
                for rate in sizes.check_rates:
                    point = await _measure_check_rate(
                        cell, owner, pool, rate, plan, keyed
                    )
                    sent += point["sent"]
                    points.append(point | {"sent_in_all": sent})
                series[name] = points
        return series


async def _measure_check_rate(
    cell: CapacityCell,
    owner: Entry,
    pool: HttpPool,
    rate: float,
    plan: MeasurementPlan,
    keyed: bool,
) -> dict:
    seconds: list[float] = []

    async def check(_index: int) -> None:
        headers = {"Idempotency-Key": new_key()} if keyed else {}
        began = time.monotonic()
        body = {"service_ms": CHECK_SERVICE_MS}
        answer = await pool.send("POST", CHECK_PATH, body, headers)
        seconds.append(time.monotonic() - began)
        if answer.status != 200:
            raise RuntimeError(f"check failed: {answer}")

    load = asyncio.create_task(run_at_rate(rate, plan.load_s, check))
    point = await measure(cell, owner, plan, rate)
    await load
    return point.to_json() | {"sent": len(seconds), "answer_ms": _quantiles(seconds)}


async def documents(sizes: Sizes, plan: MeasurementPlan, start_lock: Lock) -> Series:
    """Measure document changes with three entry processes and a growing document."""
    with running_cell(min(sizes.idle_workers), 3, start_lock) as cell:
        cell.wait_ready()
        owner = cell.owner()
        first, follower = (entry for entry in cell.entries if entry is not owner)
        roles = {"administration": first, "follower": follower, "owner": owner}
        series: Series = {f"document_{role}": [] for role in roles}
        entries = list(roles.values())
        await asyncio.sleep(plan.settle_s)
        await _record(cell, entries, roles, plan, 0, 0, series)
        for members in sizes.members:
            latencies = [
                await _time_change(first, members, revision)
                for revision in range(TIMED_CHANGES)
            ]
            await _record(cell, entries, roles, plan, members, 0, series)
            load = asyncio.create_task(_change_repeatedly(first, members, sizes, plan))
            await asyncio.sleep(1)
            await _record(
                cell, entries, roles, plan, members, sizes.change_rate, series
            )
            changes = await load
            for points in series.values():
                points[-1]["in_effect_ms"] = _quantiles(latencies)
                points[-1]["changes"] = changes
        return series


async def _record(cell, entries, roles, plan, members, rate, series: Series) -> None:
    points: list[Point] = await measure_all(cell, entries, plan, members)
    for role, point in zip(roles, points, strict=True):
        series[f"document_{role}"].append(point.to_json() | {"changes_per_s": rate})


async def _change_repeatedly(
    entry: Entry, members: int, sizes: Sizes, plan: MeasurementPlan
) -> int:
    # Encoding the documents beforehand keeps it from delaying the changes.
    count = round(sizes.change_rate * plan.load_s)
    made = [make_document(members, 10 + index) for index in range(count)]
    started = time.monotonic()
    for index, document in enumerate(made):
        due_s = started + index / sizes.change_rate - time.monotonic()
        await asyncio.sleep(max(due_s, 0))
        await asyncio.to_thread(change_document, entry, document)
    return count


async def _time_change(entry: Entry, members: int, revision: int) -> float:
    """Return the seconds from sending a change until all processes use it."""
    document = make_document(members, revision)
    began = time.monotonic()
    version = await asyncio.to_thread(change_document, entry, document)
    while True:
        current = await asyncio.to_thread(versions, entry)
        if current.get(TRIAL) == [version]:
            return time.monotonic() - began
        if time.monotonic() - began > START_TIMEOUT_S:
            raise TimeoutError(f"version {version} is not in effect: {current}")
        await asyncio.sleep(CHANGE_POLL_INTERVAL_S)


async def _submit(pool: HttpPool, kind: str, run_ms: float, tasks: int = 1) -> str:
    body = {"kind": kind, "params": {"run_ms": run_ms}, "tasks": tasks}
    answer = await pool.send("POST", JOBS_PATH, body)
    if answer.status != 202:
        raise RuntimeError(f"job was not accepted: {answer}")
    return answer.body["job_id"]


async def _wait_starts(cell: CapacityCell, wanted: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while cell.start_count() < wanted:
        if time.monotonic() > deadline:
            raise TimeoutError(
                f"{cell.start_count()} of {wanted} tasks started in time"
            )
        await asyncio.sleep(START_POLL_INTERVAL_S)


def _quantiles(seconds: list[float]) -> dict[str, float]:
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return {
        "count": len(ordered),
        "p50": round(statistics.median(ordered) * 1000, 1),
        "p99": round(ordered[round(last * 0.99)] * 1000, 1),
        "max": round(ordered[last] * 1000, 1),
    }
