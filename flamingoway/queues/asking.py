"""Calls to the advice service, spread over the entry processes.

The service handles one call at a time for each calling machine, so the leader lets
every live process ask. Each process has one call on its way, and some processes are
kept free of long calls, so that urgent steps never wait behind one.
"""

import asyncio
import heapq
from collections.abc import Callable, Mapping, Sequence

from ..errors import FlamingowayError, Refused
from ..peer import PeerClient
from ..status import Code
from .decisions import DecisionLog
from .messages import AskReply, AskRequest
from .model import Advice
from .ports import AdviceService, WorkerSilent
from .records import MemberRecord
from .runs import AskAdvice

# Calls that take longer are kept off some of the processes.
LONG_CALL_S = 0.1
# One process of this many takes no long calls.
PROCESSES_PER_SHORT_LANE = 3
# A call may take this much longer than announced before it counts as lost.
CALL_SLACK_S = 0.5
CALL_SLACK_FACTOR = 1.5
# A process whose call was lost is not asked again for this time.
SILENT_S = 1.0

Done = Callable[[AskAdvice, Advice | None], None]


def choose_process(
    names: Sequence[str], busy: Mapping[str, AskAdvice], ask: AskAdvice
) -> str | None:
    """Return the process that should make a call, ``None`` if it has to wait.

    Args:
        names: Processes in the order of preference for short calls.
        busy: Calls on their way, by process.
        ask: The call.
    """
    idle = [name for name in names if name not in busy]
    if not idle:
        return None
    if ask.duration_s <= LONG_CALL_S:
        return idle[0]
    long_calls = sum(a.duration_s > LONG_CALL_S for a in busy.values())
    lanes = max(1, len(names) - max(1, len(names) // PROCESSES_PER_SHORT_LANE))
    return idle[-1] if long_calls < lanes else None


class AdviceDispatcher:
    """Carries out calls for advice.

    Args:
        name: Name of this process.
        service: The advice service, called directly.
        peers: Client for other processes.
        members: Returns the live processes by name.
        done: Called with the result of each call; ``None`` without an answer.
        clock: Monotonic clock in seconds.
        log: Decision log.
    """

    def __init__(
        self,
        name: str,
        service: AdviceService,
        peers: PeerClient,
        members: Callable[[], dict[str, MemberRecord]],
        done: Done,
        clock: Callable[[], float],
        log: DecisionLog,
    ):
        self._name = name
        self._service = service
        self._peers = peers
        self._members = members
        self._done = done
        self._clock = clock
        self._log = log
        self._queue: list[tuple[tuple, int, AskAdvice]] = []
        self._count = 0
        self._busy: dict[str, AskAdvice] = {}
        self._silent_until: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    def submit(self, ask: AskAdvice) -> None:
        """Make a call as soon as a process is free for it."""
        self._count += 1
        heapq.heappush(self._queue, (ask.rank, self._count, ask))
        self._pump()

    def close(self) -> None:
        """Abandon all calls."""
        self._queue.clear()
        for task in self._tasks:
            task.cancel()

    def _pump(self) -> None:
        postponed = []
        while self._queue:
            entry = heapq.heappop(self._queue)
            name = choose_process(self._names(), self._busy, entry[2])
            if name is None:
                postponed.append(entry)
                if len(self._busy) >= len(self._names()):
                    break
                continue
            self._busy[name] = entry[2]
            task = asyncio.create_task(self._ask(name, entry[2]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        for entry in postponed:
            heapq.heappush(self._queue, entry)

    def _names(self) -> list[str]:
        now = self._clock()
        names = [self._name, *sorted(set(self._members()) - {self._name})]
        return [n for n in names if self._silent_until.get(n, 0.0) <= now] or names

    async def _ask(self, name: str, ask: AskAdvice) -> None:
        timeout_s = ask.duration_s * CALL_SLACK_FACTOR + CALL_SLACK_S
        advice = None
        sent_at = self._clock()
        try:
            advice = await self._call(name, ask, timeout_s)
        except (FlamingowayError, WorkerSilent) as exc:
            now = self._clock()
            self._silent_until[name] = now + SILENT_S
            self._log.write(
                "advice missing",
                step=ask.step.id,
                asked_by=name,
                after_s=round(now - sent_at, 3),
                why=str(exc),
            )
        finally:
            self._busy.pop(name, None)
        self._done(ask, advice)
        self._pump()

    async def _call(self, name: str, ask: AskAdvice, timeout_s: float) -> Advice:
        if name == self._name:
            return await self._service.ask(ask.step.id, list(ask.workers), timeout_s)
        member = self._members().get(name)
        if member is None:
            raise Refused(f"{name} has left", Code.OWNER_UNAVAILABLE)
        address = member.peer_address
        request = AskRequest(ask.step.id, list(ask.workers), timeout_s)
        try:
            reply = await self._peers.call(
                address, request, timeout_s + CALL_SLACK_S, AskReply
            )
        except FlamingowayError:
            # The channel may have gone silent; the next call opens a new one.
            await self._peers.forget(address)
            raise
        return Advice(reply.tickets, reply.valid_s)
