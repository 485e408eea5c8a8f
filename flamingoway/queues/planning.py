"""Which waiting step starts next, and where.

Order. Steps whose job can still meet its latency objective come first, by the
queue's priority and then by the objective's time; jobs that are late already follow
and take what is left. This answers a flood: each core-second goes to work that is
still of full use, and nobody waits behind work that is late anyhow.

Gangs. A gang that does not fit holds the fewest workers that could take it, and
later steps leave their room alone. This answers a stream of small tasks that would
keep a gang of large ones waiting for ever.

Advice. A start on a queue with a policy needs a ticket that the advice service
gives out slowly. The first call names all workers; when the tickets have expired, the
room for a step is reserved while new ones are fetched for just the chosen workers.
"""

from collections.abc import Sequence

from .board import Board
from .decisions import DecisionLog
from .placing import Placement, gang_workers, needed, place_gang, place_tasks
from .runs import AskAdvice, StepRun, WorkerState

# A ticket must still be valid when the worker receives the start.
TICKET_MARGIN_S = 0.15
# The advice service takes at most this many ids a call.
MAX_ADVISED_WORKERS = 100
# Gangs that hold workers may hold this part of them together.
MAX_HELD_SHARE = 0.5
# A late job counts as able to meet its objective again if it misses by less, since
# declared durations are off.
LATE_GRACE = 0.3


class Planner:
    """Decides starts and calls for advice on a board.

    Args:
        board: The board.
        log: Decision log.
    """

    def __init__(self, board: Board, log: DecisionLog):
        self._board = board
        self._log = log
        self._held: dict[str, StepRun] = {}
        self._strays: set[str] = set()

    def run(self, now: float) -> int:
        """Start what can start; return the number of starts ordered."""
        board = self._board
        self._held = {}
        self._strays = board.stray_tasks()
        started = 0
        steps = sorted(board.waiting.values(), key=lambda s: self.rank(s, now))
        for step in steps:
            if step.retry_at > now or (step.job.inherited and board.unsettled):
                continue
            started += self._plan(step, now)
        return started

    def rank(self, step: StepRun, now: float) -> tuple:
        """Return the sorting key of a waiting step."""
        job = step.job
        allowance = LATE_GRACE * (job.objective_at - job.accepted_at)
        late = now + step.spec.estimate_s > job.objective_at + allowance
        return (late, job.queue.priority, job.objective_at, step.id)

    def _plan(self, step: StepRun, now: float) -> int:
        workers = list(self._board.eligible(step))
        if step.job.queue.advice is not None:
            return self._plan_advised(step, workers, now)
        placements = self._place(step, self._open_to(step, workers), now)
        if not placements:
            self._hold(step, workers)
        return self._start(step, placements, now)

    def _plan_advised(
        self, step: StepRun, workers: Sequence[WorkerState], now: float
    ) -> int:
        if step.asking:
            return 0
        unknown = [w for w in workers if w.entry.worker_id not in step.asked_workers]
        if step.good is None or (unknown and not step.good):
            self._ask(step, unknown or workers, now)
            return 0
        good = [w for w in workers if w.entry.worker_id in step.good]
        placements = self._place(step, self._open_to(step, good), now)
        if not placements:
            self._hold(step, good)
            self._refresh(step, good, now)
            return 0
        if self._tickets_hold(step, placements, now):
            return self._start(step, placements, now)
        step.reserved = [(w, needed(step.spec)) for _, w in placements]
        for worker, amount in step.reserved:
            worker.used = worker.used + amount
        self._ask(step, list({id(w): w for _, w in placements}.values()), now)
        return 0

    def _open_to(
        self, step: StepRun, workers: Sequence[WorkerState]
    ) -> list[WorkerState]:
        """Return the workers that no earlier gang holds."""
        return [
            worker
            for worker in workers
            if self._held.get(worker.entry.worker_id, step) is step
        ]

    def _place(
        self, step: StepRun, workers: Sequence[WorkerState], now: float
    ) -> list[Placement]:
        indexes = step.pending
        if self._strays:
            # The former run of a task must be gone before the next one.
            indexes = [i for i in indexes if step.task_id(i) not in self._strays]
        if step.spec.gang:
            whole = len(indexes) == step.spec.count
            return place_gang(step, workers, now) if whole else []
        sound = [w for w in workers if w.entry.worker_id not in step.avoid]
        return place_tasks(step, indexes, sound or workers, now)

    def _hold(self, step: StepRun, workers: Sequence[WorkerState]) -> None:
        """Keep workers free for a gang that does not fit yet."""
        if not step.spec.gang:
            return
        chosen = gang_workers(step, self._open_to(step, workers))
        limit = MAX_HELD_SHARE * len(self._board.workers)
        if chosen and len(self._held) + len(chosen) <= limit:
            for worker in chosen:
                self._held[worker.entry.worker_id] = step

    def _refresh(
        self, step: StepRun, workers: Sequence[WorkerState], now: float
    ) -> None:
        """Renew the tickets of a gang that holds workers, before it fits."""
        if step not in self._held.values():
            return
        duration = step.job.queue.advice.duration(len(workers))
        if now + duration + TICKET_MARGIN_S >= step.tickets_until:
            self._ask(step, workers, now)

    def _tickets_hold(
        self, step: StepRun, placements: list[Placement], now: float
    ) -> bool:
        if now + TICKET_MARGIN_S >= step.tickets_until:
            return False
        return all(w.entry.worker_id in step.tickets for _, w in placements)

    def _ask(self, step: StepRun, workers: Sequence[WorkerState], now: float) -> None:
        if not workers:
            return
        ids = tuple(w.entry.worker_id for w in workers[:MAX_ADVISED_WORKERS])
        step.asking = True
        duration = step.job.queue.advice.duration(len(ids))
        self._board.orders.append(AskAdvice(step, ids, self.rank(step, now), duration))

    def _start(self, step: StepRun, placements: list[Placement], now: float) -> int:
        if not placements:
            return 0
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
