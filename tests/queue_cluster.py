"""A cluster state with workers and jobs, for tests of single planning decisions."""

from dataclasses import replace

from flamingoway.model import Resources
from flamingoway.queues import records
from flamingoway.queues.cluster import ClusterState
from flamingoway.queues.model import (
    AdviceTiming,
    DesiredState,
    EndedTask,
    EndKind,
    Queue,
    RunningTask,
    Step,
    StepJobSpec,
    WorkerEntry,
    WorkerReport,
)
from flamingoway.queues.planning import Planner
from flamingoway.queues.records import JobRecord, QueueRecord
from flamingoway.queues.runs import AdviceCall, StartRun, StopRun
from flamingoway.queues.table import TableJob

LEASE_S = 5.0
LARGE = Resources(16_000, 64_000)


class RecordingLog:
    """Collects log lines as pairs of event and fields."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


def queue(name, priority=1, advice=None, **fields):
    defaults = {"max_attempts": 3, "stretch": 2.0, "objective_s": 1.0}
    return Queue(
        name, "h", f"/{name}/", "s", priority, advice=advice, **(defaults | fields)
    )


PLANS = queue("plans", 1)
SORTS = queue("sorts", 2)
CHECKS = queue("checks", 0)
ADVISED = queue("advised", 1, AdviceTiming(0.1, 0.01, 2.0))


class Bench:
    """A cluster state with its planner; tests read the orders that both issue."""

    def __init__(self, workers=2, capacity=LARGE, epoch=1, lease_s=LEASE_S):
        self.log = RecordingLog()
        self.now = 100.0
        self.cluster = ClusterState(epoch, lease_s, self.log)
        self.planner = Planner(self.cluster, self.log)
        self.cluster.set_desired_state(DesiredState(1, (PLANS, SORTS, CHECKS, ADVISED)))
        self.clock = {}
        for index in range(workers):
            self.add_worker(f"w{index}", capacity)

    def add_worker(self, worker_id, capacity=LARGE, labels=("r1",)):
        entry = WorkerEntry(
            worker_id, "s", f"{worker_id}:1", "z", capacity, labels, born_ms=1
        )
        worker = self.cluster.set_worker(entry, self.now)
        worker.recorded_address = worker.entry.address
        self.report(worker_id)
        return worker

    def worker(self, worker_id):
        return self.cluster.workers[worker_id]

    def restart(self, worker_id, born_ms=2):
        """Register the next incarnation of a worker."""
        entry = replace(self.worker(worker_id).entry, born_ms=born_ms)
        return self.cluster.set_worker(entry, self.now)

    def report(
        self,
        worker_id,
        running=(),
        ended=(),
        token=None,
        sent_at=None,
        born_ms=None,
        complete=True,
    ):
        worker = self.worker(worker_id)
        report = WorkerReport(
            clock_ms=int(self.now * 1000),
            born_ms=worker.entry.born_ms or 1 if born_ms is None else born_ms,
            running=tuple(RunningTask(*row) for row in running),
            ended=tuple(ended),
            complete=complete,
        )
        self.cluster.on_report(
            worker,
            report,
            self.now if sent_at is None else sent_at,
            worker.token if token is None else token,
            self.now,
            self.now,
        )

    def end(self, run, kind=EndKind.DONE, checkpoint=""):
        """Report the end of a run from its worker."""
        worker = run.worker
        row = EndedTask(worker.processed + 1, run.task_id, run.number, kind, checkpoint)
        others = [
            (r.task_id, r.number)
            for r in worker.runs.values()
            if r is not run and r.confirmed_at
        ]
        self.report(worker.entry.worker_id, others, [row], sent_at=0.0)

    def submit(
        self,
        job_id,
        *steps,
        queue="plans",
        inherited=False,
        schedule=None,
        accepted_under=None,
        progress=None,
    ):
        spec = StepJobSpec(job_id, queue, "text", steps, schedule)
        kept = accepted_under and QueueRecord.of(accepted_under)
        record = records.encode(JobRecord(spec, self.now, queue=kept))
        stored = b"" if progress is None else records.encode_progress(progress)
        entry = TableJob(job_id, queue, record, 1, stored)
        self.cluster.add_job(entry, self.now, self.now, inherited)
        return self.cluster.jobs.get(job_id)

    def plan(self):
        """Run the planner and return the runs that it started."""
        self.planner.run(self.now)
        return [o.run for o in self.orders(StartRun)]

    def orders(self, kind):
        found = [o for o in self.cluster.orders if isinstance(o, kind)]
        self.cluster.orders = [
            o for o in self.cluster.orders if not isinstance(o, kind)
        ]
        return found

    def stops(self):
        return [(o.task_id, o.number) for o in self.orders(StopRun)]

    def advice_calls(self):
        return self.orders(AdviceCall)


def step(count=1, cpu=1000, memory=1000, **fields):
    fields.setdefault("estimate_s", 1.0)
    return Step(count, Resources(cpu, memory), **fields)
