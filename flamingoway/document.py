"""Environment documents: model, validation and digest.

One document describes one application. It holds nothing that depends on the
environment, so the same bytes are tried in trial and promoted to production.
"""

import hashlib
from typing import Literal

import msgspec

from . import yamlio
from .errors import BadDocument
from .model import Resources
from .settings import Model

MAX_DOCUMENT_BYTES = 512 * 1024


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
    return yamlio.decode(data, Document, BadDocument, path)


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
