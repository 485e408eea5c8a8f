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
    AdviceTiming,
    DesiredState,
    EndedTask,
    EndKind,
    Queue,
    RunningTask,
    StartReply,
    Step,
    StepJobSpec,
    WorkerEntry,
    WorkerReport,
)
from flamingoway.queues.planning import Planner
from flamingoway.queues.records import JobRecord
from flamingoway.queues.runs import AdviceCall, PollNow, Run, StartRun, StopRun
from flamingoway.queues.table import TableJob

SERVICE = "planner"
LEASE_S = 5.7
# One-way delay of an order or a report between the leader and a worker.
MESSAGE_DELAY_S = 0.002
# Duration of a store write.
STORE_WRITE_S = 0.006
# Delay between an event and the planning pass, as in the leader term.
PLAN_DELAY_S = 0.005
TICK_S = 0.1
# Time that a worker takes to stop a task.
TASK_STOP_S = 0.4
# A job that ends within this many times its objective is late and keeps part of its
# value; after that it has none.
LATE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class LogNormal:
    """A log-normal distribution with a mean and an upper bound."""

    mean: float
    spread: float
    maximum: float

    def sample(self, rng: random.Random) -> float:
        """Return one random value."""
        mu = -(self.spread**2) / 2
        return min(self.maximum, self.mean * rng.lognormvariate(mu, self.spread))


@dataclass(frozen=True, slots=True)
class QueueTraffic:
    """Traffic of one queue: job sizes, durations and arrival rate.

    Attributes:
        rate: Jobs a second.
        duration: Base duration of the tasks of a step, in seconds.
        estimate_spread: Spread of the declared durations.
        duration_spread: Spread of the durations of the tasks of a step.
        error_share: Probability that a run fails: a task, or a gang as a whole.
        gang_share: Part of the jobs whose tasks must run together.
        one_per_worker_share: Part of the jobs that place at most one task per worker.
        allowed_share: Part of the workers that the advice service allows.
        job_value: Value of a job of mean size that ends in time; a late one has a
            fifth.
        checkpointing_share: Part of the steps that can save checkpoints.
    """

    queue: Queue
    rate: float
    steps: LogNormal
    width: LogNormal
    cpu: LogNormal
    memory: LogNormal
    duration: LogNormal
    estimate_spread: float
    duration_spread: float
    error_share: float
    gang_share: float
    one_per_worker_share: float
    allowed_share: float
    job_value: float
    checkpointing_share: float = 0.5


@dataclass(frozen=True, slots=True)
class Burst:
    """A temporary increase of the arrival rate of one queue."""

    queue: str
    at: float
    seconds: float
    factor: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """Workers, traffic and bursts of one simulation.

    Attributes:
        processes: Entry processes that ask the advice service.
        slow_workers: Part of the workers that are several times slower.
        failing_workers: Part of the workers that fail every task that they start.
    """

    name: str
    workers: int
    rack: int
    traffic: tuple[QueueTraffic, ...]
    bursts: tuple[Burst, ...] = ()
    seconds: float = 34.0
    processes: int = 7
    slow_workers: float = 0.0
    failing_workers: float = 0.0


def _queue(name: str, priority: int, stretch: float, objective_s: float, *advice):
    return Queue(
        name=name,
        host="h",
        prefix=f"/{name}/",
        service=SERVICE,
        priority=priority,
        max_attempts=4,
        stretch=stretch,
        objective_s=objective_s,
        advice=AdviceTiming(*advice),
    )


def scenario(size: str = "today", bursts: bool = True) -> Scenario:
    """Return the planner's load of ``today`` or the ``grown`` one.

    The figures come from the requirements and the platform's data sheets.
    """
    grown = size == "grown"
    wide = 2.5 if grown else 1.0
    growth = 1.0 if grown else 0.0
    plans = QueueTraffic(
        queue=_queue("plans", 1, 2.2, 1.0, 0.35 + growth * 0.105, 0.005, 2.0),
        rate=2.95 if grown else 0.919,
        steps=LogNormal(1.2, 0.4, 3),
        width=LogNormal(8 * wide, 0.8, 48 * wide),
        cpu=LogNormal(4500, 0.4, 7600),
        memory=LogNormal(17_000 if grown else 8800, 0.5, 33_000 if grown else 18_000),
        duration=LogNormal(4.0, 0.5, 10.0),
        estimate_spread=0.5,
        duration_spread=0.2,
        error_share=0.005,
        gang_share=1.0,
        one_per_worker_share=0.0,
        allowed_share=0.3,
        job_value=10.5 if grown else 12.6,
    )
    sorts = QueueTraffic(
        queue=_queue("sorts", 2, 4.0, 3.0, 0.042 + growth * 0.09, 0.0018, 2.0),
        rate=4.93 if grown else 2.72,
        steps=LogNormal(1.5, 0.4, 3.8),
        width=LogNormal(10 * wide, 0.8, 60 * wide),
        cpu=LogNormal(1700 if grown else 980, 0.45, 5200 if grown else 2900),
        memory=LogNormal(5000 if grown else 2000, 0.6, 15_000 if grown else 6000),
        duration=LogNormal(2.7, 0.5, 6.8),
        estimate_spread=0.5,
        duration_spread=0.3,
        error_share=0.02,
        gang_share=0.0,
        one_per_worker_share=0.12,
        allowed_share=0.45,
        job_value=3.94 if grown else 2.67,
        checkpointing_share=0.8,
    )
    checks = QueueTraffic(
        queue=_queue("checks", 0, 1.5, 0.25, 0.008, 0.00013, 2.0),
        rate=68.8 if grown else 24.1,
        steps=LogNormal(1.0, 0.0, 2.5),
        width=LogNormal(3.2 if grown else 2.0, 0.8, 19 if grown else 12),
        cpu=LogNormal(2500 if grown else 1400, 0.45, 7400 if grown else 4200),
        memory=LogNormal(7100 if grown else 4000, 0.6, 21_000 if grown else 12_000),
        duration=LogNormal(0.64, 0.5, 1.6),
        estimate_spread=0.9,
        duration_spread=0.3,
        error_share=0.03,
        gang_share=0.3,
        one_per_worker_share=0.0,
        allowed_share=0.7,
        job_value=0.4,
    )
    traffic_bursts = (
        Burst("sorts", 4.0, 6.0, 2.4),
        Burst("checks", 7.0, 4.0, 2.1),
        Burst("plans", 19.0, 4.0, 1.8),
    )
    return Scenario(
        name=f"{size}{', bursts' if bursts else ''}",
        workers=176 if grown else 24,
        rack=8,
        traffic=(plans, sorts, checks),
        bursts=traffic_bursts if bursts else (),
        processes=38 if grown else 7,
    )


@dataclass(slots=True)
class Job:
    """A simulated job.

    Attributes:
        durations: True duration of each task on a worker of normal speed, by step,
            in seconds.
        objective_s: Latency objective by the true durations.
        ended_s: Time from submission to the end; infinite if it did not complete.
    """

    job_id: str
    traffic: QueueTraffic
    submitted_at: float
    spec: StepJobSpec
    durations: list[list[float]]
    objective_s: float
    work: float
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


@dataclass(slots=True)
class Result:
    """Results of one simulation.

    Attributes:
        earned: Earned part of the possible value.
        used: Mean part of the workers' cores in use.
        wasted: Core-seconds of work that was stopped or failed.
        plan_s: Processor time of the planner.
    """

    scenario: str
    seed: int
    earned: float
    used: float
    wasted: float
    plan_s: float
    passes: int
    kinds: list[QueueResult] = field(default_factory=list)


class NullLog:
    """Decision log that writes nothing."""

    def write(self, event: str, **fields) -> None:
        """Discard the event."""


class _Gang:
    """Tasks of one gang run; they begin to work when all have started.

    Attributes:
        fails: Whether the first task to start fails.
    """

    def __init__(self, count: int, fails: bool):
        self.count = count
        self.fails = fails
        self.started: list[Run] = []


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
        self.cluster = ClusterState(1, LEASE_S, NullLog())
        self.planner = Planner(self.cluster, NullLog())
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._plan_due = False
        self._plan_s = 0.0
        self._passes = 0
        self._used = 0.0
        self._wasted = 0.0
        self._running: dict[str, dict[tuple[str, int], Run]] = {}
        self._ended_counts: dict[str, int] = {}
        self._gangs: dict[tuple[str, int], _Gang] = {}
        self._process_ids = [f"n{i}" for i in range(scenario.processes)]
        self._active_calls: dict[str, AdviceCall] = {}
        self._advice_calls: list[tuple[tuple, int, AdviceCall]] = []
        self._allowed_workers: dict[str, set[str]] = {}
        self._slow: set[str] = set()
        self._failing: set[str] = set()

    def run(self) -> Result:
        """Simulate until no event is left or 60 s after the last arrivals."""
        scenario = self.scenario
        queues = tuple(traffic.queue for traffic in scenario.traffic)
        self.cluster.set_desired_state(DesiredState(1, queues))
        for index in range(scenario.workers):
            self._add_worker(index)
        for traffic in scenario.traffic:
            self._schedule_arrivals(traffic)
        self._after(TICK_S, self._tick)
        end = scenario.seconds + 60.0
        while self._events and self.now < end:
            self.now, _, event = heapq.heappop(self._events)
            event()
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
            capacity=Resources(16_000, 65_536),
            labels=("a", f"r{index // self.scenario.rack}"),
            born_ms=1,
        )
        worker = self.cluster.set_worker(entry, 0.0)
        worker.recorded = True
        self._running[worker_id] = {}
        self._ended_counts[worker_id] = 0
        draw = self.rng.random()
        if draw < self.scenario.slow_workers:
            self._slow.add(worker_id)
        elif draw < self.scenario.slow_workers + self.scenario.failing_workers:
            self._failing.add(worker_id)
        self._report(worker_id)

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
        for number in range(max(1, round(traffic.steps.sample(rng)))):
            count = max(1, round(traffic.width.sample(rng)))
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
                    resources=Resources(
                        int(traffic.cpu.sample(rng)), int(traffic.memory.sample(rng))
                    ),
                    estimate_s=base * rng.lognormvariate(0, traffic.estimate_spread),
                    after=(number - 1,) if number else (),
                    gang=gang,
                    per_worker=1 if one_per_worker else 0,
                    checkpointing=rng.random() < traffic.checkpointing_share,
                )
            )
            durations.append(task_durations)
        critical_path_s = sum(max(task_durations) for task_durations in durations)
        work = sum(
            step.resources.cores_milli / 1000 * sum(task_durations)
            for step, task_durations in zip(steps, durations, strict=True)
        )
        spec = StepJobSpec(job_id, traffic.queue.name, "x" * 100, tuple(steps))
        objective_s = (
            traffic.queue.stretch * critical_path_s + traffic.queue.objective_s
        )
        job = Job(job_id, traffic, at, spec, durations, objective_s, work)
        self.jobs[job_id] = job
        return job

    def _submit(self, job: Job) -> None:
        record = records.encode(JobRecord(job.spec, self.now))
        entry = TableJob(job.job_id, job.spec.queue, record, 1)

        def add():
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
        for worker_id in self._running:
            self._report(worker_id)
        self._dispatch_orders()
        if self.now < self.scenario.seconds or self.cluster.jobs:
            self._after(TICK_S, self._tick)

    def _dispatch_orders(self) -> None:
        for order in self.cluster.take_orders():
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
        if not self._plan_due:
            self._plan_due = True
            self._after(PLAN_DELAY_S, self._plan)

    def _plan(self) -> None:
        self._plan_due = False
        began = time.process_time()
        self.planner.run(self.now)
        self._plan_s += time.process_time() - began
        self._passes += 1
        if self.cluster.orders:
            self._dispatch_orders()

    def _start(self, run: Run) -> None:
        worker_id = run.worker.entry.worker_id
        if run.worker.runs.get(run.key) is not run:
            return
        self._running[worker_id][run.key] = run
        self.cluster.on_start_reply(run, StartReply.RUNNING, self.now)
        spec = run.step.spec
        error_share = self.jobs[run.step.job.spec.job_id].traffic.error_share
        fails = self.rng.random() < error_share
        if not spec.gang:
            self._schedule_end(run, fails)
            return
        key = (run.step.id, run.number)
        gang = self._gangs.setdefault(key, _Gang(spec.count, fails))
        gang.started.append(run)
        if len(gang.started) == gang.count:
            for task_run in self._gangs.pop(key).started:
                self._schedule_end(task_run, gang.fails and task_run is gang.started[0])

    def _schedule_end(self, run: Run, fails: bool) -> None:
        worker_id = run.worker.entry.worker_id
        job = self.jobs[run.step.job.spec.job_id]
        duration = job.durations[run.step.number][run.index]
        if worker_id in self._slow:
            duration *= 5
        fails = fails or worker_id in self._failing
        if fails:
            duration *= self.rng.random()
        end_kind = EndKind.FAILED if fails else EndKind.DONE
        run.placed_at = self.now
        self._after(duration, lambda: self._end(run, end_kind))

    def _stop(self, stop: StopRun) -> None:
        run = self._running[stop.worker.entry.worker_id].get(
            (stop.task_id, stop.number)
        )
        if run is not None:
            self._after(TASK_STOP_S, lambda: self._end(run, EndKind.STOPPED))

    def _end(self, run: Run, end_kind: EndKind) -> None:
        worker_id = run.worker.entry.worker_id
        if self._running[worker_id].pop(run.key, None) is None:
            return
        cores = run.step.spec.resources.cores_milli / 1000
        if end_kind is not EndKind.DONE:
            self._wasted += cores * (self.now - run.placed_at)
        self._ended_counts[worker_id] += 1
        row = EndedTask(
            self._ended_counts[worker_id], run.task_id, run.number, end_kind
        )
        self._after(MESSAGE_DELAY_S, lambda: self._report(worker_id, (row,)))

    def _report(self, worker_id: str, ended: tuple[EndedTask, ...] = ()) -> None:
        worker = self.cluster.workers[worker_id]
        rows = [
            RunningTask(r.task_id, r.number, "", self.now)
            for r in self._running[worker_id].values()
        ]
        report = WorkerReport(int(self.now * 1000), 1, tuple(rows), ended)
        self.cluster.on_report(
            worker, report, self.now - MESSAGE_DELAY_S, worker.token, self.now, self.now
        )
        if ended:
            self._record_job_end(ended[0].task_id.partition(".")[0])
            self._dispatch_orders()

    def _record_job_end(self, job_id: str) -> None:
        job, open_job = self.jobs[job_id], self.cluster.jobs.get(job_id)
        if open_job is not None and open_job.state.final:
            if open_job.state.value == "completed":
                job.ended_s = self.now + STORE_WRITE_S - job.submitted_at
            self.cluster.remove_job(open_job)

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
        traffic = self.jobs[step.job.spec.job_id].traffic
        allowed = self._allowed_workers.get(step.id)
        if allowed is None:
            ids = list(self.cluster.workers)
            count = max(1, round(traffic.allowed_share * len(ids)))
            allowed = self._allowed_workers[step.id] = set(self.rng.sample(ids, count))
        tickets = {w: "t" for w in call.workers if w in allowed}
        advice = Advice(tickets, traffic.queue.advice.valid_s)
        self.cluster.on_advice(step, call.workers, advice, self.now)
        self._dispatch_orders()

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
            kinds=kinds,
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
    seeds: int = 3,
    calm: bool = False,
    slow: float = 0.0,
    failing: float = 0.0,
    as_json: bool = False,
) -> None:
    """Simulate the load and print a table.

    Args:
        size: ``today`` or ``grown``.
        seeds: Number of simulations, with seeds from 0.
        calm: Leave the bursts out.
        slow: Part of the workers that are five times slower.
        failing: Part of the workers that fail every task that they start.
        as_json: Print JSON instead of a table.
    """
    base = scenario(size, not calm)
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


if __name__ == "__main__":
    defopt.run(main)
