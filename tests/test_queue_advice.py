"""Checks advice calls that another process makes for the leader."""

import asyncio
import time

import pytest

from flamingoway.errors import OutcomeUnknown, Refused
from flamingoway.queues.advice import AdviceDispatcher
from flamingoway.queues.model import Advice
from flamingoway.queues.ports import NoReply
from flamingoway.queues.records import ProcessRecord
from flamingoway.queues.runs import AdviceCall
from flamingoway.status import Code
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


class FailingService:
    """An advice service that fails each call in the same way."""

    def __init__(self, error):
        self.error = error

    async def ask(self, step_id, workers, timeout_s):
        raise self.error


def advice_call(job_id):
    bench = Bench(1)
    bench.submit(job_id, step(1), queue="advised")
    bench.plan()
    (call,) = bench.advice_calls()
    return AdviceCall(call.step, call.workers, call.rank, 0.01)


def dispatch(processes, peers, service=None, log=None):
    """Return the results of two calls; the second is forwarded to a peer, if any."""

    async def main():
        results = []
        both = asyncio.Event()

        def done(call, advice):
            results.append(advice)
            if len(results) == 2:
                both.set()

        dispatcher = AdviceDispatcher(
            "n0",
            service or Service(),
            peers,
            processes,
            done,
            time.monotonic,
            log or RecordingLog(),
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


def test_a_peer_without_advice_keeps_the_channel_of_other_calls():
    """Guards against a cancellation cut off because the advice service failed."""
    closed = []

    class RecordingPeers(Peers):
        async def close_channel(self, address):
            closed.append(address)

    processes = {"n1": ProcessRecord("n1", "n1:1", "z")}
    for error in (
        Refused("the advice service did not answer", Code.NO_TARGET),
        OutcomeUnknown("no reply from peer n1:1: DEADLINE_EXCEEDED"),
    ):
        assert None in dispatch(lambda: processes, RecordingPeers(error))
    assert closed == []


def test_a_peer_that_cannot_be_reached_gets_a_new_channel():
    """Guards against calls that wait for a connection attempt without an answer."""
    closed = []

    class RecordingPeers(Peers):
        async def close_channel(self, address):
            closed.append(address)

    processes = {"n1": ProcessRecord("n1", "n1:1", "z")}
    error = Refused("peer n1:1 cannot be reached", Code.OWNER_UNAVAILABLE)
    assert None in dispatch(lambda: processes, RecordingPeers(error))
    assert closed == ["n1:1"]


def test_a_call_on_a_closed_channel_counts_as_missing_advice():
    processes = {"n1": ProcessRecord("n1", "n1:1", "z")}
    error = OutcomeUnknown("the channel to peer n1:1 was closed")
    assert None in dispatch(lambda: processes, Peers(error))


@pytest.mark.parametrize(
    "error",
    [IndexError("no ticket"), asyncio.CancelledError(), NoReply("timeout")],
    ids=repr,
)
def test_no_error_of_a_call_leaves_its_step_waiting_for_advice(error):
    """Guards against a step that waits for advice until the leader changes."""
    log = RecordingLog()
    processes = {"n1": ProcessRecord("n1", "n1:1", "z")}
    assert dispatch(lambda: {}, None, FailingService(error), log) == [None, None]
    assert dispatch(lambda: processes, Peers(error), FailingService(error), log) == [
        None,
        None,
    ]
    reasons = [
        fields["why"] for event, fields in log.lines if event == "advice missing"
    ]
    assert len(reasons) == 4
    assert all(reason in (repr(error), str(error)) for reason in reasons)


def test_a_call_that_is_cancelled_before_it_is_sent_counts_as_missing_advice():
    async def main():
        results = []
        dispatcher = AdviceDispatcher(
            "n0",
            Service(),
            None,
            dict,
            lambda call, advice: results.append(advice),
            time.monotonic,
            RecordingLog(),
        )
        dispatcher.submit(advice_call("a1"))
        dispatcher.close()
        await asyncio.sleep(0.01)
        return results

    assert asyncio.run(main()) == [None]


@pytest.mark.parametrize("paused_s, valid_s", [(0.0, 1.0), (10.0, 0.0)])
def test_the_lifetime_of_tickets_includes_no_pause(paused_s, valid_s):
    """Guards against starts with tickets that expired before their answer was read."""
    now = 0.0

    class PausedService:
        async def ask(self, step_id, workers, timeout_s):
            nonlocal now
            now += paused_s
            return Advice({"w0": "t"}, 1.0)

    async def main():
        results = []
        dispatcher = AdviceDispatcher(
            "n0",
            PausedService(),
            None,
            dict,
            lambda call, advice: results.append(advice),
            lambda: now,
            RecordingLog(),
        )
        dispatcher.submit(advice_call("a1"))
        await asyncio.sleep(0.01)
        return results

    assert [advice.valid_s for advice in asyncio.run(main())] == [valid_s]
