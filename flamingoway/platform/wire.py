"""Bodies of the platform's messages and their conversion to internal types."""

import binascii
from base64 import b64decode, b64encode
from typing import Annotated

import msgspec
from msgspec import Meta

from ..addresses import parse_address
from ..errors import BadRequest
from ..model import Resources
from ..queues import limits
from ..queues.limits import check_job
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
# A worker's entry has about 300 bytes.
MAX_ENTRY_BYTES = 32 * 1024
# The store allows keys of 200 bytes, and the id follows a prefix.
MAX_WORKER_ID_CHARS = 150
MAX_LABELS = 64
# Ended runs in one answer to a poll; a worker that has more lists the first ones.
MAX_ENDED_ROWS = 500
MAX_CHECKPOINT_CHARS = 4096
MAX_CALL_MS = 3.6e6

Name = Annotated[str, Meta(max_length=limits.MAX_NAME_CHARS)]
# Whole numbers that every JSON reader represents exactly.
Count = Annotated[int, Meta(ge=0, le=2**53)]
Millis = Annotated[float, Meta(ge=0, le=limits.MAX_DURATION_S * 1000)]
CallMillis = Annotated[float, Meta(ge=0, le=MAX_CALL_MS)]


# Names in submissions by the names of the data classes, for error messages.
JOB_FIELDS = {
    "payload": "spec",
    "cores_milli": "cpu",
    "memory_mb": "memMb",
    "accelerators": "gpu",
    "estimate_s": "estRuntimeMs / 1000",
    "label": "constraints",
    "data_rack": "affinity",
    "per_worker": "antiAffinity",
    "may_be_away": "mayMiss",
    "target_s": "targetMs / 1000",
    "first_at": "firstRunMs / 1000",
    "interval_s": "intervalMs / 1000",
}


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

    decide_ms: CallMillis = 0.0
    each_ms: CallMillis = 0.0
    valid_ms: Millis = 0.0


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
    priority: Annotated[int, Meta(ge=-(2**31), le=2**31)] = 0
    max_attempts: Annotated[int, Meta(ge=0, le=2**31)] = 1
    stretch: Annotated[float, Meta(ge=0, le=1e6)] = 1.0
    slo_ms: Millis = 0.0
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

    max_body_bytes: Count = 262_144


class ConfigBody(Body):
    """The operator's configuration, in its current version."""

    version: Count
    routes: list[QueueBody]
    services: list[ServiceBody] = []
    limits: LimitsBody = LimitsBody()


class CapacityBody(Body):
    """Capacity of a worker; ``cpu`` is in thousandths of a core."""

    cpu: Annotated[int, Meta(ge=0, le=limits.MAX_CORES_MILLI)] = 0
    mem_mb: Annotated[int, Meta(ge=0, le=limits.MAX_MEMORY_MB)] = 0
    gpu: Annotated[int, Meta(ge=0, le=limits.MAX_ACCELERATORS)] = 0


class WorkerBody(Body):
    """A worker's entry in the registry."""

    service: Name
    address: Name
    state: Name
    zone: Name
    capacity: CapacityBody
    labels: Annotated[list[Name], Meta(max_length=MAX_LABELS)] = []
    born: Count = 0


class RunningRow(Body, array_like=True):
    """A running run; the fields that follow are not used."""

    task_id: Name
    number: Count
    checkpoint: str | None
    percent: Annotated[float, Meta(ge=0, le=100)]


class EndedRow(Body, array_like=True):
    """An ended run."""

    sequence: Count
    task_id: Name
    number: Count
    kind: EndKind
    checkpoint: str | None = None


class PollAnswerBody(Body):
    """Answer of a worker to a poll.

    Attributes:
        clock_ms: The worker's monotonic clock.
        born: Start of the worker's incarnation, in Unix milliseconds.
        num_running: Rows of running runs; a list despite its name.
        ended: Rows of ended runs that are not acknowledged, the first ones only if
            there are more than ``MAX_ENDED_ROWS``.
    """

    clock_ms: Count
    born: Count = 0
    num_running: list[RunningRow] = []
    ended: list[EndedRow] = []


class OrderAnswerBody(Body):
    """Answer of a worker to an order; ``reason`` says why it was refused."""

    clock_ms: Count = 0
    born: Count = 0
    reason: Name = ""


class AdviceAnswerBody(Body):
    """Answer of the advice service; rows of ``good`` are worker id and ticket."""

    good: list[tuple[Name, str]] = []
    valid_ms: Millis = 0.0


class ItemBody(Body):
    """A stored key or its deletion; ``value`` is in standard base64."""

    key: str
    value: str = ""
    revision: Count = 0
    created: Count = 0
    lease: int = 0
    deleted: bool = False


class ItemsBody(Body):
    """Items of a range read or of a failed transaction, or events of a watch."""

    items: list[ItemBody] = []
    events: list[ItemBody] = []
    has_more: bool = False
    store_revision: Count = 0


class RevisionBody(Body):
    """Answer to a write."""

    revision: Annotated[int, Meta(ge=1)]


class LeaseBody(Body):
    """Answer to a grant or a renewal of a lease."""

    lease: int = 0
    ttl_ms: Count = 0


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
    except RecursionError:
        raise BadRequest(f"not a valid {kind.__name__}: nested too deeply") from None


def to_item(body: ItemBody) -> KeyValue:
    """Convert a stored key; a value that cannot be decoded becomes empty.

    No valid record is empty, so that the record is skipped like others that are not
    valid.
    """
    try:
        value = b64decode(body.value)
    except (binascii.Error, ValueError):
        value = b""
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
    schedule = None
    if body.repeats:
        first, interval = body.first_run_ms / 1000, body.interval_ms / 1000
        schedule = Schedule(body.repeats, first, interval)
    steps = tuple(to_step(step) for step in body.steps)
    spec = StepJobSpec(job_id, queue, body.spec, steps, schedule)
    try:
        check_job(spec)
    except BadRequest as exc:
        field = exc.details["field"]
        message = exc.message.replace(field, JOB_FIELDS.get(field, field))
        raise BadRequest(message) from None
    return spec


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
        services=frozenset(s.name for s in body.services),
    )


def to_worker(worker_id: str, data: bytes) -> WorkerEntry:
    """Decode a worker's entry in the registry.

    Raises:
        BadRequest: If the entry is not valid; other programs may write to the registry.
    """
    if len(data) > MAX_ENTRY_BYTES:
        raise BadRequest(f"entry has {len(data)} bytes, more than {MAX_ENTRY_BYTES}")
    if len(worker_id) > MAX_WORKER_ID_CHARS:
        raise BadRequest(f"worker id is longer than {MAX_WORKER_ID_CHARS} characters")
    if not (worker_id.isascii() and worker_id.isprintable()):
        raise BadRequest(f"worker id {worker_id!r} cannot be sent in an HTTP header")
    body = parse(WorkerBody, data)
    if body.state not in WORKER_STATES:
        raise BadRequest(f"unknown state {body.state!r}")
    try:
        parse_address(body.address)
    except ValueError as exc:
        raise BadRequest(f"invalid address: {exc}") from None
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

    A report with an invalid row is invalid as a whole: without that row, its run would
    seem to have gone.

    Raises:
        BadRequest: If it is not valid.
    """
    body = parse(PollAnswerBody, data)
    return WorkerReport(
        clock_ms=body.clock_ms,
        born_ms=body.born,
        running=tuple(_to_running_task(row) for row in body.num_running),
        ended=tuple(_to_ended_task(row) for row in body.ended),
        complete=len(body.ended) < MAX_ENDED_ROWS,
    )


def _to_running_task(row: RunningRow) -> RunningTask:
    checkpoint = _to_checkpoint(row.checkpoint)
    return RunningTask(row.task_id, row.number, checkpoint, row.percent)


def _to_ended_task(row: EndedRow) -> EndedTask:
    checkpoint = _to_checkpoint(row.checkpoint)
    return EndedTask(row.sequence, row.task_id, row.number, row.kind, checkpoint)


def _to_checkpoint(text: str | None) -> str:
    """Return a checkpoint, or none if it is too long to store with the progress."""
    return text if text and len(text) <= MAX_CHECKPOINT_CHARS else ""
