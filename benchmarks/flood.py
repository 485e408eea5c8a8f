"""What urgent work and other members keep during a flood of one member.

``python -m benchmarks.flood [--json] [--seed N] [--workers 24]``

A simulated clock drives the scheduler. A steady member submits work at half its fair
share; with the flood, another member submits ten times the capacity. Urgent tasks of
a third member arrive on top. A stopped task takes ``CHECKPOINT_S`` to save its state.
Reported are the waits of urgent tasks and the work that the steady member finishes,
compared with a run without the flood. The time of commits and messages is left out.
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

from .placement import CAPACITY, worker

DURATION_S = 1_200.0
WARM_UP_S = 200.0
TICK_S = 0.1
CHECKPOINT_S = 1.0
RUN_TIME_S = 60.0
SHAPE = Resources(1_000, 2_048)
URGENT_PER_S = 0.5
FLOOD_FACTOR = 10
MEMBERS = ("steady", "flood", "urgent")


class Flood:
    """One run on a simulated clock."""

    def __init__(self, workers: int, seed: int, flood: bool, resumable: bool):
        self._rng = random.Random(seed)
        self._scheduler = Scheduler("flood", random.Random(seed))
        self._flood = flood
        self._resumable = resumable
        self._slots = workers * CAPACITY.cores_milli // SHAPE.cores_milli
        self._now = 0.0
        self._jobs = 0
        self._ends: list[tuple[float, int, str, int, str, str]] = []
        self._submitted: dict[str, float] = {}
        self.urgent_waits: list[float] = []
        self.steady_done = 0
        for number in range(workers):
            self._scheduler.set_worker(worker(number), True)
        quota = ResourceModel(cores=10**6, memory_mb=10**9, accelerators=0)
        members = [MemberModel(name, [], 1.0, quota) for name in MEMBERS]
        self._scheduler.set_document("e", Document("flood", members), 1.0)

    def run(self) -> None:
        """Simulate the whole time."""
        rate = self._slots / RUN_TIME_S
        if self._flood:
            self._arrivals("flood", self._slots * 2, False)
        while self._now < DURATION_S:
            self._now += TICK_S
            self._arrivals("steady", rate / 6 * TICK_S, False)
            self._arrivals("urgent", URGENT_PER_S * TICK_S, True)
            if self._flood:
                self._arrivals("flood", rate * FLOOD_FACTOR * TICK_S, False)
            self._end_due()
            self._scheduler.schedule(self._now, self._now)
            self._carry_out()

    def _arrivals(self, member: str, mean: float, urgent: bool) -> None:
        count = int(mean) + (self._rng.random() < mean % 1)
        for _ in range(count):
            self._jobs += 1
            spec = JobSpec(
                f"{member}-{self._jobs}",
                "e",
                member,
                "sort",
                Policy.BATCH,
                resources=SHAPE,
                urgent=urgent,
                resumable=self._resumable and not urgent,
            )
            self._submitted[f"{spec.job_id}/0"] = self._now
            self._scheduler.submit(spec, None, self._now, self._now)

    def _end_due(self) -> None:
        while self._ends and self._ends[0][0] <= self._now:
            _, _, task_id, attempt, worker_id, outcome = heapq.heappop(self._ends)
            task = self._scheduler.ledger.tasks.get(task_id)
            if task is None or task.attempt != attempt or not task.state.placed:
                continue
            finished = FinishedAttempt(task_id, attempt, outcome)
            report = WorkerReport(worker_id, 1, CAPACITY, [], [finished])
            self._scheduler.on_report(report, self._now, self._now)
            if outcome == "succeeded" and task_id.startswith("steady"):
                self.steady_done += self._now > WARM_UP_S

    def _carry_out(self) -> None:
        for effect in self._scheduler.take_batch().effects:
            if isinstance(effect, StartTask):
                self._start(effect)
            elif isinstance(effect, StopTask):
                self._plan_end(effect, CHECKPOINT_S, "checkpointed")

    def _start(self, start: StartTask) -> None:
        seconds = self._rng.expovariate(1 / RUN_TIME_S)
        self._plan_end(start, seconds, "succeeded")
        if start.spec.urgent and self._now > WARM_UP_S:
            self.urgent_waits.append(self._now - self._submitted[start.task_id])

    def _plan_end(self, effect: StartTask | StopTask, delay: float, what: str) -> None:
        place = (effect.task_id, effect.attempt, effect.worker_id, what)
        number = len(self._ends) + self._rng.random()
        heapq.heappush(self._ends, (self._now + delay, number, *place))


def measure(workers: int, seed: int, resumable: bool) -> dict:
    """Return one row: waits of urgent work and what the steady member keeps."""
    calm = Flood(workers, seed, flood=False, resumable=resumable)
    calm.run()
    flooded = Flood(workers, seed, flood=True, resumable=resumable)
    flooded.run()
    waits = sorted(flooded.urgent_waits)
    return {
        "workers": workers,
        "flood_resumable": resumable,
        "urgent_tasks": len(waits),
        "urgent_wait_p50_s": round(waits[len(waits) // 2], 2),
        "urgent_wait_p999_s": round(waits[math.ceil(len(waits) * 0.999) - 1], 2),
        "steady_done_calm": calm.steady_done,
        "steady_done_flood": flooded.steady_done,
        "steady_kept": round(flooded.steady_done / calm.steady_done, 3),
    }


def main() -> None:
    """Run with a flood that can be checkpointed, and with one that cannot."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=24)
    options = parser.parse_args()
    rows = [measure(options.workers, options.seed, kind) for kind in (True, False)]
    if options.json:
        print(json.dumps(rows, indent=1))
        return
    for row in rows:
        print("  ".join(f"{key}={value}" for key, value in row.items()))


if __name__ == "__main__":
    main()
