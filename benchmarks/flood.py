"""Urgent waits and work of other members while one member floods the scheduler.

``python -m benchmarks.flood [--json] [--seed N] [--workers 24]``

A simulated clock drives the scheduler. A steady member submits work at half its fair
share. In the run with the flood, another member submits ten times the capacity. A
third member submits urgent tasks. A stopped task takes ``CHECKPOINT_S`` to save its
state. The report has the waits of urgent tasks, and the work that the steady member
finishes compared with a run without the flood. Commits and messages take no time.
"""

import argparse
import heapq
import json
import math
import random

from flamingoway.core.effects import StartTask, StopTask
from flamingoway.core.reports import FinishedAttempt, WorkerReport
from flamingoway.core.scheduler import Scheduler
from flamingoway.document import Document, MemberModel, ResourceModel
from flamingoway.model import JobSpec, Policy, Resources

from .placement import CAPACITY, make_worker

DURATION_S = 1_200.0
WARM_UP_S = 200.0
TICK_S = 0.1
CHECKPOINT_S = 1.0
RUN_TIME_S = 60.0
TASK_RESOURCES = Resources(1_000, 2_048)
# At ``REFERENCE_WORKERS``; the rate scales with the workers, as does all other work.
URGENT_PER_S = 0.5
REFERENCE_WORKERS = 24
FLOOD_FACTOR = 10
MEMBERS = ("steady", "flood", "urgent")


class FloodSimulation:
    """One run on a simulated clock."""

    def __init__(self, workers: int, seed: int, flood: bool, resumable: bool):
        self._rng = random.Random(seed)
        self._scheduler = Scheduler("flood", random.Random(seed))
        self._flood = flood
        self._resumable = resumable
        self._task_slots = workers * CAPACITY.cores_milli // TASK_RESOURCES.cores_milli
        self._urgent_per_s = URGENT_PER_S * workers / REFERENCE_WORKERS
        self._now = 0.0
        self._jobs = 0
        self._scheduled_ends: list[tuple[float, int, str, int, str, str]] = []
        self._submitted: dict[str, float] = {}
        self.urgent_waits: list[float] = []
        self.steady_done = 0
        for number in range(workers):
            self._scheduler.set_worker(make_worker(number), True)
        quota = ResourceModel(cores=10**6, memory_mb=10**9, accelerators=0)
        members = [MemberModel(name, [], 1.0, quota) for name in MEMBERS]
        self._scheduler.set_document("e", Document("flood", members), 1.0)

    def run(self) -> None:
        """Simulate ``DURATION_S`` seconds."""
        rate = self._task_slots / RUN_TIME_S
        if self._flood:
            self._submit_jobs("flood", self._task_slots * 2, False)
        while self._now < DURATION_S:
            self._now += TICK_S
            self._submit_jobs("steady", rate / 6 * TICK_S, False)
            self._submit_jobs("urgent", self._urgent_per_s * TICK_S, True)
            if self._flood:
                self._submit_jobs("flood", rate * FLOOD_FACTOR * TICK_S, False)
            self._finish_due_tasks()
            self._scheduler.schedule(self._now, self._now)
            self._apply_effects()

    def _submit_jobs(self, member: str, mean: float, urgent: bool) -> None:
        count = int(mean) + (self._rng.random() < mean % 1)
        for _ in range(count):
            self._jobs += 1
            spec = JobSpec(
                f"{member}-{self._jobs}",
                "e",
                member,
                "sort",
                Policy.BATCH,
                resources=TASK_RESOURCES,
                urgent=urgent,
                resumable=self._resumable and not urgent,
            )
            self._submitted[f"{spec.job_id}/0"] = self._now
            self._scheduler.submit(spec, None, self._now, self._now)

    def _finish_due_tasks(self) -> None:
        while self._scheduled_ends and self._scheduled_ends[0][0] <= self._now:
            _, _, task_id, attempt, worker_id, outcome = heapq.heappop(
                self._scheduled_ends
            )
            task = self._scheduler.ledger.tasks.get(task_id)
            if task is None or task.attempt != attempt or not task.state.placed:
                continue
            finished = FinishedAttempt(task_id, attempt, outcome)
            report = WorkerReport(worker_id, 1, CAPACITY, [], [finished])
            self._scheduler.on_report(report, self._now, self._now)
            if outcome == "succeeded" and task_id.startswith("steady"):
                self.steady_done += self._now > WARM_UP_S

    def _apply_effects(self) -> None:
        for effect in self._scheduler.take_batch().effects:
            if isinstance(effect, StartTask):
                self._start(effect)
            elif isinstance(effect, StopTask):
                self._schedule_end(effect, CHECKPOINT_S, "checkpointed")

    def _start(self, start: StartTask) -> None:
        seconds = self._rng.expovariate(1 / RUN_TIME_S)
        self._schedule_end(start, seconds, "succeeded")
        if start.spec.urgent and self._now > WARM_UP_S:
            self.urgent_waits.append(self._now - self._submitted[start.task_id])

    def _schedule_end(
        self, effect: StartTask | StopTask, delay: float, outcome: str
    ) -> None:
        end = (effect.task_id, effect.attempt, effect.worker_id, outcome)
        number = len(self._scheduled_ends) + self._rng.random()
        heapq.heappush(self._scheduled_ends, (self._now + delay, number, *end))


def measure(workers: int, seed: int, resumable: bool) -> dict:
    """Return one row: urgent waits and the work that the steady member finishes."""
    baseline = FloodSimulation(workers, seed, flood=False, resumable=resumable)
    baseline.run()
    flooded = FloodSimulation(workers, seed, flood=True, resumable=resumable)
    flooded.run()
    waits = sorted(flooded.urgent_waits)
    return {
        "workers": workers,
        "flood_resumable": resumable,
        "urgent_tasks": len(waits),
        "urgent_wait_p50_s": round(waits[len(waits) // 2], 2),
        "urgent_wait_p999_s": round(waits[math.ceil(len(waits) * 0.999) - 1], 2),
        "steady_done_calm": baseline.steady_done,
        "steady_done_flood": flooded.steady_done,
        "steady_kept": round(flooded.steady_done / baseline.steady_done, 3),
    }


def main() -> None:
    """Measure floods of resumable and of non-resumable tasks; print the rows."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=24)
    options = parser.parse_args()
    rows = [
        measure(options.workers, options.seed, resumable) for resumable in (True, False)
    ]
    if options.json:
        print(json.dumps(rows, indent=1))
        return
    for row in rows:
        print("  ".join(f"{key}={value}" for key, value in row.items()))


if __name__ == "__main__":
    main()
