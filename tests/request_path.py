"""Fakes and helpers for tests of the request path."""

import asyncio
import hashlib
import json
import random
from contextlib import asynccontextmanager
from dataclasses import dataclass

from flamingoway.checks import Checks
from flamingoway.context import Context
from flamingoway.document import CheckKind, Document, MemberModel
from flamingoway.errors import BadRequest
from flamingoway.ingress import Ingress
from flamingoway.messages import JobList, JobView, ProcessInfo, SubmitReply
from flamingoway.peer import PeerClient
from flamingoway.settings import (
    EnvironmentSettings,
    LimitSettings,
    Settings,
    ShardSettings,
    StoreSettings,
    VmListSettings,
)
from flamingoway.status import Code

ENVIRONMENT = "kerbihan-trial"
KEY = "key-of-agency"
IP = "127.0.0.1"


@dataclass
class Vm:
    """A VM as listed by the VM list."""

    id: str
    ip: str
    port: int
    zone: str = "bzh-1"
    role: str = "target"
    region: str = "brittany"
    state: str = "live"
    slots: int = 8
    connections: int = 64
    application: str = "kerbihan"


@dataclass
class Active:
    """The active document of an environment."""

    version: int
    document: Document


class FakeFollower:
    """Returns one document for one environment."""

    def __init__(self, document: Document):
        self.active = Active(1, document)

    def current(self, environment: str) -> Active | None:
        return self.active if environment == ENVIRONMENT else None


class FakeVmList:
    """Lists the given VMs."""

    def __init__(self, vms: list[Vm]):
        self.vms = {vm.id: vm for vm in vms}


class FakeMembership:
    """Lists the given live processes."""

    def __init__(self, *infos: ProcessInfo):
        self.processes = {info.process_id: info for info in infos}
        self.store_up = True
        self.session_started_at = 0.0


class FakeJobs:
    """Accepts every job and records it."""

    def __init__(self):
        self.submitted: list[tuple] = []

    async def submit(self, *arguments) -> SubmitReply:
        self.submitted.append(arguments)
        return SubmitReply(int(Code.ACCEPTED), "job-1", "accepted")

    async def get(self, environment: str, member: str, job_id: str) -> JobView:
        if job_id != "job-1":
            raise BadRequest("no such job", Code.NOT_FOUND)
        results = {"task-1": b'{"fits":true}'}
        return JobView(job_id, environment, member, "fit", "ended", results=results)

    async def list(self, environment: str, member: str) -> JobList:
        return JobList([await self.get(environment, member, "job-1")])

    async def cancel(self, environment: str, member: str, job_id: str) -> SubmitReply:
        return SubmitReply(int(Code.OK), job_id, "cancelled")


def make_document(**kind) -> Document:
    """Return a document with the member ``agency`` and the check ``slot``."""
    return Document(
        application="kerbihan",
        members=[
            MemberModel(
                name="agency", key_sha256=[hashlib.sha256(KEY.encode()).hexdigest()]
            )
        ],
        checks=[CheckKind(name="slot", path="/slot", **kind)],
    )


def make_settings(process_id: str = "entry-1", **limits) -> Settings:
    """Return settings with one environment."""
    return Settings(
        cell="test",
        process_id=process_id,
        region="brittany",
        zone="bzh-1",
        ip=IP,
        http_port=0,
        peer_port=0,
        store=StoreSettings(endpoint="127.0.0.1:1"),
        vm_list=VmListSettings(url="http://127.0.0.1:1/vms"),
        shards=[ShardSettings(name="brittany", region="brittany", zones=["bzh-1"])],
        environments=[
            EnvironmentSettings(
                name=ENVIRONMENT,
                application="kerbihan",
                stage="trial",
                shards=["brittany"],
            )
        ],
        operators=[],
        limits=LimitSettings(drain_notice_s=0.05, **limits),
    )


def make_context(seed: int = 1, **limits) -> Context:
    """Return a context with a seeded random source."""
    return Context(make_settings(**limits), rng=random.Random(seed))


@asynccontextmanager
async def entry(
    vms: list[Vm],
    document: Document | None = None,
    routes=None,
    port=0,
    context: Context | None = None,
    **limits,
):
    """Serve an entry process and yield its ingress."""
    context = context or make_context(**limits)
    follower = FakeFollower(document or make_document())
    peers = PeerClient()
    checks = Checks(context, follower, FakeVmList(vms), FakeMembership(), peers)
    ingress = Ingress(context, checks, FakeJobs(), follower, routes)
    ingress.listen(IP, port)
    tasks = [asyncio.create_task(checks.serve()), asyncio.create_task(ingress.run())]
    try:
        yield ingress
    finally:
        await ingress.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await peers.close()


def check_request(body: bytes | dict = b"{}", path="", **headers) -> bytes:
    """Return the bytes of a check request."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    fields = {"Host": "entry", "Authorization": f"Bearer {KEY}"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    fields["Content-Length"] = str(len(data))
    lines = [f"POST {path or f'/v1/{ENVIRONMENT}/checks/slot'} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + data


def get_request(path: str, method: str = "GET") -> bytes:
    """Return the bytes of a request without a body."""
    head = f"{method} {path} HTTP/1.1\r\nHost: entry\r\n"
    return f"{head}Authorization: Bearer {KEY}\r\n\r\n".encode()


async def read_answer(
    reader: asyncio.StreamReader, head_only: bool = False
) -> tuple[int, dict, bytes]:
    """Read one answer; return status, headers in lower case, and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = 0 if head_only else int(headers.get("content-length", "0"))
    body = await reader.readexactly(length)
    return int(lines[0].split()[1]), headers, body


async def call(port: int, request: bytes) -> tuple[int, dict, bytes]:
    """Send a request on a new connection and read the answer."""
    reader, writer = await asyncio.open_connection(IP, port)
    try:
        writer.write(request)
        return await read_answer(reader)
    finally:
        writer.close()


async def until(condition, timeout_s: float = 5.0) -> None:
    """Wait until a condition of the code under test holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - the code has no event for it
            await asyncio.sleep(0)
