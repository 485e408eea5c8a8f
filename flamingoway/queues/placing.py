"""Choice of workers for the tasks of one step.

Packs tasks tightly, so that wide steps and gangs of large tasks still find room
when the workers are nearly full.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..model import Resources
from .model import Step, WorkerEntry
from .runs import StepRun, WorkerState

Placement = tuple[int, WorkerState]
# Tasks on a worker whose health sets no limit; more than fit into any.
UNLIMITED = 10_000


@dataclass(slots=True, eq=False)
class Spot:
    """What is free on one worker during one pass of the planner.

    Attributes:
        cores: Free processors, in thousandths of a core.
        memory: Free memory in MB.
        accelerators: Free accelerators.
        tasks: Further tasks that the worker's health allows.
    """

    worker: WorkerState
    cores: int
    memory: int
    accelerators: int
    tasks: int

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.worker.entry.worker_id

    def slots(self, needs: Resources) -> int:
        """Return how many tasks fit."""
        return min(
            _times(self.cores, self.memory, self.accelerators, needs), self.tasks
        )

    def take(self, needs: Resources, count: int) -> None:
        """Use the room of some tasks."""
        self.cores -= needs.cores_milli * count
        self.memory -= needs.memory_mb * count
        self.accelerators -= needs.accelerators * count
        self.tasks -= count

    def mark(self) -> tuple[int, int, int, int, WorkerEntry]:
        """Return what later passes compare with."""
        entry = self.worker.entry
        return self.cores, self.memory, self.accelerators, self.tasks, entry


def _times(cores: int, memory: int, accelerators: int, needs: Resources) -> int:
    slots = UNLIMITED
    if needs.cores_milli > 0:
        slots = cores // needs.cores_milli
    if needs.memory_mb > 0:
        slots = min(slots, memory // needs.memory_mb)
    if needs.accelerators > 0:
        slots = min(slots, accelerators // needs.accelerators)
    return max(0, slots)


class FreeCapacity:
    """Room on all usable workers during one pass of the planner.

    Args:
        workers: The workers.
        before: Marks that the pass before ended with, by worker id.
        now: Time of the pass.

    Attributes:
        spots: Usable workers by id.
        grown: Ids of the workers with more room than at the end of the pass before.
        used_share: Part of the processors that are in use or reserved.
    """

    def __init__(
        self, workers: Iterable[WorkerState], before: dict[str, tuple], now: float
    ):
        self.spots: dict[str, Spot] = {}
        self.grown: set[str] = set()
        cores = free = 0
        for worker in workers:
            if not worker.usable:
                continue
            limit = worker.health.limit(now)
            tasks = UNLIMITED if limit is None else max(0, limit - len(worker.runs))
            used, capacity = worker.used, worker.entry.capacity
            spot = Spot(
                worker,
                capacity.cores_milli - used.cores_milli,
                capacity.memory_mb - used.memory_mb,
                capacity.accelerators - used.accelerators,
                tasks,
            )
            cores += capacity.cores_milli
            free += spot.cores
            worker_id = worker.entry.worker_id
            self.spots[worker_id] = spot
            mark = before.get(worker_id)
            if mark is None or mark[4] is not worker.entry or _exceeds(spot, mark):
                self.grown.add(worker_id)
        self.used_share = 1.0 - free / cores if cores else 0.0

    def marks(self) -> dict[str, tuple]:
        """Return what is free at the end of the pass, by worker id."""
        return {worker_id: spot.mark() for worker_id, spot in self.spots.items()}

    def eligible(self, step: StepRun) -> list[Spot]:
        """Return the workers on which tasks of a step may run."""
        spots = self.spots
        if step.good is None:
            found: Iterable[Spot] = spots.values()
        else:
            found = [spots[w] for w in step.good if w in spots]
        return [spot for spot in found if step.may_run_on(spot.worker.entry)]


def _exceeds(spot: Spot, mark: tuple) -> bool:
    return (
        spot.cores > mark[0]
        or spot.memory > mark[1]
        or spot.accelerators > mark[2]
        or spot.tasks > mark[3]
    )


def needed(step: Step) -> Resources:
    """Return what a task holds; a filler takes only processors left by others."""
    if not step.filler:
        return step.resources
    return Resources(0, step.resources.memory_mb, step.resources.accelerators)


def place_tasks(
    step: StepRun, indexes: Sequence[int], spots: Iterable[Spot]
) -> list[Placement]:
    """Place as many tasks as there is room for, on the fullest workers."""
    return _fill(step, indexes, _rooms(step, spots), step.spec.data_rack)


def place_gang(step: StepRun, spots: Iterable[Spot]) -> list[Placement]:
    """Place all tasks of a gang, or none."""
    count = step.spec.count
    rooms = _rooms(step, spots)
    if sum(slots for slots, _ in rooms) < count:
        return []
    rack = _gang_rack(step, rooms)
    return _fill(step, range(count), rooms, rack)


def _rooms(step: StepRun, spots: Iterable[Spot]) -> list[tuple[int, Spot]]:
    """Return how many tasks of a step fit on each worker, where any do."""
    needs, per_worker = needed(step.spec), step.spec.per_worker
    mine: dict[str, int] = {}
    if per_worker:
        for run in step.live.values():
            worker_id = run.worker.entry.worker_id
            mine[worker_id] = mine.get(worker_id, 0) + 1
    cores, memory = needs.cores_milli, needs.memory_mb
    rooms = []
    for spot in spots:
        if spot.cores < cores or spot.memory < memory:
            continue
        slots = spot.slots(needs)
        if per_worker:
            slots = min(slots, per_worker - mine.get(spot.worker_id, 0))
        if slots > 0:
            rooms.append((slots, spot))
    return rooms


def _fill(
    step: StepRun, indexes: Sequence[int], rooms: list[tuple[int, Spot]], rack: str
) -> list[Placement]:
    needs = needed(step.spec)

    def tightness(room: tuple[int, Spot]) -> tuple:
        spot = room[1]
        away = bool(rack) and rack not in spot.worker.entry.labels
        return (away, spot.cores, spot.memory, spot.worker_id)

    placed: list[Placement] = []
    for slots, spot in sorted(rooms, key=tightness):
        chosen = indexes[len(placed) : len(placed) + slots]
        if not chosen:
            break
        spot.take(needs, len(chosen))
        placed += [(index, spot.worker) for index in chosen]
    return placed


def _gang_rack(step: StepRun, rooms: list[tuple[int, Spot]]) -> str:
    """Return the rack that a gang should keep to; empty for any."""
    if not step.spec.same_rack:
        return step.spec.data_rack
    room_of_rack: dict[str, int] = {}
    for slots, spot in rooms:
        for label in spot.worker.entry.labels:
            room_of_rack[label] = room_of_rack.get(label, 0) + slots
    fitting = sorted(r for r, slots in room_of_rack.items() if slots >= step.spec.count)
    if step.spec.data_rack in fitting or not fitting:
        return step.spec.data_rack
    return fitting[0]


def gang_workers(step: StepRun, spots: Sequence[Spot], most: int) -> list[Spot]:
    """Return the fewest workers that could hold a gang once they are empty.

    Workers with the most room now come first, so that the gang can start soon.

    Args:
        step: A step whose tasks work only together.
        spots: Workers to choose from.
        most: Largest number of workers; nothing is returned if more are needed.
    """
    capacities = [capacity_of(step, spot) for spot in spots]
    largest = max(capacities, default=0)
    if largest * most < step.spec.count:
        return []
    needs = needed(step.spec)
    ranked = sorted(
        (spot.slots(needs) * 2 + capacity, spot.worker_id, capacity, spot)
        for capacity, spot in zip(capacities, spots, strict=True)
        if capacity
    )
    chosen: list[Spot] = []
    slots = 0
    while ranked and slots < step.spec.count:
        _, _, capacity, spot = ranked.pop()
        chosen.append(spot)
        slots += capacity
    return chosen if slots >= step.spec.count else []


def capacity_of(step: StepRun, spot: Spot) -> int:
    """Return how many tasks of a step fit on a worker that is empty."""
    has = spot.worker.entry.capacity
    slots = step.slots_when_empty.get(has)
    if slots is None:
        needs = needed(step.spec)
        slots = _times(has.cores_milli, has.memory_mb, has.accelerators, needs)
        if step.spec.per_worker:
            slots = min(slots, step.spec.per_worker)
        step.slots_when_empty[has] = slots
    return slots
