"""Bodies of the platform's messages and their translation into product types."""

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
STATES = ("ready", DRAINING)


class Body(msgspec.Struct, rename="camel", omit_defaults=True):
    """Base of message bodies; names on the wire are in camel case."""


class StepBody(Body):
    """A step of a submitted job; ``antiAffinity`` is a number of tasks a worker."""

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
    """A submitted job; ``spec`` is an opaque text for its tasks."""

    steps: list[StepBody]
    spec: str = ""
    repeats: int = 0
    first_run_ms: float = 0.0
    interval_ms: float = 0.0


class AdviceBody(Body):
    """Timing of the advice service for a queue."""

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


class RouteBody(Body):
    """A queue; ``sloMs`` is only a part of the latency objective."""

    name: str
    service: str
    prefix: str
    host: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    slo_ms: float = 0.0
    advice: AdviceBody | None = None


class ServiceBody(Body):
    """A pool of workers; without ``admissionCheck`` they start all they are told."""

    name: str
    admission_check: bool = False
    spare: bool = False


class LimitsBody(Body, frozen=True):
    """Limits on callers' requests."""

    max_body_bytes: int = 262_144


class ConfigBody(Body):
    """The operator's newest configuration."""

    version: int
    routes: list[RouteBody]
    services: list[ServiceBody] = []
    limits: LimitsBody = LimitsBody()


class CapacityBody(Body):
    """Resources; ``cpu`` in thousandths of a core."""

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


class HoldBody(Body):
    """Answer of a worker to a poll; rows are positional."""

    clock_ms: int
    born: int = 0
    num_running: list[list[Any]] = []
    ended: list[list[Any]] = []


class ClockBody(Body):
    """Answer of a worker to an order."""

    clock_ms: int = 0
    born: int = 0
    reason: str = ""


class AdviseBody(Body):
    """Answer of the advice service; ``good`` has rows of worker id and ticket."""

    good: list[list[str]] = []
    valid_ms: float = 0.0


class ItemBody(Body):
    """A stored key or its removal; ``value`` is standard base64."""

    key: str
    value: str = ""
    revision: int = 0
    created: int = 0
    lease: int = 0
    deleted: bool = False


class ItemsBody(Body):
    """Items of a range read or of a failed condition, and events of a watch."""

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
    """Return the body of type ``kind``.

    Raises:
        BadRequest: If the bytes hold something else.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = _DECODERS[kind] = msgspec.json.Decoder(kind)
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadRequest(f"not a {kind.__name__}: {exc}") from None


def to_item(body: ItemBody) -> KeyValue:
    """Return a stored key."""
    value = b64decode(body.value)
    return KeyValue(body.key, value, body.created, body.revision, body.lease)


def to_event(body: ItemBody) -> WatchEvent:
    """Return a change of a key."""
    return WatchEvent(body.key, None if body.deleted else to_item(body))


def to_text(value: bytes) -> str:
    """Return the wire form of a stored value."""
    return b64encode(value).decode("ascii")


def to_resources(body: StepBody | CapacityBody) -> Resources:
    """Return an amount of resources."""
    return Resources(body.cpu, body.mem_mb, body.gpu)


def to_step(body: StepBody) -> Step:
    """Return a step of a job."""
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
    """Return the job in the body of a submission.

    Raises:
        BadRequest: If the body is not a job.
    """
    body = parse(JobBody, data)
    schedule = None
    if body.repeats > 0:
        first, interval = body.first_run_ms / 1000, body.interval_ms / 1000
        schedule = Schedule(body.repeats, first, interval)
    steps = tuple(to_step(step) for step in body.steps)
    return StepJobSpec(job_id, queue, body.spec, steps, schedule)


def to_advice_timing(body: AdviceBody | None) -> AdviceTiming | None:
    """Return the timing of the advice service, if a queue has one."""
    if body is None:
        return None
    return AdviceTiming(
        body.decide_ms / 1000, body.each_ms / 1000, body.valid_ms / 1000
    )


def to_queue(body: RouteBody) -> Queue:
    """Return a queue."""
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
    """Return the desired state in the operator's configuration.

    Raises:
        BadRequest: If it cannot be read.
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
    """Return a worker's entry in the registry.

    Raises:
        BadRequest: If another writer left something that is no entry.
    """
    if not (worker_id.isascii() and worker_id.isprintable()):
        raise BadRequest(f"worker id {worker_id!r} cannot stand in a header")
    body = parse(WorkerBody, data)
    if body.state not in STATES or ":" not in body.address:
        raise BadRequest(f"state {body.state!r} or address {body.address!r} is unknown")
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
    """Return what a worker says of its runs.

    Raises:
        BadRequest: If it cannot be read.
    """
    body = parse(HoldBody, data)
    try:
        return WorkerReport(
            clock_ms=body.clock_ms,
            born_ms=body.born,
            running=tuple(_running(row) for row in body.num_running),
            ended=tuple(_ended(row) for row in body.ended),
        )
    except (IndexError, ValueError, TypeError) as exc:
        raise BadRequest(f"unexpected row in a list of runs: {exc}") from None


def _running(row: list[Any]) -> RunningTask:
    """Return a row of ``numRunning``, which is a list and not a number."""
    return RunningTask(str(row[0]), int(row[1]), str(row[2] or ""), float(row[3]))


def _ended(row: list[Any]) -> EndedTask:
    sequence, task_id, number, kind, checkpoint = row[:5]
    return EndedTask(
        int(sequence), str(task_id), int(number), EndKind(kind), str(checkpoint or "")
    )
