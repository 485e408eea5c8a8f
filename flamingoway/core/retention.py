"""Forgets finished jobs after a retention time, or beyond a count."""

from collections import deque

from ..model import Job
from ..records import CancelRequested, JobRemoved
from . import withdrawals
from .state import ShardState

RETENTION_S = 24 * 3600.0
# Three days of finished jobs at the design size; bounds the snapshot after bursts.
MAX_FINISHED_JOBS = 20_000
# Bounds the cost of one pass.
MAX_FORGOTTEN_PER_PASS = 100


class Retention:
    """Finished jobs of a shard, in the order in which they ended."""

    def __init__(self, state: ShardState):
        self._state = state
        ended = [j for j in state.ledger.jobs.values() if j.state.final]
        ended.sort(key=lambda job: job.ended_at)
        self._finished = deque(job.spec.job_id for job in ended)

    def note_ended(self, job_id: str) -> None:
        """Record that a job reached a final state."""
        self._finished.append(job_id)

    def forget_expired(self) -> None:
        """Forget jobs past their retention; jobs with stopping tasks are kept."""
        state = self._state
        for _ in range(min(MAX_FORGOTTEN_PER_PASS, len(self._finished))):
            job_id = self._finished[0]
            job = state.ledger.jobs.get(job_id)
            if job is None or not job.state.final:
                self._finished.popleft()
                continue
            recent = state.wall - job.ended_at < RETENTION_S
            if recent and len(self._finished) <= MAX_FINISHED_JOBS:
                return
            self._finished.popleft()
            if any(task.state.placed for task in job.tasks):
                self._finished.append(job_id)
            else:
                self._remove(job)

    def _remove(self, job: Job) -> None:
        """Remove a job; a recent cancellation is kept without it."""
        state, spec = self._state, job.spec
        state.record(JobRemoved(spec.job_id))
        if state.wall - job.cancelled_at < withdrawals.RETENTION_S:
            state.record(
                CancelRequested(spec.job_id, state.wall, spec.environment, spec.member)
            )
