"""Checks the own interface under all orders of a few messages about one job.

``python -m tests.test_own_exploration`` also plays the scenarios that take too long for
every change.
"""

import time

import pytest
from absl import logging

from flamingoway.commit import AbandonedEffects, GroupCommitter
from flamingoway.core.effects import Reply, StopTask
from flamingoway.core.scheduler import Scheduler
from flamingoway.fleet import Fleet
from flamingoway.status import Code
from flamingoway.store import Put
from tests.own_exploration import explore, linear_orders
from tests.test_jobs import ACTIVE
from tests.virtual import run_virtual

SCENARIOS = {
    "takeover": (
        "submit",
        "arrive",
        "retry",
        "cancel",
        "cut",
        "write_late",
        "take_over",
    ),
    "cancellation at a former owner": (
        "submit",
        "arrive",
        "cancel",
        "cancel_at_first",
        "cut",
        "write_late",
        "take_over",
    ),
    "reading at a former owner": (
        "submit",
        "arrive",
        "retry",
        "read_at_first",
        "cut",
        "write_late",
        "take_over",
    ),
    "late commands": (
        "submit",
        "arrive",
        "retry",
        "cancel",
        "hold_commands",
        "release_commands",
        "take_over",
    ),
    "repeated cancellation that expires": (
        "submit",
        "arrive",
        "cancel",
        "cancel_again",
        "half_expire",
        "half_expire_again",
    ),
    "cancellation of a forgotten job": (
        "submit",
        "arrive",
        "retry",
        "cancel",
        "cancel_again",
        "expire",
        "forget",
    ),
}
LONG_SCENARIOS = {
    "takeover and expiry": (
        "submit",
        "arrive",
        "retry",
        "cancel",
        "cut",
        "write_late",
        "take_over",
        "expire",
    ),
    "two takeovers": (
        "submit",
        "arrive",
        "retry",
        "cancel",
        "cut",
        "write_late",
        "take_over",
        "take_over_again",
    ),
    "cancellation of a forgotten job, in steps": (
        "submit",
        "arrive",
        "retry",
        "cancel",
        "cancel_again",
        "half_expire",
        "half_expire_again",
        "forget",
    ),
}
AFTER = {
    "arrive": ("submit",),
    "retry": ("submit",),
    "cancel": ("submit",),
    "cancel_at_first": ("submit",),
    "cancel_again": ("cancel",),
    "read_at_first": ("submit",),
    "half_expire_again": ("half_expire",),
    "write_late": ("cut",),
    "release_commands": ("hold_commands",),
    "take_over_again": ("take_over",),
}
# Within one round trip to the store, and longer than one.
GAPS_S = (0.005, 0.3)


@pytest.fixture(autouse=True)
def quiet_logs():
    """Keep the owners' warnings, some in each order, out of the log."""
    level = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    yield
    logging.set_verbosity(level)


def run(events, gap_s, **options):
    return run_virtual(lambda: explore(events, AFTER, ACTIVE, gap_s, **options))


@pytest.mark.parametrize("gap_s", GAPS_S)
@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_order_of_messages_breaks_a_rule(scenario, gap_s):
    result = run(SCENARIOS[scenario], gap_s)
    assert result.broken == []
    assert result.orders == len(list(linear_orders(SCENARIOS[scenario], AFTER))) > 0
    seen = set(result.codes)
    assert ("submit", "ACCEPTED") in seen
    if "read_at_first" in SCENARIOS[scenario]:
        assert seen >= {("read", "OK"), ("read", "NOT_FOUND")}
    if "cancel" in SCENARIOS[scenario]:
        assert seen >= {("cancel", "OK"), ("cancel", "NOT_FOUND")}
        assert ("submit", "CANCELLED_BEFORE") in seen


def test_no_order_breaks_a_rule_if_the_first_owner_is_of_an_earlier_build():
    result = run(SCENARIOS["takeover"], GAPS_S[1], is_mixed=True)
    assert result.broken == []
    seen = set(result.codes)
    assert seen >= {("cancel", "WRITE_UNRESOLVED"), ("cancel", "NOT_FOUND")}


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_no_order_breaks_a_rule_while_snapshots_replace_the_log(scenario):
    result = run(SCENARIOS[scenario], GAPS_S[0], has_snapshots=True)
    assert result.broken == []
    assert result.snapshots > 0


def keep_no_cancellation(monkeypatch):
    """Undo the refusal of a submission that arrives after its cancellation."""

    def withdraw(scheduler, request, waiter):
        reply = Reply(waiter, Code.NOT_FOUND, request.job_id, "no such job")
        scheduler._state.effect(reply)

    monkeypatch.setattr(Scheduler, "_withdraw", withdraw)


def commit_without_epoch(monkeypatch):
    async def send(committer, data):
        key = committer._keys.log_entry("s", committer._position.next_seq)
        return await committer._store.txn([], [Put(key, data)], [key])

    monkeypatch.setattr(GroupCommitter, "_send", send)


def call_an_unresolved_commit_discarded(monkeypatch):
    abandon = GroupCommitter.abandon

    def abandon_all(committer):
        abandoned = abandon(committer)
        return AbandonedEffects([], abandoned.unresolved + abandoned.discarded)

    monkeypatch.setattr(GroupCommitter, "abandon", abandon_all)


def send_no_stops(monkeypatch):
    carry_out = Fleet.carry_out

    def carry_out_others(fleet, effects):
        carry_out(fleet, [e for e in effects if not isinstance(e, StopTask)])

    monkeypatch.setattr(Fleet, "carry_out", carry_out_others)


@pytest.mark.parametrize(
    ("undo", "rule"),
    [
        (keep_no_cancellation, "started after its cancellation"),
        (commit_without_epoch, "lost"),
        (call_an_unresolved_commit_discarded, "is accepted, answered OWNER_CHANGED"),
        (send_no_stops, "runs on after its cancellation"),
    ],
)
def test_a_guard_that_is_missing_is_found(monkeypatch, undo, rule):
    """Guards against an exploration that sees no faults."""
    undo(monkeypatch)
    result = run(SCENARIOS["takeover"], GAPS_S[0])
    assert any(rule in broken for _, broken in result.broken)


def main() -> None:
    """Play all scenarios, and print what they showed."""
    logging.set_verbosity(logging.FATAL)
    for name, events in (SCENARIOS | LONG_SCENARIOS).items():
        for gap_s in GAPS_S:
            begin = time.perf_counter()
            result = run(events, gap_s)
            took_s = time.perf_counter() - begin
            print(f"{name}, gap {gap_s} s: {result.orders} orders in {took_s:.1f} s")
            for order, rule in result.broken:
                print(f"  broken: {', '.join(order)}: {rule}")


if __name__ == "__main__":
    main()
