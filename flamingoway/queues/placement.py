"""Choice of workers for the tasks of one step.

Packs tasks tightly, so that wide steps and gangs of large tasks still fit when the
workers are nearly full.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..model import Resources
from .model import Step, WorkerEntry
from .runs import MAX_CALLS_PER_WORKER, StepRun, WorkerState

Placement = tuple[int, WorkerState]
# Stands for no limit on the tasks of a worker; more than fit on any worker.
UNLIMITED_TASKS = 10_000


@dataclass(slots=True, eq=False)
class Candidate:
    """Free resources of one worker during one planner pass.

    Attributes:
        entry: Registry entry of the worker at the beginning of the pass.
        releases: Number of runs that had ended on it by then.
        cores: Free CPU, in thousandths of a core.
        memory: Free memory in MB.
        accelerators: Free accelerators.
        tasks: Number of further tasks that the worker's health allows.
        starts: Number of further start orders that may be in flight to the worker.
    """

    worker: WorkerState
    entry: WorkerEntry
    releases: int
    cores: int
    memory: int
    accelerators: int
    tasks: int
    starts: int

    @classmethod
    def of(cls, worker: WorkerState, now: float) -> "Candidate":
        """Return the free resources of a worker."""
        limit = worker.health.limit(now)
        tasks = UNLIMITED_TASKS
        if limit is not None:
            tasks = max(0, limit - len(worker.runs) - worker.reserved_tasks)
        entry = worker.entry
        used, capacity = worker.used, entry.capacity
        return cls(
            worker,
            entry,
            worker.releases,
            capacity.cores_milli - used.cores_milli,
            capacity.memory_mb - used.memory_mb,
            capacity.accelerators - used.accelerators,
            tasks,
            MAX_CALLS_PER_WORKER - worker.starting,
        )

    @property
    def worker_id(self) -> str:
        """Id of the worker."""
        return self.entry.worker_id

    def slots(self, needs: Resources) -> int:
        """Return how many tasks fit."""
        return min(
            _slots_in(self.cores, self.memory, self.accelerators, needs), self.tasks
        )

    def take(self, needs: Resources, count: int) -> None:
        """Subtract the resources of ``count`` tasks."""
        self.cores -= needs.cores_milli * count
        self.memory -= needs.memory_mb * count
        self.accelerators -= needs.accelerators * count
        self.tasks -= count
        self.starts -= count


def _slots_in(cores: int, memory: int, accelerators: int, needs: Resources) -> int:
    slots = UNLIMITED_TASKS
    if needs.cores_milli > 0:
        slots = cores // needs.cores_milli
    if needs.memory_mb > 0:
        slots = min(slots, memory // needs.memory_mb)
    if needs.accelerators > 0:
        slots = min(slots, accelerators // needs.accelerators)
    return max(0, slots)


class FreeCapacity:
    """Free resources of all usable workers during one planner pass.

    Args:
        workers: The workers.
        previous: Candidates at the end of the previous pass, by worker id.
        now: Time of the pass.

    Attributes:
        candidates: Usable workers by id.
        grown: Ids of workers on which a step may fit that did not in the previous pass:
            new ones, and those with a new registry entry, an ended run or more free
            resources.
        used_share: Fraction of the CPU that is in use or reserved.
    """

    def __init__(
        self, workers: Iterable[WorkerState], previous: dict[str, Candidate], now: float
    ):
        self.candidates: dict[str, Candidate] = {}
        self.grown: set[str] = set()
        cores = free = 0
        for worker in workers:
            if not worker.usable:
                continue
            candidate = Candidate.of(worker, now)
            cores += worker.entry.capacity.cores_milli
            free += candidate.cores
            worker_id = worker.entry.worker_id
            self.candidates[worker_id] = candidate
            before = previous.get(worker_id)
            if before is None or _has_gained(candidate, before):
                self.grown.add(worker_id)
        self.used_share = 1.0 - free / cores if cores else 0.0

    def eligible(self, step: StepRun) -> list[Candidate]:
        """Return the workers on which tasks of a step may run."""
        candidates = self.candidates
        if step.allowed_workers is None:
            found: Iterable[Candidate] = candidates.values()
        else:
            found = [candidates[w] for w in step.allowed_workers if w in candidates]
        return [c for c in found if step.may_run_on(c.entry)]


def _has_gained(candidate: Candidate, before: Candidate) -> bool:
    """Return whether a step that did not fit before may fit on a worker now.

    The end of a run gains room even if no resources were allocated to it, as a step may
    limit its tasks on one worker.
    """
    return (
        candidate.releases != before.releases
        or candidate.entry is not before.entry
        or candidate.cores > before.cores
        or candidate.memory > before.memory
        or candidate.accelerators > before.accelerators
        or candidate.tasks > before.tasks
        or candidate.starts > 0 >= before.starts
    )


def allocated_resources(step: Step) -> Resources:
    """Return the resources to allocate for a task.

    A filler task gets no CPU allocated, as it uses only CPU left idle by others.
    """
    if not step.filler:
        return step.resources
    return Resources(0, step.resources.memory_mb, step.resources.accelerators)


def place_tasks(
    step: StepRun, indexes: Sequence[int], candidates: Iterable[Candidate]
) -> list[Placement]:
    """Place as many tasks as fit, on the fullest workers first."""
    return _pack(step, indexes, available_slots(step, candidates), step.spec.data_rack)


def place_gang(step: StepRun, candidates: Iterable[Candidate]) -> list[Placement]:
    """Place all tasks of a gang, or none."""
    count = step.spec.count
    available = available_slots(step, candidates)
    if sum(slots for slots, _ in available) < count:
        return []
    rack = _gang_rack(step, available)
    return _pack(step, range(count), available, rack)


def available_slots(
    step: StepRun, candidates: Iterable[Candidate]
) -> list[tuple[int, Candidate]]:
    """Return the workers on which tasks of a step fit, with the number of tasks."""
    needs, per_worker = allocated_resources(step.spec), step.spec.per_worker
    running: dict[str, int] = {}
    if per_worker:
        for run in step.live.values():
            worker_id = run.worker.entry.worker_id
            running[worker_id] = running.get(worker_id, 0) + 1
    cores, memory = needs.cores_milli, needs.memory_mb
    available = []
    for candidate in candidates:
        if candidate.cores < cores or candidate.memory < memory:
            continue
        slots = candidate.slots(needs)
        if not step.spec.gang:
            # The tasks of a gang must start together, however many they are.
            slots = min(slots, candidate.starts)
        if per_worker:
            slots = min(slots, per_worker - running.get(candidate.worker_id, 0))
        if slots > 0:
            available.append((slots, candidate))
    return available


def _pack(
    step: StepRun,
    indexes: Sequence[int],
    available: list[tuple[int, Candidate]],
    rack: str,
) -> list[Placement]:
    needs = allocated_resources(step.spec)

    def tightness(item: tuple[int, Candidate]) -> tuple:
        candidate = item[1]
        off_rack = bool(rack) and rack not in candidate.worker.entry.labels
        return (off_rack, candidate.cores, candidate.memory, candidate.worker_id)

    placed: list[Placement] = []
    for slots, candidate in sorted(available, key=tightness):
        chosen = indexes[len(placed) : len(placed) + slots]
        if not chosen:
            break
        candidate.take(needs, len(chosen))
        placed += [(index, candidate.worker) for index in chosen]
    return placed


def _gang_rack(step: StepRun, available: list[tuple[int, Candidate]]) -> str:
    """Return the preferred rack of a gang; empty for any."""
    if not step.spec.same_rack:
        return step.spec.data_rack
    rack_slots: dict[str, int] = {}
    for slots, candidate in available:
        for label in candidate.worker.entry.labels:
            rack_slots[label] = rack_slots.get(label, 0) + slots
    fitting = sorted(r for r, slots in rack_slots.items() if slots >= step.spec.count)
    if step.spec.data_rack in fitting or not fitting:
        return step.spec.data_rack
    return fitting[0]


def choose_gang_workers(
    step: StepRun, candidates: Sequence[Candidate], max_workers: int
) -> list[Candidate]:
    """Return a small set of workers that could run a gang once their tasks have ended.

    Prefers workers with the most free resources now, so that the gang can start soon.

    Args:
        step: A gang step.
        candidates: Workers to choose from.
        max_workers: Limit on the number of workers. Nothing is returned if the gang
            would not fit on that many of the largest; the caller checks the length.
    """
    capacities = [slots_beside_lasting(step, candidate) for candidate in candidates]
    largest = max(capacities, default=0)
    if largest * max_workers < step.spec.count:
        return []
    needs = allocated_resources(step.spec)
    ranked = sorted(
        (
            candidate.slots(needs) * 2 + capacity,
            candidate.worker_id,
            capacity,
            candidate,
        )
        for capacity, candidate in zip(capacities, candidates, strict=True)
        if capacity
    )
    chosen: list[Candidate] = []
    slots = 0
    while ranked and slots < step.spec.count:
        _, _, capacity, candidate = ranked.pop()
        chosen.append(candidate)
        slots += capacity
    return chosen if slots >= step.spec.count else []


def slots_on_empty_worker(step: StepRun, candidate: Candidate) -> int:
    """Return how many tasks of a step fit on a worker when it is empty."""
    capacity = candidate.worker.entry.capacity
    slots = step.slots_when_empty.get(capacity)
    if slots is None:
        needs = allocated_resources(step.spec)
        slots = _slots_in(
            capacity.cores_milli, capacity.memory_mb, capacity.accelerators, needs
        )
        if step.spec.per_worker:
            slots = min(slots, step.spec.per_worker)
        step.slots_when_empty[capacity] = slots
    return slots


def slots_beside_lasting(step: StepRun, candidate: Candidate) -> int:
    """Return how many tasks of a step fit on a worker once its other tasks have ended.

    Lasting tasks do not end on their own, so the resources that they use are excluded.
    """
    slots = slots_on_empty_worker(step, candidate)
    lasting = [r.step for r in candidate.worker.runs.values() if r.step.spec.lasting]
    if not slots or not lasting:
        return slots
    usable = candidate.worker.entry.capacity
    for other in lasting:
        usable = usable - allocated_resources(other.spec)
    needs = allocated_resources(step.spec)
    free = _slots_in(usable.cores_milli, usable.memory_mb, usable.accelerators, needs)
    return min(slots, free)
