"""End-to-end tests of real processes against the platform's stand-in."""

import asyncio
import functools
import signal

import pytest
import yaml

from tests.platform_cell import JOB, call, complete, run_in_cell, state, until


@pytest.fixture
def run_cell(tmp_path):
    return functools.partial(run_in_cell, tmp_path)


def test_a_job_runs_through_any_process(run_cell):
    async def body(cell):
        for index, entry in enumerate(cell.entries):
            await complete(entry, f"{0xA00 + index:016x}")
        started = [s["task"] for worker in cell.workers for s in worker.starts]
        assert len(started) == len(set(started)) == 8
        assert await state(cell.entries[0], "0000000000000a01") == "completed"
        metrics = await call("GET", "/metrics", cell.entries[0].metrics)
        assert b"flamingoway_queue_requests_total" in metrics.body
        lines, code = await cell.entries[0].stop()
        assert code == 0
        events = [line["event"] for line in lines]
        assert events[0] == "started" and events[-1] == "stopped"
        assert "entry skipped" in events

    run_cell(body)


@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGKILL])
def test_another_process_leads_when_the_leader_ends(run_cell, signal_number):
    """Guards against jobs that are not continued after their leader has ended."""

    async def body(cell):
        await complete(cell.entries[0], "00000000000000a0")
        leader = cell.leader()
        (other,) = [entry for entry in cell.entries if entry is not leader]
        stopping = asyncio.create_task(leader.stop(signal_number))
        await complete(other, "00000000000000a1")
        await stopping
        assert await state(other, "00000000000000a0") == "completed"

    run_cell(body)


def test_requests_during_a_planned_stop_are_answered(run_cell):
    """Guards against requests that a planned stop cuts off."""

    async def body(cell):
        entry = cell.entries[0]
        stopping = asyncio.create_task(entry.stop())
        for index in range(10):
            answer = await call("POST", f"/p/{0xB00 + index:016x}", entry.front, JOB)
            assert answer.code == 200
            await asyncio.sleep(0.1)
        lines, code = await stopping
        assert code == 0
        assert "requests abandoned" not in [line["event"] for line in lines]

    run_cell(body)


def test_jobs_survive_when_all_processes_are_killed(run_cell):
    async def body(cell):
        await complete(cell.entries[0], "00000000000000a0")
        accepted = await call("POST", "/s/00000000000000a1", cell.entries[0].front, JOB)
        assert accepted.code == 200
        for entry in cell.entries:
            await entry.stop(signal.SIGKILL)
        for entry in cell.entries:
            await entry.start()
        for entry in cell.entries:
            await entry.ready_again()
        assert await state(cell.entries[0], "00000000000000a0") == "completed"
        answer = None

        async def completed():
            nonlocal answer
            answer = await call("GET", "/s/00000000000000a1", cell.entries[1].front)
            return b"completed" in answer.body

        await until(completed)

    run_cell(body)


@pytest.mark.parametrize("fault", ["silent", "refusing"])
def test_jobs_handed_in_during_an_outage_of_the_store_are_accepted(run_cell, fault):
    """Guards against callers who are refused although the store returns in time."""

    async def submit(cell, number):
        entry = cell.entries[number % 3]
        return (await call("POST", f"/p/{0xC00 + number:016x}", entry.front, JOB)).code

    async def body(cell):
        await complete(cell.entries[0], "00000000000000a0")
        cell.standin.faults.silent = fault == "silent"
        cell.standin.faults.status = 503 if fault == "refusing" else 0
        await asyncio.sleep(1.5)
        calls = [asyncio.create_task(submit(cell, n)) for n in range(9)]
        await asyncio.sleep(1.8)
        assert not any(c.done() for c in calls)
        cell.standin.faults.silent, cell.standin.faults.status = False, 0
        assert await asyncio.gather(*calls) == [200] * 9
        for number in range(9):
            job_id = f"{0xC00 + number:016x}"

            async def completed(job_id=job_id):
                return await state(cell.entries[0], job_id) == "completed"

            await until(completed)
        started = [s["task"] for worker in cell.workers for s in worker.starts]
        assert len(started) == len(set(started)) == 40

    run_cell(body, entries=3)


def test_a_changed_settings_file_is_read_again(run_cell):
    async def body(cell):
        entry = cell.entries[0]
        entry.path.write_text("nodeName: [")
        await asyncio.sleep(1.5)
        entry.path.write_text(yaml.safe_dump(entry.settings))
        entry.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        await complete(entry, "00000000000000a0")
        lines, _ = await entry.stop()
        events = [line["event"] for line in lines]
        assert "reload refused" in events and "reloaded" in events

    run_cell(body, entries=1)
