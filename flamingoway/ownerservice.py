"""Owners of this process: creates them and answers requests about their shards."""

import dataclasses
from collections.abc import Callable

import msgspec

from .context import Context
from .document import Document, JobKind
from .errors import BadRequest, FlamingowayError, Refused
from .follower import Follower
from .membership import Membership
from .messages import (
    CancelJob,
    Depose,
    DeposeReply,
    ExplainJob,
    Explanation,
    GetJob,
    JobList,
    JobView,
    ListJobs,
    SubmitJob,
    SubmitReply,
)
from .model import Job, JobSpec, Policy, TaskState
from .owner import ShardOwner
from .ownership import Acquisition
from .peer import Message, PeerClient, PeerServer, Request
from .status import Code
from .store import Store
from .vmlist import VmList

RETRY_AFTER_S = 1.0
JOB_REQUESTS = (SubmitJob, GetJob, ListJobs, CancelJob, ExplainJob)


class OwnerService:
    """Creates the owners of this process and serves requests about their shards.

    Args:
        context: Settings and clocks.
        store: Holds log and snapshot of each shard.
        membership: Reports other owners and releases shards.
        follower: Provides the environment documents.
        vms: Provides the VM list with the workers.
        peers: Calls other entry processes.
        make_link: Creates the link to a worker; the gRPC adapter if ``None``.
    """

    def __init__(
        self,
        context: Context,
        store: Store,
        membership: Membership,
        follower: Follower,
        vms: VmList,
        peers: PeerClient,
        make_link: Callable | None = None,
    ):
        self._context = context
        self._store = store
        self._membership = membership
        self._follower = follower
        self._vms = vms
        self._peers = peers
        self._make_link = make_link
        self._owners: dict[str, ShardOwner] = {}
        self._deposed: dict[str, int] = {}
        self._handlers: dict[type, Callable] = {
            SubmitJob: self._submit,
            GetJob: self._get,
            ListJobs: self._list,
            CancelJob: self._cancel,
            ExplainJob: self._explain,
        }

    @property
    def status(self) -> dict[str, dict[str, int]]:
        """Epoch and counts of each shard that this process owns."""
        return {
            shard: owner.status
            for shard, owner in self._owners.items()
            if not owner.ended
        }

    def make_owner(self, acquired: Acquisition) -> ShardOwner:
        """Create the owner of an acquired shard; the caller runs it."""
        owner = ShardOwner(
            self._context,
            self._store,
            self._membership,
            self._follower,
            self._vms,
            self._peers,
            acquired,
            self._deposed,
            self._make_link,
        )
        self._owners[acquired.owner.shard] = owner
        return owner

    def register(self, server: PeerServer) -> None:
        """Register the handlers for calls from other entry processes."""
        for request_type in JOB_REQUESTS:
            server.handle(request_type, self.handle)
        server.handle(Depose, self.depose)

    def owns(self, shard: str) -> bool:
        """Tell whether an owner of the shard runs in this process."""
        return shard in self._owners and not self._owners[shard].ended

    async def handle(self, request: Request) -> Message:
        """Answer one job request.

        Raises:
            Refused: With ``OWNER_UNAVAILABLE`` if this process does not own the shard.
        """
        if not self.owns(request.shard):
            raise Refused(
                f"this process does not own shard {request.shard}",
                Code.OWNER_UNAVAILABLE,
                retry_after=RETRY_AFTER_S,
            )
        return await self._handlers[type(request)](self._owners[request.shard], request)

    async def depose(self, request: Depose) -> DeposeReply:
        """Give up a shard that a newer owner has taken."""
        shard, epoch = request.shard, request.epoch
        # Also stops an owner with a lower epoch that is created after this call.
        self._deposed[shard] = max(epoch, self._deposed.get(shard, 0))
        owner = self._owners.get(shard)
        if owner is not None and owner.epoch < epoch:
            await owner.depose()
        return DeposeReply(self._context.incarnation, True)

    async def _submit(self, owner: ShardOwner, request: SubmitJob) -> SubmitReply:
        tracer = self._context.tracer
        if tracer is None:
            return await self._submit_one(owner, request)
        attributes = {"job_id": request.job_id, "member": request.member}
        with tracer.span("owner", request.traceparent, **attributes) as span:
            traced = msgspec.structs.replace(request, traceparent=span.traceparent)
            return await self._submit_one(owner, traced)

    async def _submit_one(self, owner: ShardOwner, request: SubmitJob) -> SubmitReply:
        known = owner.scheduler.view(request.job_id)
        if known is not None:
            spec = dataclasses.replace(
                known.spec, request_digest=request.request_digest
            )
        else:
            spec = self._make_spec(request)
        reply = await owner.submit(spec)
        if Code(reply.code) in (Code.OVERLOADED, Code.STORE_UNAVAILABLE):
            raise Refused(reply.message, Code(reply.code), **reply.details)
        return SubmitReply(int(reply.code), request.job_id, reply.message)

    async def _get(self, owner: ShardOwner, request: GetJob) -> JobView:
        job = await self._find_job(owner, request.job_id, _is_visible_to(request))
        # Later decisions, which the wait does not cover, must not show.
        view = view_of(job)
        await owner.wait_until_durable([request.job_id])
        return view

    async def _list(self, owner: ShardOwner, request: ListJobs) -> JobList:
        jobs = [
            job
            for job in owner.scheduler.ledger.jobs.values()
            if job.spec.environment == request.environment
            and job.spec.member == request.member
        ]
        jobs.sort(key=lambda job: job.accepted_at, reverse=True)
        summaries = [_summary_of(job) for job in jobs[: request.limit]]
        await owner.wait_until_durable([summary.job_id for summary in summaries])
        return JobList(summaries)

    async def _cancel(self, owner: ShardOwner, request: CancelJob) -> SubmitReply:
        reply = await owner.cancel(request.job_id, request.environment, request.member)
        if reply.code == Code.NOT_FOUND:
            raise _not_found(request.job_id, kept=True)
        if reply.code == Code.MEMBER_LIMIT:
            raise Refused(reply.message, Code.MEMBER_LIMIT, retry_after=RETRY_AFTER_S)
        return SubmitReply(int(reply.code), request.job_id, reply.message)

    async def _explain(self, owner: ShardOwner, request: ExplainJob) -> Explanation:
        await self._find_job(
            owner,
            request.job_id,
            lambda job: job.spec.environment == request.environment,
        )
        now = self._context.clock()
        return Explanation(owner.scheduler.explain(request.job_id, now))

    async def _find_job(
        self, owner: ShardOwner, job_id: str, is_visible: Callable[[Job], bool]
    ) -> Job:
        """Return a job that the caller may see.

        Raises:
            FlamingowayError: With ``NOT_FOUND`` if there is none.
            Refused: If there is none here, and the shard may have another owner.
        """
        job = owner.scheduler.view(job_id)
        if job is None:
            # A former owner does not know the jobs of its successor.
            await owner.confirm_ownership()
            job = owner.scheduler.view(job_id)
        if job is None or not is_visible(job):
            raise _not_found(job_id)
        return job

    def _make_spec(self, request: SubmitJob) -> JobSpec:
        active = self._follower.current(request.environment)
        if active is None:
            raise Refused(
                f"no document of {request.environment} is known here yet",
                Code.OWNER_UNAVAILABLE,
                retry_after=RETRY_AFTER_S,
            )
        kind = _validated_kind(active.document, request)
        return JobSpec(
            job_id=request.job_id,
            environment=request.environment,
            member=request.member,
            kind=kind.name,
            policy=Policy(kind.policy),
            tasks=request.tasks,
            resources=kind.resources.as_resources,
            urgent=request.urgent or kind.urgent,
            resumable=kind.resumable,
            max_attempts=kind.max_attempts,
            run_time_s=kind.run_time_s,
            params=request.params,
            traceparent=request.traceparent,
            request_digest=request.request_digest,
        )


def view_of(job: Job) -> JobView:
    """Return a job as its member sees it."""
    succeeded = [task for task in job.tasks if task.state is TaskState.SUCCEEDED]
    return JobView(
        job_id=job.spec.job_id,
        environment=job.spec.environment,
        member=job.spec.member,
        kind=job.spec.kind,
        state=job.state.value,
        code=int(job.code),
        reason=job.reason,
        accepted_at=job.accepted_at,
        ended_at=job.ended_at,
        tasks={task.task_id: task.state.value for task in job.tasks},
        results={task.task_id: task.result for task in succeeded},
    )


def _summary_of(job: Job) -> JobView:
    # The results of many jobs would exceed the size limit of a peer message.
    return msgspec.structs.replace(view_of(job), tasks={}, results={})


def _is_visible_to(request: GetJob) -> Callable[[Job], bool]:
    caller = (request.environment, request.member)
    return lambda job: (job.spec.environment, job.spec.member) == caller


def _not_found(job_id: str, **details: bool) -> FlamingowayError:
    return FlamingowayError(f"no job {job_id!r}", Code.NOT_FOUND, **details)


def _validated_kind(document: Document, request: SubmitJob) -> JobKind:
    kind = document.job_kind(request.kind)
    if kind is None:
        known = ", ".join(entry.name for entry in document.jobs)
        raise BadRequest(
            f"unknown kind {request.kind!r}; known: {known}", Code.UNKNOWN_KIND
        )
    if not 1 <= request.tasks <= kind.max_tasks:
        raise BadRequest(
            f"tasks: found {request.tasks}; allowed: 1 to {kind.max_tasks}"
        )
    return kind
