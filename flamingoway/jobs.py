"""Routes members' job requests to the owner of the job's shard."""

# Annotations stay unevaluated, since the method ``list`` hides the built-in type.
from __future__ import annotations

import asyncio
import hashlib
import math
import uuid
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol, TypeVar

import msgspec

from .context import Context
from .errors import BadRequest, FlamingowayError, OutcomeUnknown, Refused
from .messages import (
    CancelJob,
    ExplainJob,
    Explanation,
    GetJob,
    JobList,
    JobView,
    ListJobs,
    OwnerInfo,
    SubmitJob,
    SubmitReply,
)
from .peer import Message, PeerClient, Request
from .settings import EnvironmentSettings
from .status import Code

# Longer than the owner's own deadline for the commit, so that its answer arrives.
CALL_TIMEOUT_S = 5.0
RETRY_AFTER_S = 1.0
# A planned handover of a shard takes some tenths of a second. A request that is
# refused meanwhile did not run, so it is retried before the error is returned.
HANDOVER_ATTEMPTS = 10
HANDOVER_INTERVAL_S = 0.15
HANDOVER_CODES = (Code.OWNER_UNAVAILABLE, Code.OWNER_CHANGED)
LIST_LIMIT = 100

R = TypeVar("R", bound=Message)


class LocalOwners(Protocol):
    """Serves requests for shards that this process owns."""

    def owns(self, shard: str) -> bool:
        """Return whether this process owns the shard."""

    async def handle(self, request: Request) -> Message:
        """Handle one request for a shard that this process owns."""


class JobRouter:
    """Sends each job request to the owner of its shard, here or in a peer.

    Args:
        context: Settings of this process.
        owners: Returns the current owner of each shard.
        local: Owners in this process.
        peers: Calls other entry processes.
        sleep: Coroutine that waits for a number of seconds.
    """

    def __init__(
        self,
        context: Context,
        owners: Callable[[], Mapping[str, OwnerInfo]],
        local: LocalOwners,
        peers: PeerClient,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._context = context
        self._sleep = sleep
        self._owners = owners
        self._local = local
        self._peers = peers

    async def submit(
        self,
        environment: str,
        member: str,
        kind: str,
        tasks: int,
        urgent: bool,
        params: bytes,
        key: str,
        traceparent: str = "",
    ) -> SubmitReply:
        """Submit a job.

        Args:
            environment: Name of the environment.
            member: Name of the member who submits.
            kind: Name of a job kind in the environment's document.
            tasks: Number of tasks.
            urgent: Whether the job goes before other jobs.
            params: Parameters as JSON.
            key: Idempotency key; a random job id is used if it is empty.
            traceparent: W3C trace context.

        Returns:
            A reply with the job id. The code says whether the job was accepted now or
            before, or ``WRITE_UNRESOLVED`` if the commit was not confirmed in time.

        Raises:
            Refused: If the job was not accepted and will not run.
            BadRequest: If the request is invalid.
        """
        job_id = job_id_of(environment, member, key)
        request = SubmitJob(
            shard=self._shard_of(environment, job_id),
            environment=environment,
            member=member,
            job_id=job_id,
            kind=kind,
            tasks=tasks,
            urgent=urgent,
            params=params,
            request_digest=request_digest(kind, tasks, urgent, params),
            traceparent=traceparent,
        )
        try:
            return await self._call(request)
        except OutcomeUnknown as exc:
            return SubmitReply(int(Code.WRITE_UNRESOLVED), job_id, exc.message)

    async def get(self, environment: str, member: str, job_id: str) -> JobView:
        """Read a job.

        Raises:
            FlamingowayError: With ``NOT_FOUND`` if the member has no such job.
            Refused: If the owner cannot be reached.
        """
        return await self._find(
            environment,
            job_id,
            lambda shard: self._read(GetJob(shard, environment, member, job_id)),
        )

    async def list(
        self, environment: str, member: str, limit: int = LIST_LIMIT
    ) -> JobList:
        """Return a member's jobs, newest first, at most ``limit``.

        Raises:
            Refused: If an owner cannot be reached.
        """
        shards = self._environment(environment).shards
        requests = [ListJobs(shard, environment, member, limit) for shard in shards]
        replies = await asyncio.gather(*(self._read(r) for r in requests))
        jobs = [job for reply in replies for job in reply.jobs]
        jobs.sort(key=lambda job: job.accepted_at, reverse=True)
        return JobList(jobs[:limit])

    async def cancel(self, environment: str, member: str, job_id: str) -> SubmitReply:
        """Cancel a job.

        Returns:
            A reply with ``OK``, or with ``WRITE_UNRESOLVED`` if the job may still run.

        Raises:
            FlamingowayError: With ``NOT_FOUND`` if the member has no such job; a
                submission that arrives later is refused.
            Refused: If the job was not cancelled.
        """
        kept, not_kept = [], []

        async def cancel_in(shard: str) -> SubmitReply:
            try:
                return await self._call(CancelJob(shard, environment, member, job_id))
            except OutcomeUnknown as exc:
                return SubmitReply(int(Code.WRITE_UNRESOLVED), job_id, exc.message)
            except FlamingowayError as exc:
                if exc.code == Code.NOT_FOUND:
                    (kept if exc.details.get("kept") else not_kept).append(shard)
                elif kept:
                    # The id is cancelled in a part of the shards.
                    return SubmitReply(int(Code.WRITE_UNRESOLVED), job_id, exc.message)
                raise

        try:
            return await self._find(environment, job_id, cancel_in)
        except FlamingowayError as exc:
            if exc.code != Code.NOT_FOUND or not not_kept:
                raise
        # Owners of earlier builds do not keep cancellations of unknown jobs.
        message = f"shard {not_kept[0]} may still accept a submission with this id"
        return SubmitReply(int(Code.WRITE_UNRESOLVED), job_id, message)

    async def explain(self, environment: str, job_id: str) -> Explanation:
        """Return the reasons why a job waits.

        Raises:
            Refused: If the owner cannot be reached.
        """
        return await self._find(
            environment,
            job_id,
            lambda shard: self._read(ExplainJob(shard, environment, job_id)),
        )

    async def _find(
        self, environment: str, job_id: str, ask: Callable[[str], Awaitable[R]]
    ) -> R:
        """Ask the shards of an environment for a job until one knows it.

        The shard that the id maps to is asked first. Another one may hold the job if
        it was accepted while the environment had other shards or zones.

        Raises:
            FlamingowayError: With ``NOT_FOUND`` only if no shard knows the job.
        """
        first = self._shard_of(environment, job_id)
        others = [s for s in self._environment(environment).shards if s != first]
        for shard in (first, *others):
            try:
                return await ask(shard)
            except FlamingowayError as exc:
                if exc.code != Code.NOT_FOUND:
                    raise
                not_found = exc
        raise not_found

    async def _read(self, request: Request) -> Message:
        # A read changes nothing, so the client may safely retry it.
        try:
            return await self._call(request)
        except OutcomeUnknown as exc:
            raise Refused(
                exc.message, Code.OWNER_UNAVAILABLE, retry_after=RETRY_AFTER_S
            ) from None

    async def _call(self, request: Request) -> Message:
        """Send a request to the owner; retry while the shard is handed over."""
        for _ in range(HANDOVER_ATTEMPTS):
            try:
                return await self._call_once(request)
            except Refused as exc:
                if exc.code not in HANDOVER_CODES:
                    raise
            await self._sleep(HANDOVER_INTERVAL_S)
        return await self._call_once(request)

    async def _call_once(self, request: Request) -> Message:
        if self._local.owns(request.shard):
            return await self._local.handle(request)
        owner = self._owners().get(request.shard)
        if owner is None or owner.process_id == self._context.settings.process_id:
            raise Refused(
                f"shard {request.shard} currently has no owner",
                Code.OWNER_UNAVAILABLE,
                retry_after=RETRY_AFTER_S,
            )
        try:
            return await self._peers.call(
                owner.peer_address, request, CALL_TIMEOUT_S, type(request).reply
            )
        except Refused as exc:
            exc.details.setdefault("retry_after", RETRY_AFTER_S)
            raise

    def _environment(self, name: str) -> EnvironmentSettings:
        environment = self._context.settings.environment(name)
        if environment is None:
            raise FlamingowayError(f"no environment {name!r}", Code.NOT_FOUND)
        return environment

    def _shard_of(self, environment: str, job_id: str) -> str:
        names = self._environment(environment).shards
        # Weighted by the number of zones as an estimate of capacity. It changes only
        # with the settings, so a repeated submission reaches the same shard while
        # workers come and go.
        weights = {
            name: len(self._context.settings.shard(name).zones) for name in names
        }
        return rendezvous(job_id, weights)


def job_id_of(environment: str, member: str, key: str) -> str:
    """Return the id of a job: derived from its key if there is one, else random."""
    if not key:
        return uuid.uuid4().hex
    identity = msgspec.json.encode([environment, member, key])
    return hashlib.sha256(identity).hexdigest()[:32]


def request_digest(kind: str, tasks: int, urgent: bool, params: bytes) -> str:
    """Return a digest that shows whether two submissions with one key differ.

    Raises:
        BadRequest: If the parameters are not JSON.
    """
    try:
        params = msgspec.json.encode(msgspec.json.decode(params), order="sorted")
    except msgspec.DecodeError:
        raise BadRequest("the parameters are not JSON") from None
    content = msgspec.json.encode([kind, tasks, urgent, params.decode()])
    return hashlib.sha256(content).hexdigest()


def rendezvous(item: str, weights: Mapping[str, float]) -> str:
    """Return the name that wins the weighted rendezvous hash for ``item``."""
    return max(sorted(weights), key=lambda name: _score(item, name, weights[name]))


def _score(item: str, name: str, weight: float) -> float:
    data = hashlib.sha256(f"{name}\0{item}".encode()).digest()[:8]
    # Strictly between 0 and 1, so that the logarithm is finite and not zero.
    uniform = (int.from_bytes(data, "big") + 0.5) / 2**64
    return -weight / math.log(uniform)
