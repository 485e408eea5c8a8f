"""Attempts that a worker runs although they are not placed on it.

Such an attempt is told to stop. As long as it may run, its task is kept out of the
queue, so that the task never runs in two places at once.
"""

from ..model import TaskState
from .effects import StopTask
from .reports import Attempt, WorkerReport
from .state import ShardState, queue_entry_of


class OrphanAttempts:
    """Orphan attempts of a shard, by worker."""

    def __init__(self, state: ShardState):
        self._state = state
        self._task_ids_by_worker: dict[str, set[str]] = {}
        # Blocked queue entries by worker and task, whose job may be removed meanwhile.
        self._blocked: dict[tuple[str, str], str] = {}

    def update(self, report: WorkerReport) -> None:
        """Stop orphan attempts in a report; requeue tasks whose orphans are gone."""
        orphans = set()
        for running in report.running:
            task = self._state.find_placed(
                report.worker_id, running.task_id, running.attempt
            )
            if task is None:
                self._stop(report.worker_id, running)
                orphans.add(running.task_id)
            elif task.state is TaskState.STOPPING:
                # The first stop may have been lost when a connection broke.
                self._stop(report.worker_id, running)
        if orphans or report.worker_id in self._task_ids_by_worker:
            self._set_orphans(report.worker_id, orphans)

    def clear(self, worker_id: str) -> None:
        """Record that a worker no longer runs anything."""
        if worker_id in self._task_ids_by_worker:
            self._set_orphans(worker_id, set())

    def _stop(self, worker_id: str, running: Attempt) -> None:
        self._state.effect(StopTask(worker_id, running.task_id, running.attempt))

    def _set_orphans(self, worker_id: str, orphans: set[str]) -> None:
        old = self._task_ids_by_worker.pop(worker_id, set())
        if orphans:
            self._task_ids_by_worker[worker_id] = orphans
        for task_id in sorted(orphans - old):
            self._block_task(worker_id, task_id)
        for task_id in sorted(old - orphans):
            self._unblock_task(worker_id, task_id)

    def _block_task(self, worker_id: str, task_id: str) -> None:
        state = self._state
        task = state.ledger.tasks.get(task_id)
        if task is None:
            return
        entry = queue_entry_of(state.ledger.jobs[task.job_id], task)
        self._blocked[worker_id, task_id] = entry
        state.block(entry)

    def _unblock_task(self, worker_id: str, task_id: str) -> None:
        state = self._state
        entry = self._blocked.pop((worker_id, task_id), None)
        if entry is None:
            return
        state.unblock(entry)
        task = state.ledger.tasks.get(task_id)
        if task is not None:
            state.enqueue(state.ledger.jobs[task.job_id], task)
