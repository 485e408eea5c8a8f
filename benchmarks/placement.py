"""Speed and packing of placement decisions.

``python -m benchmarks.placement [--json] [--seed N] [--workers 24,200,790]``

For each number of workers, a scheduler is filled with a proportional number of
running tasks (5,800 at 790 workers) of several kinds and 290 members. Each step then
ends random tasks and submits a job:

- ``steady`` ends the tasks above the target count, so that capacity is free and new
  tasks are placed at once;
- ``backlog`` keeps the workers full and 2,000 jobs queued and ends one task, so that
  each step chooses among the members.

The time of a decision is the time of its step (report, submission and scheduling
pass) divided by the tasks placed in it. ``cpu_us`` is the processor time of a
decision; it includes the benchmark itself, and other processes disturb it less.
``drain`` places 10,000 queued tasks on empty workers. ``packing`` submits work equal
to the whole capacity and compares the placed part with a fractional bound, first fit
and random placement.
"""

import argparse
import gc
import json
import math
import random
import time
from collections.abc import Callable

from flamingoway.core.fairness import MemberShare
from flamingoway.core.index import WorkerIndex
from flamingoway.core.ledger import Ledger
from flamingoway.core.policy import policies
from flamingoway.core.reports import FinishedAttempt, WorkerReport
from flamingoway.core.scheduler import Scheduler
from flamingoway.model import Job, JobSpec, Policy, Resources, Task, WorkerInfo
from flamingoway.records import JobAccepted, TaskAssigned

CAPACITY = Resources(16_000, 65_536)
LARGE = Resources(8_000, 32_768)
WORKERS_PER_RACK = 8
ZONES = 4
MEMBERS = 290
RUNNING_PER_WORKER = 5_800 / 790
SERVICE_SHARE = 0.2
BACKLOG_JOBS = 2_000
DRAIN_TASKS = 10_000
STEPS = 3_000
STEP_S = 0.018  # 55 starts a second

# Name, policy, tasks, resources, weight in the mix.
KINDS = [
    ("fit-plan", Policy.BATCH, 1, Resources(2000, 4096), 30),
    ("inventory-sort", Policy.BATCH, 2, Resources(1000, 2048), 30),
    ("lineage-plan", Policy.BATCH, 1, Resources(4000, 16_384), 15),
    ("marker-panel", Policy.BATCH, 1, Resources(500, 6144), 15),
    ("gang-plan", Policy.GANG, 4, Resources(2000, 8192), 5),
]
SERVICE = ("viewer", Policy.SERVICE, 1, Resources(1500, 3072))


def make_worker(number: int) -> WorkerInfo:
    """Return worker ``number``; its rack and zone follow from the number."""
    rack = number // WORKERS_PER_RACK
    return WorkerInfo(
        f"w{number:04}",
        f"127.0.0.1:{number}",
        "brittany",
        f"z{rack % ZONES}",
        f"r{rack}",
        CAPACITY,
    )


class JobGenerator:
    """Generates jobs of random kinds and members."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._count = 0

    def job(self) -> JobSpec:
        """Return a job of a random kind of a random member."""
        weights = [kind[4] for kind in KINDS]
        kind = self._rng.choices(KINDS, weights)[0]
        return self.make(kind[:4], f"m{self._rng.randrange(MEMBERS)}")

    def make(self, kind: tuple, member: str) -> JobSpec:
        """Return a job of one kind."""
        self._count += 1
        name, policy, tasks, resources = kind
        job_id = f"j{self._count}"
        return JobSpec(job_id, "e", member, name, policy, tasks, resources)


class SchedulerBench:
    """A scheduler with workers and running tasks on a simulated clock."""

    def __init__(self, workers: int, seed: int):
        self._rng = random.Random(seed)
        self._jobs = JobGenerator(self._rng)
        self._now = 0.0
        self._running: list[tuple[str, int, str]] = []
        self.scheduler = Scheduler("bench", random.Random(seed))
        for number in range(workers):
            self.scheduler.set_worker(make_worker(number), True)
        for member in range(MEMBERS):
            share = MemberShare(weight=1.0 + member % 3)
            self.scheduler._state.queue.set_share(("e", f"m{member}"), share)

    def fill(self, running: int, full: bool) -> None:
        """Start ``running`` tasks, a fifth of them services.

        Args:
            running: Number of tasks, from which that of the services follows.
            full: Start batch and gang tasks until the workers are full instead.
        """
        for _ in range(int(running * SERVICE_SHARE)):
            self._submit(self._jobs.make(SERVICE, ""))
        self.drain()
        while full or len(self._running) < running:
            self._submit(self._jobs.job())
            if self._schedule() == 0:
                break

    def submit_jobs(self, count: int) -> None:
        """Submit jobs without placing them."""
        for _ in range(count):
            self._submit(self._jobs.job())
        self.scheduler.take_batch()

    def steps(self, count: int, target: int | None) -> list[tuple[float, int]]:
        """Run steps; return the seconds and the placed tasks of each.

        Args:
            count: Number of steps.
            target: Tasks to keep running; ``None`` ends one task a step.
        """
        results = []
        for _ in range(count):
            ended = [self._end_one()]
            while target is not None and len(self._running) > target:
                ended.append(self._end_one())
            spec = self._jobs.job()
            self._now += STEP_S
            begin = time.perf_counter()
            for report in ended:
                self.scheduler.on_report(report, self._now, self._now)
            self._submit(spec)
            placed = self._schedule()
            results.append((time.perf_counter() - begin, placed))
        return results

    def drain(self) -> tuple[float, int]:
        """Place everything that fits; return seconds and tasks placed."""
        total = 0
        begin = time.perf_counter()
        while placed := self._schedule():
            total += placed
        return time.perf_counter() - begin, total

    def _submit(self, spec: JobSpec) -> None:
        self.scheduler.submit(spec, None, self._now, self._now)

    def _schedule(self) -> int:
        placed = self.scheduler.schedule(self._now, self._now)
        for record in self.scheduler.take_batch().records:
            if isinstance(record, TaskAssigned):
                item = (record.task_id, record.attempt, record.worker_id)
                self._running.append(item)
        return placed

    def _end_one(self) -> WorkerReport:
        index = self._rng.randrange(len(self._running))
        self._running[index], self._running[-1] = (
            self._running[-1],
            self._running[index],
        )
        task_id, attempt, worker_id = self._running.pop()
        finished = FinishedAttempt(task_id, attempt, "succeeded", b"{}")
        return WorkerReport(worker_id, 1, CAPACITY, [], [finished])


def measure_decisions(workers: int, seed: int, backlog: bool) -> dict:
    """Measure decisions with free capacity or with a backlog."""
    bench = SchedulerBench(workers, seed)
    running = int(workers * RUNNING_PER_WORKER)
    bench.fill(running, full=backlog)
    if backlog:
        bench.submit_jobs(BACKLOG_JOBS)
        bench.drain()
    target = None if backlog else running
    bench.steps(STEPS // 10, target)
    cpu = time.process_time()
    results = bench.steps(STEPS, target)
    cpu = time.process_time() - cpu
    placed = sum(count for _, count in results)
    seconds = sum(spent for spent, _ in results)
    times = sorted(spent / count for spent, count in results if count)
    return {
        "workers": workers,
        "mode": "backlog" if backlog else "steady",
        "running": sum(
            bench.scheduler.ledger.placed_count(f"w{n:04}") for n in range(workers)
        ),
        "queued": bench.scheduler.queued,
        "decisions": placed,
        "decisions_per_s": round(placed / seconds),
        "mean_us": round(seconds / placed * 1e6, 1),
        "cpu_us": round(cpu / placed * 1e6, 1),
        "p99_ms": round(times[math.ceil(len(times) * 0.99) - 1] * 1e3, 3),
        "max_ms": round(times[-1] * 1e3, 3),
    }


def measure_drain(workers: int, seed: int) -> dict:
    """Measure how fast 10,000 queued tasks are placed on empty workers."""
    bench = SchedulerBench(workers, seed)
    small = ("sort", Policy.BATCH, 1, Resources(500, 1024))
    for number in range(DRAIN_TASKS):
        bench._submit(bench._jobs.make(small, f"m{number % MEMBERS}"))
    bench.scheduler.take_batch()
    seconds, placed = bench.drain()
    return {
        "workers": workers,
        "mode": "drain",
        "decisions": placed,
        "decisions_per_s": round(placed / seconds),
    }


def measure_packing(workers: int, seed: int) -> dict:
    """Place work equal to the whole capacity; return the placed part by method.

    The ``large_`` values are the part of the free capacity that tasks of half a worker
    could use when the workers are filled to 70%.
    """
    chosen = {"best_fit": _best_fit, "first_fit": _first_fit, "random": _random_fit}
    row = {"workers": workers, "mode": "packing"}
    for name, choose in chosen.items():
        row[name] = round(_pack(workers, seed, choose, 1.0)[0], 4)
    for name, choose in chosen.items():
        row[f"large_{name}"] = round(_pack(workers, seed, choose, 0.7)[1], 4)
    return row


def _pack(
    workers: int, seed: int, choose: Callable, load_share: float
) -> tuple[float, float]:
    """Return placed over possible work, and usable over free capacity."""
    rng = random.Random(seed)
    jobs = JobGenerator(rng)
    ledger = Ledger()
    index = WorkerIndex(ledger)
    for number in range(workers):
        info = make_worker(number)
        ledger.set_capacity(info.worker_id, info.capacity)
        index.set_worker(info)
        index.set_eligible(info.worker_id, True)
    total = CAPACITY.times(workers)
    wanted = Resources()
    placed = Resources()
    batch = [kind[:4] for kind in KINDS if kind[1] is Policy.BATCH]
    while wanted.dominant_share(total) < load_share:
        spec = jobs.make((*rng.choice(batch)[:2], 1, rng.choice(batch)[3]), "m")
        wanted = wanted + spec.resources
        ledger.apply(JobAccepted(spec, 0.0))
        job = ledger.jobs[spec.job_id]
        worker_id = choose(job, job.tasks[0], index, rng)
        if worker_id is not None:
            ledger.apply(TaskAssigned(job.tasks[0].task_id, 1, worker_id))
            index.touch(worker_id)
            placed = placed + spec.resources
    fits = index.fits(LARGE)
    slots = sum(fits.slots(worker_id) for worker_id in fits.best_fit())
    usable = LARGE.times(slots).dominant_share(total - placed)
    possible = min(1.0, wanted.dominant_share(total))
    return placed.dominant_share(total) / possible, usable


def _best_fit(job: Job, task: Task, index: WorkerIndex, rng) -> str | None:
    workers = policies.get(Policy.BATCH).place(job, [task], index, frozenset())
    return workers[0] if workers else None


def _first_fit(job: Job, task: Task, index: WorkerIndex, rng) -> str | None:
    return min(index.fits(job.spec.resources).best_fit(), default=None)


def _random_fit(job: Job, task: Task, index: WorkerIndex, rng) -> str | None:
    fitting = list(index.fits(job.spec.resources).best_fit())
    return rng.choice(fitting) if fitting else None


def main() -> None:
    """Run all measurements and print them."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", default="24,200,790")
    options = parser.parse_args()
    rows = []
    for workers in map(int, options.workers.split(",")):
        for measure in (
            lambda n: measure_decisions(n, options.seed, backlog=False),
            lambda n: measure_decisions(n, options.seed, backlog=True),
            lambda n: measure_drain(n, options.seed),
            lambda n: measure_packing(n, options.seed),
        ):
            gc.collect()
            rows.append(measure(workers))
            if not options.json:
                print("  ".join(f"{k}={v}" for k, v in rows[-1].items()), flush=True)
    if options.json:
        print(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()
