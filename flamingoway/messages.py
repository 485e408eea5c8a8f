"""Messages between entry processes about jobs, checks, documents and shards."""

from typing import ClassVar

import msgspec

from .document import DocumentVersion
from .peer import Message, Request


class JobView(Message):
    """A job as shown to its member.

    Attributes:
        code: Result code, 0 while the job has not ended.
        results: JSON results of the succeeded tasks, by task id.
    """

    job_id: str
    environment: str
    member: str
    kind: str
    state: str
    code: int = 0
    reason: str = ""
    accepted_at: float = 0.0
    ended_at: float = 0.0
    tasks: dict[str, str] = {}
    results: dict[str, bytes] = {}


class SubmitReply(Message):
    """Outcome of a submission."""

    code: int
    job_id: str
    message: str = ""


class SubmitJob(Request):
    """Submit a job to the owner of ``shard``."""

    shard: str
    environment: str
    member: str
    job_id: str
    kind: str
    tasks: int
    urgent: bool
    params: bytes
    request_digest: str
    traceparent: str = ""

    reply: ClassVar = SubmitReply


class GetJob(Request):
    """Read one job; only the member that submitted it may see it."""

    shard: str
    environment: str
    member: str
    job_id: str

    reply: ClassVar = JobView


class JobList(Message):
    """Jobs of a member, newest first."""

    jobs: list[JobView]


class ListJobs(Request):
    """List a member's jobs in one shard."""

    shard: str
    environment: str
    member: str
    limit: int = 100

    reply: ClassVar = JobList


class CancelJob(Request):
    """Cancel one job."""

    shard: str
    environment: str
    member: str
    job_id: str

    reply: ClassVar = SubmitReply


class Explanation(Message):
    """Reasons why a job is waiting, one per line."""

    reasons: list[str]


class ExplainJob(Request):
    """Ask the owner of a shard why a job is waiting; for operators."""

    shard: str
    environment: str
    job_id: str

    reply: ClassVar = Explanation


class DeposeReply(Message):
    """Answer of a former owner to :class:`Depose`.

    Attributes:
        incarnation: Random id of this start of the answering process.
        dropped: Whether it no longer owns the shard at a lower epoch.
    """

    incarnation: str
    dropped: bool


class Depose(Request):
    """Tell the former owner of a shard that its epoch was superseded by ``epoch``."""

    shard: str
    epoch: int

    reply: ClassVar = DeposeReply


class CheckReply(Message):
    """Complete answer of a target to a check, or a refusal.

    Attributes:
        status: HTTP status of the target; 0 if ``code`` is not ``OK``.
        retry_after: Seconds after which a retry may succeed; 0 if unknown.
    """

    code: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    message: str = ""
    retry_after: float = 0.0


class KeyedCheck(Request):
    """Run a check with an idempotency key at the owner of the key."""

    environment: str
    member: str
    kind: str
    key: str
    body: bytes
    deadline_ms: int
    traceparent: str = ""

    reply: ClassVar = CheckReply


class KeyState(Message):
    """What a former owner knows about an idempotency key.

    Attributes:
        covered_since: Wall-clock time since when it has owned the key continuously, in
            seconds since the epoch; 0 if it has not owned it.
        reply: Outcome of the check, or ``None`` if the process has not run it. In
            that case the key is fenced and the process will never run it.
        others_until: Wall-clock time until when a third process owned the key, in
            seconds since the epoch; 0 if none was seen to own it.
    """

    covered_since: float
    reply: CheckReply | None = None
    others_until: float = 0.0


class FenceKey(Request):
    """Ask the former owner of a key for its outcome and fence the key there.

    Attributes:
        incarnation: Random id of this start of the new owner. After a restart, the
            process no longer knows what it ran before.
    """

    environment: str
    member: str
    key: str
    digest: bytes
    new_owner: str
    incarnation: str
    timeout_ms: int

    reply: ClassVar = KeyState


class Documents(Message):
    """The newest known document of each environment."""

    versions: dict[str, DocumentVersion]


class GetDocuments(Request):
    """Ask a peer for the documents it knows.

    Attributes:
        known: Version number that the caller has for each environment; the peer
            sends only newer versions.
    """

    known: dict[str, int] = {}

    reply: ClassVar = Documents


class StatusReply(Message):
    """State of one entry process, for ``status``.

    Attributes:
        shards: For each owned shard, its epoch and the numbers of workers, queued
            entries (tasks, a gang counted once) and running tasks.
        documents: Version number in effect in each environment.
    """

    process_id: str
    incarnation: str
    zone: str
    ready: bool
    store_up: bool
    shards: dict[str, dict[str, int]] = {}
    documents: dict[str, int] = {}
    targets: dict[str, int] = {}
    checks: dict[str, int] = {}


class GetStatus(Request):
    """Ask a process for its state."""

    reply: ClassVar = StatusReply


class ProcessInfo(msgspec.Struct, frozen=True):
    """An entry process, the value of ``process/<id>`` in the store."""

    process_id: str
    incarnation: str
    region: str
    zone: str
    peer_address: str
    http_address: str
    started_at: float


class FormerOwner(msgspec.Struct, frozen=True):
    """An earlier owner of a shard whose end has not been confirmed.

    Attributes:
        replaced_at: Wall-clock time at which the next owner acquired the shard, in
            seconds since the epoch.
    """

    epoch: int
    process_id: str
    incarnation: str
    peer_address: str
    replaced_at: float


class OwnerInfo(msgspec.Struct, frozen=True):
    """Owner of a shard, the value of ``shard/<s>/epoch`` and ``shard/<s>/owner``.

    Attributes:
        former: Earlier owners, newest first, that may still renew task leases. The
            direct predecessor alone is not enough: it may have died before it
            confirmed the end of its own predecessor.
    """

    shard: str
    epoch: int
    process_id: str
    incarnation: str
    peer_address: str
    former: list[FormerOwner] = []
