"""Messages between entry processes about jobs, checks, documents and shards."""

from typing import ClassVar

import msgspec

from .document import DocumentVersion
from .peer import Message, Request


class JobView(Message):
    """A job as its member sees it.

    Attributes:
        code: Result code, 0 while the job has not ended.
        results: JSON results of succeeded tasks by task id.
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
    """Read one job; only the member that owns it may see it."""

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
    """Why a job waits, one reason a line."""

    reasons: list[str]


class ExplainJob(Request):
    """Ask the owner why a job waits; for operators."""

    shard: str
    environment: str
    job_id: str

    reply: ClassVar = Explanation


class DeposeReply(Message):
    """State of the asked process.

    Attributes:
        incarnation: Random id of the process start that answers.
        dropped: Whether it does not own the shard at a lower epoch any more.
    """

    incarnation: str
    dropped: bool


class Depose(Request):
    """Tell the former owner of a shard that ``epoch`` has replaced its own."""

    shard: str
    epoch: int

    reply: ClassVar = DeposeReply


class CheckReply(Message):
    """Whole answer of a target to a check, or a refusal.

    Attributes:
        status: HTTP status of the target; 0 if ``code`` is not ``OK``.
        retry_after: Seconds after which a new try makes sense; 0 if not known.
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
    """What a former owner knows of an idempotency key.

    Attributes:
        covered_since: Since when it has owned the key without a break, in seconds
            since the epoch; 0 if it has not owned it.
        reply: Outcome of the key, or ``None`` if the process has not run it. In
            the second case it will never run it.
    """

    covered_since: float
    reply: CheckReply | None = None


class FenceKey(Request):
    """Ask the former owner of a key for its outcome, and fence it there.

    Attributes:
        incarnation: Start of the new owner; another start does not know what this
            one ran.
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
    """Newest known document of each environment."""

    versions: dict[str, DocumentVersion]


class GetDocuments(Request):
    """Ask a peer for the documents it knows.

    Attributes:
        known: Version that the caller has of each environment; the peer sends
            only newer ones.
    """

    known: dict[str, int] = {}

    reply: ClassVar = Documents


class StatusReply(Message):
    """State of one entry process, for ``status``.

    Attributes:
        shards: For each owned shard: epoch, workers, queued, running.
        documents: Version number in effect for each environment.
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
    """An earlier owner of a shard that has not been proved to have ended.

    Attributes:
        replaced_at: Wall-clock time of the next acquisition, in seconds since the
            epoch.
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
            last predecessor alone does not suffice: it may have died before it
            proved that its own predecessor had ended.
    """

    shard: str
    epoch: int
    process_id: str
    incarnation: str
    peer_address: str
    former: list[FormerOwner] = []
