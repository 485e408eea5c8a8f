"""One scheduling pass: places queued work in fair order."""

import enum

from ..model import Job, Policy, Task, TaskState
from .fairness import Lane, Tier
from .feasibility import fits_elsewhere
from .gangs import GangReserver
from .policy import policies
from .preemption import Preemptor
from .quota import QuotaReserver
from .state import ShardState

# A pass stops after this many placements, so that the owner can commit and serve
# other events between two passes.
MAX_PLACEMENTS_PER_PASS = 500
# Delay before another attempt if only workers on which the task failed have room.
AVOID_RETRY_DELAY_S = 2.0
# Time per failure for which a task is kept from such workers. Others may run for hours
# on all other workers.
AVOID_S_PER_FAILURE = 30.0


class Outcome(enum.Enum):
    """Result of an attempt to place the head of a lane."""

    PLACED = "placed"
    NO_ROOM = "no room"
    OVER_QUOTA = "over quota"
    LATER = "later"


class Placer:
    """Places the queued work of a shard."""

    def __init__(self, state: ShardState):
        self._state = state
        self._gangs = GangReserver(state)
        self._quotas = QuotaReserver(state)
        self._preemptor = Preemptor(state, self._quotas)
        # Monotonic time at which an entry was first delayed to avoid workers.
        self._avoiding_since: dict[str, float] = {}
        self._has_more = False

    @property
    def has_more(self) -> bool:
        """Whether the last pass stopped at its limit with work left to place."""
        return self._has_more

    @property
    def reserved_for(self) -> str | None:
        """Job id of the gang for which capacity is reserved, or ``None``."""
        return self._gangs.holder

    @property
    def quotas(self) -> QuotaReserver:
        """Reservations of quota."""
        return self._quotas

    def next_check(self) -> float | None:
        """Return when a reservation or claim may begin or end, or ``None``.

        The time is monotonic, in seconds.
        """
        checked = (self._gangs, self._quotas, self._preemptor)
        times = [part.next_check() for part in checked]
        return min((t for t in times if t is not None), default=None)

    def run(self) -> int:
        """Place what fits now in fair order; return the number of tasks placed."""
        self._gangs.check()
        self._quotas.check(self._gangs.holder)
        self._preemptor.check()
        self._forget_dequeued()
        self._has_more = False
        placed = self._serve_tier(Tier.URGENT, MAX_PLACEMENTS_PER_PASS)
        placed += self._place_reserved_gang()
        for tier in (Tier.SERVICE, Tier.NORMAL):
            placed += self._serve_tier(tier, MAX_PLACEMENTS_PER_PASS - placed)
        self._state.queue.end_pass()
        self._has_more = (
            placed >= MAX_PLACEMENTS_PER_PASS and len(self._state.queue) > 0
        )
        return placed

    def _place_reserved_gang(self) -> int:
        """Place the gang that holds the reservation once its workers have room."""
        job_id = self._gangs.holder
        if job_id is None:
            return 0
        job, tasks = self._gang_tasks(job_id)
        lane = self._state.queue.lane_of(job_id)
        if not self._quotas.fits(lane, lane.need):
            self._gangs.release(job_id)
            return 0
        workers = self._gangs.ready_workers()
        if workers is None:
            return 0
        self._gangs.release(job_id)
        self._assign(job_id, job, tasks, workers)
        return len(tasks)

    def _serve_tier(self, tier: Tier, limit: int) -> int:
        placed = 0
        queue = self._state.queue
        while placed < limit:
            lane = queue.next_lane(tier)
            if lane is None:
                break
            if self._fits_nowhere(lane):
                queue.skip_group(lane.group)
                continue
            if lane.head == self._gangs.holder:
                queue.skip_lane(lane)
                continue
            job, tasks = self._head_tasks(lane)
            outcome = self._try_place(lane, job, tasks)
            if outcome is Outcome.PLACED:
                placed += len(tasks)
            elif outcome is Outcome.OVER_QUOTA:
                self._quotas.note_blocked(lane)
                queue.skip_until_change(lane)
            elif outcome is Outcome.NO_ROOM:
                self._handle_no_room(lane, job, len(tasks))
        return placed

    def _fits_nowhere(self, lane: Lane) -> bool:
        """Tell whether the shape of a lane's group fits on no worker.

        The whole group can then be skipped. Always ``False`` for urgent lanes and
        gangs, which are tried one by one as they may preempt or reserve capacity.
        """
        group = lane.group
        if group.tier is Tier.URGENT or group.policy is Policy.GANG:
            return False
        return not self._state.index.fits(group.shape).any()

    def _head_tasks(self, lane: Lane) -> tuple[Job, list[Task]]:
        ledger = self._state.ledger
        if lane.group.policy is Policy.GANG:
            return self._gang_tasks(lane.head)
        task = ledger.tasks[lane.head]
        return ledger.jobs[task.job_id], [task]

    def _gang_tasks(self, job_id: str) -> tuple[Job, list[Task]]:
        job = self._state.ledger.jobs[job_id]
        return job, [t for t in job.tasks if t.state is TaskState.QUEUED]

    def _try_place(self, lane: Lane, job: Job, tasks: list[Task]) -> Outcome:
        state = self._state
        if not self._quotas.fits(lane, lane.need):
            return Outcome.OVER_QUOTA
        workers = self._choose_workers(lane, job, tasks)
        if workers is None:
            return Outcome.NO_ROOM
        if not workers:
            state.queue.discard(lane.head)
            state.enqueue_later(job, tasks[0], AVOID_RETRY_DELAY_S)
            return Outcome.LATER
        self._assign(lane.head, job, tasks, workers)
        return Outcome.PLACED

    def _assign(
        self, entry: str, job: Job, tasks: list[Task], workers: list[str]
    ) -> None:
        queue = self._state.queue
        self._quotas.note_placed(queue.lane_of(entry))
        queue.discard(entry)
        self._avoiding_since.pop(entry, None)
        for task, worker_id in zip(tasks, workers, strict=True):
            self._state.assign(job, task, worker_id)

    def _choose_workers(
        self, lane: Lane, job: Job, tasks: list[Task]
    ) -> list[str] | None:
        """Choose a worker for each task.

        Returns:
            Worker ids; ``None`` without room; or an empty list to try later, if only
            workers on which a task failed have room and others could hold the tasks.
            An empty list is returned for at most ``AVOID_S_PER_FAILURE`` times their
            failures.
        """
        index = self._state.index
        policy = policies.get(lane.group.policy)
        avoid = {worker for task in tasks for worker in task.failed_on}
        # Tasks were stopped on this worker to make room for the task.
        avoid.discard(self._preemptor.claimed_worker(lane.head))
        workers = policy.place(job, tasks, index, avoid)
        if workers is not None or not avoid:
            return workers
        workers = policy.place(job, tasks, index, frozenset())
        if workers is None:
            return None
        services = self._state.ledger.service_used_on
        if fits_elsewhere(job.spec, len(tasks), index, avoid, services):
            now = self._state.now
            since = self._avoiding_since.setdefault(lane.head, now)
            failures = max(len(task.failed_on) for task in tasks)
            if now - since < failures * AVOID_S_PER_FAILURE:
                return []
        return workers

    def _forget_dequeued(self) -> None:
        state = self._state
        for entry in list(self._avoiding_since):
            if entry not in state.queue and state.delayed_until(entry) is None:
                del self._avoiding_since[entry]

    def _handle_no_room(self, lane: Lane, job: Job, count: int) -> None:
        queue = self._state.queue
        if lane.group.policy is Policy.GANG:
            self._gangs.note_blocked(job, count)
            queue.skip_group(lane.group)
        elif lane.group.tier is Tier.URGENT:
            self._preemptor.make_room(lane)
            queue.skip_lane(lane)
        else:
            queue.skip_group(lane.group)
