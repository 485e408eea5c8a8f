"""Metrics and trace spans of the work that a shard owner starts."""

from collections.abc import Iterable

from .context import Context
from .core.effects import Effect, StartTask
from .core.ledger import Ledger
from .metrics import RESOURCES
from .model import JobSpec, Policy, Resources


class StartObserver:
    """Records the wait of started work and how full the workers are.

    Args:
        context: Holds metrics and tracer; either may be ``None``.
        shard: Name of the shard.
        ledger: State of the shard, only read.
    """

    def __init__(self, context: Context, shard: str, ledger: Ledger):
        self._context = context
        self._shard = shard
        self._ledger = ledger

    def note_starts(self, effects: Iterable[Effect]) -> None:
        """Record the committed starts that are about to be sent."""
        for effect in effects:
            if isinstance(effect, StartTask):
                self._note_start(effect)

    def note_packing(self) -> None:
        """Set the part of the workers' capacity that tasks hold."""
        metrics = self._context.metrics
        if metrics is None:
            return
        used, capacity = self._totals()
        for name, part, whole in zip(
            RESOURCES, _amounts(used), _amounts(capacity), strict=True
        ):
            metrics.set_packing(self._shard, name, part / whole if whole else 0.0)

    def close(self) -> None:
        """Remove the gauges of the shard, which has another owner from now on."""
        if self._context.metrics is not None:
            self._context.metrics.forget_shard(self._shard)

    def _note_start(self, start: StartTask) -> None:
        spec = start.spec
        if self._context.tracer is not None and spec.traceparent:
            attributes = {"worker": start.worker_id, "task_id": start.task_id}
            with self._context.tracer.span("start", spec.traceparent, **attributes):
                pass
        job = self._ledger.jobs.get(spec.job_id)
        # Later attempts wait for other reasons than the first one.
        if self._context.metrics is None or job is None or start.attempt != 1:
            return
        wait_s = max(0.0, self._context.wall() - job.accepted_at)
        self._context.metrics.observe_wait(spec.environment, _work(spec), wait_s)

    def _totals(self) -> tuple[Resources, Resources]:
        used, capacity = Resources(), Resources()
        for worker_id in self._ledger.workers:
            used += self._ledger.used_on(worker_id)
            capacity += self._ledger.capacity_of(worker_id)
        return used, capacity


def _work(spec: JobSpec) -> str:
    if spec.policy is Policy.SERVICE:
        return "service"
    return "urgent_job" if spec.urgent else "job"


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return (resources.cores_milli, resources.memory_mb, resources.accelerators)
