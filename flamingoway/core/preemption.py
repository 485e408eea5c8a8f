"""Makes room for urgent work by stopping resumable work.

Only resumable, less urgent tasks are stopped, and they are checkpointed first. The
capacity that they free is reserved until the urgent task that claimed it is placed
or leaves the queue, the worker takes no more tasks, or ``CLAIM_TIMEOUT_S`` has passed.
"""

from collections.abc import Set
from dataclasses import dataclass
from itertools import islice

from ..model import Resources, Task, TaskState
from .fairness import Lane
from .ledger import MemberKey
from .quota import QuotaReserver
from .reports import Attempt
from .state import ShardState, member_of, preemptible

# A checkpoint is usually written within seconds; after this time the urgent task may
# preempt again.
CLAIM_TIMEOUT_S = 30.0
# Limits on the cost of one pass.
MAX_CLAIMS_PER_LANE = 16
MAX_WORKERS_SEARCHED = 64
MAX_CANDIDATES = 8


@dataclass(frozen=True, slots=True)
class Claim:
    """Reserved capacity of a worker for which one urgent task waits.

    Attributes:
        awaited: Attempts whose end frees the capacity.
    """

    worker_id: str
    need: Resources
    expires_at: float
    member: MemberKey
    awaited: list[Attempt]


class Preemptor:
    """Chooses and stops tasks in favour of urgent ones."""

    def __init__(self, state: ShardState, quotas: QuotaReserver):
        self._state = state
        self._quotas = quotas
        self._claims: dict[str, Claim] = {}
        # Attempts that had not ended when a claim that awaited them expired.
        self._overdue: set[Attempt] = set()
        self._last_searched = 0

    @property
    def claims(self) -> dict[str, Claim]:
        """Current claims by the id of the urgent task."""
        return self._claims

    def claimed_worker(self, task_id: str) -> str | None:
        """Return the worker on which capacity is claimed for a task, or ``None``."""
        claim = self._claims.get(task_id)
        return claim.worker_id if claim else None

    def check(self) -> None:
        """Drop claims that expired or serve no task or worker any more."""
        queue, now = self._state.queue, self._state.now
        eligible = self._state.index.eligible_workers
        for task_id, claim in list(self._claims.items()):
            usable = task_id in queue and claim.worker_id in eligible
            if not usable or now >= claim.expires_at:
                del self._claims[task_id]
                self._state.index.unreserve(claim.worker_id, claim.need)
                if usable:
                    self._overdue.update(claim.awaited)
        self._overdue = {a for a in self._overdue if self._is_stopping(a)}

    def next_check(self) -> float | None:
        """Return the monotonic time at which the next claim expires, or ``None``."""
        return min((claim.expires_at for claim in self._claims.values()), default=None)

    def make_room(self, lane: Lane) -> None:
        """Preempt for the first tasks of an urgent lane whose shape fits nowhere.

        Tasks are stopped on a worker where the urgent task failed only if no other
        worker qualifies.
        """
        need = lane.group.shape
        pending = sum(c.member == lane.member for c in self._claims.values())
        for task_id in list(islice(lane.entries, MAX_CLAIMS_PER_LANE)):
            if task_id in self._claims:
                continue
            if not self._quotas.fits(lane, need.times(pending + 1)):
                return
            if not self._claim(task_id, need):
                return
            pending += 1

    def _claim(self, task_id: str, need: Resources) -> bool:
        failed_on = set(self._state.ledger.tasks[task_id].failed_on)
        choice = self._choose(need, failed_on)
        if choice is None and failed_on:
            choice = self._choose(need, frozenset())
        if choice is None:
            return False
        worker_id, victims = choice
        for victim in victims:
            self._state.stop(victim, checkpoint=True)
        placed = self._state.ledger.placed_on(worker_id)
        awaited = [_attempt(t) for t in placed if t.state is TaskState.STOPPING]
        job = self._state.ledger.job_of(task_id)
        expires_at = self._state.now + CLAIM_TIMEOUT_S
        member = member_of(job)
        self._claims[task_id] = Claim(worker_id, need, expires_at, member, awaited)
        self._state.index.reserve(worker_id, need)
        return True

    def _choose(
        self, need: Resources, avoid: Set[str]
    ) -> tuple[str, list[Task]] | None:
        """Return a worker outside ``avoid`` and the tasks to stop there, or ``None``.

        Continues where the last search ended. Of the candidates found, the one with
        the fewest tasks is chosen, then the one with the fewest cores.
        """
        workers = self._state.preemptible_workers
        best: tuple[int, int, str, list[Task]] | None = None
        found = 0
        for _ in range(min(MAX_WORKERS_SEARCHED, len(workers))):
            self._last_searched = (self._last_searched + 1) % len(workers)
            worker_id = workers[self._last_searched]
            if worker_id in avoid:
                continue
            victims = self._victims(worker_id, need)
            if victims is None:
                continue
            cost = sum(self._shape(task).cores_milli for task in victims)
            candidate = (len(victims), cost, worker_id, victims)
            if best is None or candidate[:3] < best[:3]:
                best = candidate
            found += 1
            if found >= MAX_CANDIDATES:
                break
        return (best[2], best[3]) if best else None

    def _victims(self, worker_id: str, need: Resources) -> list[Task] | None:
        """Return the tasks to stop so that ``need`` becomes free, or ``None``."""
        if worker_id not in self._state.index.eligible_workers:
            return None
        placed = self._state.ledger.placed_on(worker_id)
        # Reserved capacity belongs to other claims or to a gang. What stopping tasks
        # still use counts as free, as they end soon, unless they are overdue.
        missing = need - Resources(*self._state.index.free(worker_id))
        for task in placed:
            stopping = task.state is TaskState.STOPPING
            if stopping and _attempt(task) not in self._overdue:
                missing = missing - self._shape(task)
        tasks = [task for task in placed if self._may_preempt(task)]
        if missing.fits_in(Resources()):
            return []
        sufficient = [t for t in tasks if missing.fits_in(self._shape(t))]
        if sufficient:
            return [min(sufficient, key=lambda t: self._shape(t).cores_milli)]
        chosen = []
        for task in sorted(tasks, key=lambda t: -self._shape(t).cores_milli):
            chosen.append(task)
            missing = missing - self._shape(task)
            if missing.fits_in(Resources()):
                return chosen
        return None

    def _is_stopping(self, attempt: Attempt) -> bool:
        task = self._state.ledger.tasks.get(attempt.task_id)
        if task is None or task.attempt != attempt.attempt:
            return False
        return task.state is TaskState.STOPPING

    def _may_preempt(self, task: Task) -> bool:
        spec = self._state.ledger.jobs[task.job_id].spec
        return task.state is TaskState.ASSIGNED and preemptible(spec)

    def _shape(self, task: Task) -> Resources:
        return self._state.ledger.jobs[task.job_id].spec.resources


def _attempt(task: Task) -> Attempt:
    return Attempt(task.task_id, task.attempt)
