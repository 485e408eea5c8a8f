"""Choice of workers for the tasks of one step.

Packs tasks tightly, so that wide steps and gangs of large tasks still find room
when the workers are nearly full.
"""

from collections.abc import Iterable, Sequence

from ..model import Resources
from .model import Step
from .runs import StepRun, WorkerState

Placement = tuple[int, WorkerState]


class Room:
    """Free resources of the candidate workers while one step is being placed.

    Args:
        step: The step.
        workers: Candidates; their state is not changed.
        now: Time of the decision.
    """

    def __init__(self, step: StepRun, workers: Iterable[WorkerState], now: float):
        self._needs = needed(step.spec)
        self._slots: dict[str, int] = {}
        self._free: dict[str, Resources] = {}
        self._workers: dict[str, WorkerState] = {}
        mine: dict[str, int] = {}
        for run in step.live.values():
            worker_id = run.worker.entry.worker_id
            mine[worker_id] = mine.get(worker_id, 0) + 1
        for worker in workers:
            worker_id = worker.entry.worker_id
            slots = slots_in(worker.free, self._needs)
            if step.spec.per_worker:
                slots = min(slots, step.spec.per_worker - mine.get(worker_id, 0))
            limit = worker.health.limit(now)
            if limit is not None:
                slots = min(slots, limit - len(worker.runs))
            if slots > 0:
                self._slots[worker_id] = slots
                self._free[worker_id] = worker.free
                self._workers[worker_id] = worker

    @property
    def total(self) -> int:
        """Number of tasks that can be placed."""
        return sum(self._slots.values())

    def of_rack(self, rack: str) -> int:
        """Return the number of tasks that can be placed on a rack."""
        return sum(
            slots
            for worker_id, slots in self._slots.items()
            if rack in self._workers[worker_id].entry.labels
        )

    def take(self, rack: str = "", only: bool = False) -> WorkerState | None:
        """Return the worker for one task and use its room.

        Args:
            rack: Preferred rack; empty for none.
            only: Whether other racks are ruled out.
        """
        best, best_rank = None, None
        for worker_id, slots in self._slots.items():
            if slots <= 0:
                continue
            away = bool(rack) and rack not in self._workers[worker_id].entry.labels
            if away and only:
                continue
            free = self._free[worker_id]
            left = free.cores_milli - self._needs.cores_milli
            rank = (away, left, free.memory_mb)
            if best_rank is None or rank < best_rank:
                best, best_rank = worker_id, rank
        if best is None:
            return None
        self._slots[best] -= 1
        self._free[best] = self._free[best] - self._needs
        return self._workers[best]


def needed(step: Step) -> Resources:
    """Return what a task holds; a filler takes only processors left by others."""
    if not step.filler:
        return step.resources
    return Resources(0, step.resources.memory_mb, step.resources.accelerators)


def slots_in(free: Resources, needs: Resources) -> int:
    """Return how many times ``needs`` fits into ``free``."""
    slots = 10_000
    if needs.cores_milli > 0:
        slots = min(slots, free.cores_milli // needs.cores_milli)
    if needs.memory_mb > 0:
        slots = min(slots, free.memory_mb // needs.memory_mb)
    if needs.accelerators > 0:
        slots = min(slots, free.accelerators // needs.accelerators)
    return max(0, slots)


def place_tasks(
    step: StepRun, indexes: Sequence[int], workers: Iterable[WorkerState], now: float
) -> list[Placement]:
    """Place as many tasks as there is room for."""
    room = Room(step, workers, now)
    placed: list[Placement] = []
    for index in indexes:
        worker = room.take(step.spec.data_rack)
        if worker is None:
            break
        placed.append((index, worker))
    return placed


def place_gang(
    step: StepRun, workers: Sequence[WorkerState], now: float
) -> list[Placement]:
    """Place all tasks of a gang, or none."""
    count = step.spec.count
    room = Room(step, workers, now)
    if room.total < count:
        return []
    rack = _gang_rack(step, workers, room)
    placed = []
    for index in range(count):
        worker = room.take(rack)
        if worker is None:
            return []
        placed.append((index, worker))
    return placed


def _gang_rack(step: StepRun, workers: Sequence[WorkerState], room: Room) -> str:
    """Return the rack that a gang should keep to; empty for any."""
    if not step.spec.same_rack:
        return step.spec.data_rack
    racks = {label for worker in workers for label in worker.entry.labels}
    fitting = sorted(rack for rack in racks if room.of_rack(rack) >= step.spec.count)
    if step.spec.data_rack in fitting or not fitting:
        return step.spec.data_rack
    return fitting[0]


def gang_workers(step: StepRun, workers: Iterable[WorkerState]) -> list[WorkerState]:
    """Return the fewest workers that could hold a gang once they are empty.

    Workers with the most room now come first, so that the gang can start soon.
    """
    needs = needed(step.spec)
    ranked = sorted(
        workers, key=lambda w: slots_in(w.free, needs) * 2 + _capacity(w, step, needs)
    )
    chosen: list[WorkerState] = []
    slots = 0
    while ranked and slots < step.spec.count:
        worker = ranked.pop()
        capacity = _capacity(worker, step, needs)
        if capacity:
            chosen.append(worker)
            slots += capacity
    return chosen if slots >= step.spec.count else []


def _capacity(worker: WorkerState, step: StepRun, needs: Resources) -> int:
    slots = slots_in(worker.entry.capacity, needs)
    return min(slots, step.spec.per_worker) if step.spec.per_worker else slots
