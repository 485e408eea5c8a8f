"""One scheduling pass: places queued work in fair order."""

import enum

from ..model import Job, Policy, Task, TaskState
from .fairness import Lane, Tier
from .policy import policies
from .state import ShardState

# A pass stops after this many placements, so that the owner can commit and serve
# other events between two passes.
MAX_PLACEMENTS = 500
# Gangs that do not fit are tried one by one; small work goes on behind them.
MAX_GANGS_ASIDE = 16


class Outcome(enum.Enum):
    """What became of the head of a lane."""

    PLACED = "placed"
    NO_ROOM = "no room"
    OVER_QUOTA = "over quota"
    DROPPED = "dropped"


class Placer:
    """Places the queued work of a shard."""

    def __init__(self, state: ShardState):
        self._state = state
        self._aside = 0
        self._more = False

    @property
    def more(self) -> bool:
        """Whether the last pass stopped at its limit with work left to place."""
        return self._more

    def run(self) -> int:
        """Place what fits now, most entitled first; return the number of tasks."""
        placed = 0
        self._more = False
        for tier in Tier:
            placed += self._serve(tier, MAX_PLACEMENTS - placed)
            if placed >= MAX_PLACEMENTS:
                self._more = len(self._state.queue) > 0
                break
        self._state.queue.end_pass()
        return placed

    def _serve(self, tier: Tier, limit: int) -> int:
        placed = 0
        self._aside = 0
        queue = self._state.queue
        while placed < limit:
            lane = queue.next_lane(tier)
            if lane is None:
                break
            job, tasks = self._head(lane)
            outcome = self._try(lane, job, tasks)
            if outcome is Outcome.PLACED:
                placed += len(tasks)
            elif outcome is Outcome.OVER_QUOTA:
                queue.park(lane)
            elif outcome is Outcome.NO_ROOM:
                self._skip(lane)
        return placed

    def _head(self, lane: Lane) -> tuple[Job, list[Task]]:
        ledger = self._state.ledger
        if lane.group.policy is not Policy.GANG:
            task = ledger.tasks[lane.head]
            return ledger.jobs[task.job_id], [task]
        job = ledger.jobs[lane.head]
        return job, [t for t in job.tasks if t.state is TaskState.QUEUED]

    def _try(self, lane: Lane, job: Job, tasks: list[Task]) -> Outcome:
        state = self._state
        need = lane.group.shape
        if len(tasks) != 1:
            need = need.times(len(tasks))
        if not state.queue.within_quota(lane, need):
            return Outcome.OVER_QUOTA
        policy = policies.get(lane.group.policy)
        workers = policy.place(job, tasks, state.index, state.ledger)
        if workers is None:
            return Outcome.NO_ROOM
        state.queue.discard(lane.head)
        for task, worker_id in zip(tasks, workers, strict=True):
            state.assign(job, task, worker_id)
        return Outcome.PLACED

    def _skip(self, lane: Lane) -> None:
        queue = self._state.queue
        self._aside += 1
        if lane.group.policy is Policy.GANG and self._aside < MAX_GANGS_ASIDE:
            queue.set_aside(lane)
        else:
            queue.block(lane.group)
