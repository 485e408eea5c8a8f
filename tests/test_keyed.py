"""Guards against a check with an idempotency key running in two entry processes."""

import asyncio
import random
from contextlib import AsyncExitStack, asynccontextmanager

import pytest
from request_path import (
    ENVIRONMENT,
    IP,
    FakeFollower,
    FakeMembership,
    FakeVmList,
    Vm,
    make_document,
    make_settings,
)
from test_idempotency import NOW_S, make_key

from flamingoway.checks import Checks
from flamingoway.context import Context
from flamingoway.core.idempotency import OWNERSHIP_MARGIN_S, owner_of
from flamingoway.messages import ProcessInfo
from flamingoway.peer import PeerClient, PeerServer
from flamingoway.status import Code
from standins.cluster import free_ports
from standins.target import Target

FIRST_PORT = free_ports(3)
PORTS = {f"p{index + 1}": FIRST_PORT + index for index in range(3)}
BOTH = ("p1", "p2")


class Clock:
    """A wall clock that a test sets."""

    def __init__(self, now: float):
        self.now = now

    def __call__(self) -> float:
        return self.now


class Process:
    """The checks of one entry process with its peer server."""

    def __init__(self, name: str, target: Target, clock: Clock, live, view=None):
        self.name = name
        self.membership = FakeMembership()
        self.set_view(live if view is None else view)
        context = Context(
            make_settings(name),
            wall_clock=clock,
            rng=random.Random(name),
            incarnation=name,
        )
        self.peers = PeerClient()
        vms = FakeVmList([Vm("t1", IP, target.port, slots=64)])
        follower = FakeFollower(make_document())
        self.checks = Checks(context, follower, vms, self.membership, self.peers)

    def set_view(self, live) -> None:
        """Set the processes that this process sees as live."""
        self.membership.processes = {
            name: ProcessInfo(
                name, name, "brittany", "bzh-1", f"{IP}:{PORTS[name]}", "", 0
            )
            for name in live
        }

    @asynccontextmanager
    async def serve(self):
        """Serve calls from the other processes."""
        server = PeerServer()
        self.checks.register(server)
        async with server.listen(f"{IP}:{PORTS[self.name]}", grace_s=0):
            yield self
        await self.peers.close()

    async def check(self, key: str, body: bytes = b'{"service_ms": 1}'):
        """Run a keyed check here."""
        deadline = self.checks._context.clock() + 2.0
        return await self.checks.run(ENVIRONMENT, "agency", "slot", body, deadline, key)


def run(scenario, names=BOTH, views=None):
    """Run a scenario with a target, a clock and processes that see each other."""

    async def main():
        clock = Clock(NOW_S)
        async with AsyncExitStack() as stack:
            target = await stack.enter_async_context(Target(slots=64).serve())
            processes = {}
            for name in names:
                view = (views or {}).get(name)
                process = Process(name, target, clock, names, view)
                processes[name] = await stack.enter_async_context(process.serve())
            clock.now += OWNERSHIP_MARGIN_S + 60
            return await scenario(processes, clock, target)

    return asyncio.run(main())


def codes(replies) -> list[int]:
    """Return the codes of replies."""
    return [reply.code for reply in replies]


def test_the_same_key_at_all_processes_runs_once():
    """Guards against duplicates sent at the same time through two processes."""

    async def scenario(processes, clock, target):
        keys = [make_key(clock.now, number) for number in range(10)]
        calls = [p.check(key) for p in processes.values() for key in keys * 2]
        return await asyncio.gather(*calls), target.ran

    replies, ran = run(scenario)
    assert set(codes(replies)) == {Code.OK}
    assert len(ran) == 10
    bodies = [reply.body for reply in replies]
    assert len(set(bodies)) == 10
    assert bodies[:10] == bodies[10:20] == bodies[20:30] == bodies[30:]


def test_a_key_with_another_body_is_refused_at_every_process():
    async def scenario(processes, clock, target):
        key = make_key(clock.now)
        first = await processes["p1"].check(key)
        return [first] + [await p.check(key, b"{}") for p in processes.values()]

    assert codes(run(scenario)) == [Code.OK, Code.KEY_REUSED, Code.KEY_REUSED]


def test_a_refused_check_may_be_sent_again_with_its_key():
    async def scenario(processes, clock, target):
        key = make_key(clock.now)
        target.leaving = True
        refused = await processes["p1"].check(key)
        target.leaving = False
        clock.now += 1
        for process in processes.values():
            runner = process.checks._runners[ENVIRONMENT]
            runner.targets._ejection.forget("t1")
            runner.refresh()
        return refused, await processes["p2"].check(key), target.ran

    refused, answered, ran = run(scenario)
    assert (refused.code, answered.code) == (Code.TARGET_REFUSED, Code.OK)
    assert len(ran) == 1


def test_an_unknown_outcome_stays_unknown_for_its_key():
    """Guards against a second run after a cut answer."""

    async def scenario(processes, clock, target):
        key = make_key(clock.now)
        body = b'{"service_ms": 1, "fault": "truncated"}'
        replies = [
            await processes[name].check(key, body) for name in ["p1", "p2", "p1"]
        ]
        return replies, target.ran

    replies, ran = run(scenario)
    assert codes(replies) == [Code.ANSWER_CUT] * 3
    assert len(ran) == 1


@pytest.mark.parametrize(
    ("age", "code"), [(1.0, Code.KEY_AMBIGUOUS), (-OWNERSHIP_MARGIN_S, Code.OK)]
)
def test_a_key_issued_before_its_owner_failed_is_ambiguous(age, code):
    """Guards against a second run when the former owner cannot be asked."""

    async def scenario(processes, clock, target):
        stamp = clock.now - age
        survivor = processes["p1"]
        survivor.set_view(["p1"])
        survivor.checks.refresh()
        if age < 0:
            clock.now = stamp + 1
        for number in range(100):
            key = make_key(stamp, number)
            if owner_of(key, BOTH) == "p2":
                return await survivor.check(key), target.ran
        return None

    reply, ran = run(scenario)
    assert reply.code == code
    assert len(ran) == (code == Code.OK)


def test_a_joining_process_gets_the_outcomes_of_its_keys():
    """Guards against a second run or KEY_AMBIGUOUS when a process takes over keys."""

    async def scenario(processes, clock, target):
        first, joining = processes["p1"], processes["p2"]
        stamp = clock.now
        keys = [make_key(stamp, n) for n in range(40)]
        joining_keys = [key for key in keys if owner_of(key, BOTH) == "p2"]
        before = await first.check(joining_keys[0])
        first.set_view(BOTH)
        joining.set_view(BOTH)
        clock.now += 1
        known = await joining.check(joining_keys[0])
        fresh = await joining.check(joining_keys[1])
        # The former owner must not run a key that it has handed over.
        first.set_view(["p1"])
        late = await first.check(joining_keys[1])
        return before, known, fresh, late, target.ran

    before, known, fresh, late, ran = run(scenario, views={"p1": ["p1"], "p2": []})
    assert known == before
    assert fresh.code == Code.OK
    assert late.code == Code.KEY_AMBIGUOUS
    assert len(ran) == 2


def test_a_process_that_is_not_yet_live_owns_no_keys():
    """Guards against a second owner while a process starts without the store."""

    async def scenario(processes, clock, target):
        return await processes["p1"].check(make_key(clock.now)), target.ran

    reply, ran = run(scenario, names=["p1"], views={"p1": []})
    assert (reply.code, ran) == (Code.OWNER_UNAVAILABLE, [])


def key_of(owner: str, processes, stamp: float) -> str:
    """Return a key that belongs to ``owner``."""
    keys = (make_key(stamp, number) for number in range(100))
    return next(key for key in keys if owner_of(key, processes) == owner)


def test_a_process_cut_off_from_the_store_asks_before_it_runs_a_key():
    """Guards against two owners while the cut-off process has a stale view."""

    async def scenario(processes, clock, target):
        cut_off, other = processes["p1"], processes["p2"]
        cut_off.membership.store_up = False
        other.set_view(["p2"])
        other.checks.refresh()
        clock.now += OWNERSHIP_MARGIN_S + 1
        key = key_of("p1", BOTH, clock.now)
        replies = [await p.check(key) for p in (other, cut_off)]
        second = key_of("p1", BOTH, clock.now + 1)
        replies += [await p.check(second) for p in (cut_off, other)]
        return replies, target.ran

    replies, ran = run(scenario)
    assert codes(replies) == [Code.OK, Code.OK, Code.OK, Code.KEY_AMBIGUOUS]
    assert replies[0] == replies[1]
    assert len(ran) == 2


@pytest.mark.parametrize("noticed", [True, False])
def test_a_process_that_lost_its_session_asks_before_it_runs_a_key(noticed):
    """Guards against a second run by an owner that was paused beyond its session.

    The other process may have owned its keys meanwhile; its own view shows no change.
    """

    async def scenario(processes, clock, target):
        paused, other = processes["p1"], processes["p2"]
        paused.checks.refresh()
        if noticed:
            other.set_view(["p2"])
            other.checks.refresh()
        clock.now += OWNERSHIP_MARGIN_S + 1
        key = key_of("p1", BOTH, clock.now)
        replies = [await other.check(key)] if noticed else []
        paused.membership.session_started_at += 60.0
        other.set_view(BOTH)
        replies.append(await paused.check(key))
        clock.now += 2 * OWNERSHIP_MARGIN_S
        replies.append(await paused.check(key_of("p1", BOTH, clock.now)))
        return replies, target.ran

    replies, ran = run(scenario)
    assert set(codes(replies)) == {Code.OK}
    assert len(ran) == 2


def lose_session(paused):
    paused.membership.session_started_at += 60.0


def lose_store(cut_off):
    cut_off.membership.store_up = False


@pytest.mark.parametrize("fault", [lose_session, lose_store])
def test_a_key_that_a_third_process_may_have_run_is_ambiguous(fault):
    """Guards against a second run after two changes of owner that one did not see."""

    async def scenario(processes, clock, target):
        first, second, third = processes.values()
        for process in (second, third):
            process.set_view(["p2", "p3"])
            process.checks.refresh()
        clock.now += OWNERSHIP_MARGIN_S + 1
        keys = (make_key(clock.now, number) for number in range(200))
        key = next(
            k
            for k in keys
            if owner_of(k, ["p1", "p3"]) == "p1" and owner_of(k, ["p2", "p3"]) == "p2"
        )
        replies = [await second.check(key)]
        fault(first)
        for process in (first, third):
            process.set_view(["p1", "p3"])
        replies.append(await first.check(key))
        clock.now += 2 * OWNERSHIP_MARGIN_S
        replies.append(await first.check(key_of("p1", ["p1", "p3"], clock.now)))
        return replies, target.ran

    views = {"p1": ["p1", "p3"]}
    replies, ran = run(scenario, names=["p1", "p2", "p3"], views=views)
    assert codes(replies) == [Code.OK, Code.KEY_AMBIGUOUS, Code.OK]
    assert len(ran) == 2


def test_a_key_that_the_only_other_process_may_have_run_is_ambiguous():
    """Guards against a second run after a pause in which the other one ran and left."""

    async def scenario(processes, clock, target):
        paused, other = processes.values()
        paused.checks.refresh()
        other.set_view(["p2"])
        other.checks.refresh()
        clock.now += OWNERSHIP_MARGIN_S + 1
        key = key_of("p1", BOTH, clock.now)
        replies = [await other.check(key)]
        lose_session(paused)
        paused.set_view(["p1"])
        replies.append(await paused.check(key))
        clock.now += 2 * OWNERSHIP_MARGIN_S
        replies.append(await paused.check(make_key(clock.now)))
        return replies, target.ran

    replies, ran = run(scenario)
    assert codes(replies) == [Code.OK, Code.KEY_AMBIGUOUS, Code.OK]
    assert len(ran) == 2


@pytest.mark.parametrize("fault", [lose_session, lose_store])
def test_a_process_that_never_saw_another_one_runs_its_keys(fault):
    async def scenario(processes, clock, target):
        fault(processes["p1"])
        return await processes["p1"].check(make_key(clock.now)), target.ran

    reply, ran = run(scenario, names=["p1"])
    assert (reply.code, len(ran)) == (Code.OK, 1)


@pytest.mark.parametrize(
    ("view", "owner", "code"),
    [("p1", "p3", Code.OWNER_UNAVAILABLE), ("p2", "p3", Code.OWNER_CHANGED)],
)
def test_a_check_sent_to_a_wrong_or_dead_owner_did_not_run(view, owner, code):
    """Guards against two owners if views differ, and against a false "unknown"."""

    async def scenario(processes, clock, target):
        all_three = ("p1", "p2", "p3")
        processes[view].set_view(all_three)
        keys = (make_key(clock.now, number) for number in range(200))
        key = next(
            k
            for k in keys
            if (owner_of(k, all_three), owner_of(k, BOTH)) == (owner, "p2")
        )
        return await processes["p1"].check(key), target.ran

    reply, ran = run(scenario)
    assert (reply.code, ran) == (code, [])
