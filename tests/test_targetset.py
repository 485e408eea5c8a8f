"""Guards against state of a target that is used for another VM with the same id."""

import asyncio
import random

import pytest

from flamingoway.core.routing import target_pickers
from flamingoway.errors import OutcomeUnknown, Refused
from flamingoway.status import Code
from flamingoway.target import Answer, TargetRequest
from flamingoway.targetset import TargetSet
from flamingoway.vmlist import Vm

REQUEST = TargetRequest("/check", b"{}", "r1", 1.0)


def vm(ip, zone="z1"):
    return Vm("t1", "target", ip, 80, "r", zone, slots=8, connections=8)


def target_set(first):
    targets = TargetSet(target_pickers.get("borrowing")("z1", random.Random(1)), clock)
    targets.update([first], "p1", ["p1"])
    return targets


def clock():
    return 100.0


@pytest.mark.parametrize(
    ("second", "kept"),
    [(vm("10.0.0.1"), True), (vm("10.0.0.2"), False), (vm("10.0.0.1", "z2"), False)],
    ids=["same", "other address", "other zone"],
)
def test_a_vm_that_takes_over_the_id_of_a_target_gets_a_state_of_its_own(second, kept):
    """Guards against checks that go to the address of a VM that is gone."""
    targets = target_set(vm("10.0.0.1"))
    first = targets.reserve()
    targets.release(first)
    targets.update([second], "p1", ["p1", "p2"])
    found = targets.reserve()
    assert (found is first) is kept
    assert found.pool.address == (second.ip, second.port)
    assert found.load.zone == second.zone


@pytest.mark.parametrize(
    "outcome",
    [
        Answer(200, "", b"", leaving=True),
        Refused("gone", Code.NO_TARGET),
        OutcomeUnknown("no answer", Code.OUTCOME_UNKNOWN),
    ],
    ids=["leaving", "unreachable", "no answer"],
)
@pytest.mark.parametrize("left", [True, False], ids=["unlisted", "at once"])
def test_a_late_answer_of_a_former_vm_does_not_count_for_the_next_one(outcome, left):
    """Guards against a new target that gets no checks for what a former one said."""

    async def main():
        targets = target_set(vm("10.0.0.1"))
        target, released = targets.reserve(), asyncio.Event()

        async def send(request):
            await released.wait()
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        target.pool.send = send
        sent = [asyncio.create_task(targets.send(target, REQUEST)) for _ in range(3)]
        await asyncio.sleep(0)
        if left:
            targets.update([], "p1", ["p1"])
        else:
            targets.update([vm("10.0.0.2")], "p1", ["p1"])
        released.set()
        await asyncio.gather(*sent, return_exceptions=True)
        targets.update([vm("10.0.0.2")], "p1", ["p1", "p2"])
        targets.refresh()
        return targets.counts

    assert asyncio.run(main()) == {"known": 1, "available": 1}
