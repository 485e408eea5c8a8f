"""Load model of the queues: the real cluster state and planner in virtual time.

Simulates traffic of three queues against workers and an advice service, and prints
the share of jobs in time, the value earned and the waits. Run it as
``python -m benchmarks.queue_load``.
"""

import heapq
import itertools
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import defopt

from flamingoway.model import Resources
from flamingoway.output.table import render_table
from flamingoway.queues import records
from flamingoway.queues.advice import choose_process
from flamingoway.queues.cluster import ClusterState
from flamingoway.queues.model import (
    Advice,
    DesiredState,
    EndedTask,
    EndKind,
    RunningTask,
    StartReply,
    Step,
    StepJobSpec,
    WorkerEntry,
    WorkerReport,
)
from flamingoway.queues.placement import allocated_resources
from flamingoway.queues.planning import Planner
from flamingoway.queues.records import JobRecord
from flamingoway.queues.runs import (
    AdviceCall,
    OpenJob,
    PollNow,
    Run,
    StartRun,
    StepRun,
    StopRun,
)
from flamingoway.queues.table import TableJob
from flamingoway.queues.term import (
    PLAN_DELAY_S,
    PLAN_PAUSE_FACTOR,
    POLL_WAIT_S,
    TICK_S,
)

from .queue_traffic import SERVICE, Burst, QueueTraffic, Scenario, scenario

LEASE_S = 5.7
# One-way delay of an order or a report between the leader and a worker.
MESSAGE_DELAY_S = 0.002
# Duration of a store write.
STORE_WRITE_S = 0.006
# A task's duration on each kind of worker, relative to the declared kind.
SPEED_FACTORS = (1.0, 1.0, 1.3)
# Work between two checkpoints of a task.
CHECKPOINT_INTERVAL_S = 0.5
# A gang task ends if the others have not started within this time.
GANG_WAIT_S = 4.0
WORKER_CAPACITY = Resources(16_000, 65_536)
# A gang has at most this part of the tasks that all workers hold when empty.
MAX_GANG_SHARE = 0.1
# Each job ends, or at least has a task running while workers are free, from this long
# after the last arrival.
FINISH_S = 14.0
# Longest time for which a job may have nothing running while workers are free.
MAX_IDLE_S = 3.0
# The simulation ends this long after the last arrival.
DRAIN_S = 60.0
# Time that a worker takes to stop a task.
TASK_STOP_S = 0.4
# A job that ends within this many times its objective is late and keeps part of its
# value; after that it has none.
LATE_FACTOR = 3.0


@dataclass(slots=True)
class Job:
    """A simulated job.

    Attributes:
        durations: True duration of each task on a worker of normal speed, by step,
            in seconds.
        objective_s: Latency objective by the true durations.
        always_fails: Whether all runs fail.
        ended_s: Time from submission to the end; infinite if it did not complete.
    """

    job_id: str
    traffic: QueueTraffic
    submitted_at: float
    spec: StepJobSpec
    durations: list[list[float]]
    objective_s: float
    work: float
    always_fails: bool = False
    ended_s: float = float("inf")


@dataclass(slots=True)
class QueueResult:
    """Results of the jobs of one queue.

    Attributes:
        in_time: Part of the jobs that ended within their objective.
        late: Part of the jobs that ended within three times their objective.
        earned: Earned part of the possible value.
        largest_earned: ``earned`` for the largest tenth of the jobs.
        largest_served: Part of the largest tenth that ended in time or late.
    """

    queue: str
    jobs: int
    in_time: float
    late: float
    earned: float
    largest_earned: float
    largest_served: float
    median_wait_s: float


@dataclass(frozen=True, slots=True)
class Violation:
    """A job that waited beside free workers, or that never ended.

    Attributes:
        why: ``waits beside free workers`` or ``never ended``.
        tasks: Number of tasks of the step that wait.
        waited_s: Time for which the step has waited; 0 if none waits.
    """

    why: str
    at: float
    job_id: str
    queue: str
    step: str
    tasks: int
    waited_s: float


@dataclass(slots=True)
class Result:
    """Results of one simulation.

    Attributes:
        earned: Earned part of the possible value.
        used: Mean part of the workers' cores in use.
        wasted: Core-seconds of work that was stopped or failed.
        plan_s: Processor time of the planner.
        stalled: Number of runs that the cluster state stopped as stalled.
        violations: Jobs that waited beside free workers or never ended.
    """

    scenario: str
    seed: int
    earned: float
    used: float
    wasted: float
    plan_s: float
    passes: int
    stalled: int = 0
    kinds: list[QueueResult] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)


class EventCounts:
    """Decision log that only counts the events.

    Attributes:
        counts: Number of events by name.
    """

    def __init__(self):
        self.counts: dict[str, int] = {}

    def write(self, event: str, **fields) -> None:
        """Count the event and discard its fields."""
        self.counts[event] = self.counts.get(event, 0) + 1


class _Execution:
    """A run on its worker.

    Attributes:
        duration_s: Duration of the whole task on this worker.
        resumed: Part of the task that the checkpoint at the start holds, 0 to 1.
        works_from: Time from which the task works; infinite before.
        gang: The gang run of the task, ``None`` for other tasks.
    """

    def __init__(
        self, run: Run, duration_s: float, resumed: float, now: float, gang=None
    ):
        self.run = run
        self.duration_s = duration_s
        self.resumed = resumed
        self.started_at = now
        self.works_from = float("inf")
        self.gang: _Gang | None = gang

    @property
    def finishes_at(self) -> float:
        """Time at which the task's own work is done."""
        return self.works_from + (1.0 - self.resumed) * self.duration_s

    def progress(self, now: float) -> float:
        """Return the part of the task's own work that is done, 0 to 1."""
        worked_s = max(0.0, now - self.works_from)
        return min(1.0, self.resumed + worked_s / self.duration_s)

    def checkpoint(self, now: float, stopped: bool = False) -> str:
        """Return the newest checkpoint; empty if there is none."""
        if not self.run.step.spec.checkpointing:
            return ""
        done = self.progress(now)
        if not stopped:
            interval = CHECKPOINT_INTERVAL_S / self.duration_s
            saved = int((done - self.resumed) / interval) * interval
            done = self.resumed + saved
        return f"{done:.6f}" if done else ""


class _Gang:
    """Tasks of one gang run; they begin to work when all have started.

    Attributes:
        fails: Whether the run fails.
        ended: Whether any task has ended.
    """

    def __init__(self, count: int, fails: bool):
        self.count = count
        self.fails = fails
        self.ended = False
        self.members: list[_Execution] = []


class Simulation:
    """One simulation of a scenario with the real cluster state and planner.

    Args:
        scenario: Workers and traffic to simulate.
        seed: Seed of all random choices.
    """

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.now = 0.0
        self.rng = random.Random(seed)
        self.seed = seed
        self.jobs: dict[str, Job] = {}
        self._log = EventCounts()
        self.cluster = ClusterState(1, LEASE_S, self._log)
        self.planner = Planner(self.cluster, self._log)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._plan_due = False
        self._plan_from = 0.0
        self._plan_s = 0.0
        self._passes = 0
        self._used = 0.0
        self._wasted = 0.0
        self._running: dict[str, dict[tuple[str, int], _Execution]] = {}
        self._ended: dict[str, list[EndedTask]] = {}
        self._ended_counts: dict[str, int] = {}
        self._polled_at: dict[str, float] = {}
        self._report_due: set[str] = set()
        self._gangs: dict[tuple[str, int], _Gang] = {}
        self._process_ids = [f"n{i}" for i in range(scenario.processes)]
        self._active_calls: dict[str, AdviceCall] = {}
        self._advice_calls: list[tuple[tuple, int, AdviceCall]] = []
        self._allowed_workers: dict[str, set[str]] = {}
        self._tickets_until: dict[tuple[str, str], float] = {}
        self._speed_factors: dict[str, float] = {}
        self._failing: set[str] = set()
        self._idle_since: dict[str, float] = {}
        self._violations: dict[str, Violation] = {}
        self._open_submissions = 0

    def run(self) -> Result:
        """Simulate until all jobs have ended, for ``DRAIN_S`` after the arrivals."""
        scenario = self.scenario
        queues = tuple(traffic.queue for traffic in scenario.traffic)
        self.cluster.set_desired_state(DesiredState(1, queues))
        for index in range(scenario.workers):
            self._add_worker(index)
        for traffic in scenario.traffic:
            self._schedule_arrivals(traffic)
        self._after(TICK_S, self._tick)
        end = scenario.seconds + DRAIN_S
        while self._events and self._events[0][0] < end:
            self.now, _, event = heapq.heappop(self._events)
            event()
            if not self._open_submissions and not self.cluster.jobs:
                break
        for job in self.cluster.jobs.values():
            if self._can_end(job):
                self._note_violation(job.spec.job_id, "never ended")
        return self._result()

    def _after(self, delay: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), event))

    # Traffic

    def _add_worker(self, index: int) -> None:
        worker_id = f"w{index:03}"
        entry = WorkerEntry(
            worker_id=worker_id,
            service=SERVICE,
            address=f"{worker_id}:1",
            zone="a",
            capacity=WORKER_CAPACITY,
            labels=("a", f"r{index // self.scenario.rack}"),
            born_ms=1,
        )
        worker = self.cluster.set_worker(entry, 0.0)
        worker.recorded_address = worker.entry.address
        self._running[worker_id] = {}
        self._ended[worker_id] = []
        self._ended_counts[worker_id] = 0
        self._polled_at[worker_id] = 0.0
        self._speed_factors[worker_id] = self.rng.choice(SPEED_FACTORS)
        draw = self.rng.random()
        if draw < self.scenario.slow_workers:
            self._speed_factors[worker_id] *= 5
        elif draw < self.scenario.slow_workers + self.scenario.failing_workers:
            self._failing.add(worker_id)
        self._report(worker_id)
        self._after(self.rng.random() * POLL_WAIT_S, lambda: self._poll(worker_id))

    def _schedule_arrivals(self, traffic: QueueTraffic) -> None:
        at = 0.0
        peak = traffic.rate * max(
            (b.factor for b in self._bursts(traffic)), default=1.0
        )
        while True:
            at += self.rng.expovariate(peak)
            if at >= self.scenario.seconds:
                return
            if self.rng.random() < self._rate(traffic, at) / peak:
                job = self._random_job(traffic, at)
                self._open_submissions += 1
                self._after(at, lambda job=job: self._submit(job))

    def _bursts(self, traffic: QueueTraffic) -> list[Burst]:
        return [b for b in self.scenario.bursts if b.queue == traffic.queue.name]

    def _rate(self, traffic: QueueTraffic, at: float) -> float:
        rate = traffic.rate
        for burst in self._bursts(traffic):
            if burst.at <= at < burst.at + burst.seconds:
                rate *= burst.factor
        return rate

    def _random_job(self, traffic: QueueTraffic, at: float) -> Job:
        rng = self.rng
        job_id = f"{len(self.jobs):016x}"
        steps, durations = [], []
        one_per_worker = rng.random() < traffic.one_per_worker_share
        gang = rng.random() < traffic.gang_share
        always_fails = rng.random() < traffic.always_failing_share
        for number in range(max(1, round(traffic.steps.sample(rng)))):
            count = max(1, round(traffic.width.sample(rng)))
            resources = Resources(
                int(traffic.cpu.sample(rng)), int(traffic.memory.sample(rng))
            )
            if gang:
                count = min(count, self._widest_gang(resources))
            base = traffic.duration.sample(rng)
            task_durations = [
                base * rng.lognormvariate(0, traffic.duration_spread)
                for _ in range(count)
            ]
            if gang:
                task_durations = [max(task_durations)] * count
            steps.append(
                Step(
                    count=count,
                    resources=resources,
                    estimate_s=base * rng.lognormvariate(0, traffic.estimate_spread),
                    after=(number - 1,) if number else (),
                    gang=gang,
                    per_worker=1 if one_per_worker else 0,
                    checkpointing=rng.random() < traffic.checkpointing_share,
                )
            )
            durations.append(task_durations)
        critical_path_s = sum(max(task_durations) for task_durations in durations)
        if always_fails:
            critical_path_s = max(durations[0]) * traffic.queue.max_attempts
        work = sum(
            step.resources.cores_milli / 1000 * sum(task_durations)
            for step, task_durations in zip(steps, durations, strict=True)
        )
        spec = StepJobSpec(job_id, traffic.queue.name, "x" * 100, tuple(steps))
        objective_s = (
            traffic.queue.stretch * critical_path_s + traffic.queue.objective_s
        )
        job = Job(job_id, traffic, at, spec, durations, objective_s, work, always_fails)
        self.jobs[job_id] = job
        return job

    def _widest_gang(self, needs: Resources) -> int:
        per_worker = min(
            WORKER_CAPACITY.cores_milli // needs.cores_milli,
            WORKER_CAPACITY.memory_mb // needs.memory_mb,
        )
        return max(1, int(MAX_GANG_SHARE * per_worker * self.scenario.workers))

    def _submit(self, job: Job) -> None:
        record = records.encode(JobRecord(job.spec, self.now))
        entry = TableJob(job.job_id, job.spec.queue, record, 1)

        def add():
            self._open_submissions -= 1
            self.cluster.add_job(entry, self.now, self.now, False)
            self._dispatch_orders()

        self._after(STORE_WRITE_S, add)

    # Orders

    def _tick(self) -> None:
        self.cluster.repeat_stops(self.now)
        self.cluster.stop_stalled(self.now)
        used = sum(w.used.cores_milli for w in self.cluster.workers.values())
        if self.now < self.scenario.seconds:
            self._used += used
        self._check_waiting_jobs()
        self._dispatch_orders()
        self._after(TICK_S, self._tick)

    def _dispatch_orders(self) -> None:
        self._execute(self.cluster.take_orders())
        if not self._plan_due:
            self._plan_due = True
            delay_s = max(self._plan_from - self.now, 0.0) + PLAN_DELAY_S
            self._after(delay_s, self._plan)

    def _execute(self, orders: list) -> None:
        for order in orders:
            match order:
                case StartRun():
                    self._after(MESSAGE_DELAY_S, lambda o=order: self._start(o.run))
                case StopRun():
                    self._after(MESSAGE_DELAY_S, lambda o=order: self._stop(o))
                case AdviceCall():
                    heapq.heappush(
                        self._advice_calls, (order.rank, next(self._sequence), order)
                    )
                case PollNow():
                    pass
        self._start_advice_calls()

    def _plan(self) -> None:
        self._plan_due = False
        began = time.process_time()
        self.planner.run(self.now)
        self._plan_s += time.process_time() - began
        self._passes += 1
        pass_s = self.scenario.plan_pass_s
        self._plan_from = self.now + pass_s * (1 + PLAN_PAUSE_FACTOR)
        orders = self.cluster.take_orders()
        if orders:
            self._after(pass_s, lambda: self._execute(orders))

    # Workers

    def _start(self, run: Run) -> None:
        worker_id, step = run.worker.entry.worker_id, run.step
        if run.worker.runs.get(run.key) is not run:
            return
        if self._tickets_until.get((step.id, worker_id), 0.0) <= self.now:
            self.cluster.on_start_reply(run, StartReply.NO_TICKET, self.now)
            self._dispatch_orders()
            return
        job = self.jobs[step.job.spec.job_id]
        spec = step.spec
        duration_s = job.durations[step.number][run.index]
        duration_s *= self._speed_factors[worker_id]
        checkpoint = step.checkpoints.get(step.attempt_key(run.index), "")
        execution = _Execution(run, duration_s, float(checkpoint or 0.0), self.now)
        self._running[worker_id][run.key] = execution
        self.cluster.on_start_reply(run, StartReply.RUNNING, self.now)
        fails = self.rng.random() < job.traffic.error_share or job.always_fails
        if not spec.gang:
            fails = fails or worker_id in self._failing
            self._begin_work(execution)
            self._schedule_end(execution, fails)
            return
        key = (step.id, run.number)
        gang = self._gangs.get(key)
        if gang is None:
            gang = self._gangs[key] = _Gang(spec.count, fails)
            self._after(GANG_WAIT_S, lambda: self._end_incomplete(gang))
        execution.gang = gang
        gang.members.append(execution)
        gang.fails = gang.fails or worker_id in self._failing
        if len(gang.members) == gang.count and not gang.ended:
            for member in gang.members:
                self._begin_work(member)
            slowest = max(gang.members, key=lambda member: member.finishes_at)
            self._schedule_end(slowest, gang.fails)

    def _begin_work(self, execution: _Execution) -> None:
        restore_s = self.scenario.restore_s if execution.resumed else 0.0
        execution.works_from = self.now + restore_s

    def _schedule_end(self, execution: _Execution, fails: bool) -> None:
        delay_s = execution.finishes_at - self.now
        if fails:
            delay_s *= self.rng.random()
        end_kind = EndKind.FAILED if fails else EndKind.DONE
        self._after(delay_s, lambda: self._end(execution, end_kind))

    def _end_incomplete(self, gang: _Gang) -> None:
        if len(gang.members) < gang.count and not gang.ended:
            for member in gang.members:
                self._end(member, EndKind.GANG_INCOMPLETE)

    def _stop(self, stop: StopRun) -> None:
        execution = self._running[stop.worker.entry.worker_id].get(
            (stop.task_id, stop.number)
        )
        if execution is not None:
            self._after(TASK_STOP_S, lambda: self._end(execution, EndKind.STOPPED))

    def _end(self, execution: _Execution, end_kind: EndKind) -> None:
        run = execution.run
        worker_id = run.worker.entry.worker_id
        if self._running[worker_id].pop(run.key, None) is None:
            return
        checkpoint = ""
        if end_kind is not EndKind.DONE:
            checkpoint = execution.checkpoint(self.now, end_kind is EndKind.STOPPED)
            cores = run.step.spec.resources.cores_milli / 1000
            self._wasted += cores * (self.now - execution.started_at)
        self._ended_counts[worker_id] += 1
        self._ended[worker_id].append(
            EndedTask(
                self._ended_counts[worker_id],
                run.task_id,
                run.number,
                end_kind,
                checkpoint,
            )
        )
        self._schedule_report(worker_id)
        gang = execution.gang
        if gang is not None and not gang.ended:
            gang.ended = True
            others = EndKind.GANG_BROKEN
            if end_kind in (EndKind.DONE, EndKind.GANG_INCOMPLETE):
                others = end_kind
            for member in gang.members:
                self._end(member, others)

    def _poll(self, worker_id: str) -> None:
        """Answer a poll that no end has answered for ``POLL_WAIT_S``."""
        remaining_s = self._polled_at[worker_id] + POLL_WAIT_S - self.now
        if remaining_s <= 0.0:
            self._report(worker_id)
            remaining_s = POLL_WAIT_S
        self._after(remaining_s, lambda: self._poll(worker_id))

    def _schedule_report(self, worker_id: str) -> None:
        """Report ends once the worker's poll is open."""
        if worker_id in self._report_due:
            return
        self._report_due.add(worker_id)
        opens_at = self._polled_at[worker_id] + STORE_WRITE_S
        delay_s = max(0.0, opens_at - self.now) + MESSAGE_DELAY_S
        self._after(delay_s, lambda: self._report(worker_id))

    def _report(self, worker_id: str) -> None:
        worker = self.cluster.workers[worker_id]
        self._report_due.discard(worker_id)
        rows = [
            RunningTask(
                execution.run.task_id,
                execution.run.number,
                execution.checkpoint(self.now),
                float(int(100 * execution.progress(self.now) + 1e-9)),
            )
            for execution in self._running[worker_id].values()
        ]
        ended, self._ended[worker_id] = self._ended[worker_id], []
        report = WorkerReport(int(self.now * 1000), 1, tuple(rows), tuple(ended))
        sent_at = self._polled_at[worker_id]
        self._polled_at[worker_id] = self.now
        self.cluster.on_report(
            worker, report, sent_at, worker.token, self.now, self.now
        )
        for row in ended:
            self._record_job_end(row.task_id.partition(".")[0])
        self._dispatch_orders()

    def _record_job_end(self, job_id: str) -> None:
        job, open_job = self.jobs[job_id], self.cluster.jobs.get(job_id)
        if open_job is not None and open_job.state.final:
            if open_job.state.value == ("failed" if job.always_fails else "completed"):
                job.ended_s = self.now + STORE_WRITE_S - job.submitted_at
            self.cluster.remove_job(open_job)

    # Waiting jobs

    def _check_waiting_jobs(self) -> None:
        """Note jobs that have had nothing running beside free workers for too long.

        A step has to start while the workers that it may use could hold its tasks
        twice and less than half of all cores are in use.
        """
        if self.now < self.scenario.seconds + FINISH_S:
            return
        free: dict[str, Resources] = {}
        running_jobs = set()
        used = capacity = 0
        for worker_id, executions in self._running.items():
            room = self.cluster.workers[worker_id].entry.capacity
            capacity += room.cores_milli
            for execution in executions.values():
                step = execution.run.step
                room = room - allocated_resources(step.spec)
                used += step.spec.resources.cores_milli
                running_jobs.add(step.job.spec.job_id)
            free[worker_id] = room
        for job_id, job in self.cluster.jobs.items():
            waits = (
                not job.state.final
                and job_id not in running_jobs
                and used < capacity / 2
                and any(self._would_fit_twice(s, free) for s in job.steps.values())
            )
            if not waits:
                self._idle_since.pop(job_id, None)
                continue
            since = self._idle_since.setdefault(job_id, self.now)
            if self.now - since >= MAX_IDLE_S:
                self._note_violation(job_id, "waits beside free workers")

    def _would_fit_twice(self, step: StepRun, free: dict[str, Resources]) -> bool:
        if not step.ready or not step.pending:
            return False
        return self._slots(step, free) >= 2 * len(step.pending)

    def _can_end(self, job: OpenJob) -> bool:
        """Return whether each gang fits on the workers that it may use when empty."""
        empty = {w: s.entry.capacity for w, s in self.cluster.workers.items()}
        return all(
            self._slots(step, empty) >= (step.spec.count if step.spec.gang else 1)
            for step in job.steps.values()
        )

    def _slots(self, step: StepRun, free: dict[str, Resources]) -> int:
        needs = allocated_resources(step.spec)
        slots = 0
        for worker_id in self._allowed(step):
            room = free[worker_id]
            fitting = min(
                room.cores_milli // max(1, needs.cores_milli),
                room.memory_mb // max(1, needs.memory_mb),
            )
            if step.spec.per_worker:
                fitting = min(fitting, step.spec.per_worker)
            slots += max(0, fitting)
        return slots

    def _note_violation(self, job_id: str, why: str) -> None:
        job = self.cluster.jobs[job_id]
        step = next((s for s in job.steps.values() if s.ready and s.pending), None)
        self._violations.setdefault(
            job_id,
            Violation(
                why=why,
                at=round(self.now, 1),
                job_id=job_id,
                queue=job.queue.name,
                step=step.id if step else "",
                tasks=len(step.pending) if step else 0,
                waited_s=round(self.now - step.due_at, 1) if step else 0.0,
            ),
        )

    # Advice

    def _start_advice_calls(self) -> None:
        postponed = []
        while self._advice_calls:
            entry = heapq.heappop(self._advice_calls)
            process_id = choose_process(self._process_ids, self._active_calls, entry[2])
            if process_id is None:
                postponed.append(entry)
                if len(self._active_calls) >= len(self._process_ids):
                    break
                continue
            self._active_calls[process_id] = entry[2]
            self._after(
                entry[2].duration_s + MESSAGE_DELAY_S,
                lambda process_id=process_id, call=entry[2]: self._on_advice_answer(
                    process_id, call
                ),
            )
        for entry in postponed:
            heapq.heappush(self._advice_calls, entry)

    def _on_advice_answer(self, process_id: str, call: AdviceCall) -> None:
        del self._active_calls[process_id]
        step = call.step
        valid_s = step.job.queue.advice.valid_s
        allowed = self._allowed(step)
        tickets = {w: "t" for w in call.workers if w in allowed}
        for worker_id in tickets:
            self._tickets_until[step.id, worker_id] = self.now + valid_s
        self.cluster.on_advice(step, call.workers, Advice(tickets, valid_s), self.now)
        self._dispatch_orders()

    def _allowed(self, step: StepRun) -> set[str]:
        """Return the ids of the workers that the advice service allows for a step."""
        allowed = self._allowed_workers.get(step.id)
        if allowed is None:
            traffic = self.jobs[step.job.spec.job_id].traffic
            ids = list(self.cluster.workers)
            count = max(1, round(traffic.allowed_share * len(ids)))
            rng = random.Random(f"{self.seed} {step.id}")
            allowed = self._allowed_workers[step.id] = set(rng.sample(ids, count))
        return allowed

    # Result

    def _result(self) -> Result:
        scenario = self.scenario
        capacity = scenario.workers * 16_000 * scenario.seconds / TICK_S
        possible = earned = 0.0
        kinds = []
        for traffic in scenario.traffic:
            jobs = [job for job in self.jobs.values() if job.traffic is traffic]
            mean = sum(job.work for job in jobs) / len(jobs)
            values = [_job_value(job, mean) for job in jobs]
            earned_values = [
                _earned_share(job) * w for job, w in zip(jobs, values, strict=True)
            ]
            possible += sum(values)
            earned += sum(earned_values)
            largest = sorted(range(len(jobs)), key=lambda i: jobs[i].work)
            largest = largest[-max(1, len(jobs) // 10) :]
            waits = sorted(
                job.ended_s - sum(max(d) for d in job.durations) for job in jobs
            )
            kinds.append(
                QueueResult(
                    queue=traffic.queue.name,
                    jobs=len(jobs),
                    in_time=sum(j.ended_s <= j.objective_s for j in jobs) / len(jobs),
                    late=sum(0 < _earned_share(j) < 1 for j in jobs) / len(jobs),
                    earned=sum(earned_values) / sum(values),
                    largest_earned=sum(earned_values[i] for i in largest)
                    / sum(values[i] for i in largest),
                    largest_served=sum(_earned_share(jobs[i]) > 0 for i in largest)
                    / len(largest),
                    median_wait_s=waits[len(waits) // 2],
                )
            )
        return Result(
            scenario=scenario.name,
            seed=self.seed,
            earned=earned / possible,
            used=self._used / capacity,
            wasted=self._wasted,
            plan_s=self._plan_s,
            passes=self._passes,
            stalled=self._log.counts.get("run stalled", 0),
            kinds=kinds,
            violations=list(self._violations.values()),
        )


def _job_value(job: Job, mean: float) -> float:
    return job.traffic.job_value * min(4.0, 0.3 + 0.7 * job.work / mean)


def _earned_share(job: Job) -> float:
    """Return the part of its value that a job earned, 0 to 1."""
    if job.ended_s <= job.objective_s:
        return 1.0
    return 0.2 if job.ended_s <= LATE_FACTOR * job.objective_s else 0.0


def play(scenario: Scenario, seed: int) -> Result:
    """Simulate a scenario once."""
    return Simulation(scenario, seed).run()


def main(
    *,
    size: str = "today",
    deployment: str = "first",
    seeds: int = 3,
    calm: bool = False,
    slow: float = 0.0,
    failing: float = 0.0,
    as_json: bool = False,
) -> None:
    """Simulate the load and print a table.

    Args:
        size: ``today`` or ``grown``.
        deployment: ``first``, or ``second`` for the grown size.
        seeds: Number of simulations, with seeds from 0.
        calm: Leave the bursts out.
        slow: Part of the workers that are five times slower.
        failing: Part of the workers that fail every task that they start.
        as_json: Print JSON instead of a table.
    """
    base = scenario(size, not calm, deployment)
    base = replace(base, slow_workers=slow, failing_workers=failing)
    results = [play(base, seed) for seed in range(seeds)]
    if as_json:
        rows = [
            {f: getattr(r, f) for f in ("seed", "earned", "used", "wasted", "plan_s")}
            for r in results
        ]
        print(json.dumps(rows))
        return
    header = ["seed", "queue", "jobs", "in time", "late", "earned", "largest", "wait"]
    rows = []
    for result in results:
        for outcome in result.kinds:
            rows.append(
                [
                    str(result.seed),
                    outcome.queue,
                    str(outcome.jobs),
                    f"{outcome.in_time:.3f}",
                    f"{outcome.late:.3f}",
                    f"{outcome.earned:.3f}",
                    f"{outcome.largest_earned:.3f}",
                    f"{outcome.median_wait_s:.2f}",
                ]
            )
        rows.append(
            [
                str(result.seed),
                "all",
                f"{sum(k.jobs for k in result.kinds)}",
                f"used {result.used:.2f}",
                f"wasted {result.wasted:.0f}",
                f"{result.earned:.3f}",
                f"plan {result.plan_s:.1f} s",
                f"{1000 * result.plan_s / max(1, result.passes):.2f} ms",
            ]
        )
    print(render_table(header, rows))
    for result in results:
        print(
            f"seed {result.seed}: {result.stalled} stalled, "
            f"{len(result.violations)} violations"
        )
        for violation in result.violations:
            print(f"  {violation}")


if __name__ == "__main__":
    defopt.run(main)
