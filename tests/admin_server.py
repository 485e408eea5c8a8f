"""Serves the administration API on a free port, with an in-memory store."""

import asyncio
import random
from contextlib import asynccontextmanager

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from flamingoway.admin import AdminApi
from flamingoway.cellstatus import CellStatus
from flamingoway.context import Context
from flamingoway.environments import Environments
from flamingoway.errors import BadRequest, Refused
from flamingoway.follower import Follower
from flamingoway.messages import Explanation, ProcessInfo, StatusReply
from flamingoway.metrics import Metrics
from flamingoway.status import Code
from flamingoway.trace import Tracer
from tests.document_fakes import ScriptedStore, make_settings


class FakePeers:
    """Answers GetStatus for entry-2; every other process is unreachable."""

    async def call(self, address, request, timeout_s, reply):
        if address != "10.0.0.2:1":
            raise Refused("cannot be reached", Code.OWNER_UNAVAILABLE)
        return status_reply("entry-2", 6, {"trial": 2})


class FakeJobs:
    """Explains a single job, job-1."""

    async def explain(self, environment, job_id):
        if job_id != "job-1":
            raise BadRequest("no such job", Code.NOT_FOUND)
        return Explanation(["the member's quota is used up"])


def status_reply(process_id, epoch, documents):
    shard = {"epoch": epoch, "workers": 24, "queued": 3, "running": 9}
    return StatusReply(
        process_id=process_id,
        incarnation="i",
        zone="bzh-1",
        ready=True,
        store_up=True,
        shards={"brittany": shard},
        documents=documents,
    )


def process_info(number):
    return ProcessInfo(
        process_id=f"entry-{number}",
        incarnation="i",
        region="brittany",
        zone=f"bzh-{number}",
        peer_address=f"10.0.0.{number}:1",
        http_address=f"10.0.0.{number}:80",
        started_at=1.0,
    )


@asynccontextmanager
async def admin_server(extra_routes=()):
    """Serve the API and yield its base URL and the store."""
    settings = make_settings()
    metrics = Metrics(["trial", "production"], ["brittany"])
    context = Context(settings, rng=random.Random(1), metrics=metrics)
    context.tracer = Tracer(settings.trace, context.rng)
    store = ScriptedStore()
    follower = Follower(context, store, FakePeers())
    status = CellStatus(
        settings,
        FakePeers(),
        lambda: {f"entry-{n}": process_info(n) for n in (1, 2, 3)},
        lambda: status_reply("entry-1", 5, follower.versions),
    )
    environments = Environments(settings, store, wall=lambda: 1000.0)
    admin = AdminApi(context, environments, follower, FakeJobs(), status)
    server = HTTPServer(Application([*admin.routes(), *extra_routes]))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    follower_task = asyncio.create_task(follower.run())
    try:
        yield f"http://127.0.0.1:{sockets[0].getsockname()[1]}", store
    finally:
        follower_task.cancel()
        server.stop()
        await server.close_all_connections()
