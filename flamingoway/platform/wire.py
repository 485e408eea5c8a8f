"""Bodies of the platform's messages and their conversion to internal types."""

from base64 import b64decode, b64encode
from typing import Any

import msgspec

from ..errors import BadRequest
from ..model import Resources
from ..queues.model import (
    AdviceTiming,
    DesiredState,
    EndedTask,
    EndKind,
    Queue,
    RunningTask,
    Schedule,
    Step,
    StepJobSpec,
    WorkerEntry,
    WorkerReport,
)
from ..store import KeyValue, WatchEvent

DRAINING = "draining"
WORKER_STATES = ("ready", DRAINING)
# Limit on the payload of a job, in bytes of UTF-8; workers need not accept more.
MAX_SPEC_BYTES = 4000


class Body(msgspec.Struct, rename="camel", omit_defaults=True):
    """Base of message bodies; fields are encoded in camel case."""


class StepBody(Body):
    """A step of a submitted job.

    Attributes:
        cpu: Processor time of a task, in thousandths of a core.
        constraints: Label that a worker must have; empty for any.
        affinity: Rack on which the tasks are fast; empty for any.
        anti_affinity: Limit on the step's tasks on one worker; 0 for no limit.
        may_miss: Number of tasks of a long-running step that may be stopped at the
            same time.
        fills: Whether the tasks reserve no processors and use those left idle.
        target_ms: Upper limit on the tail latency of a long-running task; 0 for none.
    """

    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    est_runtime_ms: float = 0.0
    after: list[int] = []
    gang: bool = False
    same_rack: bool = False
    constraints: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    may_miss: int = 0
    fills: bool = False
    image: str = ""
    target_ms: float = 0.0


class JobBody(Body):
    """A submitted job; ``spec`` is an opaque payload for its tasks."""

    steps: list[StepBody]
    spec: str = ""
    repeats: int = 0
    first_run_ms: float = 0.0
    interval_ms: float = 0.0


class AdviceTimingBody(Body):
    """Timing of the advice service for a queue.

    Attributes:
        decide_ms: Fixed part of a call's duration.
        each_ms: Additional duration for each worker in the call.
        valid_ms: Lifetime of a ticket.
    """

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class QueueBody(Body):
    """A queue.

    Attributes:
        stretch: Factor on the critical path in the latency objective.
        slo_ms: Time added to the latency objective, not the whole objective.
    """

    name: str
    service: str
    prefix: str
    host: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0.0
    advice: AdviceTimingBody | None = None


class ServiceBody(Body):
    """A pool of workers.

    Attributes:
        admission_check: If false, its workers start every run that they are ordered to.
    """

    name: str
    admission_check: bool = False
    spare: bool = False


class LimitsBody(Body, frozen=True):
    """Limits on the requests of callers."""

    max_body_bytes: int = 262_144


class ConfigBody(Body):
    """The operator's configuration, in its current version."""

    version: int
    routes: list[QueueBody]
    services: list[ServiceBody] = []
    limits: LimitsBody = LimitsBody()


class CapacityBody(Body):
    """Capacity of a worker; ``cpu`` is in thousandths of a core."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class WorkerBody(Body):
    """A worker's entry in the registry."""

    service: str
    address: str
    state: str
    zone: str
    capacity: CapacityBody
    labels: list[str] = []
    born: int = 0


class PollAnswerBody(Body):
    """Answer of a worker to a poll.

    Attributes:
        clock_ms: The worker's monotonic clock.
        born: Start of the worker's incarnation, in Unix milliseconds.
        num_running: Rows of running runs: task id, run, checkpoint, percent done.
        ended: Rows of ended runs: sequence number, task id, run, kind, checkpoint.
    """

    clock_ms: int
    born: int = 0
    num_running: list[list[Any]] = []
    ended: list[list[Any]] = []


class OrderAnswerBody(Body):
    """Answer of a worker to an order; ``reason`` says why it was refused."""

    clock_ms: int = 0
    born: int = 0
    reason: str = ""


class AdviceAnswerBody(Body):
    """Answer of the advice service; rows of ``good`` are worker id and ticket."""

    good: list[list[str]] = []
    valid_ms: float = 0.0


class ItemBody(Body):
    """A stored key or its deletion; ``value`` is in standard base64."""

    key: str
    value: str = ""
    revision: int = 0
    created: int = 0
    lease: int = 0
    deleted: bool = False


class ItemsBody(Body):
    """Items of a range read or of a failed transaction, or events of a watch."""

    items: list[ItemBody] = []
    events: list[ItemBody] = []
    has_more: bool = False
    store_revision: int = 0


class RevisionBody(Body):
    """Answer to a write."""

    revision: int = 0


class LeaseBody(Body):
    """Answer to a grant or a renewal of a lease."""

    lease: int = 0
    ttl_ms: int = 0


ENCODER = msgspec.json.Encoder()
_DECODERS: dict[type, msgspec.json.Decoder] = {}


def parse(kind: type, data: bytes):
    """Decode a JSON body of type ``kind``.

    Raises:
        BadRequest: If the data is not a valid body of that type.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = _DECODERS[kind] = msgspec.json.Decoder(kind)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadRequest(f"not a valid {kind.__name__}: {exc}") from None


def to_item(body: ItemBody) -> KeyValue:
    """Convert a stored key."""
    value = b64decode(body.value)
    return KeyValue(body.key, value, body.created, body.revision, body.lease)


def to_event(body: ItemBody) -> WatchEvent:
    """Convert a change of a key."""
    return WatchEvent(body.key, None if body.deleted else to_item(body))


def encode_value(value: bytes) -> str:
    """Return a value in base64, as in message bodies."""
    return b64encode(value).decode("ascii")


def to_resources(body: StepBody | CapacityBody) -> Resources:
    """Convert the resources of a step's task or of a worker."""
    return Resources(body.cpu, body.mem_mb, body.gpu)


def to_step(body: StepBody) -> Step:
    """Convert a step of a job."""
    return Step(
        count=body.count,
        resources=to_resources(body),
        estimate_s=body.est_runtime_ms / 1000,
        after=tuple(body.after),
        gang=body.gang,
        same_rack=body.same_rack,
        label=body.constraints,
        data_rack=body.affinity,
        per_worker=body.anti_affinity,
        checkpointing=body.checkpointing,
        speculative=body.speculative,
        lasting=body.long_running,
        may_be_away=body.may_miss,
        filler=body.fills,
        image=body.image,
        target_s=body.target_ms / 1000,
    )


def to_job(data: bytes, job_id: str, queue: str) -> StepJobSpec:
    """Decode the body of a submission.

    Raises:
        BadRequest: If the body is not a valid job, or a field is outside its limits.
    """
    body = parse(JobBody, data)
    _check_job(body)
    schedule = None
    if body.repeats > 0:
        first, interval = body.first_run_ms / 1000, body.interval_ms / 1000
        schedule = Schedule(body.repeats, first, interval)
    steps = tuple(to_step(step) for step in body.steps)
    return StepJobSpec(job_id, queue, body.spec, steps, schedule)


def _check_job(body: JobBody) -> None:
    """Reject a job that workers would reject or that could never end."""
    size = len(body.spec.encode())
    if size > MAX_SPEC_BYTES:
        raise BadRequest(f"spec has {size} bytes, more than {MAX_SPEC_BYTES}")
    if not body.steps:
        raise BadRequest("steps is empty")
    for number, step in enumerate(body.steps):
        if step.count < 1:
            raise BadRequest(f"count of step {number} is {step.count}, less than 1")
        needs = {"cpu": step.cpu, "memMb": step.mem_mb, "gpu": step.gpu}
        for name, value in needs.items():
            if value < 0:
                raise BadRequest(f"{name} of step {number} is {value}, less than 0")
        if not all(0 <= before < number for before in step.after):
            raise BadRequest(
                f"after of step {number} names {step.after}, not only earlier steps"
            )


def to_advice_timing(body: AdviceTimingBody | None) -> AdviceTiming | None:
    """Convert the timing of the advice service; ``None`` if a queue needs no advice."""
    if body is None:
        return None
    return AdviceTiming(
        body.decide_ms / 1000, body.each_ms / 1000, body.valid_ms / 1000
    )


def to_queue(body: QueueBody) -> Queue:
    """Convert a queue."""
    return Queue(
        name=body.name,
        host=body.host,
        prefix=body.prefix,
        service=body.service,
        priority=body.priority,
        max_attempts=body.max_attempts,
        stretch=body.stretch,
        objective_s=body.slo_ms / 1000,
        advice=to_advice_timing(body.advice),
    )


def to_desired_state(data: bytes) -> DesiredState:
    """Decode the operator's configuration.

    Raises:
        BadRequest: If it is not valid.
    """
    body = parse(ConfigBody, data)
    return DesiredState(
        version=body.version,
        queues=tuple(to_queue(route) for route in body.routes),
        services_without_admission_check=frozenset(
            s.name for s in body.services if not s.admission_check
        ),
        max_body_bytes=body.limits.max_body_bytes,
    )


def to_worker(worker_id: str, data: bytes) -> WorkerEntry:
    """Decode a worker's entry in the registry.

    Raises:
        BadRequest: If the entry is not valid; other programs may write to the registry.
    """
    if not (worker_id.isascii() and worker_id.isprintable()):
        raise BadRequest(f"worker id {worker_id!r} cannot be sent in an HTTP header")
    body = parse(WorkerBody, data)
    if body.state not in WORKER_STATES or ":" not in body.address:
        raise BadRequest(f"invalid state {body.state!r} or address {body.address!r}")
    return WorkerEntry(
        worker_id=worker_id,
        service=body.service,
        address=body.address,
        zone=body.zone,
        capacity=to_resources(body.capacity),
        labels=tuple(body.labels),
        draining=body.state == DRAINING,
        born_ms=body.born,
    )


def to_report(data: bytes) -> WorkerReport:
    """Decode a worker's answer to a poll.

    Raises:
        BadRequest: If it is not valid.
    """
    body = parse(PollAnswerBody, data)
    try:
        return WorkerReport(
            clock_ms=body.clock_ms,
            born_ms=body.born,
            running=tuple(_to_running_task(row) for row in body.num_running),
            ended=tuple(_to_ended_task(row) for row in body.ended),
        )
    except (IndexError, ValueError, TypeError) as exc:
        raise BadRequest(f"invalid row in a list of runs: {exc}") from None


def _to_running_task(row: list[Any]) -> RunningTask:
    """Convert a row of ``numRunning``, which is a list despite its name."""
    return RunningTask(str(row[0]), int(row[1]), str(row[2] or ""), float(row[3]))


def _to_ended_task(row: list[Any]) -> EndedTask:
    sequence, task_id, number, kind, checkpoint = row[:5]
    return EndedTask(
        int(sequence), str(task_id), int(number), EndKind(kind), str(checkpoint or "")
    )
