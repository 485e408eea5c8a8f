"""Job requests sent through any process to the owner of the shard."""

import asyncio
import socket
from collections import Counter

import msgspec
import pytest

from flamingoway.document import Document, DocumentVersion, JobKind, MemberModel
from flamingoway.errors import FlamingowayError, OutcomeUnknown, Refused
from flamingoway.follower import ActiveDocument
from flamingoway.jobs import (
    HANDOVER_ATTEMPTS,
    JobRouter,
    job_id_of,
    rendezvous,
    request_digest,
)
from flamingoway.messages import CancelJob, JobView, OwnerInfo, SubmitReply
from flamingoway.peer import PeerClient, PeerServer
from flamingoway.settings import ShardSettings
from flamingoway.status import Code
from tests.owner_bench import Cell, make_context, until

DOCUMENT = Document(
    application="app",
    members=[MemberModel(name="m", key_sha256=[])],
    jobs=[JobKind(name="k", policy="batch", max_tasks=2)],
)
ACTIVE = ActiveDocument("e", DocumentVersion(1, "", b""), DOCUMENT)


class RemoteOwner:
    """An owner behind a peer server, and a router in another process."""

    async def open(self):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.address = f"127.0.0.1:{probe.getsockname()[1]}"
        self.cell = Cell(documents={"e": ACTIVE})
        self.process = await (await self.cell.own("p2")).ready()
        self.server = PeerServer()
        self.process.service.register(self.server)
        self.owners = {"s": OwnerInfo("s", 1, "p2", "i", self.address)}
        self.peers = PeerClient()
        other = Cell(documents={"e": ACTIVE})
        non_owner = await (await other.own("p1")).ready()
        await non_owner.end()
        self.router = JobRouter(
            make_context(), lambda: self.owners, non_owner.service, self.peers
        )
        return self

    async def submit(self, kind="k", tasks=1, params=b'{"run_ms": 1}', key="key"):
        return await self.router.submit("e", "m", kind, tasks, False, params, key)


def run(scenario):
    async def main():
        remote = await RemoteOwner().open()
        async with remote.server.listen(remote.address, 0):
            await scenario(remote)
        await remote.process.end()
        await remote.peers.close()

    asyncio.run(asyncio.wait_for(main(), 20))


def test_a_job_goes_to_the_remote_owner_and_its_result_comes_back():
    async def scenario(remote):
        params = b'{"run_ms": 1, "result": {"n": 7}}'
        reply = await remote.submit(params=params, tasks=2)
        assert reply.code == Code.ACCEPTED
        await until(lambda: len(remote.cell.network.starts()) == 2)
        remote.cell.clock.now += 1
        await until(lambda: remote.process.state(reply.job_id) == "succeeded")
        view = await remote.router.get("e", "m", reply.job_id)
        assert set(view.results.values()) == {b'{"n": 7}'}
        listed = await remote.router.list("e", "m")
        assert [job.job_id for job in listed.jobs] == [reply.job_id]
        cancelled = await remote.router.cancel("e", "m", reply.job_id)
        assert cancelled.code == Code.OK

    run(scenario)


def test_a_repeated_key_is_recognised():
    """Guards against a job that is run twice because its answer was lost."""

    async def scenario(remote):
        first = await remote.submit()
        again = await remote.submit()
        other = await remote.submit(tasks=2)
        assert first.job_id == again.job_id
        assert again.code == Code.ALREADY_ACCEPTED
        assert other.code == Code.KEY_REUSED
        assert (await remote.submit(key="")).job_id != (
            await remote.submit(key="")
        ).job_id

    run(scenario)


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"kind": "unknown"}, Code.UNKNOWN_KIND),
        ({"tasks": 3}, Code.BAD_REQUEST),
        ({"tasks": 0}, Code.BAD_REQUEST),
        ({"params": b"{"}, Code.BAD_REQUEST),
    ],
)
def test_invalid_submissions_are_refused_with_their_code(fields, code):
    async def scenario(remote):
        with pytest.raises(FlamingowayError) as refused:
            await remote.submit(**fields)
        assert refused.value.code == code

    run(scenario)


def test_only_the_member_that_owns_a_job_finds_it():
    async def scenario(remote):
        job_id = (await remote.submit()).job_id
        for call in (remote.router.get, remote.router.cancel):
            with pytest.raises(FlamingowayError) as refused:
                await call("e", "stranger", job_id)
            assert refused.value.code == Code.NOT_FOUND

    run(scenario)


async def no_owner(remote):
    remote.owners.clear()


async def owner_stopped(remote):
    await remote.process.end()


async def store_down(remote):
    remote.process.membership.store_up = False


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        (no_owner, Code.OWNER_UNAVAILABLE),
        (owner_stopped, Code.OWNER_UNAVAILABLE),
        (store_down, Code.STORE_UNAVAILABLE),
    ],
)
def test_refusals_say_when_to_try_again(fault, code):
    async def scenario(remote):
        await fault(remote)
        with pytest.raises(FlamingowayError) as refused:
            await remote.submit()
        assert refused.value.code == code
        assert refused.value.code.ran == "no"
        assert refused.value.details["retry_after"] > 0

    run(scenario)


def test_no_answer_from_the_owner_leaves_the_submission_unresolved(monkeypatch):
    """Guards against "not run" for a job that the owner may have accepted."""

    async def scenario(remote):
        async def lost(*_args):
            raise OutcomeUnknown("no answer")

        monkeypatch.setattr(remote.peers, "call", lost)
        reply = await remote.submit()
        assert reply.code == Code.WRITE_UNRESOLVED
        assert reply.job_id == job_id_of("e", "m", "key")

    run(scenario)


def test_job_ids_of_different_callers_differ():
    """Guards against a submission that is taken for that of another caller."""
    callers = [
        ("e", "m", "k"),
        ("em", "", "k"),
        ("e", "mk", ""),
        ("", "em", "k"),
        ("e", "m", "k "),
        ('e","m', "k", ""),
        ("e", 'm","k', ""),
    ]
    keyed = [caller for caller in callers if caller[2]]
    assert len({job_id_of(*caller) for caller in keyed}) == len(keyed)
    assert job_id_of("e", "m", "") != job_id_of("e", "m", "")


@pytest.mark.parametrize(
    "params",
    [
        b'{"n": 123456789012345678902}',
        b'{"n": 123456789012345678901.0}',
        b'{"n": "123456789012345678901"}',
        b'[{"n": 123456789012345678901}]',
    ],
)
def test_other_parameters_are_another_request(params):
    """Guards against a job that runs with the parameters of an earlier one."""
    first = request_digest("k", 1, False, b'{"n": 123456789012345678901}')
    assert first != request_digest("k", 1, False, params)


class OneJobOwner:
    """Owns two shards; the second one holds the job ``j``.

    Attributes:
        details: Details of the answer that there is no such job.
    """

    def __init__(self, context, unavailable=()):
        self.details = {"kept": True}
        self.router = JobRouter(context, dict, self, PeerClient(), _no_sleep)
        self.unavailable = unavailable
        self.cancelled = []

    def owns(self, shard):
        return shard not in self.unavailable

    async def handle(self, request):
        if request.shard != "t" or request.job_id != "j":
            raise FlamingowayError("no such job", Code.NOT_FOUND, **self.details)
        if isinstance(request, CancelJob):
            self.cancelled.append(request.shard)
            return SubmitReply(Code.OK, request.job_id)
        return JobView(request.job_id, "e", "m", "k", "queued")


async def _no_sleep(_seconds):
    pass


def two_shards():
    """Return a context whose environment has the shards ``s`` and ``t``."""
    context = make_context()
    settings = context.settings
    environment = msgspec.structs.replace(settings.environments[0], shards=["s", "t"])
    shards = [settings.shards[0], ShardSettings("t", "r", ["z3"])]
    context.settings = msgspec.structs.replace(
        settings, shards=shards, environments=[environment]
    )
    return context


def test_a_job_is_found_in_a_shard_that_its_id_no_longer_maps_to():
    """Guards against "no such job" for a job accepted with other shard settings."""

    async def scenario():
        context = two_shards()
        owner = OneJobOwner(context)
        assert owner.router._shard_of("e", "j") == "s"
        assert (await owner.router.get("e", "m", "j")).state == "queued"
        assert (await owner.router.cancel("e", "m", "j")).code == Code.OK
        assert owner.cancelled == ["t"]
        for call in (owner.router.get, owner.router.cancel):
            with pytest.raises(FlamingowayError) as answer:
                await call("e", "m", "other")
            assert answer.value.code == Code.NOT_FOUND
        partly = OneJobOwner(context, unavailable=["t"])
        with pytest.raises(Refused) as answer:
            await partly.router.get("e", "m", "j")
        assert answer.value.code == Code.OWNER_UNAVAILABLE

    asyncio.run(scenario())


def test_a_cancellation_that_a_part_of_the_shards_keeps_is_not_refused():
    """Guards against "not cancelled" before a submission that is refused as such."""

    async def scenario():
        second_missing = OneJobOwner(two_shards(), unavailable=["t"])
        reply = await second_missing.router.cancel("e", "m", "j")
        assert (reply.code, reply.job_id) == (Code.WRITE_UNRESOLVED, "j")
        first_missing = OneJobOwner(two_shards(), unavailable=["s"])
        with pytest.raises(Refused) as answer:
            await first_missing.router.cancel("e", "m", "j")
        assert answer.value.code == Code.OWNER_UNAVAILABLE

    asyncio.run(scenario())


def test_a_cancellation_that_an_owner_does_not_keep_is_not_acknowledged():
    """Guards against "no such job" of an owner that accepts the job afterwards."""

    async def scenario():
        owner = OneJobOwner(two_shards())
        owner.details = {}
        assert (await owner.router.cancel("e", "m", "j")).code == Code.OK
        reply = await owner.router.cancel("e", "m", "other")
        assert (reply.code, reply.job_id) == (Code.WRITE_UNRESOLVED, "other")
        with pytest.raises(FlamingowayError) as answer:
            await owner.router.get("e", "m", "other")
        assert answer.value.code == Code.NOT_FOUND

    asyncio.run(scenario())


def test_equal_parameters_in_another_order_are_the_same_request():
    first = request_digest("k", 1, False, b'{"a": 1, "b": 2}')
    assert first == request_digest("k", 1, False, b'{"b":2,"a":1}')
    assert first != request_digest("k", 1, False, b'{"a": 1, "b": 3}')


def test_rendezvous_follows_the_weights_and_moves_jobs_only_to_a_new_shard():
    ids = [f"job-{n}" for n in range(4000)]
    weights = {"a": 1, "b": 3}
    counts = Counter(rendezvous(item, weights) for item in ids)
    assert 0.70 < counts["b"] / len(ids) < 0.80
    grown = {**weights, "c": 4}
    moved = [i for i in ids if rendezvous(i, grown) != rendezvous(i, weights)]
    assert {rendezvous(item, grown) for item in moved} == {"c"}


@pytest.mark.parametrize("returns_after, code", [(3, Code.ACCEPTED), (99, None)])
def test_a_submission_waits_for_a_shard_handover(returns_after, code):
    """Guards against refusals during each planned handover of a shard."""

    async def scenario(remote):
        waits = []
        owners, remote.owners = remote.owners, {}

        async def sleep(seconds):
            waits.append(seconds)
            if len(waits) == returns_after:
                remote.owners = owners

        remote.router._sleep = sleep
        if code is not None:
            assert (await remote.submit()).code == code
            return
        with pytest.raises(Refused) as caught:
            await remote.submit()
        assert caught.value.code == Code.OWNER_UNAVAILABLE
        assert len(waits) == HANDOVER_ATTEMPTS

    run(scenario)
