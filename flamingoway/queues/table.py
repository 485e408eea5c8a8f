"""Table of accepted jobs, processes and leadership, mirrored from the store."""

from collections.abc import Callable
from dataclasses import dataclass

from ..errors import BadRequest
from ..model import Resources
from ..store import KeyValue, WatchEvent
from . import records
from .faults import FaultReporter
from .model import StepJobState, WorkerEntry
from .records import (
    CancelRecord,
    JobRecord,
    JobSummary,
    LeaderRecord,
    ProcessRecord,
    ProgressRecord,
    ProgressSummary,
    WorkerRecord,
)


@dataclass(slots=True)
class TableJob:
    """A job as stored.

    Attributes:
        record: Encoded ``JobRecord``; decoded on demand because most processes need
            only its summary. Empty until the acceptance has been read.
        revision: Store revision of the acceptance.
        progress: Encoded ``ProgressRecord``; empty before the first.
        cancelled: Whether it was cancelled, perhaps before it was accepted.
        cancelled_at: Time of the cancellation, in Unix seconds; 0 if it is not known.
        cancel_revision: Store revision of the cancellation; 0 if it is not known.
        ended_at: Time at which the job ended, in Unix seconds; 0 while it is open.
    """

    job_id: str
    queue: str = ""
    record: bytes = b""
    revision: int = 0
    progress: bytes = b""
    state: StepJobState = StepJobState.QUEUED
    cancelled: bool = False
    cancelled_at: float = 0.0
    cancel_revision: int = 0
    ended_at: float = 0.0

    @property
    def accepted(self) -> bool:
        """Whether the job's ``JobRecord`` has been read."""
        return bool(self.record)

    @property
    def closed_at(self) -> float:
        """Time from which nothing can run, in Unix seconds; 0 if there is none yet.

        A job that was cancelled and has not been accepted is closed.
        """
        if self.state.final:
            return self.ended_at
        return 0.0 if self.accepted else self.cancelled_at

    @property
    def reported_state(self) -> StepJobState:
        """State reported to callers; a cancellation shows at once."""
        if self.cancelled and not self.state.final:
            return StepJobState.CANCELLED
        return self.state

    def decode(self) -> JobRecord:
        """Return the decoded ``JobRecord``."""
        return records.decode(JobRecord, self.record)

    def decode_progress(self) -> ProgressRecord | None:
        """Return the decoded ``ProgressRecord``, or ``None`` before the first."""
        if not self.progress:
            return None
        return records.decode(ProgressRecord, self.progress)


class JobTable:
    """Mirror of everything that flamingoway keeps in the store.

    Args:
        faults: Reports records that are not valid.

    Attributes:
        on_job: Called with a job that was accepted or cancelled.
        on_leader: Called when the leader key has changed.
    """

    def __init__(self, faults: FaultReporter):
        self.on_job: Callable[[TableJob], None] | None = None
        self.on_leader: Callable[[], None] | None = None
        self._faults = faults
        self._jobs: dict[str, TableJob] = {}
        self._processes: dict[str, ProcessRecord] = {}
        self._workers: dict[str, WorkerRecord] = {}
        self._leader: LeaderRecord | None = None
        self._leader_item: KeyValue | None = None
        self._epoch_item: KeyValue | None = None

    @property
    def jobs(self) -> dict[str, TableJob]:
        """Jobs by id; a job may have progress before its acceptance is read."""
        return self._jobs

    @property
    def processes(self) -> dict[str, ProcessRecord]:
        """Live entry processes by name."""
        return self._processes

    @property
    def workers(self) -> dict[str, WorkerRecord]:
        """Workers that may have runs, by id."""
        return self._workers

    @property
    def leader(self) -> LeaderRecord | None:
        """The current leader, ``None`` if there is none or its record is not valid."""
        return self._leader

    @property
    def leader_item(self) -> KeyValue | None:
        """Store entry of the leader key, also if its record is not valid."""
        return self._leader_item

    @property
    def epoch_item(self) -> KeyValue | None:
        """Store entry of the epoch counter."""
        return self._epoch_item

    def find(self, job_id: str) -> TableJob | None:
        """Return an accepted job, or ``None``."""
        job = self._jobs.get(job_id)
        return job if job is not None and job.accepted else None

    def closed_before(self, before: float) -> list[TableJob]:
        """Return the jobs closed before a time in Unix seconds."""
        return [job for job in self._jobs.values() if 0 < job.closed_at < before]

    def apply_end(self, job_id: str, state: StepJobState, ended_at: float) -> None:
        """Apply a stored end before the mirror delivers it.

        Args:
            job_id: The job.
            state: Its final state.
            ended_at: Time of the end, in Unix seconds.
        """
        job = self.find(job_id)
        if job is not None and not job.state.final:
            job.state, job.ended_at = state, ended_at

    def waiting(self, queue: str) -> int:
        """Return the number of jobs of a queue for which no task has started."""
        return sum(
            job.queue == queue and job.reported_state is StepJobState.QUEUED
            for job in self._jobs.values()
        )

    def replace(self, items: list[KeyValue], revision: int) -> None:
        """Replace the content by that of a revision.

        Jobs that were announced after that revision are kept.
        """
        known = {item.key for item in items}
        removed = [key for key in self._keys(revision) if key not in known]
        self.apply_changes([WatchEvent(key, None) for key in removed])
        self._forget_former_jobs(items, revision)
        self.apply_changes([WatchEvent(item.key, item) for item in items])

    def _forget_former_jobs(self, items: list[KeyValue], revision: int) -> None:
        """Forget the jobs that were deleted and stored again under the same ids."""
        for item in items:
            if not item.key.startswith(records.JOB_PREFIX):
                continue
            job = self.find(records.id_in_key(item.key))
            if job is None or job.revision >= item.create_revision:
                continue
            newer = TableJob(job.job_id)
            if job.cancel_revision > revision:
                newer.cancelled, newer.cancelled_at = True, job.cancelled_at
                newer.cancel_revision = job.cancel_revision
            self._jobs[job.job_id] = newer

    def apply_changes(self, events: list[WatchEvent]) -> None:
        """Apply changes in the order in which they were made."""
        for event in events:
            with self._faults.contain("record", event.key):
                self._apply(event)

    def _apply(self, event: WatchEvent) -> None:
        key, item = event.key, event.item
        if key.startswith(records.JOB_PREFIX):
            self._set_job(records.id_in_key(key), item)
        elif key.startswith(records.PROGRESS_PREFIX):
            self._set_progress(records.id_in_key(key), item)
        elif key.startswith(records.CANCEL_PREFIX):
            self._set_cancelled(records.id_in_key(key), item)
        elif key.startswith(records.PROCESS_PREFIX):
            self._set_process(records.id_in_key(key), item)
        elif key.startswith(records.WORKER_PREFIX):
            self._set_worker(key, item)
        elif key == records.LEADER_KEY:
            self._set_leader(item)
        elif key == records.EPOCH_KEY:
            self._epoch_item = item

    def _get_or_create(self, job_id: str) -> TableJob:
        return self._jobs.setdefault(job_id, TableJob(job_id))

    def _set_job(self, job_id: str, item: KeyValue | None) -> None:
        if item is None:
            self._jobs.pop(job_id, None)
            return
        record = self._faults.decode("job", item, records.decode, JobSummary)
        if record is None:
            return
        job = self._get_or_create(job_id)
        known = job.accepted
        job.queue = record.spec.queue
        job.record = item.value
        job.revision = item.create_revision
        if not known and self.on_job is not None:
            self.on_job(job)

    def _set_progress(self, job_id: str, item: KeyValue | None) -> None:
        if item is None:
            return
        record = self._faults.decode("progress", item, records.decode, ProgressSummary)
        job = self._get_or_create(job_id)
        # Kept even if it is not valid: a leader must not start the job anew.
        job.progress = item.value
        # The leader's notice of an end may overtake older changes.
        if record is not None and (record.state.final or not job.state.final):
            job.state = record.state
            job.ended_at = record.ended_at

    def _set_cancelled(self, job_id: str, item: KeyValue | None) -> None:
        if item is None:
            if self.find(job_id) is None:
                self._jobs.pop(job_id, None)
            return
        job = self._get_or_create(job_id)
        job.cancelled = True
        job.cancelled_at = _cancelled_at(item)
        # The process that stored a cancellation may learn of it from its mirror first.
        job.cancel_revision = max(job.cancel_revision, item.mod_revision)
        if job.accepted and self.on_job is not None:
            self.on_job(job)

    def _set_process(self, name: str, item: KeyValue | None) -> None:
        record = None
        if item is not None:
            record = self._faults.decode("process", item, records.decode, ProcessRecord)
        if record is None:
            self._processes.pop(name, None)
        else:
            self._processes[name] = record

    def _set_worker(self, key: str, item: KeyValue | None) -> None:
        worker_id = records.id_in_key(key)
        if item is None:
            self._workers.pop(worker_id, None)
            return
        record = self._faults.decode(
            "worker record", item, records.decode, WorkerRecord
        )
        if record is None or record.entry.worker_id != worker_id:
            # Anything may run there until its leases have expired.
            record = WorkerRecord(WorkerEntry(worker_id, "", "", "", Resources()))
        self._workers[worker_id] = record

    def _set_leader(self, item: KeyValue | None) -> None:
        self._leader, self._leader_item = None, item
        if item is not None:
            self._leader = self._faults.decode(
                "leader", item, records.decode, LeaderRecord
            )
        if self.on_leader is not None:
            self.on_leader()

    def _keys(self, revision: int) -> list[str]:
        """Return the keys of all entries but newer jobs and cancellations."""
        keys = [records.PROCESS_PREFIX + name for name in self._processes]
        keys += [records.WORKER_PREFIX + name for name in self._workers]
        keys += [
            records.JOB_PREFIX + job.job_id
            for job in self._jobs.values()
            if (job.revision or job.cancel_revision) <= revision
        ]
        if self._leader_item is not None:
            keys.append(records.LEADER_KEY)
        return keys


def _cancelled_at(item: KeyValue) -> float:
    try:
        return records.decode(CancelRecord, item.value).cancelled_at
    except BadRequest:
        # Written by an older version; whatever its value, it is a cancellation.
        return 0.0
