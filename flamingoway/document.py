"""Environment documents: model, validation and digest.

One document describes one application. It holds nothing that depends on the
environment, so the same bytes are tried in trial and promoted to production.
"""

import hashlib
import math
import re
from collections.abc import Iterator
from typing import Literal

import msgspec

from . import yamlio
from .errors import BadDocument
from .mistakes import (
    Mistake,
    bad_key_hash,
    bad_name,
    bad_names,
    not_positive,
    outside,
)
from .model import Resources
from .settings import Model

MAX_DOCUMENT_BYTES = 512 * 1024
MAX_TASKS = 1000
MAX_ATTEMPTS = 100
MAX_REPLICAS = 1000
MAX_CHECK_TIMEOUT_S = 300.0


class ResourceModel(Model):
    """An amount of resources as operators write it."""

    cores: float = 1.0
    memory_mb: int = 1024
    accelerators: int = 0

    @property
    def amount(self) -> Resources:
        """The amount in the core's units."""
        return Resources(round(self.cores * 1000), self.memory_mb, self.accelerators)


class CheckKind(Model):
    """A kind of check that targets answer.

    Attributes:
        path: Path at the target.
        timeout_s: Deadline without a shorter one from the caller.
        idempotent: Whether a check may be sent twice.
    """

    name: str
    path: str
    timeout_s: float = 2.0
    idempotent: bool = False


class JobKind(Model):
    """A kind of durable work.

    Attributes:
        weight: Weight of this kind among the kinds of one member.
        resumable: Whether a task can be checkpointed and resumed.
        max_tasks: Largest number of tasks of one job.
        max_attempts: Failed attempts after which a job ends.
        urgent: Whether jobs of this kind start before others, within quota.
    """

    name: str
    policy: Literal["batch", "gang"]
    resources: ResourceModel = ResourceModel()
    weight: float = 1.0
    resumable: bool = False
    max_tasks: int = 1
    max_attempts: int = 3
    urgent: bool = False
    run_time_s: float = 0.0


class ServiceKind(Model):
    """A long-running service, kept running with ``replicas`` tasks."""

    name: str
    replicas: int
    resources: ResourceModel = ResourceModel()
    params: dict[str, str | int | float | bool] = {}


class MemberModel(Model):
    """A member with its share and keys.

    Attributes:
        weight: Weight in the fair sharing of workers and targets.
        quota: Most that the member's durable work holds at once.
        key_sha256: SHA-256 of each valid key, in hexadecimal; two during rotation.
        check_rate: Checks a second that the member may always send.
    """

    name: str
    key_sha256: list[str]
    weight: float = 1.0
    quota: ResourceModel = ResourceModel(cores=64, memory_mb=262_144)
    check_rate: float = 100.0


class Document(Model):
    """One environment document."""

    application: str
    members: list[MemberModel]
    checks: list[CheckKind] = []
    jobs: list[JobKind] = []
    services: list[ServiceKind] = []

    def job_kind(self, name: str) -> JobKind | None:
        """Return the job kind called ``name``, or ``None``."""
        return next((kind for kind in self.jobs if kind.name == name), None)

    def check_kind(self, name: str) -> CheckKind | None:
        """Return the check kind called ``name``, or ``None``."""
        return next((kind for kind in self.checks if kind.name == name), None)

    def member(self, name: str) -> MemberModel | None:
        """Return the member called ``name``, or ``None``."""
        return next((member for member in self.members if member.name == name), None)


def parse_document(data: bytes, path: str = "<document>") -> Document:
    """Validate the bytes of a document.

    Raises:
        BadDocument: With file, line and field in its details.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise BadDocument(
            f"{path}: {len(data)} bytes; allowed: {MAX_DOCUMENT_BYTES}", file=path
        )
    document = yamlio.decode(data, Document, BadDocument, path)
    for mistake in _mistakes(document):
        raise yamlio.mistake(data, BadDocument, path, mistake.steps, mistake.problem)
    return document


def digest(data: bytes) -> str:
    """Return the digest that names these exact bytes."""
    return hashlib.sha256(data).hexdigest()


class DocumentVersion(msgspec.Struct, frozen=True):
    """A version of a document as the store holds it.

    Attributes:
        number: Grows by one with each accepted document of an environment.
        accepted_at: Wall-clock time, in seconds since the epoch.
        tried_digest: Digest in the trial environment when this was promoted.
    """

    number: int
    digest: str
    data: bytes
    operator: str = ""
    accepted_at: float = 0.0
    tried_digest: str = ""


def _mistakes(document: Document) -> Iterator[Mistake]:
    yield from bad_name(["application"], document.application)
    if not document.members:
        yield Mistake(["members"], "found no member; allowed: one or more")
    for group in ("members", "checks", "jobs", "services"):
        yield from bad_names(group, getattr(document, group))
    yield from _clashes(document)
    for index, member in enumerate(document.members):
        yield from _member_mistakes(["members", index], member)
    yield from _shared_keys(document)
    for index, check in enumerate(document.checks):
        yield from _check_mistakes(["checks", index], check)
    for index, job in enumerate(document.jobs):
        yield from _job_mistakes(["jobs", index], job)
    for index, service in enumerate(document.services):
        steps = ["services", index]
        yield from outside([*steps, "replicas"], service.replicas, 0, MAX_REPLICAS)
        yield from _resource_mistakes([*steps, "resources"], service.resources)


def _clashes(document: Document) -> Iterator[Mistake]:
    # Tasks of services and of jobs are told apart by their kind alone.
    jobs = {kind.name for kind in document.jobs}
    for index, service in enumerate(document.services):
        if service.name in jobs:
            yield Mistake(
                ["services", index, "name"],
                f"found {service.name!r}, the name of a job kind; "
                "allowed: a name that no job kind has",
            )


def _member_mistakes(steps: yamlio.Steps, member: MemberModel) -> Iterator[Mistake]:
    if not member.key_sha256:
        yield Mistake([*steps, "key_sha256"], "found no key; allowed: one or more")
    for index, key_hash in enumerate(member.key_sha256):
        yield from bad_key_hash([*steps, "key_sha256", index], key_hash)
    yield from not_positive([*steps, "weight"], member.weight)
    yield from not_positive([*steps, "check_rate"], member.check_rate)
    yield from _resource_mistakes([*steps, "quota"], member.quota)


def _shared_keys(document: Document) -> Iterator[Mistake]:
    holders: dict[str, str] = {}
    for index, member in enumerate(document.members):
        for place, key_hash in enumerate(member.key_sha256):
            holder = holders.setdefault(key_hash, f"members[{index}]")
            if holder != f"members[{index}]":
                yield Mistake(
                    ["members", index, "key_sha256", place],
                    f"found a key of {holder}; allowed: a key of one member",
                )


def _check_mistakes(steps: yamlio.Steps, check: CheckKind) -> Iterator[Mistake]:
    if not re.fullmatch(r"/[!-~]*", check.path):
        yield Mistake(
            [*steps, "path"],
            f"found {check.path!r}; allowed: a path that begins with / and has "
            "printable ASCII characters without spaces",
        )
    if not 0 < check.timeout_s <= MAX_CHECK_TIMEOUT_S:
        yield Mistake(
            [*steps, "timeout_s"],
            f"found {check.timeout_s}; allowed: above 0, up to "
            f"{MAX_CHECK_TIMEOUT_S:g} seconds",
        )


def _job_mistakes(steps: yamlio.Steps, job: JobKind) -> Iterator[Mistake]:
    yield from _resource_mistakes([*steps, "resources"], job.resources)
    yield from not_positive([*steps, "weight"], job.weight)
    yield from outside([*steps, "max_tasks"], job.max_tasks, 1, MAX_TASKS)
    yield from outside([*steps, "max_attempts"], job.max_attempts, 1, MAX_ATTEMPTS)
    if not 0 <= job.run_time_s < math.inf:
        yield Mistake(
            [*steps, "run_time_s"],
            f"found {job.run_time_s}; allowed: seconds from 0 (unknown)",
        )


def _resource_mistakes(
    steps: yamlio.Steps, resources: ResourceModel
) -> Iterator[Mistake]:
    if not 0.001 <= resources.cores < math.inf:
        yield Mistake(
            [*steps, "cores"],
            f"found {resources.cores}; allowed: 0.001 cores or more",
        )
    if resources.memory_mb < 1:
        yield Mistake(
            [*steps, "memory_mb"],
            f"found {resources.memory_mb}; allowed: 1 megabyte or more",
        )
    if resources.accelerators < 0:
        yield Mistake(
            [*steps, "accelerators"],
            f"found {resources.accelerators}; allowed: 0 or more",
        )


__all__ = [
    "CheckKind",
    "Document",
    "DocumentVersion",
    "JobKind",
    "MemberModel",
    "ServiceKind",
    "digest",
    "parse_document",
]
