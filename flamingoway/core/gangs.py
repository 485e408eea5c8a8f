"""Reservation of capacity for a gang that has waited too long.

A gang is placed in one decision or not at all, so it never holds part of what it
needs. Small work may go past it until ``GANG_PATIENCE_S``. After that workers are
chosen for it, and what it needs there is withheld from other work until enough
tasks have ended. Only one gang has a reservation at a time, so two gangs can never
wait for each other.
"""

from collections import Counter
from dataclasses import dataclass

from ..model import Job, Resources
from .feasibility import slots_in
from .state import ShardState

GANG_PATIENCE_S = 10.0
# A plan that found too little capacity is tried again after this time.
REPLAN_S = 5.0


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity withheld for one gang: tasks by worker."""

    job_id: str
    shape: Resources
    tasks: Counter


class GangReserver:
    """Holds at most one reservation in a shard."""

    def __init__(self, state: ShardState):
        self._state = state
        self._held: Reservation | None = None
        self._blocked_since: dict[str, float] = {}
        self._plan_at = 0.0

    @property
    def holder(self) -> str | None:
        """Job id of the gang with the reservation, or ``None``."""
        return self._held.job_id if self._held else None

    def check(self) -> None:
        """Drop a reservation whose gang no longer waits or whose worker closed."""
        held = self._held
        if held is None:
            return
        closed = any(w not in self._state.index.open_workers for w in held.tasks)
        if held.job_id not in self._state.queue or closed:
            self.release(held.job_id)

    def note_blocked(self, job: Job, count: int) -> None:
        """Note that ``count`` tasks of a gang do not fit; may reserve for it."""
        now = self._state.now
        job_id = job.spec.job_id
        since = self._blocked_since.setdefault(job_id, now)
        if self._held or now < self._plan_at or now - since < GANG_PATIENCE_S:
            return
        self._plan_at = now + REPLAN_S
        self._forget_placed()
        avoid = {worker for task in job.tasks for worker in task.failed_on}
        shape = job.spec.resources
        tasks = self._plan(shape, count, avoid) or self._plan(shape, count, set())
        if tasks is not None:
            self._held = Reservation(job_id, shape, tasks)
            self._withhold(self._held)

    def release(self, job_id: str) -> None:
        """Drop the reservation of a gang, if it has one."""
        if self.holder == job_id:
            self._return(self._held)
            self._held = None

    def next_check(self) -> float | None:
        """Return when a waiting gang may get a reservation, or ``None``."""
        if self._held or not self._blocked_since:
            return None
        earliest = min(self._blocked_since.values()) + GANG_PATIENCE_S
        return max(earliest, self._plan_at)

    def ready_workers(self) -> list[str] | None:
        """Return a worker for each task of the holder once all have room."""
        held = self._held
        ledger = self._state.ledger
        workers: list[str] = []
        for worker_id, count in held.tasks.items():
            if not held.shape.times(count).fits_in(ledger.free_on(worker_id)):
                return None
            workers.extend([worker_id] * count)
        return workers

    def _forget_placed(self) -> None:
        queue = self._state.queue
        gone = [job_id for job_id in self._blocked_since if job_id not in queue]
        for job_id in gone:
            del self._blocked_since[job_id]

    def _plan(self, shape: Resources, count: int, avoid: set[str]) -> Counter | None:
        """Choose workers, those with the most free slots first.

        Services do not end on their own, so what they hold is left out.
        """
        index, ledger = self._state.index, self._state.ledger
        slots = []
        for worker_id in index.open_workers - avoid:
            capacity = index.infos[worker_id].capacity
            usable = capacity - ledger.service_used_on(worker_id)
            most = slots_in(usable, shape, count)
            if most > 0:
                free = max(0, slots_in(ledger.free_on(worker_id), shape, count))
                slots.append((-free, -most, worker_id))
        tasks: Counter = Counter()
        missing = count
        for _, most, worker_id in sorted(slots):
            tasks[worker_id] = min(-most, missing)
            missing -= tasks[worker_id]
            if missing == 0:
                return tasks
        return None

    def _withhold(self, held: Reservation) -> None:
        for worker_id, count in held.tasks.items():
            self._state.index.reserve(worker_id, held.shape.times(count))

    def _return(self, held: Reservation) -> None:
        for worker_id, count in held.tasks.items():
            self._state.index.unreserve(worker_id, held.shape.times(count))
