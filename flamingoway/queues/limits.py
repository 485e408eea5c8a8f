"""Limits on jobs, so that what a leader spends on one is bounded by its work."""

from ..errors import BadRequest
from .model import Schedule, Step, StepJobSpec

MAX_STEPS = 100
# Tasks of all steps and occurrences. The progress of a job is one value in the store,
# which holds up to a megabyte.
MAX_TASKS = 10_000
# Workers need not accept a longer payload, in bytes of UTF-8.
MAX_PAYLOAD_BYTES = 4000
# Labels, racks and images, in characters.
MAX_NAME_CHARS = 200
# Resources of one task, far beyond any worker.
MAX_CORES_MILLI = 10_000_000
MAX_MEMORY_MB = 1_000_000_000
MAX_ACCELERATORS = 100_000
# Ten years; estimates, targets and intervals.
MAX_DURATION_S = 3.2e8
# Unix time in the year 5138.
MAX_TIME_S = 1e11


def check_job(spec: StepJobSpec) -> None:
    """Check a job that comes from a caller, another process or the store.

    Raises:
        BadRequest: If a value is outside its limits; ``field`` in its details names
            the field of ``StepJobSpec``, ``Step`` or ``Schedule``.
    """
    _check("payload", len(spec.payload.encode()), MAX_PAYLOAD_BYTES, "length of ")
    _check("steps", len(spec.steps), MAX_STEPS, "length of ", lowest=1)
    for number, step in enumerate(spec.steps):
        _check_step(step, number)
    occurrences = 1
    if spec.schedule is not None:
        _check_schedule(spec.schedule)
        occurrences = spec.schedule.repeats
    tasks = occurrences * sum(step.count for step in spec.steps)
    _check("count", tasks, MAX_TASKS, "sum over all steps and occurrences of ")


def _check_step(step: Step, number: int) -> None:
    of_step = f"step {number}: "
    needs = step.resources
    _check("count", step.count, MAX_TASKS, of_step, lowest=1)
    _check("cores_milli", needs.cores_milli, MAX_CORES_MILLI, of_step)
    _check("memory_mb", needs.memory_mb, MAX_MEMORY_MB, of_step)
    _check("accelerators", needs.accelerators, MAX_ACCELERATORS, of_step)
    _check("estimate_s", step.estimate_s, MAX_DURATION_S, of_step)
    _check("per_worker", step.per_worker, MAX_TASKS, of_step)
    _check("may_be_away", step.may_be_away, MAX_TASKS, of_step)
    _check("target_s", step.target_s, MAX_DURATION_S, of_step)
    _check("after", len(step.after), MAX_STEPS, f"{of_step}length of ")
    for before in step.after:
        _check("after", before, number - 1, f"{of_step}earlier step in ")
    for name in ("label", "data_rack", "image"):
        length = len(getattr(step, name))
        _check(name, length, MAX_NAME_CHARS, f"{of_step}length of ")


def _check_schedule(schedule: Schedule) -> None:
    _check("repeats", schedule.repeats, MAX_TASKS, lowest=1)
    _check("first_at", schedule.first_at, MAX_TIME_S)
    _check("interval_s", schedule.interval_s, MAX_DURATION_S)


def _check(
    field: str, value: float, highest: float, what: str = "", lowest: float = 0
) -> None:
    """Raise ``BadRequest`` unless a value is from ``lowest`` to ``highest``."""
    if not lowest <= value <= highest:
        raise BadRequest(
            f"{what}{field} is {_shorten(value)}; allowed: {lowest} to {highest:,}",
            field=field,
        )


def _shorten(value: float) -> str:
    # Numbers of thousands of digits cannot be written in decimal.
    return f"{value:,}" if abs(value) < 1e18 else "beyond 10^18"
