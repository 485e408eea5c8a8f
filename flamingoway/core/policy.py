"""Placement policies: which workers receive the tasks of a job.

A policy only chooses; the scheduler records the choice. ``place`` returns one
worker per task, in order, or ``None`` if not all of the tasks can be placed now.
"""

from collections import Counter
from collections.abc import Set
from typing import Protocol

from ..model import Job, Policy, Task
from ..registry import Registry
from .index import CandidateList, WorkerIndex

Avoid = Set[str]


class PlacementPolicy(Protocol):
    """Chooses workers for tasks."""

    def place(
        self, job: Job, tasks: list[Task], index: WorkerIndex, avoid: Avoid
    ) -> list[str] | None:
        """Return a worker for each task, or ``None`` if they do not all fit.

        Args:
            job: The job.
            tasks: Its tasks to place; only gangs have more than one.
            index: Workers and their free capacity.
            avoid: Workers on which the tasks failed.
        """


policies: Registry[PlacementPolicy] = Registry("placement policy")


def may_use_reserved(job: Job) -> bool:
    """Tell whether a job may use reserved capacity."""
    return job.spec.urgent


class BatchPolicy:
    """Best fit: the worker with the least left of the scarcest resource."""

    def place(
        self, job: Job, tasks: list[Task], index: WorkerIndex, avoid: Avoid
    ) -> list[str] | None:
        """Return the worker with the least left over for the first of ``tasks``."""
        fits = index.fits(job.spec.resources, may_use_reserved(job))
        for worker_id in fits.best_fit():
            if worker_id not in avoid:
                return [worker_id]
        return None


class ServicePolicy:
    """Spreads replicas over zones, then racks, then workers."""

    def place(
        self, job: Job, tasks: list[Task], index: WorkerIndex, avoid: Avoid
    ) -> list[str] | None:
        """Return the worker that leaves the replicas most evenly spread."""
        fits = index.fits(job.spec.resources, may_use_reserved(job))
        racks = fits.racks()
        if not racks:
            return None
        zone_counts, rack_counts, worker_counts = _replica_counts(job, index)
        fewest = min(zone_counts[zone] for zone in {rack[0] for rack in racks})
        candidates = [rack for rack in racks if zone_counts[rack[0]] == fewest]
        rack = min(candidates, key=lambda r: (rack_counts[r], -racks[r][-1][0][1], r))
        entries = reversed(racks[rack])
        return [min((entry[1] for entry in entries), key=lambda w: worker_counts[w])]


def _replica_counts(job: Job, index: WorkerIndex) -> tuple[Counter, Counter, Counter]:
    """Return the placed replicas of a job by zone, by rack and by worker."""
    workers = Counter(task.worker_id for task in job.tasks if task.state.placed)
    zones: Counter = Counter()
    racks: Counter = Counter()
    for worker_id, count in workers.items():
        if worker_id not in index.infos:
            continue
        rack = index.rack_of(worker_id)
        racks[rack] += count
        zones[rack[0]] += count
    return zones, racks, workers


class GangPolicy:
    """Places all tasks in one decision or none, on as few workers as possible."""

    def place(
        self, job: Job, tasks: list[Task], index: WorkerIndex, avoid: Avoid
    ) -> list[str] | None:
        """Return a worker for each of ``tasks``, or ``None``."""
        fits = index.fits(job.spec.resources, may_use_reserved(job))
        chosen = take_slots(fits, len(tasks), avoid)
        return chosen if len(chosen) == len(tasks) else None


def take_slots(fits: CandidateList, wanted: int, avoid: Avoid) -> list[str]:
    """Return up to ``wanted`` workers, one entry per task, most free worker first."""
    chosen: list[str] = []
    for worker_id in fits.worst_fit():
        if worker_id in avoid:
            continue
        slots = min(fits.slots(worker_id), wanted - len(chosen))
        chosen.extend([worker_id] * slots)
        if len(chosen) == wanted:
            break
    return chosen


policies.register(Policy.BATCH)(BatchPolicy())
policies.register(Policy.SERVICE)(ServicePolicy())
policies.register(Policy.GANG)(GangPolicy())
