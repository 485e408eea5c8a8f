"""Which waiting step starts next, and where.

Order. Steps whose job can still meet its latency objective come first, by the
queue's priority and then the smallest work; jobs that are late already follow by the
objective's time, and those that are too late to be of use come last. This answers a
flood: each core-second goes to work that is still of full use, nobody waits behind work
that is late anyhow, and as many jobs as possible are in time.

Gangs. A gang that does not fit holds the fewest workers that could take it, and
later steps leave their room alone. This answers a stream of small tasks that would
keep a gang of large ones waiting for ever. While much of the room is free, only the
first gang holds some: a backlog of gangs after a flood would otherwise keep each other
waiting.

Advice. A start on a queue with a policy needs a ticket that the advice service
gives out slowly. The first call names many workers; when the tickets have expired, the
room for a step is reserved while new ones are fetched for just the chosen workers.

Backlog. A step that found no room is tried again only on workers whose room has
grown since, so that a pass over hundreds of waiting steps stays short.
"""

from collections.abc import Iterable, Sequence

from .board import Board
from .decisions import DecisionLog
from .placing import (
    FreeCapacity,
    Placement,
    Spot,
    capacity_of,
    gang_workers,
    needed,
    place_gang,
    place_tasks,
)
from .runs import AskAdvice, StepRun, WorkerState

# A ticket must still be valid when the worker receives the start.
TICKET_MARGIN_S = 0.15
# The advice service takes at most this many ids a call.
MAX_ADVISED_WORKERS = 100
# Gangs that hold workers may hold this part of them together.
MAX_HELD_SHARE = 0.5
# Only the first gang holds workers while less of the processors is in use: other work
# should not wait for room that stands empty.
MIN_USED_SHARE = 0.6
# A job that ends later than this many times its objective is of no use to its caller
# any more, as the users' rules state.
USELESS_FACTOR = 3.0


class Planner:
    """Decides starts and calls for advice on a board.

    Args:
        board: The board.
        log: Decision log.
    """

    def __init__(self, board: Board, log: DecisionLog):
        self._board = board
        self._log = log
        self._free = FreeCapacity((), {}, 0.0)
        self._marks: dict[str, tuple] = {}
        # Workers held by gangs, by step; kept from pass to pass.
        self._holds: dict[str, list[Spot]] = {}
        # Gangs by the worker that they hold, with the first part of their rank.
        self._held: dict[str, tuple[StepRun, int]] = {}
        self._strays: set[str] = set()

    def run(self, now: float) -> int:
        """Start what can start; return the number of starts ordered."""
        board = self._board
        self._forget_holds()
        free = self._free = FreeCapacity(board.workers.values(), self._marks, now)
        held_before, self._held = self._held, {}
        self._strays = board.stray_tasks()
        started = 0
        steps = sorted(board.waiting.values(), key=lambda s: self.rank(s, now))
        for step in steps:
            if step.retry_at > now or (step.job.inherited and board.unsettled):
                # Room that comes meanwhile is not seen in this pass.
                step.blocked = False
                continue
            started += self._plan(step, now)
        self._marks = free.marks()
        # Room that a gang gave up, or that now comes before it, counts as new.
        for worker_id in held_before.keys() | self._held.keys():
            if held_before.get(worker_id) != self._held.get(worker_id):
                self._marks.pop(worker_id, None)
        return started

    def rank(self, step: StepRun, now: float) -> tuple:
        """Return the sorting key of a waiting step."""
        job, spec = step.job, step.spec
        end = now + step.chain_s
        if end <= job.objective_at:
            work = spec.count * spec.resources.cores_milli * spec.estimate_s
            return (0, job.queue.priority, work, step.id)
        objective_s = job.objective_at - job.accepted_at
        useless = end > job.accepted_at + USELESS_FACTOR * objective_s
        return (1 + useless, job.queue.priority, job.objective_at, step.id)

    def _plan(self, step: StepRun, now: float) -> int:
        if step.job.queue.advice is not None and not self._may_use_advice(step, now):
            step.blocked = False
            return 0
        spots = self._candidates(step)
        placements = self._place(step, spots) if spots else []
        step.blocked = len(placements) < len(step.pending) and not self._strays
        if not placements:
            self._hold(step, now)
            return 0
        if step.job.queue.advice is None or self._tickets_hold(step, placements, now):
            return self._start(step, placements, now)
        self._reserve(step, placements, now)
        return 0

    # Room

    def _candidates(self, step: StepRun) -> list[Spot]:
        """Return the workers that may have room for a step now."""
        grown = self._free.grown
        if step.blocked and step.good is not None and grown.isdisjoint(step.good):
            return []
        spots = self._open_to(step, self._sound(step))
        if not step.blocked:
            return spots
        if step.spec.gang:
            return spots if any(s.worker_id in grown for s in spots) else []
        return [spot for spot in spots if spot.worker_id in grown]

    def _sound(self, step: StepRun) -> list[Spot]:
        """Return the workers on which no task of a step failed, or all of them."""
        spots = self._free.eligible(step)
        if not step.avoid or step.spec.gang:
            return spots
        return [s for s in spots if s.worker_id not in step.avoid] or spots

    def _open_to(self, step: StepRun, spots: Iterable[Spot]) -> list[Spot]:
        """Return the workers that no earlier gang holds."""
        if not self._held:
            return list(spots)
        held = self._held
        return [
            spot
            for spot in spots
            if spot.worker_id not in held or held[spot.worker_id][0] is step
        ]

    def _place(self, step: StepRun, spots: Sequence[Spot]) -> list[Placement]:
        indexes = step.pending
        if self._strays:
            # The former run of a task must be gone before the next one.
            indexes = [i for i in indexes if step.task_id(i) not in self._strays]
        if step.spec.gang:
            whole = len(indexes) == step.spec.count
            return place_gang(step, spots) if whole else []
        return place_tasks(step, indexes, spots)

    # Holds

    def _hold(self, step: StepRun, now: float) -> None:
        """Keep workers free for a gang that does not fit yet."""
        if not step.spec.gang:
            return
        if self._held and self._free.used_share < MIN_USED_SHARE:
            return
        left = int(MAX_HELD_SHARE * len(self._board.workers)) - len(self._held)
        chosen = self._still_open(self._holds.pop(step.id, ()))
        if not chosen and left > 0:
            spots = self._open_to(step, self._free.eligible(step))
            chosen = gang_workers(step, spots, left)
        if not chosen or len(chosen) > left:
            return
        self._holds[step.id] = chosen
        holder = (step, self.rank(step, now)[0])
        for spot in chosen:
            self._held[spot.worker_id] = holder
        if step.job.queue.advice is not None and not step.asking:
            self._refresh(step, chosen, now)

    def _forget_holds(self) -> None:
        """Drop the holds of gangs that do not wait any more."""
        for step_id in self._holds.keys() - self._board.waiting.keys():
            for spot in self._holds.pop(step_id):
                self._marks.pop(spot.worker_id, None)

    def _still_open(self, spots: Sequence[Spot]) -> list[Spot]:
        """Return this pass's spots of workers that a gang held, or none."""
        found = []
        for spot in spots:
            current = self._free.spots.get(spot.worker_id)
            if current is None or spot.worker_id in self._held:
                return []
            found.append(current)
        return found

    # Advice

    def _may_use_advice(self, step: StepRun, now: float) -> bool:
        """Return whether a step's allowed workers are known; ask if they are not."""
        if step.asking:
            if step.id in self._holds:
                self._hold(step, now)
            return False
        if step.good is not None and (step.enough or self._is_enough(step)):
            return True
        workers = list(self._board.eligible(step))
        unknown = [w for w in workers if w.entry.worker_id not in step.asked_workers]
        if not unknown and step.good:
            step.enough = True
            return True
        self._ask(step, unknown or workers, now)
        return False

    def _is_enough(self, step: StepRun) -> bool:
        """Return whether the allowed workers could hold a step if they were empty."""
        room = sum(capacity_of(step, spot) for spot in self._free.eligible(step))
        step.enough = room >= step.spec.count
        return step.enough

    def _refresh(self, step: StepRun, spots: Sequence[Spot], now: float) -> None:
        """Renew the tickets of a gang that holds workers, before it fits."""
        duration = step.job.queue.advice.duration(len(spots))
        if now + duration + TICKET_MARGIN_S >= step.tickets_until:
            self._ask(step, [spot.worker for spot in spots], now)

    def _tickets_hold(
        self, step: StepRun, placements: list[Placement], now: float
    ) -> bool:
        if now + TICKET_MARGIN_S >= step.tickets_until:
            return False
        return all(w.entry.worker_id in step.tickets for _, w in placements)

    def _reserve(self, step: StepRun, placements: list[Placement], now: float) -> None:
        """Keep the room for a step while its tickets are renewed."""
        step.reserved = [(w, needed(step.spec)) for _, w in placements]
        for worker, amount in step.reserved:
            worker.used = worker.used + amount
        self._ask(step, list({id(w): w for _, w in placements}.values()), now)

    def _ask(self, step: StepRun, workers: Sequence[WorkerState], now: float) -> None:
        if not workers:
            return
        if len(workers) > MAX_ADVISED_WORKERS:
            workers = sorted(workers, key=lambda w: -w.free.cores_milli)
        ids = tuple(w.entry.worker_id for w in workers[:MAX_ADVISED_WORKERS])
        step.asking = True
        duration = step.job.queue.advice.duration(len(ids))
        self._board.orders.append(AskAdvice(step, ids, self.rank(step, now), duration))

    # Starts

    def _start(self, step: StepRun, placements: list[Placement], now: float) -> int:
        board = self._board
        gang_number = 0
        if step.spec.gang:
            gang_number = step.next_number(0, board.epoch)
        for index, worker in placements:
            number = gang_number or step.next_number(index, board.epoch)
            step.pending.remove(index)
            board.start_run(step, index, number, worker, now)
        board.update_waiting(step)
        job = step.job
        self._log.write(
            "tasks placed",
            job=job.spec.job_id,
            step=step.id,
            tasks=len(placements),
            left=len(step.pending),
            workers=sorted({w.entry.worker_id for _, w in placements}),
            waited_s=round(now - step.due_at, 3),
            objective_in_s=round(job.objective_at - now, 3),
            ticket_left_s=_left(step, now),
        )
        return len(placements)


def _left(step: StepRun, now: float) -> float | None:
    if step.job.queue.advice is None:
        return None
    return round(step.tickets_until - now, 3)
