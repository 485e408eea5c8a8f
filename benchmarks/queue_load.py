"""Load model of the queues: the real cluster state and planner in virtual time.

Plays traffic of three kinds of jobs against workers and an advice service, and
prints what callers get. Run it as ``python -m benchmarks.queue_load``.
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
# Way of an order or a report, and the time that the store takes.
ORDER_S = 0.002
STORE_S = 0.006
# The leader plans this long after an event, as the term does.
PLAN_DELAY_S = 0.005
TICK_S = 0.1
STOP_S = 0.4
# A job that ends within this many times its objective is late, not lost.
LATE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Amount:
    """A random amount: log-normal, with a mean and an upper bound."""

    mean: float
    spread: float
    maximum: float

    def draw(self, rng: random.Random) -> float:
        """Return one amount."""
        mu = -(self.spread**2) / 2
        return min(self.maximum, self.mean * rng.lognormvariate(mu, self.spread))


@dataclass(frozen=True, slots=True)
class Kind:
    """Jobs of one queue.

    Attributes:
        rate: Jobs a second.
        estimate_spread: Spread of the declared durations.
        uneven: Spread of the durations of the tasks of a step.
        gang_share: Part of the jobs whose tasks work only together.
        apart_share: Part of the jobs that put one task on a worker.
        good_share: Part of the workers that the advice service allows.
        worth: Value of a job of mean size in time; a late one has a fifth.
    """

    queue: Queue
    rate: float
    steps: Amount
    width: Amount
    cpu: Amount
    memory: Amount
    duration: Amount
    estimate_spread: float
    uneven: float
    error_share: float
    gang_share: float
    apart_share: float
    good_share: float
    worth: float
    save_share: float = 0.5


@dataclass(frozen=True, slots=True)
class Burst:
    """More traffic of one kind for a while."""

    queue: str
    at: float
    seconds: float
    factor: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """Workers, traffic and its bursts.

    Attributes:
        processes: Entry processes that ask the advice service.
        slow_workers: Part of the workers that are several times slower.
        failing_workers: Part of the workers that fail all that they start.
    """

    name: str
    workers: int
    rack: int
    kinds: tuple[Kind, ...]
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
    """Return the planner's load of ``today`` or once ``grown``.

    The figures are those of the brief and of the platform's sheets.
    """
    grown = size == "grown"
    wide = 2.5 if grown else 1.0
    slow = 1.0 if grown else 0.0
    plans = Kind(
        queue=_queue("plans", 1, 2.2, 1.0, 0.35 + slow * 0.105, 0.005, 2.0),
        rate=2.95 if grown else 0.919,
        steps=Amount(1.2, 0.4, 3),
        width=Amount(8 * wide, 0.8, 48 * wide),
        cpu=Amount(4500, 0.4, 7600),
        memory=Amount(17_000 if grown else 8800, 0.5, 33_000 if grown else 18_000),
        duration=Amount(4.0, 0.5, 10.0),
        estimate_spread=0.5,
        uneven=0.2,
        error_share=0.005,
        gang_share=1.0,
        apart_share=0.0,
        good_share=0.3,
        worth=10.5 if grown else 12.6,
    )
    sorts = Kind(
        queue=_queue("sorts", 2, 4.0, 3.0, 0.042 + slow * 0.09, 0.0018, 2.0),
        rate=4.93 if grown else 2.72,
        steps=Amount(1.5, 0.4, 3.8),
        width=Amount(10 * wide, 0.8, 60 * wide),
        cpu=Amount(1700 if grown else 980, 0.45, 5200 if grown else 2900),
        memory=Amount(5000 if grown else 2000, 0.6, 15_000 if grown else 6000),
        duration=Amount(2.7, 0.5, 6.8),
        estimate_spread=0.5,
        uneven=0.3,
        error_share=0.02,
        gang_share=0.0,
        apart_share=0.12,
        good_share=0.45,
        worth=3.94 if grown else 2.67,
        save_share=0.8,
    )
    checks = Kind(
        queue=_queue("checks", 0, 1.5, 0.25, 0.008, 0.00013, 2.0),
        rate=68.8 if grown else 24.1,
        steps=Amount(1.0, 0.0, 2.5),
        width=Amount(3.2 if grown else 2.0, 0.8, 19 if grown else 12),
        cpu=Amount(2500 if grown else 1400, 0.45, 7400 if grown else 4200),
        memory=Amount(7100 if grown else 4000, 0.6, 21_000 if grown else 12_000),
        duration=Amount(0.64, 0.5, 1.6),
        estimate_spread=0.9,
        uneven=0.3,
        error_share=0.03,
        gang_share=0.3,
        apart_share=0.0,
        good_share=0.7,
        worth=0.4,
    )
    rushes = (
        Burst("sorts", 4.0, 6.0, 2.4),
        Burst("checks", 7.0, 4.0, 2.1),
        Burst("plans", 19.0, 4.0, 1.8),
    )
    return Scenario(
        name=f"{size}{', bursts' if bursts else ''}",
        workers=176 if grown else 24,
        rack=8,
        kinds=(plans, sorts, checks),
        bursts=rushes if bursts else (),
        processes=38 if grown else 7,
    )


@dataclass(slots=True)
class Job:
    """A played job.

    Attributes:
        durations: True duration of each task on a sound worker, by step, in seconds.
        objective_s: Latency objective by the true durations.
        ended_s: Time from submission to the end; infinite without one.
    """

    job_id: str
    kind: Kind
    at: float
    spec: StepJobSpec
    durations: list[list[float]]
    objective_s: float
    work: float
    ended_s: float = float("inf")


@dataclass(slots=True)
class KindResult:
    """What callers of one queue got.

    Attributes:
        in_time: Part of the jobs that ended within their objective.
        late: Part of the jobs that ended within three times their objective.
        earned: Part of the worth that was owed.
        largest_earned: The same for the largest tenth of the jobs.
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
    """Outcome of one play.

    Attributes:
        earned: Worth earned of that owed.
        used: Part of the workers' processors that were in use.
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
    kinds: list[KindResult] = field(default_factory=list)


class NullLog:
    """Decision log that writes nothing."""

    def write(self, event: str, **fields) -> None:
        """Drop the line."""


class _Gang:
    """Tasks of one run that begin to work when all are present.

    Attributes:
        fails: Whether the run ends with a failure of its first task.
    """

    def __init__(self, count: int, fails: bool):
        self.count = count
        self.fails = fails
        self.present: list[Run] = []


class Play:
    """One play of a scenario.

    Args:
        scenario: What is played.
        seed: Seed of all that is random.
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
        self._count = itertools.count()
        self._plan_due = False
        self._plan_s = 0.0
        self._passes = 0
        self._used = 0.0
        self._wasted = 0.0
        self._running: dict[str, dict[tuple[str, int], Run]] = {}
        self._ends: dict[str, int] = {}
        self._gangs: dict[tuple[str, int], _Gang] = {}
        self._names = [f"n{i}" for i in range(scenario.processes)]
        self._busy: dict[str, AdviceCall] = {}
        self._advice_calls: list[tuple[tuple, int, AdviceCall]] = []
        self._good: dict[str, set[str]] = {}
        self._slow: set[str] = set()
        self._failing: set[str] = set()

    def run(self) -> Result:
        """Play the scenario until its jobs are done or too late."""
        scenario = self.scenario
        queues = tuple(kind.queue for kind in scenario.kinds)
        self.cluster.set_desired_state(DesiredState(1, queues))
        for index in range(scenario.workers):
            self._add_worker(index)
        for kind in scenario.kinds:
            self._schedule_arrivals(kind)
        self._after(TICK_S, self._tick)
        end = scenario.seconds + 60.0
        while self._events and self.now < end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        return self._result()

    def _after(self, delay: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._count), event))

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
        self._ends[worker_id] = 0
        roll = self.rng.random()
        if roll < self.scenario.slow_workers:
            self._slow.add(worker_id)
        elif roll < self.scenario.slow_workers + self.scenario.failing_workers:
            self._failing.add(worker_id)
        self._report(worker_id)

    def _schedule_arrivals(self, kind: Kind) -> None:
        at = 0.0
        peak = kind.rate * max((b.factor for b in self._bursts(kind)), default=1.0)
        while True:
            at += self.rng.expovariate(peak)
            if at >= self.scenario.seconds:
                return
            if self.rng.random() < self._rate(kind, at) / peak:
                job = self._draw(kind, at)
                self._after(at, lambda job=job: self._submit(job))

    def _bursts(self, kind: Kind) -> list[Burst]:
        return [b for b in self.scenario.bursts if b.queue == kind.queue.name]

    def _rate(self, kind: Kind, at: float) -> float:
        rate = kind.rate
        for burst in self._bursts(kind):
            if burst.at <= at < burst.at + burst.seconds:
                rate *= burst.factor
        return rate

    def _draw(self, kind: Kind, at: float) -> Job:
        rng = self.rng
        job_id = f"{len(self.jobs):016x}"
        steps, durations = [], []
        apart = rng.random() < kind.apart_share
        gang = rng.random() < kind.gang_share
        for number in range(max(1, round(kind.steps.draw(rng)))):
            count = max(1, round(kind.width.draw(rng)))
            base = kind.duration.draw(rng)
            lengths = [base * rng.lognormvariate(0, kind.uneven) for _ in range(count)]
            if gang:
                lengths = [max(lengths)] * count
            steps.append(
                Step(
                    count=count,
                    resources=Resources(
                        int(kind.cpu.draw(rng)), int(kind.memory.draw(rng))
                    ),
                    estimate_s=base * rng.lognormvariate(0, kind.estimate_spread),
                    after=(number - 1,) if number else (),
                    gang=gang,
                    per_worker=1 if apart else 0,
                    checkpointing=rng.random() < kind.save_share,
                )
            )
            durations.append(lengths)
        chain = sum(max(lengths) for lengths in durations)
        work = sum(
            step.resources.cores_milli / 1000 * sum(lengths)
            for step, lengths in zip(steps, durations, strict=True)
        )
        spec = StepJobSpec(job_id, kind.queue.name, "x" * 100, tuple(steps))
        objective_s = kind.queue.stretch * chain + kind.queue.objective_s
        job = Job(job_id, kind, at, spec, durations, objective_s, work)
        self.jobs[job_id] = job
        return job

    def _submit(self, job: Job) -> None:
        record = records.encode(JobRecord(job.spec, self.now))
        entry = TableJob(job.job_id, job.spec.queue, record, 1)

        def take():
            self.cluster.add_job(entry, self.now, self.now, False)
            self._carry_out()

        self._after(STORE_S, take)

    # Orders

    def _tick(self) -> None:
        self.cluster.repeat_stops(self.now)
        self.cluster.stop_stalled(self.now)
        used = sum(w.used.cores_milli for w in self.cluster.workers.values())
        if self.now < self.scenario.seconds:
            self._used += used
        for worker_id in self._running:
            self._report(worker_id)
        self._carry_out()
        if self.now < self.scenario.seconds or self.cluster.jobs:
            self._after(TICK_S, self._tick)

    def _carry_out(self) -> None:
        for order in self.cluster.take_orders():
            match order:
                case StartRun():
                    self._after(ORDER_S, lambda o=order: self._start(o.run))
                case StopRun():
                    self._after(ORDER_S, lambda o=order: self._stop(o))
                case AdviceCall():
                    heapq.heappush(
                        self._advice_calls, (order.rank, next(self._count), order)
                    )
                case PollNow():
                    pass
        self._pump()
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
            self._carry_out()

    def _start(self, run: Run) -> None:
        worker_id = run.worker.entry.worker_id
        if run.worker.runs.get(run.key) is not run:
            return
        self._running[worker_id][run.key] = run
        self.cluster.on_start_reply(run, StartReply.RUNNING, self.now)
        spec = run.step.spec
        error_share = self.jobs[run.step.job.spec.job_id].kind.error_share
        fails = self.rng.random() < error_share
        if not spec.gang:
            self._work(run, fails)
            return
        key = (run.step.id, run.number)
        gang = self._gangs.setdefault(key, _Gang(spec.count, fails))
        gang.present.append(run)
        if len(gang.present) == gang.count:
            for task_run in self._gangs.pop(key).present:
                self._work(task_run, gang.fails and task_run is gang.present[0])

    def _work(self, run: Run, fails: bool) -> None:
        worker_id = run.worker.entry.worker_id
        job = self.jobs[run.step.job.spec.job_id]
        duration = job.durations[run.step.number][run.index]
        if worker_id in self._slow:
            duration *= 5
        fails = fails or worker_id in self._failing
        if fails:
            duration *= self.rng.random()
        kind = EndKind.FAILED if fails else EndKind.DONE
        run.placed_at = self.now
        self._after(duration, lambda: self._end(run, kind))

    def _stop(self, stop: StopRun) -> None:
        run = self._running[stop.worker.entry.worker_id].get(
            (stop.task_id, stop.number)
        )
        if run is not None:
            self._after(STOP_S, lambda: self._end(run, EndKind.STOPPED))

    def _end(self, run: Run, kind: EndKind) -> None:
        worker_id = run.worker.entry.worker_id
        if self._running[worker_id].pop(run.key, None) is None:
            return
        cores = run.step.spec.resources.cores_milli / 1000
        if kind is not EndKind.DONE:
            self._wasted += cores * (self.now - run.placed_at)
        self._ends[worker_id] += 1
        row = EndedTask(self._ends[worker_id], run.task_id, run.number, kind)
        self._after(ORDER_S, lambda: self._report(worker_id, (row,)))

    def _report(self, worker_id: str, ended: tuple[EndedTask, ...] = ()) -> None:
        worker = self.cluster.workers[worker_id]
        rows = [
            RunningTask(r.task_id, r.number, "", self.now)
            for r in self._running[worker_id].values()
        ]
        report = WorkerReport(int(self.now * 1000), 1, tuple(rows), ended)
        self.cluster.on_report(
            worker, report, self.now - ORDER_S, worker.token, self.now, self.now
        )
        if ended:
            self._note_ended(ended[0].task_id.partition(".")[0])
            self._carry_out()

    def _note_ended(self, job_id: str) -> None:
        job, open_job = self.jobs[job_id], self.cluster.jobs.get(job_id)
        if open_job is not None and open_job.state.final:
            if open_job.state.value == "completed":
                job.ended_s = self.now + STORE_S - job.at
            self.cluster.remove_job(open_job)

    # Advice

    def _pump(self) -> None:
        postponed = []
        while self._advice_calls:
            entry = heapq.heappop(self._advice_calls)
            lane = choose_process(self._names, self._busy, entry[2])
            if lane is None:
                postponed.append(entry)
                if len(self._busy) >= len(self._names):
                    break
                continue
            self._busy[lane] = entry[2]
            self._after(
                entry[2].duration_s + ORDER_S,
                lambda lane=lane, call=entry[2]: self._answer(lane, call),
            )
        for entry in postponed:
            heapq.heappush(self._advice_calls, entry)

    def _answer(self, lane: str, call: AdviceCall) -> None:
        del self._busy[lane]
        step = call.step
        kind = self.jobs[step.job.spec.job_id].kind
        good = self._good.get(step.id)
        if good is None:
            ids = list(self.cluster.workers)
            count = max(1, round(kind.good_share * len(ids)))
            good = self._good[step.id] = set(self.rng.sample(ids, count))
        tickets = {w: "t" for w in call.workers if w in good}
        advice = Advice(tickets, kind.queue.advice.valid_s)
        self.cluster.on_advice(step, call.workers, advice, self.now)
        self._carry_out()

    # Result

    def _result(self) -> Result:
        scenario = self.scenario
        capacity = scenario.workers * 16_000 * scenario.seconds / TICK_S
        owed = earned = 0.0
        kinds = []
        for kind in scenario.kinds:
            jobs = [job for job in self.jobs.values() if job.kind is kind]
            mean = sum(job.work for job in jobs) / len(jobs)
            worths = [_worth(job, mean) for job in jobs]
            gains = [_gain(job) * w for job, w in zip(jobs, worths, strict=True)]
            owed += sum(worths)
            earned += sum(gains)
            largest = sorted(range(len(jobs)), key=lambda i: jobs[i].work)
            largest = largest[-max(1, len(jobs) // 10) :]
            waits = sorted(
                job.ended_s - sum(max(d) for d in job.durations) for job in jobs
            )
            kinds.append(
                KindResult(
                    queue=kind.queue.name,
                    jobs=len(jobs),
                    in_time=sum(j.ended_s <= j.objective_s for j in jobs) / len(jobs),
                    late=sum(0 < _gain(j) < 1 for j in jobs) / len(jobs),
                    earned=sum(gains) / sum(worths),
                    largest_earned=sum(gains[i] for i in largest)
                    / sum(worths[i] for i in largest),
                    largest_served=sum(_gain(jobs[i]) > 0 for i in largest)
                    / len(largest),
                    median_wait_s=waits[len(waits) // 2],
                )
            )
        return Result(
            scenario=scenario.name,
            seed=self.seed,
            earned=earned / owed,
            used=self._used / capacity,
            wasted=self._wasted,
            plan_s=self._plan_s,
            passes=self._passes,
            kinds=kinds,
        )


def _worth(job: Job, mean: float) -> float:
    return job.kind.worth * min(4.0, 0.3 + 0.7 * job.work / mean)


def _gain(job: Job) -> float:
    """Return the part of its worth that a job earned."""
    if job.ended_s <= job.objective_s:
        return 1.0
    return 0.2 if job.ended_s <= LATE_FACTOR * job.objective_s else 0.0


def play(scenario: Scenario, seed: int) -> Result:
    """Play a scenario once."""
    return Play(scenario, seed).run()


def main(
    *,
    size: str = "today",
    seeds: int = 3,
    calm: bool = False,
    slow: float = 0.0,
    failing: float = 0.0,
    as_json: bool = False,
) -> None:
    """Play the load and print a table.

    Args:
        size: ``today`` or ``grown``.
        seeds: Number of plays.
        calm: Leave the bursts out.
        slow: Part of the workers that are five times slower.
        failing: Part of the workers that fail all that they start.
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
        for kind in result.kinds:
            rows.append(
                [
                    str(result.seed),
                    kind.queue,
                    str(kind.jobs),
                    f"{kind.in_time:.3f}",
                    f"{kind.late:.3f}",
                    f"{kind.earned:.3f}",
                    f"{kind.largest_earned:.3f}",
                    f"{kind.median_wait_s:.2f}",
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
