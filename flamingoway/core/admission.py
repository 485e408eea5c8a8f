"""Admission of checks: fair queueing and early refusal.

Each member has a queue for each kind of check. Members share the slots by weighted
fair queueing (start-time fair queueing, cost in expected slot time); the kinds of
one member take turns. Work that cannot be answered before its deadline is refused
on arrival, with a hint when to retry, or not started.
"""

import heapq
from collections import deque
from dataclasses import dataclass, field

from ..errors import Refused
from ..status import Code
from .concurrency import ConcurrencyLimit

# Share of the time to the deadline that a check may wait; the rest is for running.
# At three times the capacity, waits are always this long, and a check that starts
# later is often answered too late to be useful.
MAX_WAIT_SHARE = 0.5
RATE_BURST_S = 1.0
MIN_RETRY_AFTER_S = 0.05
MAX_IDLE_MEMBERS = 1000


@dataclass(slots=True, eq=False)
class PendingCheck:
    """A check that asks for admission.

    Attributes:
        weight: Share of the member relative to others.
        rate: Checks a second that the member may always send to this process.
        deadline: When the answer must be complete, in seconds.
        context: Data of the caller; not used here.
    """

    member: str
    kind: str
    weight: float
    rate: float
    deadline: float
    context: object = None
    waiting: bool = field(default=False, init=False)


@dataclass(slots=True, eq=False)
class _Member:
    """Queues of one member and its place in the fair order.

    Attributes:
        tag: Virtual start time of its next check.
        entry: Number of its valid heap entry; others are stale.
    """

    weight: float
    tag: float
    tokens: float
    refilled_at: float
    queues: dict[str, deque[PendingCheck]] = field(default_factory=dict)
    waiting: int = 0
    active: bool = False
    entry: int = 0

    def take_token(self, rate: float, now: float) -> bool:
        """Take a token; return whether the member is within its own rate."""
        burst = max(1.0, rate * RATE_BURST_S)
        gained = (now - self.refilled_at) * rate
        self.tokens = min(burst, self.tokens + gained)
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def pop(self) -> PendingCheck:
        """Remove the next waiting check; the kinds take turns."""
        while True:
            kind, queue = next(iter(self.queues.items()))
            check = queue.popleft()
            del self.queues[kind]
            if queue:
                self.queues[kind] = queue
            if check.waiting:
                check.waiting = False
                self.waiting -= 1
                return check


class Admission:
    """Queues of one environment in one entry process.

    Args:
        max_queue: Longest queue of one member and kind.
        limit: Requests that may be at the targets at once.
    """

    def __init__(self, max_queue: int, limit: ConcurrencyLimit):
        self._max_queue = max_queue
        self._limit = limit
        self._members: dict[str, _Member] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._sequence = 0
        self._virtual_time = 0.0
        self._in_flight = 0
        self._waiting = 0
        self._active_weight = 0.0

    @property
    def waiting(self) -> int:
        """Checks in the queues."""
        return self._waiting

    @property
    def in_flight(self) -> int:
        """Checks that have started and have not ended."""
        return self._in_flight

    @property
    def has_room(self) -> bool:
        """Whether one more check may start."""
        return self._in_flight < self._limit.value

    def offer(self, check: PendingCheck, now: float) -> None:
        """Queue a check.

        Raises:
            Refused: ``DEADLINE_PASSED``; ``OVERLOADED`` if it would wait too long or
                the queue is full; ``MEMBER_LIMIT`` instead if the member is
                above its own rate. ``retry_after`` is in seconds.
        """
        remaining = check.deadline - now
        if remaining <= 0:
            raise Refused("the deadline has passed", Code.DEADLINE_PASSED)
        member = self._member(check, now)
        within_rate = member.take_token(check.rate, now)
        wait = self.expected_wait(check)
        queue = member.queues.get(check.kind, ())
        if wait > remaining * MAX_WAIT_SHARE or len(queue) >= self._max_queue:
            raise _refusal(within_rate, wait)
        self._push(member, check)

    def expected_wait(self, check: PendingCheck) -> float:
        """Return the expected waiting time of a new check, in seconds."""
        if self._waiting == 0 and self.has_room:
            return 0.0
        member = self._members.get(check.member)
        active = member is not None and member.active
        weights = self._active_weight + (0.0 if active else check.weight)
        ahead = member.waiting if active else 0
        share = check.weight / weights
        service = self._limit.service_s(check.kind)
        return (ahead + 1) * service / (max(1, self._limit.value) * share)

    def withdraw(self, check: PendingCheck) -> None:
        """Remove a waiting check; does nothing if it does not wait."""
        if not check.waiting:
            return
        check.waiting = False
        self._waiting -= 1
        member = self._members[check.member]
        member.waiting -= 1
        member.queues[check.kind].remove(check)
        if not member.queues[check.kind]:
            del member.queues[check.kind]
        if not member.waiting:
            self._deactivate(member)

    def take(self, now: float) -> tuple[PendingCheck | None, list[PendingCheck]]:
        """Start the next check.

        Returns:
            The check, or ``None``; and checks that left the queue because their
            deadline is too near.
        """
        expired = []
        while self._heap:
            _, entry, name = heapq.heappop(self._heap)
            member = self._members.get(name)
            if member is None or not member.active or member.entry != entry:
                continue
            check = self._pop(member)
            service = self._limit.service_s(check.kind)
            # Half of the expected time: many checks are faster than the mean.
            if check.deadline - now <= service / 2:
                self._reschedule(name, member)
                expired.append(check)
                continue
            self._virtual_time = max(self._virtual_time, member.tag)
            member.tag += service / member.weight
            self._reschedule(name, member)
            self._in_flight += 1
            return check, expired
        return None, expired

    def release(
        self, check: PendingCheck, now: float, latency_s: float | None = None
    ) -> None:
        """End a check that was started.

        Args:
            check: The check.
            now: Time, in seconds.
            latency_s: Time that the target took, if it answered.
        """
        self._in_flight -= 1
        if latency_s is not None:
            self._limit.record(check.kind, latency_s, now)

    def _member(self, check: PendingCheck, now: float) -> _Member:
        member = self._members.get(check.member)
        if member is None:
            if len(self._members) >= MAX_IDLE_MEMBERS:
                self._forget_idle()
            burst = max(1.0, check.rate * RATE_BURST_S)
            member = _Member(check.weight, self._virtual_time, burst, now)
            self._members[check.member] = member
        if not member.active:
            member.weight = check.weight
        return member

    def _push(self, member: _Member, check: PendingCheck) -> None:
        check.waiting = True
        member.queues.setdefault(check.kind, deque()).append(check)
        member.waiting += 1
        self._waiting += 1
        if member.active:
            return
        member.active = True
        member.tag = max(member.tag, self._virtual_time)
        self._active_weight += member.weight
        self._schedule(check.member, member)

    def _pop(self, member: _Member) -> PendingCheck:
        check = member.pop()
        self._waiting -= 1
        return check

    def _reschedule(self, name: str, member: _Member) -> None:
        if member.waiting:
            self._schedule(name, member)
        else:
            self._deactivate(member)

    def _schedule(self, name: str, member: _Member) -> None:
        self._sequence += 1
        member.entry = self._sequence
        heapq.heappush(self._heap, (member.tag, self._sequence, name))

    def _deactivate(self, member: _Member) -> None:
        member.active = False
        self._active_weight -= member.weight

    def _forget_idle(self) -> None:
        active = {name: m for name, m in self._members.items() if m.active}
        self._members = active


def _refusal(within_rate: bool, wait: float) -> Refused:
    retry_after = max(MIN_RETRY_AFTER_S, wait)
    if within_rate:
        return Refused("the queue is too long", retry_after=retry_after)
    return Refused(
        "the member exceeds its rate", Code.MEMBER_LIMIT, retry_after=retry_after
    )
