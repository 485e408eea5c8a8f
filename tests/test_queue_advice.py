"""Guards calls for advice that another process makes for the leader."""

import asyncio
import time

from flamingoway.errors import OutcomeUnknown
from flamingoway.queues.advice import AdviceDispatcher
from flamingoway.queues.model import Advice
from flamingoway.queues.records import ProcessRecord
from flamingoway.queues.runs import AdviceCall
from tests.queue_cluster import Bench, NoLog, step


class Peers:
    """Peers that fail each call in the same way."""

    def __init__(self, error):
        self.error = error

    async def call(self, address, request, timeout_s, reply):
        raise self.error

    async def close_channel(self, address):
        pass


class Service:
    """An advice service that answers after a while."""

    async def ask(self, step_id, workers, timeout_s):
        await asyncio.sleep(0.01)
        return Advice({}, 1.0)


def call_for(job_id):
    bench = Bench(1)
    bench.submit(job_id, step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    return AdviceCall(call.step, call.workers, call.rank, 0.01)


def dispatch(processes, peers):
    """Return the results of two calls, of which a peer gets the second."""

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
            NoLog(),
        )
        dispatcher.submit(call_for("a1"))
        dispatcher.submit(call_for("b2"))
        async with asyncio.timeout(5):
            await both.wait()
        return results

    return asyncio.run(main())


def test_a_peer_that_has_left_is_a_missing_answer():
    """Guards against a step that waits for ever for advice nobody asked for."""
    seen = []

    def processes():
        seen.append(1)
        return {"n1": ProcessRecord("n1", "n1:1", "z")} if len(seen) < 3 else {}

    assert None in dispatch(processes, Peers(AssertionError("called")))


def test_a_call_on_a_closed_channel_is_a_missing_answer():
    processes = {"n1": ProcessRecord("n1", "n1:1", "z")}
    error = OutcomeUnknown("the channel to peer n1:1 was closed")
    assert None in dispatch(lambda: processes, Peers(error))
