"""Calls to the advice service, spread over the entry processes.

The service handles one call at a time for each calling machine, so the leader spreads
its calls over all live processes. Each process has one call in flight, and some take
no long calls, so that urgent steps never wait behind one.
"""

import asyncio
import heapq
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from functools import partial

from ..errors import FlamingowayError, Refused
from ..peer import PeerClient
from ..status import Code
from .decisions import DecisionLog
from .messages import AskReply, AskRequest
from .model import Advice
from .ports import AdviceService, NoReply
from .records import ProcessRecord
from .runs import AdviceCall

# Some processes take no calls longer than this.
LONG_CALL_S = 0.1
# One process out of this many takes no long calls.
PROCESSES_PER_SHORT_LANE = 3
# A call times out after its expected duration times the factor, plus the slack.
CALL_SLACK_S = 0.5
CALL_SLACK_FACTOR = 1.5
# A process whose call failed gets no calls for this time, unless all have failed.
FAILED_PROCESS_PAUSE_S = 1.0

ResultCallback = Callable[[AdviceCall, Advice | None], None]


def choose_process(
    names: Sequence[str], busy: Mapping[str, AdviceCall], call: AdviceCall
) -> str | None:
    """Return the process that should make a call, ``None`` if it has to wait.

    Args:
        names: Processes in the order of preference for short calls.
        busy: Calls in flight, by process.
        call: The call.
    """
    idle = [name for name in names if name not in busy]
    if not idle:
        return None
    if call.duration_s <= LONG_CALL_S:
        return idle[0]
    long_calls = sum(a.duration_s > LONG_CALL_S for a in busy.values())
    max_long_calls = max(1, len(names) - max(1, len(names) // PROCESSES_PER_SHORT_LANE))
    return idle[-1] if long_calls < max_long_calls else None


class AdviceDispatcher:
    """Queues calls for advice and sends each through a free process.

    Args:
        name: Name of this process.
        service: The advice service, called directly.
        peers: Client for other processes.
        processes: Returns the live processes by name.
        done: Called with the advice of each call, ``None`` if the call failed.
        clock: Monotonic clock in seconds.
        log: Decision log.
    """

    def __init__(
        self,
        name: str,
        service: AdviceService,
        peers: PeerClient,
        processes: Callable[[], dict[str, ProcessRecord]],
        done: ResultCallback,
        clock: Callable[[], float],
        log: DecisionLog,
    ):
        self._name = name
        self._service = service
        self._peers = peers
        self._processes = processes
        self._done = done
        self._clock = clock
        self._log = log
        self._queue: list[tuple[tuple, int, AdviceCall]] = []
        self._sequence = 0
        self._busy: dict[str, AdviceCall] = {}
        self._paused_until: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def submit(self, call: AdviceCall) -> None:
        """Queue a call; it is sent as soon as a process is free for it."""
        self._sequence += 1
        heapq.heappush(self._queue, (call.rank, self._sequence, call))
        self._dispatch()

    def close(self) -> None:
        """Cancel all calls, queued or in flight."""
        self._queue.clear()
        for task in self._tasks:
            task.cancel()

    def _dispatch(self) -> None:
        postponed = []
        now = self._clock()
        while self._queue:
            entry = heapq.heappop(self._queue)
            name = choose_process(self._candidates(), self._busy, entry[2])
            if name is None:
                postponed.append(entry)
                if len(self._busy) >= len(self._candidates()):
                    break
                continue
            self._busy[name] = entry[2]
            task = asyncio.create_task(self._call(name, entry[2]))
            self._tasks.add(task)
            task.add_done_callback(partial(self._on_call_done, name, entry[2], now))
        for entry in postponed:
            heapq.heappush(self._queue, entry)

    def _candidates(self) -> list[str]:
        now = self._clock()
        names = [self._name, *sorted(set(self._processes()) - {self._name})]
        return [n for n in names if self._paused_until.get(n, 0.0) <= now] or names

    def _on_call_done(
        self, name: str, call: AdviceCall, sent_at: float, task: asyncio.Task
    ) -> None:
        """Report the result of a call, in whichever way its task ended."""
        self._tasks.discard(task)
        self._busy.pop(name, None)
        advice = None
        error = asyncio.CancelledError() if task.cancelled() else task.exception()
        if error is None:
            advice = _without_pause(call, task.result(), self._clock() - sent_at)
        else:
            now = self._clock()
            self._paused_until[name] = now + FAILED_PROCESS_PAUSE_S
            known = isinstance(error, FlamingowayError | NoReply)
            self._log.write(
                "advice missing",
                step=call.step.id,
                asked_by=name,
                after_s=round(now - sent_at, 3),
                why=str(error) if known else repr(error),
            )
        try:
            self._done(call, advice)
        finally:
            self._dispatch()

    async def _call(self, name: str, call: AdviceCall) -> Advice:
        timeout_s = _timeout_s(call)
        if name == self._name:
            return await self._service.ask(call.step.id, list(call.workers), timeout_s)
        process = self._processes().get(name)
        if process is None:
            raise Refused(
                f"process {name} is no longer registered", Code.OWNER_UNAVAILABLE
            )
        address = process.peer_address
        request = AskRequest(call.step.id, list(call.workers), timeout_s)
        try:
            reply = await self._peers.call(
                address, request, timeout_s + CALL_SLACK_S, AskReply
            )
        except FlamingowayError as exc:
            # Other calls may be in progress, unless there is no connection.
            if exc.code is Code.OWNER_UNAVAILABLE:
                await self._peers.close_channel(address)
            raise
        return Advice(reply.tickets, reply.valid_s)


def _timeout_s(call: AdviceCall) -> float:
    return call.duration_s * CALL_SLACK_FACTOR + CALL_SLACK_S


def _without_pause(call: AdviceCall, advice: Advice, took_s: float) -> Advice:
    """Return advice whose lifetime does not include a pause of a process.

    An answer that was read later than any call takes had arrived before.
    """
    paused_s = max(0.0, took_s - _timeout_s(call) - CALL_SLACK_S)
    return replace(advice, valid_s=max(0.0, advice.valid_s - paused_s))
