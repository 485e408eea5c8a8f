"""Shard owner with fakes: the path of a job, takeover and failures."""

import asyncio

import pytest

from flamingoway import feeds
from flamingoway.status import Code
from tests.owner_bench import Cell, until


@pytest.fixture(autouse=True)
def quick_checks(monkeypatch):
    """Check workers often in real time; leases use the fake clock."""
    monkeypatch.setattr(feeds, "WORKER_CHECK_S", 0.01)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario, 30))


def test_a_job_is_accepted_started_finished_and_acknowledged():
    async def scenario():
        cell = Cell()
        member = await (await cell.own()).ready()
        reply = await member.submit(run_ms=100)
        assert reply.code == Code.ACCEPTED
        worker = cell.network.workers["w1"]
        await until(lambda: worker.running)
        assert member.state() == "running"
        cell.clock.now += 1
        await until(lambda: member.state() == "succeeded")
        await until(lambda: not worker.finished)
        assert cell.network.starts() == [("w1", 1)]
        await member.end()

    run(scenario())
