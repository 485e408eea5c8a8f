"""Checks advice calls that another process makes for the leader."""

import asyncio
import time

from flamingoway.errors import OutcomeUnknown
from flamingoway.queues.advice import AdviceDispatcher
from flamingoway.queues.model import Advice
from flamingoway.queues.records import ProcessRecord
from flamingoway.queues.runs import AdviceCall
from tests.queue_cluster import Bench, RecordingLog, step


class Peers:
    """Peers that fail each call in the same way."""

    def __init__(self, error):
        self.error = error

    async def call(self, address, request, timeout_s, reply):
        raise self.error

    async def close_channel(self, address):
        pass


class Service:
    """An advice service that answers after 10 ms."""

    async def ask(self, step_id, workers, timeout_s):
        await asyncio.sleep(0.01)
        return Advice({}, 1.0)


def advice_call(job_id):
    bench = Bench(1)
    bench.submit(job_id, step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    return AdviceCall(call.step, call.workers, call.rank, 0.01)


def dispatch(processes, peers):
    """Return the results of two calls; the second is forwarded to a peer."""

    async def main():
        results = []
        both = asyncio.Event()

        def done(call, advice):
            results.append(advice)
            if len(results) == 2:
                both.set()

        dispatcher = AdviceDispatcher(
            "n0",
            Service(),
            peers,
            processes,
            done,
            time.monotonic,
            RecordingLog(),
        )
        dispatcher.submit(advice_call("a1"))
        dispatcher.submit(advice_call("b2"))
        async with asyncio.timeout(5):
            await both.wait()
        return results

    return asyncio.run(main())


def test_a_departed_peer_counts_as_missing_advice():
    """Guards against a step that waits forever for advice that was never requested."""
    lookups = []

    def processes():
        lookups.append(1)
        return {"n1": ProcessRecord("n1", "n1:1", "z")} if len(lookups) < 3 else {}

    assert None in dispatch(processes, Peers(AssertionError("called")))


def test_a_call_on_a_closed_channel_counts_as_missing_advice():
    processes = {"n1": ProcessRecord("n1", "n1:1", "z")}
    error = OutcomeUnknown("the channel to peer n1:1 was closed")
    assert None in dispatch(lambda: processes, Peers(error))
