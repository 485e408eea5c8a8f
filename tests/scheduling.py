"""Builders and a harness for tests of the scheduler on a fake clock."""

import random

from flamingoway.core.ledger import Ledger
from flamingoway.core.reports import FinishedAttempt, WorkerReport
from flamingoway.core.scheduler import Scheduler
from flamingoway.document import (
    Document,
    JobKind,
    MemberModel,
    ResourceModel,
    ServiceKind,
)
from flamingoway.model import JobSpec, Policy, Resources, WorkerInfo
from flamingoway.records import TaskAssigned

CAPACITY = Resources(4000, 8192)


def worker(name="w1", capacity=CAPACITY, zone="z1", rack="r1"):
    return WorkerInfo(name, "127.0.0.1:1", "brittany", zone, rack, capacity)


def spec(job_id="j1", **changes):
    values = {
        "environment": "e",
        "member": "m",
        "kind": "sort",
        "policy": Policy.BATCH,
        "resources": Resources(1000, 1024),
    }
    return JobSpec(job_id, **(values | changes))


def document(quotas=None, weights=None, services=(), kinds=()):
    """Return a document; ``quotas`` maps members to their quota of cores."""
    quotas = quotas or {}
    weights = weights or {}
    members = [
        MemberModel(name, [], weights.get(name, 1.0), ResourceModel(cores, 10**6, 100))
        for name, cores in quotas.items()
    ]
    return Document(
        "app",
        members,
        jobs=[JobKind(name, "batch", weight=weight) for name, weight in kinds],
        services=[ServiceKind(name, replicas) for name, replicas in services],
    )


class Rig:
    """A scheduler with workers, driven on a fake clock."""

    def __init__(self, workers=("w1",), ledger: Ledger | None = None):
        self.scheduler = Scheduler("s", random.Random(1), ledger)
        self.now = 0.0
        for info in workers:
            info = info if isinstance(info, WorkerInfo) else worker(info)
            self.scheduler.set_worker(info, True)

    @property
    def ledger(self):
        return self.scheduler.ledger

    def submit(self, *specs):
        for job in specs:
            self.scheduler.submit(job, job.job_id, self.now, self.now)

    def schedule(self, after=0.0):
        """Advance the clock by ``after`` seconds; return the tasks placed, in order."""
        self.now += after
        self.scheduler.take_batch()
        while self.scheduler.schedule(self.now, self.now) >= 500:
            pass
        records = self.scheduler.take_batch().records
        return [r.task_id for r in records if isinstance(r, TaskAssigned)]

    def end(self, task_id, outcome="succeeded", result=b"", after=0.0):
        """Report the end of a task's current attempt; return the worker's id."""
        self.now += after
        task = self.ledger.tasks[task_id]
        worker_id = task.worker_id
        finished = [FinishedAttempt(task_id, task.attempt, outcome, result)]
        report = WorkerReport(worker_id, 1, CAPACITY, [], finished)
        self.scheduler.on_report(report, self.now, self.now)
        return worker_id

    def states(self, job_id):
        return [task.state.value for task in self.scheduler.view(job_id).tasks]

    def effects(self, kind):
        effects = self.scheduler.take_batch().effects
        return [effect for effect in effects if isinstance(effect, kind)]
