"""Candidate workers indexed by free capacity.

One sorted list per task shape holds the workers on which a task of that shape fits
now. The kinds in the documents have a few tens of shapes, so a decision costs one
lookup in a list and a change of one worker costs one update per list, both almost
independent of the number of workers.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator
from itertools import islice

from ..model import Resources, WorkerInfo
from .ledger import ZERO, Ledger

# Exceeds the number of shapes in all documents; the oldest list is dropped beyond it.
MAX_CANDIDATE_LISTS = 64

Free = tuple[int, int, int]
Entry = tuple[tuple[int, float, float], str]
Rack = tuple[str, str]


class CandidateList:
    """Workers on which one shape fits, best fit first.

    Args:
        index: Index that owns the list.
        shape: Resources of one task.
        include_reserved: Whether reserved capacity counts as free.
    """

    def __init__(self, index: "WorkerIndex", shape: Resources, include_reserved: bool):
        self._index = index
        self._shape = shape
        self._include_reserved = include_reserved
        self._entries: list[Entry] = []
        self._entry_by_worker: dict[str, Entry] = {}
        # Filled only for the shapes of services, which are spread over racks.
        self._racks: dict[Rack, list[Entry]] | None = None
        self._dirty: set[str] = set(index.eligible_workers)

    @property
    def shape(self) -> Resources:
        """Resources of one task."""
        return self._shape

    def touch(self, worker_id: str) -> None:
        """Mark the free capacity of a worker as changed."""
        self._dirty.add(worker_id)

    def best_fit(self) -> Iterator[str]:
        """Yield the workers, those with the least capacity left over first."""
        self._update()
        for _, worker_id in self._entries:
            yield worker_id

    def worst_fit(self) -> Iterator[str]:
        """Yield the workers, those with the most capacity left over first."""
        self._update()
        for _, worker_id in reversed(self._entries):
            yield worker_id

    def racks(self) -> dict[Rack, list[Entry]]:
        """Return the workers by rack, best fit first."""
        self._update()
        if self._racks is None:
            self._racks = {}
            for entry in self._entries:
                self._racks.setdefault(self._index.rack_of(entry[1]), []).append(entry)
        return self._racks

    def any(self) -> bool:
        """Return whether the shape fits on any worker."""
        self._update()
        return bool(self._entries)

    def slots(self, worker_id: str) -> int:
        """Return the number of tasks of the shape that fit on a worker."""
        free = self._index.free(worker_id, self._include_reserved)
        need = self._shape
        counts = [
            available // needed
            for available, needed in zip(free, _amounts(need), strict=True)
            if needed > 0
        ]
        return min(counts, default=0)

    def _update(self) -> None:
        if not self._dirty:
            return
        for worker_id in self._dirty:
            self._update_worker(worker_id)
        self._dirty.clear()

    def _update_worker(self, worker_id: str) -> None:
        old = self._entry_by_worker.pop(worker_id, None)
        if old is not None:
            self._remove(old)
        if worker_id not in self._index.eligible_workers:
            return
        key = self._index.fit_key(worker_id, self._shape, self._include_reserved)
        if key is None:
            return
        entry = (key, worker_id)
        self._entry_by_worker[worker_id] = entry
        insort(self._entries, entry)
        if self._racks is not None:
            insort(self._racks.setdefault(self._index.rack_of(worker_id), []), entry)

    def _remove(self, entry: Entry) -> None:
        del self._entries[bisect_left(self._entries, entry)]
        if self._racks is None:
            return
        rack_id = self._index.rack_of(entry[1])
        rack = self._racks[rack_id]
        del rack[bisect_left(rack, entry)]
        if not rack:
            del self._racks[rack_id]


class WorkerIndex:
    """Known workers, their free capacity, and a list of fitting workers per shape."""

    def __init__(self, ledger: Ledger):
        self._ledger = ledger
        self._infos: dict[str, WorkerInfo] = {}
        self._rack_of: dict[str, Rack] = {}
        self._eligible: set[str] = set()
        self._free: dict[str, Free] = {}
        self._reserved: dict[str, Free] = {}
        self._lists: dict[tuple[int, int, int, bool], CandidateList] = {}
        self._scarcest = 0
        self._total = ZERO

    @property
    def infos(self) -> dict[str, WorkerInfo]:
        """Known workers by id."""
        return self._infos

    @property
    def eligible_workers(self) -> set[str]:
        """Workers that may receive new tasks."""
        return self._eligible

    @property
    def total(self) -> Resources:
        """Total capacity of all known workers."""
        return self._total

    def count_large_enough(self, shape: Resources, limit: int) -> int:
        """Count the eligible workers on which a shape would fit if they were empty.

        Counting stops at ``limit``.
        """
        infos = (self._infos[worker_id] for worker_id in self._eligible)
        fitting = (info for info in infos if shape.fits_in(info.capacity))
        return sum(1 for _ in islice(fitting, limit))

    def rack_of(self, worker_id: str) -> Rack:
        """Return zone and rack of a worker.

        Remains available after ``remove_worker``, because the lists are updated later.
        """
        return self._rack_of[worker_id]

    def set_worker(self, info: WorkerInfo) -> None:
        """Add a worker, or update its capacity and rack."""
        previous = self._infos.get(info.worker_id)
        rack = (info.zone, info.rack)
        if self._rack_of.get(info.worker_id, rack) != rack:
            self._lists.clear()
        self._infos[info.worker_id] = info
        self._rack_of[info.worker_id] = rack
        self._total = self._total + info.capacity
        if previous is not None:
            self._total = self._total - previous.capacity
        self.touch(info.worker_id)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker; what is reserved on it stays reserved if it returns."""
        info = self._infos.pop(worker_id, None)
        if info is None:
            return
        self._total = self._total - info.capacity
        self._eligible.discard(worker_id)
        self._free.pop(worker_id, None)
        self._mark_dirty(worker_id)

    def set_eligible(self, worker_id: str, eligible: bool) -> None:
        """Set whether a known worker may receive new tasks."""
        if eligible == (worker_id in self._eligible):
            return
        if eligible:
            self._eligible.add(worker_id)
        else:
            self._eligible.discard(worker_id)
        self._mark_dirty(worker_id)

    def touch(self, worker_id: str) -> None:
        """Reload the free capacity of a worker from the ledger."""
        if worker_id in self._infos:
            self._free[worker_id] = _amounts(self._ledger.free_on(worker_id))
            self._mark_dirty(worker_id)

    def reserve(self, worker_id: str, amount: Resources) -> None:
        """Reserve free capacity of a worker, so that ordinary placements skip it."""
        old = self._reserved.get(worker_id, (0, 0, 0))
        self._set_reserved(worker_id, _plus(old, _amounts(amount)))

    def unreserve(self, worker_id: str, amount: Resources) -> None:
        """Release an amount reserved by ``reserve``."""
        old = self._reserved.get(worker_id)
        if old is not None:
            self._set_reserved(worker_id, _minus(old, _amounts(amount)))

    def free(self, worker_id: str, include_reserved: bool = False) -> Free:
        """Return free cores (thousandths), memory (MB) and accelerators.

        Args:
            worker_id: A known worker.
            include_reserved: Whether reserved capacity counts as free.
        """
        free = self._free[worker_id]
        if include_reserved or worker_id not in self._reserved:
            return free
        return _minus(free, self._reserved[worker_id])

    def fit_key(
        self, worker_id: str, shape: Resources, include_reserved: bool
    ) -> tuple[int, float, float] | None:
        """Return the sort key of a worker for a shape, or ``None`` if it does not fit.

        For shapes without accelerators, workers with free accelerators come last.
        Otherwise the worker with the least of the scarcest resource left is first.
        """
        cores, memory, accelerators = self.free(worker_id, include_reserved)
        left_cores = cores - shape.cores_milli
        left_memory = memory - shape.memory_mb
        if left_cores < 0 or left_memory < 0 or accelerators < shape.accelerators:
            return None
        capacity = self._infos[worker_id].capacity
        cores_fraction = left_cores / (capacity.cores_milli or 1)
        memory_fraction = left_memory / (capacity.memory_mb or 1)
        wasted_accelerators = 0 if shape.accelerators else accelerators
        if self._scarcest == 0:
            return wasted_accelerators, cores_fraction, memory_fraction
        return wasted_accelerators, memory_fraction, cores_fraction

    def fits(self, shape: Resources, include_reserved: bool = False) -> CandidateList:
        """Return the list of workers on which a shape fits now.

        Args:
            shape: Resources of one task.
            include_reserved: Whether reserved capacity counts as free.
        """
        key = (*_amounts(shape), include_reserved)
        found = self._lists.get(key)
        if found is None:
            if len(self._lists) >= MAX_CANDIDATE_LISTS:
                del self._lists[next(iter(self._lists))]
            found = self._lists[key] = CandidateList(self, shape, include_reserved)
        return found

    def refresh(self) -> None:
        """Determine the scarcest resource; rebuild the lists if it changed."""
        used = ZERO
        for worker_id in self._infos:
            used = used + self._ledger.used_on(worker_id)
        fractions = [
            amount / total
            for amount, total in zip(
                _amounts(used)[:2], _amounts(self._total)[:2], strict=True
            )
            if total
        ]
        scarcest = fractions.index(max(fractions)) if fractions else 0
        if scarcest != self._scarcest:
            self._scarcest = scarcest
            self._lists.clear()

    def _set_reserved(self, worker_id: str, amount: Free) -> None:
        if max(amount) > 0:
            self._reserved[worker_id] = amount
        else:
            self._reserved.pop(worker_id, None)
        self._mark_dirty(worker_id)

    def _mark_dirty(self, worker_id: str) -> None:
        for candidates in self._lists.values():
            candidates.touch(worker_id)


def _amounts(amount: Resources) -> Free:
    return amount.cores_milli, amount.memory_mb, amount.accelerators


def _plus(left: Free, right: Free) -> Free:
    return left[0] + right[0], left[1] + right[1], left[2] + right[2]


def _minus(left: Free, right: Free) -> Free:
    return left[0] - right[0], left[1] - right[1], left[2] - right[2]
