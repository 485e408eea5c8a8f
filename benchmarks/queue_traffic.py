"""Traffic and workers of the load model of the queues."""

import random
from dataclasses import dataclass, replace

from flamingoway.queues.model import AdviceTiming, Queue

SERVICE = "planner"


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
        always_failing_share: Part of the jobs whose runs all fail.
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
    always_failing_share: float = 0.0


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
        plan_pass_s: Duration of a pass of the planner on the leader.
        restore_s: Time that a task takes to resume from a checkpoint.
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
    plan_pass_s: float = 0.002
    restore_s: float = 0.6


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


def scenario(
    size: str = "today", bursts: bool = True, deployment: str = "first"
) -> Scenario:
    """Return the planner's load of ``today`` or the ``grown`` one.

    The figures come from the requirements and the platform's data sheets.

    Args:
        size: ``today`` or ``grown``.
        bursts: Whether the arrival rates rise for some seconds.
        deployment: ``first``, or ``second`` for the grown size.
    """
    grown = size == "grown"
    base = _first_scenario(grown, bursts)
    if deployment == "first":
        return base
    if not grown:
        raise ValueError("the second deployment has only the grown size")
    return _second_scenario(base)


def _second_scenario(first: Scenario) -> Scenario:
    plans, sorts, checks = first.traffic
    valid_s = 1.5
    return replace(
        first,
        name=f"{first.name}, second deployment",
        workers=175,
        rack=12,
        processes=36,
        restore_s=0.25,
        traffic=(
            replace(
                _with_advice(plans, 0.455, 0.0065, valid_s),
                job_value=8.83,
            ),
            replace(
                _with_advice(sorts, 0.104, 0.00143, valid_s),
                rate=6.16,
                duration=LogNormal(2.2, 0.5, 5.5),
                job_value=2.64,
            ),
            replace(
                _with_advice(checks, 0.0117, 0.000169, valid_s),
                rate=55.0,
                duration=LogNormal(0.8, 0.5, 2.0),
                job_value=0.415,
            ),
        ),
    )


def _with_advice(traffic: QueueTraffic, *advice: float) -> QueueTraffic:
    return replace(traffic, queue=replace(traffic.queue, advice=AdviceTiming(*advice)))


def _first_scenario(grown: bool, bursts: bool) -> Scenario:
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
        always_failing_share=0.01,
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
        always_failing_share=0.01,
    )
    traffic_bursts = (
        Burst("sorts", 4.0, 6.0, 2.4),
        Burst("checks", 7.0, 4.0, 2.1),
        Burst("plans", 19.0, 4.0, 1.8),
    )
    return Scenario(
        name=f"{'grown' if grown else 'today'}{', bursts' if bursts else ''}",
        workers=176 if grown else 24,
        rack=8,
        traffic=(plans, sorts, checks),
        bursts=traffic_bursts if bursts else (),
        processes=38 if grown else 7,
        plan_pass_s=0.01 if grown else 0.002,
    )
