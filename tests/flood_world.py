"""Simulation of a flood of gangs and small tasks on one shard of the design size."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable

from flamingoway.core.effects import StartTask, StopTask
from flamingoway.core.ledger import Ledger
from flamingoway.core.reports import FinishedAttempt, WorkerReport
from flamingoway.core.scheduler import Scheduler
from flamingoway.model import Job, JobSpec, JobState, Policy, Resources, WorkerInfo
from flamingoway.status import Code

WORKER_COUNT = 790
CAPACITY = Resources(16_000, 65_536)
CAPACITY_WITH_ACCELERATORS = Resources(16_000, 65_536, 2)
SPEEDS = (1.0, 1.0, 1.3)
MEMBER_COUNT = 40
TASK_SHAPES = (
    Resources(1000, 1024),
    Resources(2000, 16_384),
    Resources(8000, 8192),
    Resources(1000, 4096, 1),
)
GANG_WIDTHS = (2, 8, 24, 64, 200)
TICK_S = 0.25
# Longest time without a scheduling pass, as in the owner of a shard.
MAX_IDLE_S = 1.0
STOP_S = 0.3
RETURN_S = 12.0
# Capacity in use below which a job with enough free capacity must not wait.
IDLE_SHARE = 0.5
MAX_IDLE_WAIT_S = 3.0
SAMPLE_S = 0.5


class FloodSimulation:
    """One shard with ``WORKER_COUNT`` workers, driven by events on a fake clock.

    Args:
        seed: Seed of load, faults and scheduler.
        traffic_s: Seconds during which jobs arrive.
        jobs_per_s: Mean rate of arrivals; half of the jobs arrive in bursts.
    """

    def __init__(self, seed: int, traffic_s: float = 10.0, jobs_per_s: float = 50.0):
        self.now = 0.0
        self.accepted: set[str] = set()
        self.idle_waits: dict[str, float] = {}
        self.starts = 0
        self.busiest = 0.0
        self._rng = random.Random(seed)
        self._traffic_s = traffic_s
        self._jobs_per_s = jobs_per_s
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._job_numbers = itertools.count()
        self._speeds: dict[str, float] = {}
        self._faulty: set[str] = set()
        self._away: set[str] = set()
        self._waiting_since: dict[str, float] = {}
        self._infos = {
            f"w{n}": WorkerInfo(
                f"w{n}",
                "",
                "r",
                f"z{n % 4}",
                f"r{n // 8}",
                CAPACITY if n % 8 else CAPACITY_WITH_ACCELERATORS,
            )
            for n in range(WORKER_COUNT)
        }
        for worker_id in self._infos:
            self._speeds[worker_id] = self._rng.choice(SPEEDS)
        self._faulty.update(self._rng.sample(sorted(self._infos), 8))
        self.scheduler = Scheduler("s", random.Random(seed))
        for info in self._infos.values():
            self.scheduler.set_worker(info, True)
        self._plan_load()

    @property
    def unfinished(self) -> list[str]:
        """Accepted jobs that have not ended."""
        jobs = self.scheduler.ledger.jobs
        return [j for j in sorted(self.accepted) if not jobs[j].state.final]

    def run(self, limit_s: float) -> None:
        """Run until all events and jobs have ended or ``limit_s`` is reached."""
        next_pass = 0.0
        next_sample = 0.0
        while self.now < limit_s:
            if self.now > self._traffic_s and not self.unfinished:
                return
            due = False
            while self._events and self._events[0][0] <= self.now:
                _, _, handle, arguments = heapq.heappop(self._events)
                handle(*arguments)
                due = True
            if due or self.now >= next_pass:
                next_pass = self._schedule()
            if self.now >= next_sample:
                next_sample += SAMPLE_S
                self._sample()
            self.now = round(self.now + TICK_S, 3)

    def _plan_load(self) -> None:
        rng = self._rng
        bursts = [rng.uniform(0.0, self._traffic_s * 0.8) for _ in range(6)]
        for _ in range(int(self._traffic_s * self._jobs_per_s)):
            if rng.random() < 0.5:
                at = rng.choice(bursts) + rng.uniform(0.0, 1.0)
            else:
                at = rng.uniform(0.0, self._traffic_s)
            self._at(at, self._submit)
        for _ in range(12):
            at = rng.uniform(0.0, self._traffic_s)
            worker_id = rng.choice(sorted(self._infos))
            self._at(at, rng.choice([self._lose, self._drain]), worker_id)
        self._at(rng.uniform(0.0, self._traffic_s * 1.2), self._change_owner)

    def _at(self, at: float, handle: Callable, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), handle, arguments))

    def _submit(self) -> None:
        rng = self._rng
        gang = rng.random() < 0.35
        tasks = rng.choice(GANG_WIDTHS) if gang else rng.randint(1, 6)
        shape = rng.choice(TASK_SHAPES[:3] if gang else TASK_SHAPES)
        spec = JobSpec(
            f"j{next(self._job_numbers):05d}",
            "e",
            f"m{int(rng.triangular(0, MEMBER_COUNT, 0))}",
            "plan" if gang else "sort",
            Policy.GANG if gang else Policy.BATCH,
            tasks=tasks,
            resources=shape,
            urgent=rng.random() < 0.03,
            resumable=not gang and rng.random() < 0.3,
            # Mean run time of a task, which the scheduler does not read.
            run_time_s=min(60.0, rng.lognormvariate(1.0, 1.0)),
        )
        self.scheduler.submit(spec, None, self.now, self.now)
        if self.scheduler.view(spec.job_id) is not None:
            self.accepted.add(spec.job_id)
            if rng.random() < 0.02:
                self._at(self.now + rng.uniform(0.0, 20.0), self._cancel, spec)

    def _cancel(self, spec: JobSpec) -> None:
        job_id, member = spec.job_id, spec.member
        self.scheduler.cancel(job_id, "e", member, None, self.now, self.now)

    def _schedule(self) -> float:
        """Run passes until nothing more can be placed; return when the next is due."""
        while self.scheduler.schedule(self.now, self.now) >= 500:
            pass
        for effect in self.scheduler.take_batch().effects:
            if isinstance(effect, StartTask):
                self._start(effect)
            elif isinstance(effect, StopTask):
                outcome = "checkpointed" if effect.checkpoint else "stopped"
                attempt = effect.worker_id, effect.task_id, effect.attempt, outcome
                self._at(self.now + STOP_S, self._finish, *attempt)
        wakeup = self.scheduler.next_wakeup(self.now)
        return min(self.now + MAX_IDLE_S, wakeup or self.now + MAX_IDLE_S)

    def _start(self, start: StartTask) -> None:
        self.starts += 1
        worker_id = start.worker_id
        run_s = start.spec.run_time_s * self._speeds[worker_id]
        fails = worker_id in self._faulty or self._rng.random() < 0.002
        if fails:
            run_s = min(run_s, 0.2)
        attempt = worker_id, start.task_id, start.attempt
        outcome = "failed" if fails else "succeeded"
        self._at(self.now + run_s, self._finish, *attempt, outcome)

    def _finish(self, worker_id: str, task_id: str, attempt: int, outcome: str) -> None:
        if worker_id in self._away:
            return
        finished = [FinishedAttempt(task_id, attempt, outcome)]
        report = WorkerReport(worker_id, 0, CAPACITY, [], finished)
        self.scheduler.on_report(report, self.now, self.now)

    def _lose(self, worker_id: str) -> None:
        self._away.add(worker_id)
        self.scheduler.set_worker(self._infos[worker_id], False)
        self.scheduler.on_worker_lost(worker_id, self.now, self.now)
        self.scheduler.remove_worker(worker_id)
        self._at(self.now + RETURN_S, self._return, worker_id)

    def _drain(self, worker_id: str) -> None:
        if worker_id not in self._away:
            self.scheduler.set_worker(self._infos[worker_id], False)
            self._at(self.now + RETURN_S, self._return, worker_id)

    def _return(self, worker_id: str) -> None:
        self._away.discard(worker_id)
        self.scheduler.set_worker(self._infos[worker_id], True)

    def _change_owner(self) -> None:
        """Replace the owner by one that reads the state back from a snapshot."""
        self._schedule()
        ledger = Ledger.restore(self.scheduler.ledger.snapshot())
        self.scheduler = Scheduler("s", random.Random(7), ledger)
        for worker_id, info in self._infos.items():
            if worker_id not in self._away:
                self.scheduler.set_worker(info, True)

    def _sample(self) -> None:
        """Note for how long jobs wait although the shard has capacity to spare."""
        ledger, index = self.scheduler.ledger, self.scheduler._state.index
        used = sum((ledger.used_on(w).cores_milli for w in index.infos), start=0)
        share = used / index.total.cores_milli
        self.busiest = max(self.busiest, share)
        waiting = self._fitting_jobs() if share < IDLE_SHARE else {}
        since = {
            job_id: self._waiting_since.get(job_id, self.now) for job_id in waiting
        }
        self._waiting_since = since
        for job_id, start in since.items():
            longest = max(self.idle_waits.get(job_id, 0.0), self.now - start)
            self.idle_waits[job_id] = longest

    def _fitting_jobs(self) -> dict[str, Job]:
        """Return the queued jobs with nothing placed that would fit twice over."""
        ledger, queue = self.scheduler.ledger, self.scheduler._state.queue
        found = {}
        slots: Counter = Counter()
        for lane in queue.lanes:
            group = lane.group
            key = id(group)
            if key not in slots:
                slots[key] = self._free_slots(group.shape)
            if slots[key] < 2 * group.count:
                continue
            for entry in lane.entries:
                job = ledger.jobs.get(entry) or ledger.job_of(entry)
                if job.state is JobState.QUEUED:
                    found[job.spec.job_id] = job
        return found

    def _free_slots(self, shape: Resources) -> int:
        """Return how many tasks of a shape fit, counting reserved capacity as free."""
        index = self.scheduler._state.index
        fits = index.fits(shape, include_reserved=True)
        return sum(fits.slots(worker_id) for worker_id in fits.best_fit())

    def codes(self) -> Counter:
        """Return the number of accepted jobs by state and code."""
        jobs = self.scheduler.ledger.jobs
        states = ((jobs[j].state.value, jobs[j].code) for j in self.accepted)
        return Counter(
            (state, Code(code).name if code else "") for state, code in states
        )
