"""Environment documents: model, validation and digest.

One document describes one application. It contains nothing specific to an
environment, so the bytes tried in trial can be promoted to production unchanged.
"""

import hashlib
import math
import re
from collections.abc import Iterator
from typing import Literal

import msgspec

from . import yamlio
from .errors import BadDocument
from .model import Resources
from .settings import ValidatedModel
from .validation import (
    Violation,
    check_key_hash,
    check_name,
    check_positive,
    check_range,
    check_unique_names,
)

MAX_DOCUMENT_BYTES = 512 * 1024
MAX_TASKS = 1000
MAX_ATTEMPTS = 100
MAX_REPLICAS = 1000
MAX_CHECK_TIMEOUT_S = 300.0


class ResourceModel(ValidatedModel):
    """An amount of resources in the units that operators write."""

    cores: float = 1.0
    memory_mb: int = 1024
    accelerators: int = 0

    @property
    def as_resources(self) -> Resources:
        """The amount in the units of the scheduling core."""
        return Resources(round(self.cores * 1000), self.memory_mb, self.accelerators)


class CheckKind(ValidatedModel):
    """A kind of check that targets answer.

    Attributes:
        path: Path at the target.
        timeout_s: Deadline, unless the caller sets a shorter one.
        idempotent: Whether a check may be sent to targets more than once.
    """

    name: str
    path: str
    timeout_s: float = 2.0
    idempotent: bool = False


class JobKind(ValidatedModel):
    """A kind of durable job.

    Attributes:
        weight: Weight of this kind among the kinds of one member.
        resumable: Whether a task can be checkpointed and resumed.
        max_tasks: Largest number of tasks of one job.
        max_attempts: Failed attempts after which a job ends.
        urgent: Whether jobs of this kind start before other jobs, within quota.
        run_time_s: Expected run time of a task, in seconds; 0 if unknown.
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


class ServiceKind(ValidatedModel):
    """A long-running service, kept running with ``replicas`` tasks."""

    name: str
    replicas: int
    resources: ResourceModel = ResourceModel()
    params: dict[str, str | int | float | bool] = {}


class MemberModel(ValidatedModel):
    """A member with its share and keys.

    Attributes:
        weight: Weight in the fair sharing of workers and targets.
        quota: Most resources that the member's durable work may hold at once.
        key_sha256: SHA-256 of each valid key, in hexadecimal; two during rotation.
        check_rate: Checks per second up to which a refusal under load is
            ``OVERLOADED``; above this rate it is ``MEMBER_LIMIT``.
    """

    name: str
    key_sha256: list[str]
    weight: float = 1.0
    quota: ResourceModel = ResourceModel(cores=64, memory_mb=262_144)
    check_rate: float = 100.0


class Document(ValidatedModel):
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
    for violation in _find_violations(document):
        raise yamlio.make_error(
            data, BadDocument, path, violation.field_path, violation.problem
        )
    return document


def digest(data: bytes) -> str:
    """Return the digest that names these exact bytes."""
    return hashlib.sha256(data).hexdigest()


class DocumentVersion(msgspec.Struct, frozen=True):
    """A version of a document as the store holds it.

    Attributes:
        number: Increases by one with each document accepted in the environment.
        accepted_at: Wall-clock time, in seconds since the epoch.
        tried_digest: Digest in the trial environment if the version was promoted,
            else empty.
    """

    number: int
    digest: str
    data: bytes
    operator: str = ""
    accepted_at: float = 0.0
    tried_digest: str = ""


def _find_violations(document: Document) -> Iterator[Violation]:
    yield from check_name(["application"], document.application)
    if not document.members:
        yield Violation(["members"], "found no member; allowed: one or more")
    for group in ("members", "checks", "jobs", "services"):
        yield from check_unique_names(group, getattr(document, group))
    yield from _check_kind_names_disjoint(document)
    for index, member in enumerate(document.members):
        yield from _check_member(["members", index], member)
    yield from _check_keys_not_shared(document)
    for index, check in enumerate(document.checks):
        yield from _check_check_kind(["checks", index], check)
    for index, job in enumerate(document.jobs):
        yield from _check_job_kind(["jobs", index], job)
    for index, service in enumerate(document.services):
        field_path = ["services", index]
        yield from check_range(
            [*field_path, "replicas"], service.replicas, 0, MAX_REPLICAS
        )
        yield from _check_resources([*field_path, "resources"], service.resources)


def _check_kind_names_disjoint(document: Document) -> Iterator[Violation]:
    # The kind is the only thing that distinguishes tasks of services and of jobs.
    jobs = {kind.name for kind in document.jobs}
    for index, service in enumerate(document.services):
        if service.name in jobs:
            yield Violation(
                ["services", index, "name"],
                f"found {service.name!r}, the name of a job kind; "
                "allowed: a name that no job kind has",
            )


def _check_member(
    field_path: yamlio.FieldPath, member: MemberModel
) -> Iterator[Violation]:
    if not member.key_sha256:
        yield Violation(
            [*field_path, "key_sha256"], "found no key; allowed: one or more"
        )
    for index, key_hash in enumerate(member.key_sha256):
        yield from check_key_hash([*field_path, "key_sha256", index], key_hash)
    yield from check_positive([*field_path, "weight"], member.weight)
    yield from check_positive([*field_path, "check_rate"], member.check_rate)
    yield from _check_resources([*field_path, "quota"], member.quota)


def _check_keys_not_shared(document: Document) -> Iterator[Violation]:
    holders: dict[str, str] = {}
    for index, member in enumerate(document.members):
        for place, key_hash in enumerate(member.key_sha256):
            holder = holders.setdefault(key_hash, f"members[{index}]")
            if holder != f"members[{index}]":
                yield Violation(
                    ["members", index, "key_sha256", place],
                    f"found a key of {holder}; allowed: a key of one member",
                )


def _check_check_kind(
    field_path: yamlio.FieldPath, check: CheckKind
) -> Iterator[Violation]:
    if not re.fullmatch(r"/[!-~]*", check.path):
        yield Violation(
            [*field_path, "path"],
            f"found {check.path!r}; allowed: a path that begins with / and has "
            "printable ASCII characters without spaces",
        )
    if not 0 < check.timeout_s <= MAX_CHECK_TIMEOUT_S:
        yield Violation(
            [*field_path, "timeout_s"],
            f"found {check.timeout_s}; allowed: above 0, up to "
            f"{MAX_CHECK_TIMEOUT_S:g} seconds",
        )


def _check_job_kind(field_path: yamlio.FieldPath, job: JobKind) -> Iterator[Violation]:
    yield from _check_resources([*field_path, "resources"], job.resources)
    yield from check_positive([*field_path, "weight"], job.weight)
    yield from check_range([*field_path, "max_tasks"], job.max_tasks, 1, MAX_TASKS)
    yield from check_range(
        [*field_path, "max_attempts"], job.max_attempts, 1, MAX_ATTEMPTS
    )
    if not 0 <= job.run_time_s < math.inf:
        yield Violation(
            [*field_path, "run_time_s"],
            f"found {job.run_time_s}; allowed: seconds from 0 (unknown)",
        )


def _check_resources(
    field_path: yamlio.FieldPath, resources: ResourceModel
) -> Iterator[Violation]:
    if not 0.001 <= resources.cores < math.inf:
        yield Violation(
            [*field_path, "cores"],
            f"found {resources.cores}; allowed: 0.001 cores or more",
        )
    if resources.memory_mb < 1:
        yield Violation(
            [*field_path, "memory_mb"],
            f"found {resources.memory_mb}; allowed: 1 megabyte or more",
        )
    if resources.accelerators < 0:
        yield Violation(
            [*field_path, "accelerators"],
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
