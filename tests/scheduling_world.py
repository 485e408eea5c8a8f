"""Simulation of one shard: its owner, log and workers, stepped on a fake clock."""

import random
from dataclasses import dataclass, field

import invariants

from flamingoway.core.effects import AckResult, Batch, Reply, StartTask, StopTask
from flamingoway.core.ledger import Ledger
from flamingoway.core.reports import (
    Attempt,
    FinishedAttempt,
    RefusedStart,
    WorkerReport,
)
from flamingoway.core.scheduler import Scheduler
from flamingoway.document import (
    Document,
    JobKind,
    MemberModel,
    ResourceModel,
    ServiceKind,
)
from flamingoway.model import JobSpec, Policy, Resources, WorkerInfo
from flamingoway.status import Code

WORKER_CAPACITIES = (
    Resources(4000, 8192),
    Resources(4000, 4096),
    Resources(8000, 16384, 1),
)
TASK_RESOURCES = (
    Resources(1000, 1024),
    Resources(3000, 2048),
    Resources(1000, 1024, 1),
)
MEMBERS = ("m0", "m1", "m2")
WORKER_COUNT = 4


def document(replicas: int) -> Document:
    """Return a document whose quotas allow any job of ``ShardSimulation.submit``."""
    quota = ResourceModel(cores=15, memory_mb=20_000, accelerators=1)
    members = [
        MemberModel(name, [], weight, quota) for weight, name in enumerate(MEMBERS, 1)
    ]
    services = [ServiceKind("viewer", replicas)]
    return Document("app", members, jobs=[JobKind("sort", "batch")], services=services)


@dataclass
class FakeWorker:
    """A worker that follows the protocol in docs/design.md, section 7."""

    info: WorkerInfo
    running: dict[str, int] = field(default_factory=dict)
    resources: dict[str, Resources] = field(default_factory=dict)
    finished: list[FinishedAttempt] = field(default_factory=list)
    refused: list[RefusedStart] = field(default_factory=list)
    mailbox: list[object] = field(default_factory=list)
    starts_to_refuse: int = 0

    def end_attempt(self, task_id: str, outcome: str) -> None:
        attempt = self.running.pop(task_id)
        result = f"{task_id}#{attempt}".encode()
        self.finished.append(FinishedAttempt(task_id, attempt, outcome, result))


@dataclass(frozen=True)
class Cancellation:
    """Waiter of a cancellation by a member."""

    member: str


class ShardSimulation:
    """One shard, driven by the methods in ``STEPS``.

    The caller runs ``check`` after each step. The argument ``pick`` of a step is a
    random number that selects the worker, the job or the variant.
    """

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.steps = 0
        self.log: list[Batch] = []
        self.snapshot_parts: list[bytes] | None = None
        self.in_flight: Batch | None = None
        self.history: dict[str, list] = {}
        self.accepted: set[str] = set()
        self.removed: set[str] = set()
        self.cancelled: set[tuple[str, str]] = set()
        self.old_reports: list[WorkerReport] = []
        self.replicas = 2
        self.job_count = 0
        self.workers = {
            f"w{n}": FakeWorker(
                WorkerInfo(
                    f"w{n}", "", "r", f"z{n % 2}", f"r{n}", WORKER_CAPACITIES[n % 3]
                )
            )
            for n in range(WORKER_COUNT)
        }
        self._start_owner()

    def check(self) -> None:
        ledger = self.scheduler.ledger
        capacities = {w: f.info.capacity for w, f in self.workers.items()}
        running = {w: set(f.running.items()) for w, f in self.workers.items()}
        invariants.check_capacity(ledger, capacities)
        invariants.check_placement(ledger, running)
        invariants.check_jobs(ledger, self.accepted, self.removed)
        invariants.check_gangs(ledger)
        invariants.check_queued_tasks(self.scheduler)
        invariants.check_answers(self.history)
        invariants.check_results(ledger)
        self.steps += 1

    def submit(self, pick: int) -> None:
        policy = Policy.GANG if pick % 4 == 0 else Policy.BATCH
        spec = JobSpec(
            f"j{self.job_count}",
            "e",
            MEMBERS[pick % 3],
            "sort",
            policy,
            tasks=1 + pick % 5,
            resources=TASK_RESOURCES[pick // 3 % 3],
            urgent=pick % 7 == 0,
            resumable=pick % 2 == 0,
        )
        self.job_count += 1
        self.scheduler.submit(spec, spec.job_id, self.now, self.now)

    def submit_again(self, pick: int) -> None:
        """Submit again a job that was refused, accepted or lost before."""
        if self.job_count:
            count, self.job_count = self.job_count, pick % self.job_count
            self.submit(pick)
            self.job_count = count

    def cancel(self, pick: int) -> None:
        job_id = f"j{pick % (self.job_count + 1)}"
        job = self.scheduler.view(job_id)
        member = job.spec.member if job else "m0"
        waiter = Cancellation(member)
        self.scheduler.cancel(job_id, "e", member, waiter, self.now, self.now)

    def schedule(self, pick: int) -> None:
        self.now += (0.0, 0.1, 1.0, 15.0)[pick % 4]
        self.scheduler.schedule(self.now, self.now)

    def commit(self, pick: int) -> None:
        """Commit the batch in flight and execute its effects, or take the next one."""
        if self.in_flight is not None:
            self.log.append(self.in_flight)
            batch, self.in_flight = self.in_flight, None
            self._execute_effects(batch)
        else:
            self.in_flight = self.scheduler.take_batch()

    def deliver(self, pick: int) -> None:
        worker = self._worker(pick)
        messages, worker.mailbox = worker.mailbox, []
        for message in messages:
            self._receive(worker, message)

    def report(self, pick: int) -> None:
        """Send a report as the owner sees it: starts in transit count as running."""
        worker = self._worker(pick)
        running = set(worker.running.items()) | self._starts_in_transit(worker)
        report = WorkerReport(
            worker.info.worker_id,
            0,
            worker.info.capacity,
            [Attempt(*attempt) for attempt in sorted(running)],
            list(worker.finished),
            worker.refused,
            acked_starts=True,
        )
        worker.refused = []
        stale = WorkerReport(
            report.worker_id, 0, report.capacity, [], report.finished, report.refused
        )
        self.old_reports.append(stale)
        self.scheduler.on_report(report, self.now, self.now)

    def repeat_report(self, pick: int) -> None:
        """Deliver the results and refusals of an earlier report again."""
        if self.old_reports:
            old = self.old_reports[pick % len(self.old_reports)]
            running = [Attempt(*a) for a in self._worker_of(old).running.items()]
            # A stream delivers each refusal once, but repeats results.
            again = WorkerReport(
                old.worker_id, 0, old.capacity, running, old.finished, old.refused
            )
            self.scheduler.on_report(again, self.now, self.now)

    def finish(self, pick: int) -> None:
        worker = self._worker(pick)
        if worker.running:
            task_id = sorted(worker.running)[pick % len(worker.running)]
            worker.end_attempt(task_id, "failed" if pick % 5 == 0 else "succeeded")

    def refuse_next(self, pick: int) -> None:
        self._worker(pick).starts_to_refuse += 1

    def lose_worker(self, pick: int) -> None:
        """Let the worker's lease expire, which stops its tasks.

        Its results are kept, or lost together with the machine.
        """
        worker = self._worker(pick)
        for task_id in list(worker.running):
            worker.end_attempt(task_id, "lost")
        if pick % 2:
            worker.finished.clear()
        worker.mailbox.clear()
        worker.refused.clear()
        self.scheduler.on_worker_lost(worker.info.worker_id, self.now, self.now)
        self._drop_uncommitted_starts(worker)

    def replace_worker(self, pick: int) -> None:
        """Replace the machine by another one with the same worker id."""
        worker = self._worker(pick)
        worker.running.clear()
        worker.finished.clear()
        self.lose_worker(pick)
        self.scheduler.remove_worker(worker.info.worker_id)
        self.scheduler.set_worker(worker.info, pick % 3 > 0)

    def set_worker_availability(self, pick: int) -> None:
        self.scheduler.set_worker(self._worker(pick).info, pick % 3 == 0)

    def change_document(self, pick: int) -> None:
        self.replicas = pick % 4
        self.scheduler.set_document("e", document(self.replicas), 1.0)

    def snapshot(self, pick: int) -> None:
        """Write a snapshot of the committed state and truncate the log."""
        self.snapshot_parts = self._committed().snapshot()
        self.log.clear()

    def restart(self, pick: int) -> None:
        """Replace the owner; the batch in flight is either committed or lost."""
        in_flight = self.in_flight or Batch()
        if pick % 2:
            self.log.append(in_flight)
            self._answer_accepted(in_flight, Code.WRITE_UNRESOLVED)
        else:
            self._answer_accepted(in_flight, Code.OWNER_CHANGED)
        self._answer_accepted(self.scheduler.take_batch(), Code.OWNER_CHANGED)
        self.in_flight = None
        self.old_reports.clear()
        for worker in self.workers.values():
            worker.mailbox.clear()
        self._start_owner()

    def run_to_completion(self, limit: int = 400) -> None:
        """End all faults and run rounds until every job except services has ended.

        Raises:
            Violation: A job has not ended after ``limit`` rounds, or the final state
                is not clean.
        """
        for worker in self.workers.values():
            worker.starts_to_refuse = 0
            self.scheduler.set_worker(worker.info, True)
        for _ in range(limit):
            self._round()
            jobs = self.scheduler.ledger.jobs.values()
            if all(j.state.final or j.spec.policy is Policy.SERVICE for j in jobs):
                self._check_completed()
                return
        waiting = [j.spec.job_id for j in jobs if not j.state.final]
        raise invariants.Violation(f"jobs did not end after {limit} rounds: {waiting}")

    def _check_completed(self) -> None:
        """Check that only services run and that every result was acknowledged."""
        self._round()
        self._round()
        self.commit(0)
        self.commit(0)
        for number in range(WORKER_COUNT):
            self.deliver(number)
        services = {
            j.spec.job_id
            for j in self.scheduler.ledger.jobs.values()
            if j.spec.policy is Policy.SERVICE
        }
        for name, worker in self.workers.items():
            unacked = [f for f in worker.finished if f.task_id[:-2] not in services]
            if unacked:
                raise invariants.Violation(
                    f"{name} has unacknowledged results: {unacked}"
                )
            for task_id in worker.running:
                if task_id.rpartition("/")[0] not in services:
                    raise invariants.Violation(
                        f"{task_id} still runs after its job ended"
                    )

    def _round(self) -> None:
        self.now += 20.0
        self.scheduler.schedule(self.now, self.now)
        self.commit(0)
        self.commit(0)
        for number, worker in enumerate(self.workers.values()):
            self.deliver(number)
            for task_id in list(worker.running):
                worker.end_attempt(task_id, "succeeded")
            self.report(number)
        self.check()

    def _start_owner(self) -> None:
        self.scheduler = Scheduler("s", random.Random(1), self._committed())
        for worker in self.workers.values():
            self.scheduler.set_worker(worker.info, True)
        self.scheduler.set_document("e", document(self.replicas), 1.0)

    def _committed(self) -> Ledger:
        ledger = (
            Ledger.restore(self.snapshot_parts) if self.snapshot_parts else Ledger()
        )
        for batch in self.log:
            ledger.apply_all(batch.records)
        return ledger

    def _worker(self, pick: int) -> FakeWorker:
        return self.workers[f"w{pick % WORKER_COUNT}"]

    def _worker_of(self, report: WorkerReport) -> FakeWorker:
        return self.workers[report.worker_id]

    def _starts_in_transit(self, worker: FakeWorker) -> set[tuple[str, int]]:
        batches = [self.scheduler._state.batch, self.in_flight or Batch()]
        effects = [e for batch in batches for e in batch.effects] + worker.mailbox
        return {
            (e.task_id, e.attempt)
            for e in effects
            if isinstance(e, StartTask) and e.worker_id == worker.info.worker_id
        }

    def _drop_uncommitted_starts(self, worker: FakeWorker) -> None:
        for batch in (self.scheduler._state.batch, self.in_flight or Batch()):
            batch.effects[:] = [
                e
                for e in batch.effects
                if not isinstance(e, StartTask) or e.worker_id != worker.info.worker_id
            ]

    def _execute_effects(self, batch: Batch) -> None:
        for effect in batch.effects:
            if isinstance(effect, Reply):
                if isinstance(effect.waiter, Cancellation):
                    self.cancelled.add((effect.waiter.member, effect.job_id))
                elif effect.waiter:
                    self._answer(effect.job_id, effect.code)
            else:
                if isinstance(effect, StartTask):
                    invariants.check_start(effect, self.cancelled)
                self.workers[effect.worker_id].mailbox.append(effect)

    def _answer_accepted(self, batch: Batch, code: Code) -> None:
        """Send ``code`` in place of each acceptance.

        Answers to repeated submissions are left out: their job may already run.
        """
        for effect in batch.effects:
            if isinstance(effect, Reply) and effect.code == Code.ACCEPTED:
                self._answer(effect.job_id, code)

    def _answer(self, job_id: str, code: int) -> None:
        self.history.setdefault(job_id, []).append(code)
        if code == Code.ACCEPTED:
            self.accepted.add(job_id)

    def _receive(self, worker: FakeWorker, message: object) -> None:
        if isinstance(message, StartTask):
            self._receive_start(worker, message)
        elif isinstance(message, StopTask):
            if worker.running.get(message.task_id) == message.attempt:
                outcome = "checkpointed" if message.checkpoint else "stopped"
                worker.end_attempt(message.task_id, outcome)
        elif isinstance(message, AckResult):
            ended = (message.task_id, message.attempt)
            worker.finished = [
                f for f in worker.finished if (f.task_id, f.attempt) != ended
            ]

    def _receive_start(self, worker: FakeWorker, start: StartTask) -> None:
        used = Resources()
        for task_id in worker.running:
            used += worker.resources[task_id]
        reason = ""
        if start.task_id in worker.running:
            reason = "duplicate"
        elif worker.starts_to_refuse:
            worker.starts_to_refuse -= 1
            reason = "draining"
        elif not (used + start.spec.resources).fits_in(worker.info.capacity):
            reason = "capacity"
        if reason:
            refused = RefusedStart(start.task_id, start.attempt, reason)
            worker.refused.append(refused)
            return
        worker.running[start.task_id] = start.attempt
        worker.resources[start.task_id] = start.spec.resources
        if start.spec.policy is not Policy.SERVICE:
            self.history.setdefault(start.spec.job_id, []).append("ran")


STEPS = [
    ShardSimulation.submit,
    ShardSimulation.submit,
    ShardSimulation.submit_again,
    ShardSimulation.cancel,
    ShardSimulation.schedule,
    ShardSimulation.schedule,
    ShardSimulation.commit,
    ShardSimulation.commit,
    ShardSimulation.commit,
    ShardSimulation.deliver,
    ShardSimulation.deliver,
    ShardSimulation.report,
    ShardSimulation.report,
    ShardSimulation.repeat_report,
    ShardSimulation.finish,
    ShardSimulation.finish,
    ShardSimulation.refuse_next,
    ShardSimulation.lose_worker,
    ShardSimulation.replace_worker,
    ShardSimulation.set_worker_availability,
    ShardSimulation.change_document,
    ShardSimulation.snapshot,
    ShardSimulation.restart,
]
