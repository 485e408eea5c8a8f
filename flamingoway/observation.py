"""Metrics and trace spans of the work that a shard owner starts."""

from collections.abc import Iterable

from .context import Context
from .core.effects import Effect, StartTask
from .core.ledger import Ledger
from .metrics import RESOURCES
from .model import JobSpec, Policy, Resources


class ShardObserver:
    """Records how long started work has waited and how full the workers are.

    Args:
        context: Holds metrics and tracer; either may be ``None``.
        shard: Name of the shard.
        ledger: State of the shard; not modified.
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

    def update_packing(self) -> None:
        """Set the gauges of the fraction of worker capacity that tasks occupy."""
        metrics = self._context.metrics
        if metrics is None:
            return
        used, capacity = self._totals()
        for name, amount, total in zip(
            RESOURCES, _amounts(used), _amounts(capacity), strict=True
        ):
            metrics.set_packing(self._shard, name, amount / total if total else 0.0)

    def close(self) -> None:
        """Remove the shard's gauges; from now on its next owner exports them."""
        if self._context.metrics is not None:
            self._context.metrics.remove_shard(self._shard)

    def _note_start(self, start: StartTask) -> None:
        spec = start.spec
        if self._context.tracer is not None and spec.traceparent:
            attributes = {"worker": start.worker_id, "task_id": start.task_id}
            with self._context.tracer.span("start", spec.traceparent, **attributes):
                pass
        job = self._ledger.jobs.get(spec.job_id)
        # Only the first attempt counts; later ones wait for other reasons.
        if self._context.metrics is None or job is None or start.attempt != 1:
            return
        wait_s = max(0.0, self._context.wall_clock() - job.accepted_at)
        self._context.metrics.observe_wait(spec.environment, _work_label(spec), wait_s)

    def _totals(self) -> tuple[Resources, Resources]:
        used, capacity = Resources(), Resources()
        for worker_id in self._ledger.workers:
            used += self._ledger.used_on(worker_id)
            capacity += self._ledger.capacity_of(worker_id)
        return used, capacity


def _work_label(spec: JobSpec) -> str:
    if spec.policy is Policy.SERVICE:
        return "service"
    return "urgent_job" if spec.urgent else "job"


def _amounts(resources: Resources) -> tuple[int, int, int]:
    return (resources.cores_milli, resources.memory_mb, resources.accelerators)
