"""Checks in random histories that the planner misses no room that a step could use.

``python -m tests.test_queue_wakeups FIRST COUNT`` runs more seeds.
"""

import random
import sys

import pytest

from flamingoway.model import Resources
from flamingoway.queues.model import EndKind, StartReply
from tests.queue_cluster import Bench, step

SEEDS = range(30)
STEPS = 150
SMALL = Resources(4000, 8000, 1)
MAX_WORKERS = 8
IDLE_PASSES = 4


def random_step(rng):
    kind = rng.choice(["plain", "gang", "filler", "lasting", "spread", "label"])
    cpu, memory = rng.choice([(0, 0), (500, 0), (1000, 1000), (4000, 2000)])
    fields = {
        "plain": {},
        "gang": {"gang": True},
        "filler": {"filler": True},
        "lasting": {"lasting": True},
        "spread": {"per_worker": rng.randint(1, 2)},
        "label": {"label": rng.choice(["r1", "r2"])},
    }[kind]
    if rng.random() < 0.3:
        fields |= {"per_worker": 1}
    return step(rng.randint(1, 6), cpu=cpu, memory=memory, **fields)


class History:
    """Random events of jobs and workers on a ``Bench``."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.bench = Bench(3, SMALL)
        self.number = 0
        self.events = [
            self.submit,
            self.submit,
            self.end_run,
            self.end_run,
            self.end_run,
            self.cancel,
            self.add_worker,
            self.lose_worker,
            self.restart_worker,
            self.lose_answer,
            self.configure,
        ]

    def runs(self):
        workers = self.bench.cluster.workers.values()
        return [run for worker in workers for run in worker.runs.values()]

    def submit(self):
        self.number += 1
        steps = [random_step(self.rng) for _ in range(self.rng.randint(1, 2))]
        queue = self.rng.choice(["plans", "sorts", "checks"])
        self.bench.submit(f"{self.number:04x}", *steps, queue=queue)

    def end_run(self):
        if runs := self.runs():
            kind = self.rng.choice([EndKind.DONE] * 4 + [EndKind.FAILED])
            self.bench.end(self.rng.choice(runs), kind)

    def cancel(self):
        if jobs := list(self.bench.cluster.jobs):
            now = self.bench.now
            self.bench.cluster.cancel_job(self.rng.choice(jobs), now, now)

    def add_worker(self):
        if len(self.bench.cluster.workers) < MAX_WORKERS:
            self.number += 1
            labels = (self.rng.choice(["r1", "r2"]),)
            self.bench.add_worker(f"w{self.number:04x}", SMALL, labels)

    def lose_worker(self):
        worker = self.random_worker()
        if worker is not None and len(self.bench.cluster.workers) > 2:
            self.bench.cluster.drop_runs(worker, self.bench.now, "lost")
            self.bench.cluster.remove_worker(worker)

    def restart_worker(self):
        worker = self.random_worker()
        if worker is not None:
            worker_id, born_ms = worker.entry.worker_id, worker.entry.born_ms + 1
            self.bench.restart(worker_id, born_ms)
            self.bench.report(worker_id, born_ms=born_ms)

    def lose_answer(self):
        starting = [run for run in self.runs() if run.in_flight]
        if starting:
            run = self.rng.choice(starting)
            reply = self.rng.choice([StartReply.UNKNOWN, StartReply.NOT_SENT])
            self.bench.cluster.on_start_reply(run, reply, self.bench.now)
            others = [key for key in run.worker.runs if key != run.key]
            self.bench.report(run.worker.entry.worker_id, others)

    def configure(self):
        self.bench.cluster.set_desired_state(self.bench.cluster._desired)

    def random_worker(self):
        workers = list(self.bench.cluster.workers.values())
        return self.rng.choice(workers) if workers else None

    def plan(self):
        """Plan until several passes in a row start nothing, and confirm the starts.

        Reservations of gangs that change in one pass take effect in the next.
        """
        idle_passes = 0
        while idle_passes < IDLE_PASSES:
            runs = self.bench.plan()
            idle_passes = 0 if runs else idle_passes + 1
            for run in runs:
                if self.rng.random() < 0.9:
                    self.bench.cluster.on_start_reply(
                        run, StartReply.RUNNING, self.bench.now
                    )

    def missed(self):
        """Return the runs that start once no step counts as tried before."""
        for waiting in self.bench.cluster.waiting.values():
            waiting.blocked = False
        return self.bench.plan()


def play(seed):
    history = History(seed)
    for _ in range(STEPS):
        history.rng.choice(history.events)()
        history.bench.now += history.rng.choice([0.01, 0.2, 1.0, 4.0])
        history.bench.cluster.orders.clear()
        history.plan()
        missed = history.missed()
        assert [run.task_id for run in missed] == [], seed


@pytest.mark.parametrize("seed", SEEDS)
def test_a_step_that_was_tried_before_misses_no_room(seed):
    """Guards against tasks that wait beside idle workers until another job ends."""
    play(seed)


if __name__ == "__main__":
    first, count = map(int, sys.argv[1:3])
    for number in range(first, first + count):
        play(number)
    print(f"{count} seeds from {first}: no room missed")
