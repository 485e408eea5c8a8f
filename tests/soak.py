"""Soak test of real entry processes under external faults.

``python -m tests.soak FIRST COUNT`` runs seeds by hand. Faults overlap and follow each
other: broken proxy links, signals to processes, store errors, crashed workers and
changed configurations. The guarantees are checked against what callers and workers
observe. ``FLAMINGOWAY_BUILD`` names the folder of another build to start instead.
"""

import asyncio
import json
import random
import signal
import sys
import tempfile
import time
from contextlib import AsyncExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from flamingoway.errors import BadRequest
from flamingoway.queues.records import LEADER_KEY, LeaderRecord, decode
from flamingoway.queues.runs import TOKENS_PER_EPOCH
from flamingoway.store import Put
from standins.platform import StoreStandin, Work, WorkerStandin, config
from standins.proxy import Link, Proxy
from tests import invalid_records
from tests.platform_cell import SERVICE, Cell, Unreachable, call

ENTRY_COUNT = 4
WORKER_COUNT = 5
FAULT_S = 12.0
# Longer than the horizon of a leader, a lease and a takeover combined.
RECOVERY_S = 30.0
WORKER_CORES_MILLI = 16_000
SUBMIT_ATTEMPTS = 4
# Callers wait a little longer than the deadline that they send.
CALL_S = 3.2
SAVE_S = 0.15
# Time limits of the platform: start after a cancellation, stop, time without disruption
# after which a process is in touch, answer to a cancellation.
CANCEL_S = 3.0
STOP_S = 0.9
CONTACT_S = 3.0
ACK_S = 4.0
# Interval of the checks whether this process runs, and delay from which on it does not.
TICK_S = 0.1
STALL_S = 0.5
# Subject of disruptions of the store itself.
STORE = "store"
QUEUES = {"plans": "/p/", "sorts": "/s/"}
EXTRA_QUEUE = {"merges": "/p/m"}
# First id of jobs that are not valid.
INVALID_ID = 0xBAD0 << 48
FAULTS = {}


def fault(function):
    """Register a fault under its name; the fault lasts until its coroutine ends."""
    FAULTS[function.__name__] = function
    return function


@dataclass
class Submitted:
    """A job as seen by its caller.

    Attributes:
        accepted: Whether an attempt succeeded.
        refused: Whether every attempt was refused.
        shown: States returned to the caller, in order.
        fails: Whether the first run of its first task fails.
        work_s: Work of each task; ``None`` for the default of its worker.
        cancel_sent_at: Time of the first cancellation; ``None`` if there is none.
        cancelled_at: Time of the first response to one with 2xx or 410.
    """

    path: str
    body: dict
    accepted: bool = False
    refused: bool = False
    shown: list = field(default_factory=list)
    fails: bool = False
    work_s: float | None = None
    cancel_sent_at: float | None = None
    cancelled_at: float | None = None


@dataclass
class Disruption:
    """A fault that was in force on a process, on a worker or on the store.

    Attributes:
        subject: Name of the process, id of the worker or ``STORE``.
    """

    subject: str
    begin: float
    end: float = float("inf")


class Ledger:
    """Records where tasks ran, and violations of the guarantees.

    Attributes:
        broken: The violations. Name used by the two-build check.
        trace: What callers and workers saw and which faults began, as JSON lines.
        runs: All runs by task.
        leaders: Time, name and epoch of each leader, in order.
    """

    def __init__(self):
        self.broken = []
        self.trace = []
        self.jobs = {}
        self.running = {}
        self.done = set()
        self.runs = {}
        self.disruptions = []
        self.leaders = []

    def write(self, event, **fields):
        row = {"at": round(time.time(), 3), "event": event} | fields
        self.trace.append(json.dumps(row).encode())

    def report(self, violation, at=None):
        """Record a violation, with its time unless that is now."""
        self.broken.append(violation)
        self.write("broken", violation=violation, since=at and round(at, 3))

    def observe(self, kind, task, worker):
        worker_id, born_ms = worker.worker_id, worker.born_ms
        run = worker.observed
        self.write(
            "observed",
            kind=kind,
            task=task,
            worker=worker_id,
            born_ms=born_ms,
            run=run.number,
            token=run.order["fencingToken"],
            checkpoint=run.order.get("checkpoint", ""),
            late=run.late,
        )
        if kind != "start":
            self.running.get(task, {}).pop(worker.worker_id, None)
            if kind == "done":
                self.done.update(self.completed_with(task))
            return
        job_id, _, number, _ = task.split(".")
        job = self.jobs.get(job_id)
        if job is None or task not in self.tasks_of(job_id):
            self.report(f"UNASKED {task}")
            return
        self.check_order(job, run)
        places = self.running.setdefault(task, {})
        step = job.body["steps"][int(number)]
        if places:
            self.report(f"TWICE {task} on {worker.worker_id} and {places}")
        places[worker.worker_id] = step["cpu"]
        for before in step.get("after", ()):
            wide = range(job.body["steps"][before]["count"])
            if any(f"{job_id}.0.{before}.{i}" not in self.done for i in wide):
                self.report(f"ORDER {task}")
        used = sum(p.get(worker.worker_id, 0) for p in self.running.values())
        if used > WORKER_CORES_MILLI:
            self.report(f"LIMIT {worker.worker_id} has {used}")

    def check_order(self, job, run):
        """Check the spec and the checkpoint of a start order, and keep the run."""
        number = int(run.step.rpartition(".")[2])
        gang = job.body["steps"][number].get("gang")
        tasks = [f"{run.step}.{i}" for i in range(job.body["steps"][number]["count"])]
        own = [r for t in (tasks if gang else [run.task]) for r in self.runs.get(t, ())]
        checkpoint = run.order.get("checkpoint", "")
        if run.order["spec"] != job.body["spec"]:
            self.report(f"UNASKED spec {run.order['spec']!r} for {run.task}")
        if checkpoint and not any(checkpoint in r.checkpoints for r in own):
            self.report(f"UNASKED checkpoint {checkpoint!r} for {run.task}")
        for member in own:
            beside = member.order.get("checkpoint", "")
            if gang and member.number == run.number and beside != checkpoint:
                self.report(f"UNASKED checkpoints {checkpoint!r}, {beside!r}")
        self.runs.setdefault(run.task, []).append(run)

    # Cancellations

    @contextmanager
    def disruption(self, *subjects):
        """Record that a fault is in force on processes, workers or the store."""
        found = [Disruption(subject, time.time()) for subject in subjects]
        self.disruptions += found
        self.write("disruption", subjects=subjects)
        try:
            yield
        finally:
            for disruption in found:
                disruption.end = time.time()
            self.write("end of disruption", subjects=subjects)

    def leaders_between(self, begin, end):
        """Return the names of the processes that led at any time between two times."""
        ends = [at for at, _, _ in self.leaders[1:]] + [float("inf")]
        return {
            name
            for (at, name, _), until in zip(self.leaders, ends, strict=False)
            if at <= end and until >= begin
        }

    def check_start(self, run, cancelled_at):
        """Check a start after a cancellation, by a process in touch."""
        at = run.started_at
        if run.late or at <= cancelled_at + CANCEL_S:
            return
        epoch = run.order["fencingToken"] // TOKENS_PER_EPOCH
        starters = {name for _, name, number in self.leaders if number == epoch}
        if not any(
            d.subject in starters | {STORE}
            and d.begin <= at
            and d.end >= at - CONTACT_S
            for d in self.disruptions
        ):
            self.report(
                f"UNASKED start of {run.task} run {run.number} by {starters} "
                f"{at - cancelled_at:.1f} s after its cancellation",
                at,
            )

    def check_end(self, run, cancelled_at, now):
        """Check that a run was gone after an undisturbed stretch of the limits."""
        begin = max(cancelled_at, run.started_at + CONTACT_S * run.late)
        begin = self.undisturbed_from(begin, CANCEL_S + STOP_S, run)
        if min(run.ended_at, now) > begin + CANCEL_S + STOP_S:
            worker_id = run.worker.worker_id
            self.report(
                f"UNASKED run {run.number} of {run.task} goes on on {worker_id} "
                f"{min(run.ended_at, now) - cancelled_at:.1f} s after its cancellation",
                begin + CANCEL_S + STOP_S,
            )

    def undisturbed_from(self, begin, length_s, run=None):
        """Return when the first stretch without disruption of some length begins.

        Args:
            begin: Time from which to look.
            length_s: Length of the stretch.
            run: Only what may delay the stop of this run counts; all by default.
        """
        for d in sorted(self.disruptions, key=lambda d: d.begin):
            of_worker = run is not None and d.subject == run.worker.worker_id
            until = d.end + CONTACT_S * (not of_worker)
            counts = run is None or of_worker or self.delays_all(d)
            if counts and d.begin < begin + length_s and until > begin:
                begin = until
        return begin

    def delays_all(self, disruption):
        """Return whether a disruption is one of the store or of a leader."""
        until = disruption.end + CONTACT_S
        leaders = self.leaders_between(disruption.begin, until)
        return disruption.subject in leaders | {STORE}

    def acknowledged_at(self, job):
        """Return when a cancellation counts as acknowledged; infinite for none."""
        if job.cancel_sent_at is None:
            return float("inf")
        begin = self.undisturbed_from(job.cancel_sent_at, ACK_S)
        return min(job.cancelled_at or float("inf"), begin + ACK_S)

    def check_cancellations(self, now):
        """Check all runs of cancelled jobs."""
        for job_id, job in self.jobs.items():
            at = self.acknowledged_at(job)
            for task in self.tasks_of(job_id):
                for run in self.runs.get(task, ()):
                    self.check_start(run, at)
                    self.check_end(run, at, now)

    def completed_with(self, task):
        """Return the tasks that are done once ``task`` is: a gang ends as a whole."""
        job_id, _, number, _ = task.split(".")
        if job_id not in self.jobs or task not in self.tasks_of(job_id):
            return {task}
        step = self.jobs[job_id].body["steps"][int(number)]
        gang_indexes = range(step["count"]) if step.get("gang") else ()
        return {task} | {f"{job_id}.0.{number}.{index}" for index in gang_indexes}

    def tasks_of(self, job_id):
        steps = self.jobs[job_id].body["steps"]
        return [
            f"{job_id}.0.{number}.{index}"
            for number, step in enumerate(steps)
            for index in range(step["count"])
        ]


class Soak(Cell):
    """A cell behind proxies, with callers and fault injection."""

    def __init__(self, folder, stack, seed):
        super().__init__(folder, stack)
        self.seed = seed
        self.rng = random.Random(seed)
        self.standin = StoreStandin(rng=random.Random(f"{seed}.store"))
        self.ledger = Ledger()
        self.version = 1
        self.store_links = []
        self.worker_links = []
        self.workers = [
            WorkerStandin(
                f"w{index}",
                clock_rate=0.98 if index % 2 else 1.0,
                observe=self.ledger.observe,
                work_of=self.work_of,
                stop_s=STOP_S,
                rng=random.Random(f"{seed}.w{index}"),
            )
            for index in range(WORKER_COUNT)
        ]
        for worker in self.workers:
            worker.peers = self.workers

    async def begin(self, entries):
        self.standin.engine.watch(LEADER_KEY.encode(), b"", 0, self.note_leader)
        await super().begin(entries)

    def note_leader(self, batch):
        leader = LeaderRecord("", 0)
        if batch.changes[0].entry is not None:
            try:
                leader = decode(LeaderRecord, batch.changes[0].entry.value)
            except BadRequest:
                return
        if [leader.epoch] != [epoch for _, _, epoch in self.ledger.leaders[-1:]]:
            self.ledger.leaders.append((time.time(), leader.name, leader.epoch))
            self.ledger.write("leader", name=leader.name, epoch=leader.epoch)

    async def reach_store(self, address):
        proxy = Proxy(address)
        self.store_links.append(proxy)
        return await self.stack.enter_async_context(proxy.listen())

    async def reach_worker(self, address):
        proxy = Proxy(address)
        self.worker_links.append(proxy)
        return await self.stack.enter_async_context(proxy.listen())

    # Callers

    def random_job(self, job_id, rng):
        """Return a job, with a prefix for its path."""
        steps = [{"count": rng.randint(1, 4), "cpu": rng.choice([1000, 4000, 7000])}]
        if rng.random() < 0.3:
            steps.append({"count": rng.randint(1, 3), "cpu": 2000, "after": [0]})
        if rng.random() < 0.2:
            steps[0]["gang"] = True
        for step in steps:
            step["checkpointing"] = rng.random() < 0.5
        job = Submitted(rng.choice(list(QUEUES.values())) + job_id, {})
        if rng.random() < 0.25:
            steps = [steps[0] | {"cpu": 500}]
            # A long-running task ends only when its job is cancelled.
            job.work_s = rng.choice([2.0, 5.0, float("inf")])
            steps[0]["longRunning"] = job.work_s == float("inf")
            steps[0]["gang"] = rng.random() < 0.3 and not steps[0]["longRunning"]
        job.fails = rng.random() < 0.1
        spec = f"{self.seed}-{job_id}"
        job.body = {"spec": spec, "steps": [{"estRuntimeMs": 500} | s for s in steps]}
        return job

    def work_of(self, task, worker):
        """Return what a task does on a worker."""
        job_id, _, number, _ = task.split(".")
        job = self.ledger.jobs.get(job_id)
        if job is None or int(number) >= len(job.body["steps"]):
            return Work(1.0)
        step = job.body["steps"][int(number)]
        work_s = job.work_s or 0.2 + 0.2 * self.workers.index(worker)
        fails = job.fails and task not in self.ledger.runs and task.endswith(".0.0.0")
        return Work(
            work_s,
            SAVE_S * step["checkpointing"],
            step["count"] * step.get("gang", False),
            min(work_s * 0.7, 3.0) if fails else float("inf"),
        )

    async def ask(self, method, job, rng, body=None):
        entry = rng.choice(self.entries)
        answer = await call(method, job.path, entry.front, body, CALL_S)
        self.ledger.write(
            "asked", method=method, path=job.path, entry=entry.name, code=answer.code
        )
        return answer

    async def use(self, job_id):
        """Submit a job, and cancel it or submit it again, as its seed has it."""
        rng = random.Random(f"{self.seed}.{job_id}")
        job = self.ledger.jobs[job_id] = self.random_job(job_id, rng)
        chance, again = rng.random(), rng.random() < 0.25
        cancels = chance < 0.25 or job.work_s == float("inf")
        pause_s = rng.choice([0.0, 0.1, rng.uniform(0, 6)])
        await self.submit(job, rng, patient=chance > 0.5)
        calls = []
        if cancels or (not job.accepted and not job.refused):
            calls.append(self.cancel(job, rng, pause_s))
        if again and job.accepted:
            calls.append(self.submit_again(job, rng))
        await asyncio.gather(*calls)

    async def submit(self, job, rng, patient):
        """Submit a job, again if there is no response and the caller is patient."""
        answers = []
        for _ in range(SUBMIT_ATTEMPTS):
            answer = await self.ask("POST", job, rng, job.body)
            answers.append(answer.code)
            if answer.code == 200:
                job.accepted = True
                return
            if not patient and answer.code not in (429, 503):
                return
            await asyncio.sleep(0.3)
        # A request may have arrived although its connection was refused or broken.
        job.refused = all(code in (429, 503) for code in answers)

    async def submit_again(self, job, rng):
        await asyncio.sleep(rng.uniform(1, 6))
        await self.ask("POST", job, rng, job.body)

    async def cancel(self, job, rng, pause_s):
        """Cancel a job at one process after the other until one acknowledges it."""
        await asyncio.sleep(pause_s)
        job.cancel_sent_at = time.time()
        until = time.monotonic() + RECOVERY_S
        while time.monotonic() < until:
            answer = await self.ask("DELETE", job, rng)
            if answer.code // 100 == 2 or answer.code == 410:
                job.cancelled_at = time.time()
                break
            await asyncio.sleep(0.3)
        else:
            self.ledger.report(f"ACKS cancellation of {job.path}")
        await self.ask("GET", job, rng)

    async def poll(self, job):
        """Poll the state of a job until it is completed, at most ``RECOVERY_S``."""
        until = time.monotonic() + RECOVERY_S
        while time.monotonic() < until:
            entry = self.rng.choice(self.entries)
            answer = await call("GET", job.path, entry.front)
            if answer is not Unreachable and answer.code == 200:
                job.shown.append(json.loads(answer.body)["state"])
                if job.shown[-1] == "completed":
                    return
            await asyncio.sleep(0.4)

    async def submit_jobs(self, seconds):
        calls = []
        until = time.monotonic() + seconds
        number = 0
        rng = random.Random(f"{self.seed}.calls")
        while time.monotonic() < until:
            number += 1
            calls.append(asyncio.create_task(self.use(f"{number:016x}")))
            await asyncio.sleep(rng.expovariate(12.0))
        await asyncio.gather(*calls)

    # Faults

    async def note_stalls(self):
        """Record when this process, and the store in it, did not run for a while."""
        while True:
            began = time.time()
            await asyncio.sleep(TICK_S)
            if time.time() - began > TICK_S + STALL_S:
                found = Disruption(STORE, began, time.time())
                self.ledger.disruptions.append(found)
                self.ledger.write("stalled", since=round(began, 3))

    async def inject_faults(self, names, longest_pause_s=2.0):
        until = time.monotonic() + FAULT_S
        running = []
        while time.monotonic() < until:
            name = self.rng.choice(names)
            self.ledger.write("fault", name=name)
            running.append(asyncio.create_task(FAULTS[name](self)))
            await asyncio.sleep(self.rng.uniform(0.3, longest_pause_s))
        await asyncio.gather(*running)

    def clear_faults(self):
        for proxy in self.store_links + self.worker_links:
            proxy.link, proxy.delay_s = Link.OPEN, 0.0
        self.standin.faults.status = 0
        self.standin.faults.silent = False
        self.standin.faults.lost_answers = 0
        self.standin.faults.late_share = 0.0
        self.standin.faults.muted = False
        for worker in self.workers:
            worker.faults.late_share = worker.faults.lost_share = 0.0

    def runs_cancelled_tasks(self):
        """Return whether a task of a cancelled job runs."""
        jobs = self.ledger.jobs.items()
        cancelled = [i for i, job in jobs if job.cancel_sent_at is not None]
        tasks = [task for i in cancelled for task in self.ledger.tasks_of(i)]
        return any(self.ledger.running.get(task) for task in tasks)

    async def wait_for_cancelled(self):
        """Wait until no task of a cancelled job runs, or should run any more."""
        until = time.monotonic() + CONTACT_S + CANCEL_S + STOP_S + 0.5
        while self.runs_cancelled_tasks():
            await asyncio.sleep(0.1)
            if time.monotonic() > until:
                return

    def check(self):
        ledger = self.ledger
        ledger.check_cancellations(time.time())
        for job_id, job in ledger.jobs.items():
            tasks = ledger.tasks_of(job_id)
            done = [task in ledger.done for task in tasks]
            owed = job.accepted and job.cancel_sent_at is None
            if owed and (not all(done) or job.shown[-1:] != ["completed"]):
                ledger.report(f"LOST {job_id}: {sum(done)} of {len(done)} done")
            if job.refused and any(task in ledger.running for task in tasks):
                ledger.report(f"REFUSED {job_id} ran")
            if "completed" in job.shown and not all(done):
                ledger.report(f"MIXED {job_id} is shown as completed")
        return ledger.broken


async def restart(soak, entry, number, pause_s=0.0):
    """Restart a process, unless another fault is restarting it."""
    if entry.restarting.locked():
        return
    async with entry.restarting:
        with soak.ledger.disruption(entry.name):
            await entry.stop(number)
            await asyncio.sleep(pause_s)
            await entry.start()


@fault
async def kill(soak):
    entry = soak.rng.choice(soak.entries)
    await restart(soak, entry, signal.SIGKILL, soak.rng.uniform(0, 2))


@fault
async def kill_leader(soak):
    entry = soak.leader()
    if entry is not None:
        await restart(soak, entry, signal.SIGKILL)


@fault
async def kill_all(soak):
    await asyncio.gather(*(restart(soak, e, signal.SIGKILL, 0.3) for e in soak.entries))


@fault
async def terminate(soak):
    await restart(soak, soak.rng.choice(soak.entries), signal.SIGTERM)


@fault
async def pause(soak):
    entry = soak.leader() if soak.rng.random() < 0.5 else None
    entry = entry or soak.rng.choice(soak.entries)
    if entry.process.returncode is None:
        with soak.ledger.disruption(entry.name):
            entry.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(soak.rng.uniform(0.5, 4))
            if entry.process.returncode is None:
                entry.process.send_signal(signal.SIGCONT)


@fault
async def reload(soak):
    entry = soak.rng.choice(soak.entries)
    if entry.process.returncode is None:
        entry.process.send_signal(signal.SIGHUP)


@fault
async def cut_store(soak):
    indexes = soak.rng.sample(range(ENTRY_COUNT), soak.rng.randint(1, ENTRY_COUNT))
    proxies = [soak.store_links[index] for index in indexes]
    link = soak.rng.choice([Link.SILENT, Link.NO_ANSWERS, Link.REFUSE])
    with soak.ledger.disruption(*(soak.entries[index].name for index in indexes)):
        for proxy in proxies:
            proxy.link = link
            if link is Link.REFUSE:
                proxy.reset()
        await asyncio.sleep(soak.rng.uniform(0.5, 4))
        for proxy in proxies:
            proxy.link = Link.OPEN
            # A connection that lost bytes never answers again.
            proxy.reset()


@fault
async def slow_store(soak):
    with soak.ledger.disruption(STORE):
        for proxy in soak.store_links:
            proxy.delay_s = 0.12
        await asyncio.sleep(soak.rng.uniform(1, 4))
        for proxy in soak.store_links:
            proxy.delay_s = 0.0


@fault
async def refuse_in_store(soak):
    with soak.ledger.disruption(STORE):
        soak.standin.faults.status = soak.rng.choice([429, 503])
        await asyncio.sleep(soak.rng.uniform(0.5, 3))
        soak.standin.faults.status = 0


@fault
async def lose_answers(soak):
    with soak.ledger.disruption(STORE):
        soak.standin.faults.lost_answers = soak.rng.randint(1, 6)
        await asyncio.sleep(soak.rng.uniform(0.5, 2))
        soak.standin.faults.lost_answers = 0


@fault
async def delay_writes(soak):
    """Leave writes without a response and apply them seconds later."""
    with soak.ledger.disruption(STORE):
        soak.standin.faults.late_share = 0.35
        await asyncio.sleep(soak.rng.uniform(0.5, 3))
        soak.standin.faults.late_share = 0.0


@fault
async def drop_history(soak):
    """Keep changes from the watches for a while, then discard the history."""
    with soak.ledger.disruption(STORE):
        soak.standin.faults.muted = True
        await asyncio.sleep(soak.rng.uniform(0.7, 1.3))
        soak.standin.faults.muted = False
        soak.standin.compact()


@fault
async def cut_worker(soak):
    worker, proxy = soak.rng.choice(
        list(zip(soak.workers, soak.worker_links, strict=True))
    )
    with soak.ledger.disruption(worker.worker_id):
        proxy.link = soak.rng.choice([Link.SILENT, Link.NO_ANSWERS, Link.REFUSE])
        await asyncio.sleep(soak.rng.uniform(0.5, 8))
        proxy.link = Link.OPEN
        proxy.reset()


@fault
async def reset_worker(soak):
    worker, proxy = soak.rng.choice(
        list(zip(soak.workers, soak.worker_links, strict=True))
    )
    with soak.ledger.disruption(worker.worker_id):
        proxy.reset()


@fault
async def delay_orders(soak):
    """Leave calls of a worker without a response and execute them seconds later.

    If all are delayed, the worker is then cut off, so that no newer call fences them.
    """
    index = soak.rng.randrange(WORKER_COUNT)
    worker, proxy = soak.workers[index], soak.worker_links[index]
    with soak.ledger.disruption(worker.worker_id):
        share = soak.rng.choice([0.1, 0.4, 1.0])
        worker.faults.late_share = share
        await asyncio.sleep(1.0 if share == 1.0 else soak.rng.uniform(1, 6))
        worker.faults.late_share = 0.0
        if share == 1.0:
            proxy.link = Link.SILENT
            await asyncio.sleep(soak.rng.uniform(2, 8))
            proxy.link = Link.OPEN
            proxy.reset()


@fault
async def lose_order_answers(soak):
    worker = soak.rng.choice(soak.workers)
    with soak.ledger.disruption(worker.worker_id):
        worker.faults.lost_share = soak.rng.choice([0.2, 0.45])
        await asyncio.sleep(soak.rng.uniform(1, 6))
        worker.faults.lost_share = 0.0


@fault
async def crash_worker(soak):
    worker = soak.rng.choice(soak.workers)
    with soak.ledger.disruption(worker.worker_id):
        worker.crash()
        await soak.register(worker)


@fault
async def configure(soak):
    for _ in range(soak.rng.randint(1, 4)):
        soak.version += 1
        value = config(soak.version, SERVICE, QUEUES)
        await soak.operator.txn([], [Put("op/config", value)])
        await asyncio.sleep(0.2)


@fault
async def change_routes(soak):
    """Add and remove a route with a longer prefix, and submit jobs to it meanwhile."""
    for queues in (QUEUES | EXTRA_QUEUE, QUEUES):
        soak.version += 1
        value = config(soak.version, SERVICE, queues)
        await soak.operator.txn([], [Put("op/config", value)])
        for index in range(6):
            job_id = f"e{soak.version:07x}{index:08x}"
            rng = random.Random(f"{soak.seed}.{job_id}")
            job = soak.ledger.jobs[job_id] = soak.random_job(job_id, rng)
            job.path = EXTRA_QUEUE["merges"] + job_id
            job.work_s = 0.5
            # The route may not be in force yet or any more.
            await soak.ask("POST", job, rng, job.body)
            await asyncio.sleep(0.1)


@fault
async def write_invalid_records(soak):
    """Write invalid entries beside those of workers and processes, and over one.

    Two more are valid, but no worker stands behind them.
    """
    for service in (SERVICE, "elsewhere"):
        value = invalid_records.worker_entry(service).encode()
        await soak.operator.txn([], [Put(f"servers/foreign-{service}", value)])
    entries = list(invalid_records.worker_entries(SERVICE).values())
    for number in range(soak.rng.randint(1, 6)):
        key = soak.rng.choice(
            [f"servers/invalid{number}", f"fw/member/invalid{number}"]
        )
        value = soak.rng.choice(entries)
        await soak.operator.txn([], [Put(key, value)])
        await asyncio.sleep(soak.rng.uniform(0, 0.3))
    worker = soak.rng.choice(soak.workers)
    key = f"servers/{worker.worker_id}"
    await soak.operator.txn([], [Put(key, soak.rng.choice(entries))])
    await asyncio.sleep(soak.rng.uniform(0, 2))
    await soak.register(worker)


@fault
async def submit_invalid_jobs(soak):
    for number, (name, body) in enumerate(invalid_records.job_bodies().items()):
        path = f"/p/{INVALID_ID + number:016x}"
        answer = await call("POST", path, soak.rng.choice(soak.entries).front, body)
        if answer.code == 200:
            soak.ledger.report(f"LIMITS {name} was accepted")


def unexpected(logs):
    """Return output of processes outside their decision log, such as tracebacks."""
    lines = [line for log in logs for line in log.splitlines()]
    return [f"OUTPUT {line[:200]!r}" for line in lines if not line.startswith(b"{")]


async def play(seed, names=None):
    """Run one seed. Name used by the two-build check.

    Args:
        seed: Seed of all random choices.
        names: Names of the faults to draw from; all by default.

    Returns:
        The violations, the log of each process and the number of accepted jobs.
    """
    # With all faults, some seeds leave undisturbed time between them.
    longest_pause_s = 2.0 if names or seed % 2 else 6.0
    names = names or sorted(FAULTS)
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            soak = Soak(Path(folder), stack, seed)
            stalls = asyncio.create_task(soak.note_stalls())
            stack.callback(stalls.cancel)
            await soak.begin(ENTRY_COUNT)
            calls = asyncio.create_task(soak.submit_jobs(FAULT_S + 2))
            await soak.inject_faults(names, longest_pause_s)
            soak.clear_faults()
            await calls
            accepted = [job for job in soak.ledger.jobs.values() if job.accepted]
            owed = [job for job in accepted if job.cancel_sent_at is None]
            await asyncio.gather(*(soak.poll(job) for job in owed))
            await soak.wait_for_cancelled()
            violations = soak.check()
            lines = [entry.log.read_bytes() for entry in soak.entries]
            violations += unexpected(lines)
            lines.append(b"\n".join(soak.ledger.trace) + b"\n")
            if violations:
                keep_logs(seed, lines)
            return violations, lines, len(accepted)


def keep_logs(seed, lines):
    """Write the logs of a failed run and its trace to the temporary folder."""
    moment = time.strftime("%H%M%S")
    path = Path(tempfile.gettempdir()) / f"soak-{seed}-{moment}.log"
    path.write_bytes(b"".join(lines))
    print(f"logs of seed {seed}: {path}", flush=True)


def main(first, count):
    failed = 0
    for seed in range(first, first + count):
        violations, lines, accepted = asyncio.run(play(seed))
        print(
            seed,
            f"{accepted} jobs accepted",
            violations[:5] or "kept",
            flush=True,
        )
        if violations:
            failed += 1
    return failed


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
