"""Real processes beside records and requests that are not valid."""

import asyncio
import functools
import signal
import time

import pytest

from flamingoway.store import Put
from tests import invalid_records
from tests.platform_cell import SERVICE, call, complete, run_in_cell

# Most that a process may hold, in kilobytes; the smallest VMs have 200 MB.
MAX_PEAK_KB = 64 * 1024
REFUSAL_S = 2.0
JOB_BODIES = invalid_records.job_bodies()
JOB_RECORDS = {
    "not a record": b"\xff",
    "nested": b"\x91" * 60_000 + b"\xc0",
    "empty": b"",
}


@pytest.fixture
def run_cell(tmp_path):
    return functools.partial(run_in_cell, tmp_path, entries=3, timeout_s=120)


async def replace_leader(cell):
    """Kill the leader and start it again."""
    entry = None
    while entry is None:
        entry = cell.leader()
        await asyncio.sleep(0.05)
    await entry.stop(signal.SIGKILL)
    await entry.start()
    await entry.ready_again()


def peak_kb(entry):
    """Return the largest resident size of a process so far, in kilobytes."""
    with open(f"/proc/{entry.process.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmHWM"))
    return int(line.split()[1])


def check_processes(cell):
    for entry in cell.entries:
        assert entry.process.returncode is None
        assert peak_kb(entry) < MAX_PEAK_KB
        lines = entry.log.read_bytes().splitlines()
        assert [line for line in lines if not line.startswith(b"{")] == []


def test_invalid_entries_of_workers_stop_no_job(run_cell):
    """Guards against an entry of another writer that ends every leadership."""

    async def body(cell):
        entries = invalid_records.worker_entries(SERVICE)
        for number, (name, value) in enumerate(entries.items()):
            key = f"servers/x{number}"
            await cell.operator.txn([], [Put(key, value)])
            if number % 6 == 0:
                await replace_leader(cell)
            await complete(cell.entries[number % 3], f"{0xA00 + number:016x}")
            assert cell.leader() is not None, name
        await replace_leader(cell)
        await complete(cell.entries[0], "00000000000000b0")
        check_processes(cell)
        metrics = (await call("GET", "/metrics", cell.leader().metrics)).body
        assert b'flamingoway_queue_skipped_records_total{kind="worker"}' in metrics

    run_cell(body)


def test_a_worker_whose_entry_turns_invalid_gets_no_new_work(run_cell):
    """Guards against orders to a worker that the registry no longer shows."""

    async def body(cell):
        await complete(cell.entries[0], "00000000000000a0")
        invalid = invalid_records.worker_entries(SERVICE)["port out of range"]
        await cell.operator.txn([], [Put("servers/w0", invalid)])
        await asyncio.sleep(0.5)
        before = len(cell.workers[0].starts)
        for number in range(4):
            await complete(cell.entries[number % 3], f"{0xB00 + number:016x}")
        assert len(cell.workers[0].starts) == before

    run_cell(body)


def test_invalid_records_of_the_system_stop_no_job(run_cell):
    """Guards against a stored record, of another build or writer, that ends leaders."""

    async def body(cell):
        for index, (name, value) in enumerate(JOB_RECORDS.items()):
            for prefix in ("job", "progress", "cancel", "member", "worker"):
                key = f"fw/{prefix}/{index}{name.replace(' ', '')}"
                await cell.operator.txn([], [Put(key, value)])
            await cell.operator.txn([], [Put("fw/unknown", value)])
            await replace_leader(cell)
            await complete(cell.entries[index], f"{0xA00 + index:016x}")
        check_processes(cell)

    run_cell(body)


@pytest.mark.parametrize("value", [b"\xff\xfe", b"", b"9" * 300, b"-1"])
def test_an_invalid_epoch_is_replaced_by_a_higher_one(run_cell, value):
    """Guards against a counter that nobody can read and so nobody can follow."""

    async def body(cell):
        await complete(cell.entries[0], "00000000000000a0")
        await cell.operator.txn([], [Put("fw/epoch", value)])
        await complete(cell.entries[1], "00000000000000a1")
        await replace_leader(cell)
        await complete(cell.entries[0], "00000000000000a2")
        check_processes(cell)

    run_cell(body, entries=2)


def test_jobs_beyond_the_limits_are_refused_at_once(run_cell):
    """Guards against a job whose numbers use up the memory of each leader."""

    async def body(cell):
        for number, (name, data) in enumerate(JOB_BODIES.items()):
            began = time.monotonic()
            front = cell.entries[number % 3].front
            answer = await call("POST", f"/p/{0xD00 + number:016x}", front, data)
            assert answer.code == 400, (name, answer.body)
            assert time.monotonic() - began < REFUSAL_S
            assert b"error" in answer.body
        await replace_leader(cell)
        await complete(cell.entries[0], "00000000000000a0")
        check_processes(cell)

    run_cell(body)
