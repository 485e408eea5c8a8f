"""Load and cost of one entry process at the design size, from the fits."""

from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from .streams import framed

WORKERS = 790
RUNNING_TASKS = 5800
STARTS_PER_S = 55.0
JOBS_PER_DAY = 7100
MEMBERS = 290
PROCESSES = 7
SHARDS = 8
ZONES = 8
WORKERS_PER_RACK = 8
CHANGES_PER_DAY = 1800
RESTARTS_PER_DAY = 84
# Each member is in the trial and in the production document of its application.
STAGES = 2
DAY_S = 86_400.0
REPORT_INTERVAL_S = 5.0
SESSION_RENEWAL_S = 1.3
LOG_WRITES_PER_S = 80.0
STORE_WRITES_PER_S = 100.0
MAX_GROUP_BYTES = 512 * 1024
# Watches of a process: processes, documents, and the owner of each shard.
WATCHES = 2 + SHARDS

CPU_BUDGET_MS = 14.0
MEMORY_BUDGET_KB = 64_000.0
BYTES_BUDGET = 29_000.0
KB_PER_KIB = 1.024


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one entry process.

    Attributes:
        jobs_kept: Finished jobs that are kept for a day.
    """

    name: str
    workers: float
    running: float
    starts: float
    jobs_kept: float


def process_load(name: str, part: float, starts: float = STARTS_PER_S) -> Load:
    """Return the load of a process that owns ``part`` of the cell."""
    return Load(
        name,
        WORKERS * part,
        RUNNING_TASKS * part,
        starts * part,
        JOBS_PER_DAY * part,
    )


AVERAGE = process_load("1/7 of the cell", 1 / PROCESSES)
TWO_SHARDS = process_load("2 of 8 shards", 2 / SHARDS)
QUIET = process_load("2 of 8 shards, mean day", 2 / SHARDS, JOBS_PER_DAY / DAY_S)


class Model:
    """Costs computed from the fits and message sizes of one run."""

    def __init__(self, results: dict):
        self._fits = results["fits"]
        self._sizes = results["streams"]
        self._series = results["series"]

    def slope(self, name: str) -> float:
        """Return the slope of a fit."""
        return self._fits[name]["slope"]

    def intercept(self, name: str) -> float:
        """Return the intercept of a fit."""
        return self._fits[name]["intercept"]

    def low_rate_cost(self, series: str, field: str = "cpu_ms_per_s") -> float:
        """Return the cost of one event at the lowest measured rate.

        An event costs more at low rates, where it shares no wake-up or group commit.
        """
        first, second = self._series[series][:2]
        return (second[field] - first[field]) / (second["x"] - first["x"])

    def idle_cpu(self, workers: float) -> float:
        """Return the processor time of an idle owner, between measured points.

        Below the smallest measured size it is that of the smallest size.
        """
        points = self._series["idle"]
        values = [point["cpu_ms_per_s"] for point in points]
        return float(np.interp(workers, [point["x"] for point in points], values))

    def jobs_cpu(self, starts: float) -> float:
        """Return the processor time of job starts, between measured points."""
        points = self._series["starts"]
        values = [point["cpu_ms_per_s"] - points[0]["cpu_ms_per_s"] for point in points]
        return float(np.interp(starts, [point["x"] for point in points], values))

    def change_ms(self, role: str, members: float = MEMBERS) -> float:
        """Return the processor time of one document change."""
        name = f"cpu_ms_per_change_{role}"
        return self.intercept(name) + self.slope(name) * members

    def cpu(self, load: Load) -> dict[str, float]:
        """Return processor milliseconds a second by part."""
        changes = CHANGES_PER_DAY / DAY_S
        return {
            "base": self.idle_cpu(0),
            "workers": self.idle_cpu(load.workers) - self.idle_cpu(0),
            "running tasks": self.slope("cpu_ms_per_running_task") * load.running,
            "jobs": self.jobs_cpu(load.starts),
            "documents": self.change_ms("follower") * changes,
            "administration": self.change_ms("administration") * changes / PROCESSES,
        }

    def memory_kb(self, load: Load) -> dict[str, float]:
        """Return resident kilobytes (1,000 bytes) by part."""
        parts = {
            "base": self.intercept("kib_per_worker"),
            "workers": self.slope("kib_per_worker") * load.workers,
            "running tasks": self.slope("kib_per_running_task") * load.running,
            "finished jobs of a day": self.slope("kib_per_finished_job")
            * load.jobs_kept,
            "documents": self.slope("kib_per_member") * MEMBERS * STAGES,
        }
        return {name: value * KB_PER_KIB for name, value in parts.items()}

    def stream_bytes(self, load: Load) -> dict[str, float]:
        """Return bytes a second of the worker streams and of log writes by part."""
        sizes = self._sizes
        tasks = load.running / load.workers if load.workers else 0.0
        renewal = sizes["command_one_renewal"] - sizes["command_per_renewal"]
        report = framed(round(sizes["report_idle"] + tasks * sizes["report_per_task"]))
        command = framed(round(renewal + tasks * sizes["command_per_renewal"]))
        per_job = 2 * (report + command) + sizes["report_finished_extra"]
        per_job += framed(sizes["command_start"]) + framed(sizes["command_ack"])
        return {
            "periodic reports and renewals": load.workers
            / REPORT_INTERVAL_S
            * (report + (command if tasks else 0)),
            "starts and ends of tasks": load.starts * per_job,
            "log writes": load.starts * sizes["records_per_job"],
        }

    def log_writes(self, starts: float = STARTS_PER_S) -> float:
        """Return log writes a second of all shards.

        The writes of shards add up, because each shard has its own commit interval.
        """
        per_job = self.low_rate_cost("starts", "store_writes_per_s")
        return min(per_job * starts, LOG_WRITES_PER_S)

    def per_node(self, cost: Callable[[Load], dict[str, float]]) -> float:
        """Return the cost of all processes spread over workers and entry VMs."""
        return sum(cost(AVERAGE).values()) * PROCESSES / (WORKERS + PROCESSES)

    def session_writes(self) -> float:
        """Return session renewals a second of all processes."""
        return PROCESSES / SESSION_RENEWAL_S

    def limits(self) -> list[tuple[str, float, str]]:
        """Return where each quantity, growing alone, reaches a budget.

        Each row has the name with the budget, the size and its unit.
        """
        cpu_headroom_ms = CPU_BUDGET_MS - self.idle_cpu(0)
        memory_headroom_kib = MEMORY_BUDGET_KB / KB_PER_KIB - self.intercept(
            "kib_per_worker"
        )
        one = self.stream_bytes(Load("", 1, RUNNING_TASKS / WORKERS, 0, 0))
        per_worker = one["periodic reports and renewals"]
        return [
            (
                "job starts, processor",
                cpu_headroom_ms / self.low_rate_cost("starts"),
                "/s",
            ),
            ("checks, processor", cpu_headroom_ms / self.low_rate_cost("checks"), "/s"),
            (
                "running tasks, processor",
                cpu_headroom_ms / self.slope("cpu_ms_per_running_task"),
                "tasks",
            ),
            (
                "idle workers, processor",
                self._idle_workers_at(CPU_BUDGET_MS),
                "workers",
            ),
            (
                "idle workers, memory",
                memory_headroom_kib / self.slope("kib_per_worker"),
                "workers",
            ),
            (
                "queued jobs, memory",
                memory_headroom_kib / self.slope("kib_per_queued_job"),
                "jobs",
            ),
            ("busy workers, bytes", BYTES_BUDGET / per_worker, "workers"),
        ]

    def _idle_workers_at(self, budget_ms: float) -> float:
        points = self._series["idle"]
        values = [point["cpu_ms_per_s"] for point in points]
        return float(np.interp(budget_ms, values, [point["x"] for point in points]))

    def lost_tasks(self, workers: float) -> dict[str, float]:
        """Return the tasks to place again and the log groups when workers are lost."""
        tasks = RUNNING_TASKS * workers / WORKERS
        size = tasks * self._sizes["records_per_lost_task"]
        return {
            "workers": workers,
            "tasks": tasks,
            "kilobytes": size / 1000,
            "groups": -(-size // MAX_GROUP_BYTES),
        }
