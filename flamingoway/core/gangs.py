"""Reservation of capacity for a gang that has waited too long.

A gang is placed in one decision or not at all, so it never holds part of what it
needs. Smaller work may overtake it for ``RESERVATION_DELAY_S``. After that, workers are
chosen for it, and the capacity that it needs there is reserved until enough running
tasks have ended. Capacity that becomes free on another worker is used instead. Only one
gang holds a reservation at a time, so that two gangs cannot deadlock. A reservation
that makes no progress is suspended from time to time, as it may wait for a task that
runs for hours. The time until then grows without a limit in a busy shard, where other
work takes what a suspended reservation had gained.
"""

import math
from collections import Counter
from dataclasses import dataclass, replace

from ..model import Job, Resources
from .feasibility import slots_in
from .hold import FIRST_HOLD_S, RESERVATION_DELAY_S, Hold, available_share
from .ledger import ZERO
from .policy import take_slots
from .state import ShardState

# Delay before the next plan for a gang after one that found too little capacity.
REPLAN_DELAY_S = 5.0
# Longest time without progress after a suspension while most of the resources that a
# gang needs were idle.
MAX_HOLD_S = 600.0
BUSY_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity reserved for one gang.

    Attributes:
        shape: Amount that one task takes.
        tasks: Number of tasks by worker id.
        avoid: Workers that receive none of the tasks.
        hold: Progress so far and the time of the next review.
    """

    job_id: str
    shape: Resources
    tasks: Counter
    avoid: set[str]
    hold: Hold


class GangReserver:
    """Holds at most one reservation in a shard."""

    def __init__(self, state: ShardState):
        self._state = state
        self._reservation: Reservation | None = None
        # Monotonic time of the next plan by job id of each gang that did not fit.
        self._plan_at: dict[str, float] = {}
        self._hold_s: dict[str, float] = {}
        self._checked_at = 0.0

    @property
    def holder(self) -> str | None:
        """Job id of the gang that holds the reservation, or ``None``."""
        return self._reservation.job_id if self._reservation else None

    def check(self) -> None:
        """Revise the reservation after changes of its gang, its workers or the time.

        Called at the start of each pass.
        """
        self._checked_at = self._state.now
        self._forget_dequeued()
        reservation = self._reservation
        if reservation is None:
            return
        ineligible = any(
            w not in self._state.index.eligible_workers for w in reservation.tasks
        )
        if reservation.job_id not in self._state.queue:
            self.release(reservation.job_id)
        elif ineligible:
            self._replan(reservation)
        elif self._checked_at >= reservation.hold.review_at:
            self._review(reservation)

    def note_blocked(self, job: Job, count: int) -> None:
        """Note that ``count`` tasks of a gang do not fit now.

        Reserves capacity if the gang has waited for ``RESERVATION_DELAY_S``.
        """
        now = self._state.now
        job_id = job.spec.job_id
        plan_at = self._plan_at.setdefault(job_id, now + RESERVATION_DELAY_S)
        if self._reservation or now < plan_at:
            return
        self._plan_at[job_id] = now + REPLAN_DELAY_S
        avoid = {worker for task in job.tasks for worker in task.failed_on}
        shape = job.spec.resources
        tasks = self._plan(shape, count, avoid)
        if tasks is None:
            avoid = set()
            tasks = self._plan(shape, count, avoid)
        if tasks is not None:
            hold_s = self._hold_s.setdefault(job_id, FIRST_HOLD_S)
            hold = Hold(hold_s, now + hold_s, self._available(shape, tasks))
            self._reservation = Reservation(job_id, shape, tasks, avoid, hold)
            self._reserve(self._reservation)

    def release(self, job_id: str) -> None:
        """Drop the reservation of a gang, if it has one."""
        if self.holder == job_id:
            self._unreserve(self._reservation)
            self._reservation = None

    def next_check(self) -> float | None:
        """Return when a reservation may begin or end next, or ``None``.

        The time is monotonic, in seconds.
        """
        if self._reservation:
            review_at = self._reservation.hold.review_at
            return review_at if review_at > self._checked_at else None
        # A plan that was due in the last pass has been made, or its gang waits for
        # something else than workers.
        later = (at for at in self._plan_at.values() if at > self._checked_at)
        return min(later, default=None)

    def ready_workers(self) -> list[str] | None:
        """Return a worker for each task of the holder, ``None`` without room for all.

        Tasks whose workers have no room yet are moved to others that have.
        """
        reservation = self._reservation
        missing = self._missing_slots()
        if missing:
            self._move(missing)
            if self._missing_slots():
                return None
        return list(reservation.tasks.elements())

    def _replan(self, reservation: Reservation) -> None:
        """Choose workers again; drop the reservation if they have too little capacity.

        Workers with free capacity come first, so that the gang keeps what it has.
        """
        self.release(reservation.job_id)
        count = reservation.tasks.total()
        tasks = self._plan(reservation.shape, count, reservation.avoid)
        if tasks is not None:
            self._reservation = replace(reservation, tasks=tasks)
            self._reserve(self._reservation)

    def _review(self, reservation: Reservation) -> None:
        """Let other work use the capacity for some time if none became free."""
        now, hold = self._state.now, reservation.hold
        shape, job_id = reservation.shape, reservation.job_id
        if hold.review(self._available(shape, reservation.tasks), now):
            return
        limit = MAX_HOLD_S if self._mostly_idle(shape) else math.inf
        self._hold_s[job_id] = min(limit, hold.next_duration_s)
        self._plan_at[job_id] = now + hold.duration_s
        self.release(job_id)

    def _available(self, shape: Resources, tasks: Counter) -> float:
        """Return the share of the capacity for ``tasks`` that is free now."""
        free_on = self._state.ledger.free_on
        available = sum(
            count * available_share(shape.times(count), free_on(worker_id))
            for worker_id, count in tasks.items()
        )
        return available / tasks.total()

    def _mostly_idle(self, shape: Resources) -> bool:
        """Tell whether most of each resource that a shape needs is unused."""
        index, ledger = self._state.index, self._state.ledger
        used = ZERO
        for worker_id in index.infos:
            used = used + ledger.used_on(worker_id)
        needed = used.restricted_to(shape)
        return needed.dominant_share(index.total) < BUSY_SHARE

    def _missing_slots(self) -> Counter:
        """Return the number of tasks of the holder without room, by worker id."""
        shape, ledger = self._reservation.shape, self._state.ledger
        missing: Counter = Counter()
        for worker_id, count in self._reservation.tasks.items():
            slots = max(0, slots_in(ledger.free_on(worker_id), shape, count))
            if slots < count:
                missing[worker_id] = count - slots
        return missing

    def _move(self, missing: Counter) -> None:
        """Move tasks without room to workers with free capacity, as far as it goes."""
        reservation, index = self._reservation, self._state.index
        fits = index.fits(reservation.shape)
        receivers = take_slots(fits, missing.total(), reservation.avoid)
        givers = [w for w, count in missing.most_common() for _ in range(count)]
        for giver, receiver in zip(givers, receivers, strict=False):
            index.unreserve(giver, reservation.shape)
            index.reserve(receiver, reservation.shape)
            reservation.tasks[giver] -= 1
            reservation.tasks[receiver] += 1
            if not reservation.tasks[giver]:
                del reservation.tasks[giver]

    def _forget_dequeued(self) -> None:
        state = self._state
        for job_id in list(self._plan_at):
            if job_id not in state.queue and state.delayed_until(job_id) is None:
                del self._plan_at[job_id]
                self._hold_s.pop(job_id, None)

    def _plan(self, shape: Resources, count: int, avoid: set[str]) -> Counter | None:
        """Choose workers, those with the most free slots first.

        Services do not end on their own, so the capacity that they use is excluded.

        Returns:
            Number of tasks by worker id, or ``None`` without enough capacity.
        """
        index, ledger = self._state.index, self._state.ledger
        slots = []
        for worker_id in index.eligible_workers - avoid:
            capacity = index.infos[worker_id].capacity
            usable = capacity - ledger.service_used_on(worker_id)
            max_slots = slots_in(usable, shape, count)
            if max_slots > 0:
                free = max(0, slots_in(ledger.free_on(worker_id), shape, count))
                slots.append((-free, -max_slots, worker_id))
        tasks: Counter = Counter()
        remaining = count
        for _, max_slots, worker_id in sorted(slots):
            tasks[worker_id] = min(-max_slots, remaining)
            remaining -= tasks[worker_id]
            if remaining == 0:
                return tasks
        return None

    def _reserve(self, reservation: Reservation) -> None:
        for worker_id, count in reservation.tasks.items():
            self._state.index.reserve(worker_id, reservation.shape.times(count))

    def _unreserve(self, reservation: Reservation) -> None:
        for worker_id, count in reservation.tasks.items():
            self._state.index.unreserve(worker_id, reservation.shape.times(count))
