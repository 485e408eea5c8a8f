"""Checks how many orders are sent at a time, and in which order."""

import asyncio
from types import SimpleNamespace

from flamingoway.queues.orders import OrderSender
from flamingoway.queues.runs import (
    MAX_CALLS_IN_FLIGHT,
    MAX_CALLS_PER_WORKER,
    StartRun,
    StopRun,
)
from tests.virtual import run_virtual


def worker(worker_id):
    return SimpleNamespace(entry=SimpleNamespace(worker_id=worker_id))


def start(worker, name):
    return StartRun(SimpleNamespace(worker=worker), name)


class Calls:
    """Calls that stay in flight until ``finish``, by the sender under test."""

    def __init__(self):
        self.sent = []
        self.tasks = set()
        self._gate = asyncio.Event()
        self.sender = OrderSender(self._send, self._spawn)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self, order):
        self.sent.append(order)
        await self._gate.wait()

    def start_many(self, target, count):
        for name in range(count):
            self.sender.start(start(target, name))

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def finish(self):
        self._gate.set()
        while self.tasks:
            await asyncio.wait(self.tasks)


def with_calls(body):
    async def main():
        calls = Calls()
        await body(calls)
        await calls.finish()

    run_virtual(main)


def test_calls_in_flight_are_bounded_for_each_worker_and_in_all():
    """Guards against one job that uses up the descriptors of its leader."""

    async def body(calls):
        workers = [worker(f"w{n}") for n in range(40)]
        for target in workers:
            calls.start_many(target, 2 * MAX_CALLS_PER_WORKER)
        await calls.settle()
        counts = [sum(o.run.worker is w for o in calls.sent) for w in workers]
        assert sum(counts) == calls.sender.in_flight == MAX_CALLS_IN_FLIGHT
        assert max(counts) <= MAX_CALLS_PER_WORKER
        await calls.finish()
        assert len(calls.sent) == 80 * MAX_CALLS_PER_WORKER
        assert calls.sender.in_flight == 0

    with_calls(body)


def test_a_worker_that_does_not_answer_leaves_calls_for_the_others():
    async def body(calls):
        silent, other = worker("w0"), worker("w1")
        calls.start_many(silent, 10 * MAX_CALLS_PER_WORKER)
        calls.sender.start(start(other, "x"))
        await calls.settle()
        assert calls.sent[-1].run.worker is other

    with_calls(body)


def test_stops_go_before_starts_and_are_not_sent_twice_at_a_time():
    """Guards against repeated stops that pile up behind a worker's other orders."""

    async def body(calls):
        target = worker("w0")
        calls.start_many(target, MAX_CALLS_PER_WORKER + 1)
        stop = StopRun(target, "a1.0.0.0", 1)
        for _ in range(3):
            calls.sender.stop(stop)
        await calls.finish()
        assert calls.sent[-2:] == [stop, calls.sent[-1]]
        assert calls.sent.count(stop) == 1
        calls.sender.stop(stop)
        await calls.settle()
        assert calls.sent.count(stop) == 2

    with_calls(body)


def test_nothing_is_sent_after_the_end_of_the_term():
    """Guards against orders of a leader that has been replaced."""

    async def body(calls):
        target = worker("w0")
        calls.start_many(target, MAX_CALLS_PER_WORKER + 1)
        await calls.settle()
        calls.sender.close()
        calls.sender.start(start(target, "late"))
        await calls.finish()
        assert len(calls.sent) == MAX_CALLS_PER_WORKER

    with_calls(body)
