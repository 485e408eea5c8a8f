"""The measurements of the capacity benchmark, one function each.

Each starts its own cell and returns lists of points by series name.
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
from .load import HttpPool, at_once, http_pool, new_key, paced
from .windows import Plan, Point, measure, measure_all

MEMBER_KEY = "key-member-0"
JOBS_PATH = f"/v1/{PRODUCTION}/jobs"
CHECK_PATH = f"/v1/{PRODUCTION}/checks/slot-check"
CHECK_SERVICE_MS = 5
TASK_RUN_MS = 1000
ENDLESS_MS = -1
MAX_TASKS_PER_JOB = 1000
SUBMIT_PARALLEL = 64
START_TIMEOUT_S = 60.0
CHANGE_POLL_S = 0.01
START_POLL_S = 0.25
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


async def idle(workers: int, sizes: Sizes, plan: Plan, starting: Lock) -> Series:
    """Measure an idle shard owner; at the largest size also running tasks."""
    with running_cell(workers, 1, starting) as cell:
        cell.wait_ready()
        owner = cell.owner()
        point = await measure(cell, owner, plan, workers)
        found = {"idle": [point.to_json()]}
        if workers == max(sizes.idle_workers):
            found["running"] = await _running(cell, owner, sizes, plan)
        if workers == min(sizes.idle_workers):
            found["queued"] = await _queued(cell, owner, sizes, workers, plan)
        return found


async def _running(
    cell: CapacityCell, owner: Entry, sizes: Sizes, plan: Plan
) -> list[dict]:
    promote_document(cell)
    points = [await measure(cell, owner, plan, 0)]
    started = 0
    async with http_pool(owner.http_port, MEMBER_KEY, 4) as pool:
        for wanted in sizes.running_tasks:
            while started < wanted:
                tasks = min(MAX_TASKS_PER_JOB, wanted - started)
                await _submit(pool, "small", ENDLESS_MS, tasks)
                started += tasks
            await _wait_starts(cell, wanted)
            points.append(await measure(cell, owner, plan, wanted))
    return [point.to_json() for point in points]


async def _queued(
    cell: CapacityCell, owner: Entry, sizes: Sizes, workers: int, plan: Plan
) -> list[dict]:
    promote_document(cell)
    async with http_pool(owner.http_port, MEMBER_KEY, SUBMIT_PARALLEL) as pool:
        await _submit(pool, "whole", ENDLESS_MS, workers)
        await _wait_starts(cell, workers)
        points = [await measure(cell, owner, plan, 0)]
        queued = 0
        for wanted in sizes.queued_jobs:
            await at_once(
                wanted - queued,
                SUBMIT_PARALLEL,
                lambda _: _submit(pool, "whole", ENDLESS_MS),
            )
            queued = wanted
            points.append(await measure(cell, owner, plan, wanted))
    return [point.to_json() for point in points]


async def starts(sizes: Sizes, plan: Plan, starting: Lock) -> Series:
    """Measure jobs of one short task at several rates."""
    with running_cell(sizes.start_workers, 1, starting) as cell:
        cell.wait_ready()
        owner = cell.owner()
        promote_document(cell)
        points = [(await measure(cell, owner, plan, 0)).to_json()]
        points[0]["finished_jobs"] = 0
        async with http_pool(owner.http_port, MEMBER_KEY) as pool:
            for rate in sizes.start_rates:
                points.append(await _at_start_rate(cell, owner, pool, rate, plan))
        return {"starts": points}


async def _at_start_rate(
    cell: CapacityCell, owner: Entry, pool: HttpPool, rate: float, plan: Plan
) -> dict:
    times: dict[str, tuple[float, float]] = {}

    async def submit(_index: int) -> None:
        sent = time.time()
        job_id = await _submit(pool, "small", TASK_RUN_MS)
        times[job_id] = (sent, time.time())

    load = asyncio.create_task(paced(rate, plan.load_s, submit))
    point = await measure(cell, owner, plan, rate)
    await load
    await asyncio.sleep(TASK_RUN_MS / 1000 + 1)
    ledger = cell.starts()
    started = {entry["task_id"].rpartition("/")[0]: entry["wall"] for entry in ledger}
    known = [(started[job], *times[job]) for job in times if job in started]
    if len(known) != len(times):
        raise RuntimeError(f"{len(times) - len(known)} of {len(times)} did not start")
    return point.to_json() | {
        "finished_jobs": len(ledger),
        "submit_to_start_ms": _quantiles([s - sent for s, sent, _ in known]),
        "accepted_to_start_ms": _quantiles([s - answered for s, _, answered in known]),
    }


async def checks(sizes: Sizes, plan: Plan, starting: Lock) -> Series:
    """Measure checks at several rates, without and with idempotency keys."""
    with running_cell(min(sizes.idle_workers), 1, starting) as cell:
        cell.wait_ready()
        owner = cell.owner()
        promote_document(cell)
        found: Series = {}
        async with http_pool(owner.http_port, MEMBER_KEY) as pool:
            for name, keyed in (("checks", False), ("keyed_checks", True)):
                points = [(await measure(cell, owner, plan, 0)).to_json()]
                sent = 0
                for rate in sizes.check_rates:
                    point = await _at_check_rate(cell, owner, pool, rate, plan, keyed)
                    sent += point["sent"]
                    points.append(point | {"sent_in_all": sent})
                found[name] = points
        return found


async def _at_check_rate(
    cell: CapacityCell,
    owner: Entry,
    pool: HttpPool,
    rate: float,
    plan: Plan,
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
            raise RuntimeError(f"check: {answer}")

    load = asyncio.create_task(paced(rate, plan.load_s, check))
    point = await measure(cell, owner, plan, rate)
    await load
    return point.to_json() | {"sent": len(seconds), "answer_ms": _quantiles(seconds)}


async def documents(sizes: Sizes, plan: Plan, starting: Lock) -> Series:
    """Measure document changes with three entry processes and a growing document."""
    with running_cell(min(sizes.idle_workers), 3, starting) as cell:
        cell.wait_ready()
        owner = cell.owner()
        first, follower = (entry for entry in cell.entries if entry is not owner)
        roles = {"administration": first, "follower": follower, "owner": owner}
        found: Series = {f"document_{role}": [] for role in roles}
        entries = list(roles.values())
        await asyncio.sleep(plan.settle_s)
        await _record(cell, entries, roles, plan, 0, 0, found)
        for members in sizes.members:
            latencies = [
                await _time_change(first, members, revision)
                for revision in range(TIMED_CHANGES)
            ]
            await _record(cell, entries, roles, plan, members, 0, found)
            load = asyncio.create_task(_change_often(first, members, sizes, plan))
            await asyncio.sleep(1)
            await _record(cell, entries, roles, plan, members, sizes.change_rate, found)
            changes = await load
            for points in found.values():
                points[-1]["in_effect_ms"] = _quantiles(latencies)
                points[-1]["changes"] = changes
        return found


async def _record(cell, entries, roles, plan, members, rate, found: Series) -> None:
    points: list[Point] = await measure_all(cell, entries, plan, members)
    for role, point in zip(roles, points, strict=True):
        found[f"document_{role}"].append(point.to_json() | {"changes_per_s": rate})


async def _change_often(entry: Entry, members: int, sizes: Sizes, plan: Plan) -> int:
    # The documents are made beforehand, so that the pace is kept.
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
        await asyncio.sleep(CHANGE_POLL_S)


async def _submit(pool: HttpPool, kind: str, run_ms: float, tasks: int = 1) -> str:
    body = {"kind": kind, "params": {"run_ms": run_ms}, "tasks": tasks}
    answer = await pool.send("POST", JOBS_PATH, body)
    if answer.status != 202:
        raise RuntimeError(f"submit: {answer}")
    return answer.body["job_id"]


async def _wait_starts(cell: CapacityCell, wanted: int) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while cell.start_count() < wanted:
        if time.monotonic() > deadline:
            raise TimeoutError(f"{cell.start_count()} of {wanted} tasks started")
        await asyncio.sleep(START_POLL_S)


def _quantiles(seconds: list[float]) -> dict[str, float]:
    ordered = sorted(seconds)
    last = len(ordered) - 1
    return {
        "count": len(ordered),
        "p50": round(statistics.median(ordered) * 1000, 1),
        "p99": round(ordered[round(last * 0.99)] * 1000, 1),
        "max": round(ordered[last] * 1000, 1),
    }
