"""Guards against unfair queues, checks that end too late and unhelpful refusals."""

import heapq
import random

import pytest

from flamingoway.core.admission import Admission, PendingCheck
from flamingoway.core.concurrency import ConcurrencyLimit
from flamingoway.core.retry import RetryBudget
from flamingoway.errors import Refused
from flamingoway.status import Code

SERVICE_S = 0.02


def make_admission(slots: int = 4, max_queue: int = 100):
    """Return an admission queue whose measured service time is ``SERVICE_S``."""
    limit = ConcurrencyLimit(slots)
    for _ in range(4):
        limit.record("slot", SERVICE_S, 0.0)
    return Admission(max_queue, limit)


def make_check(member="a", deadline=2.0, weight=1.0, kind="slot", rate=100.0):
    return PendingCheck(member, kind, weight, rate, deadline)


def start_all(admission, now=0.0):
    """Take all waiting checks; return them in the order of their start."""
    started = []
    while (check := admission.take(now)[0]) is not None:
        started.append(check)
    return started


@pytest.mark.parametrize("weight", [1.0, 2.0, 4.0])
def test_members_share_slots_by_weight(weight):
    """Guards against a member that gets more slots by sending more checks."""
    admission = make_admission()
    for _ in range(90):
        admission.offer(make_check("flood", deadline=1e3), 0.0)
    for _ in range(30):
        admission.offer(make_check("other", deadline=1e3, weight=weight), 0.0)
    first = [check.member for check in start_all(admission)[:30]]
    expected = 30 * weight / (1 + weight)
    assert abs(first.count("other") - expected) <= 1


def test_an_idle_member_accumulates_no_credit():
    """Guards against a burst after a long pause that blocks the other members."""
    admission = make_admission()
    for _ in range(50):
        admission.offer(make_check("busy", deadline=1e3), 0.0)
    for _ in range(40):
        admission.take(0.0)
    for _ in range(10):
        admission.offer(make_check("late", deadline=1e3), 0.0)
    names = [check.member for check in start_all(admission)]
    assert names[:10].count("late") in (5, 6)


def test_the_kinds_of_a_member_alternate():
    admission = make_admission()
    for kind in ["slot"] * 5 + ["viability"] * 5:
        admission.offer(make_check(kind=kind, deadline=1e3), 0.0)
    kinds = [check.kind for check in start_all(admission)]
    assert kinds[:4] == ["slot", "viability", "slot", "viability"]


@pytest.mark.parametrize(
    ("queued", "deadline", "rate", "code"),
    [
        (0, 0.0, 100.0, Code.DEADLINE_PASSED),
        (50, 0.1, 100.0, Code.OVERLOADED),
        (100, 1e3, 1000.0, Code.OVERLOADED),
        (100, 1e3, 1.0, Code.MEMBER_LIMIT),
    ],
)
def test_a_check_that_cannot_be_served_in_time_is_refused_at_once(
    queued, deadline, rate, code
):
    """Guards against pointless waiting and refusals without ``retry_after``."""
    admission = make_admission()
    for _ in range(queued):
        admission.offer(make_check(deadline=1e3, rate=rate), 0.0)
    with pytest.raises(Refused) as caught:
        admission.offer(make_check(deadline=deadline, rate=rate), 0.0)
    assert caught.value.code == code
    if queued:
        assert caught.value.details["retry_after"] > 0


def test_a_check_past_its_deadline_is_not_started():
    admission = make_admission()
    admission.offer(make_check(deadline=0.1), 0.0)
    admission.offer(make_check(deadline=9.0), 0.0)
    started, expired = admission.take(0.095)
    assert (started.deadline, [t.deadline for t in expired]) == (9.0, [0.1])
    assert admission.in_flight == 1


def test_a_withdrawn_check_is_not_started_nor_charged_to_its_member():
    """Guards against slots for callers that left and extra turns for their members."""
    admission = make_admission()
    withdrawn = make_check("a")
    admission.offer(withdrawn, 0.0)
    admission.withdraw(withdrawn)
    admission.withdraw(withdrawn)
    for name in "abab":
        admission.offer(make_check(name), 0.0)
    assert [t.member for t in start_all(admission)] == ["a", "b", "a", "b"]
    assert admission.waiting == 0


def test_counts_stay_consistent_under_random_use():
    """Guards against leaks of slots or of places in the queue."""
    rng = random.Random(7)
    admission = make_admission()
    waiting, started = [], []
    for step in range(5000):
        now = step * 0.001
        action = rng.random()
        if action < 0.5:
            check = make_check(rng.choice("abc"), now + rng.uniform(0.01, 2))
            try:
                admission.offer(check, now)
                waiting.append(check)
            except Refused:
                pass
        elif action < 0.6 and waiting:
            admission.withdraw(waiting.pop(rng.randrange(len(waiting))))
        elif action < 0.8 and admission.has_room:
            check, _ = admission.take(now)
            started += [check] if check else []
        elif started:
            admission.release(started.pop(), now, SERVICE_S)
        waiting = [check for check in waiting if check.waiting]
        assert admission.waiting == len(waiting)
        assert admission.in_flight == len(started)


def record_answers(limit, latency, start, seconds):
    """Record 100 answers a second for ``seconds``; return the time at the end."""
    for step in range(int(seconds * 100)):
        limit.record("slot", latency, start + step / 100)
    return start + seconds


def test_the_limit_falls_while_targets_queue_requests_and_recovers():
    """Guards against more checks in flight where targets can only queue them."""
    limit = ConcurrencyLimit(32)
    now = record_answers(limit, 0.02, 0.0, 5)
    assert limit.value == 32
    now = record_answers(limit, 0.2, now, 10)
    assert 8 <= limit.value <= 16
    record_answers(limit, 0.02, now, 20)
    assert limit.value == 32


def test_the_limit_follows_the_number_of_slots():
    """Guards against a limit of 1 after a start without targets."""
    limit = ConcurrencyLimit(0)
    assert limit.value == 0
    limit.set_maximum(24)
    assert limit.value == 24
    limit.set_maximum(8)
    assert limit.value == 8


def test_retries_stay_a_share_of_the_traffic():
    budget = RetryBudget(ratio=0.2, reserve=10, limit=10)
    allowed = 0
    for _ in range(1000):
        budget.note_attempt()
        allowed += budget.withdraw()
    assert 200 <= allowed <= 210


class OverloadSimulation:
    """Simulates checks of several members in virtual time.

    Args:
        rates: Checks a second of each member.
        slots: Slots at the targets; each check takes about ``SERVICE_S``.
    """

    def __init__(self, rates: dict[str, float], slots: int = 8):
        self.admission = make_admission(slots)
        self.rng = random.Random(3)
        self.running: list[tuple[float, int, PendingCheck, float]] = []
        self.offered = dict.fromkeys(rates, 0)
        self.in_time = dict.fromkeys(rates, 0)
        self.late = 0
        self._rates = rates

    def run(self, seconds: float) -> None:
        """Offer checks with random arrivals for ``seconds`` of virtual time."""
        now = 0.0
        names = list(self._rates)
        total = sum(self._rates.values())
        while now < seconds:
            now += self.rng.expovariate(total)
            self._end(now)
            name = self.rng.choices(names, list(self._rates.values()))[0]
            self.offered[name] += 1
            try:
                self.admission.offer(make_check(name, now + 1.0), now)
            except Refused:
                continue
            self._start(now)

    def _end(self, until: float) -> None:
        while self.running and self.running[0][0] <= until:
            now, _, check, latency = heapq.heappop(self.running)
            self.admission.release(check, now, latency)
            if now <= check.deadline:
                self.in_time[check.member] += 1
            else:
                self.late += 1
            self._start(now)

    def _start(self, now: float) -> None:
        while self.admission.has_room:
            check, _ = self.admission.take(now)
            if check is None:
                return
            latency = self.rng.expovariate(1 / SERVICE_S)
            item = (now + latency, self.rng.getrandbits(40), check, latency)
            heapq.heappush(self.running, item)


def test_at_three_times_the_capacity_answers_still_meet_their_deadlines():
    """Guards against slots spent on checks that end after their deadline."""
    overload = OverloadSimulation({"a": 600.0, "b": 600.0})
    overload.run(20.0)
    capacity = 8 / SERVICE_S * 20
    assert sum(overload.in_time.values()) >= 0.9 * capacity
    assert overload.late <= 0.01 * sum(overload.in_time.values())


def test_a_member_keeps_its_throughput_during_a_flood_from_another():
    """Guards against a tenfold flood that takes the slots of other members."""
    overload = OverloadSimulation({"flood": 1000.0, "other": 100.0})
    overload.run(20.0)
    assert overload.in_time["other"] >= 0.95 * overload.offered["other"]
