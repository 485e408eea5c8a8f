"""Guards against targets given more than their slots, or work while they fail."""

import asyncio
import json
import random
from contextlib import AsyncExitStack

import pytest
from request_path import IP, Vm, call, check_request, entry, make_document

from flamingoway.core.ejection import BASE_EJECTION_S, LEAVING_TIMEOUT_S, Ejection
from flamingoway.core.routing import TargetLoad, slot_share, target_pickers
from flamingoway.errors import OutcomeUnknown, Refused
from flamingoway.status import Code
from standins.target import Target

PROCESSES = [f"entry-{number}" for number in range(7)]


def make_picker(name: str):
    """Return a picker of zone ``z1``."""
    return target_pickers.get(name)("z1", random.Random(1))


@pytest.mark.parametrize("slots", [1, 7, 8, 64])
def test_the_shares_of_all_processes_add_up_to_the_slots(slots):
    """Guards against shares that together exceed the slots of a target."""
    totals = dict.fromkeys(PROCESSES, 0)
    for number in range(24):
        shares = {p: slot_share(f"t{number}", slots, p, PROCESSES) for p in PROCESSES}
        assert sum(shares.values()) == slots
        for process, share in shares.items():
            totals[process] += share
    assert max(totals.values()) <= 24 * slots / 7 + 7


def test_a_process_that_is_not_live_has_no_share():
    assert slot_share("t1", 8, "other", PROCESSES) == 0


@pytest.mark.parametrize("name", ["two_choices", "borrowing"])
def test_the_own_zone_is_preferred_until_it_is_full(name):
    """Guards against waiting for the own zone while another zone has free slots."""
    near = [TargetLoad(f"n{n}", "z1", 2) for n in range(2)]
    far = [TargetLoad(f"f{n}", "z2", 2) for n in range(2)]
    picker = make_picker(name)
    picked = []
    while (load := picker.pick(near + far)) is not None:
        load.in_flight += 1
        picked.append(load.zone)
    assert picked == ["z1"] * 4 + ["z2"] * 4


def test_extra_slots_are_bounded_and_used_last():
    loads = [
        TargetLoad("t1", "z2", 1, extra_slots=1),
        TargetLoad("t2", "z1", 1, extra_slots=0),
    ]
    picker = make_picker("borrowing")
    picked = []
    while (load := picker.pick(loads)) is not None:
        load.in_flight += 1
        picked.append(load.target_id)
    assert picked == ["t2", "t1", "t1"]


@pytest.mark.parametrize("name", list(target_pickers))
def test_a_picker_without_targets_picks_none(name):
    assert make_picker(name).pick([]) is None


def test_a_failing_target_is_ejected_for_longer_each_time():
    ejection = Ejection()
    targets = ["t1", "t2", "t3"]
    now = 0.0
    for duration in (BASE_EJECTION_S, 2 * BASE_EJECTION_S, 4 * BASE_EJECTION_S):
        while not ejection.note_failure("t1", now):
            assert "t1" in ejection.available(targets, now)
        assert ejection.available(targets, now + duration * 0.99) == ["t2", "t3"]
        now += duration
        assert ejection.available(targets, now) == targets
        assert ejection.probing("t1")
    ejection.note_success("t1")
    assert not ejection.probing("t1")
    assert not ejection.note_failure("t1", now)


def test_at_most_half_of_the_targets_are_ejected():
    """Guards against ejecting every target for a fault that all of them show."""
    ejection = Ejection()
    targets = ["t1", "t2", "t3", "t4"]
    for number, target in enumerate(targets):
        ejection.note_failure(target, number * 0.1, unreachable=True)
    assert ejection.available(targets, 0.5) == ["t1", "t2"]


def test_all_targets_may_leave():
    """Guards against applying the limit on ejected targets to leaving ones."""
    ejection = Ejection()
    for target in ("t1", "t2"):
        ejection.note_leaving(target, 0.0)
    assert ejection.available(["t1", "t2"], LEAVING_TIMEOUT_S - 1) == []
    assert ejection.available(["t1", "t2"], LEAVING_TIMEOUT_S) == ["t1", "t2"]


def run_with_targets(scenario, count: int = 3, document=None):
    """Run a scenario with ``count`` targets and one entry process."""

    async def main():
        async with AsyncExitStack() as stack:
            targets = [
                await stack.enter_async_context(Target().serve()) for _ in range(count)
            ]
            vms = [Vm(f"t{n}", IP, t.port) for n, t in enumerate(targets)]
            ingress = await stack.enter_async_context(entry(vms, document))
            return await scenario(ingress, targets)

    return asyncio.run(main())


def test_a_leaving_target_gets_no_new_work_and_no_check_is_refused():
    """Guards against checks sent to a target after its first refusal (I6)."""

    async def scenario(ingress, targets):
        targets[0].leaving = True
        answers = [await call(ingress.port, check_request()) for _ in range(60)]
        return [status for status, _, _ in answers], targets[0]

    statuses, leaving = run_with_targets(scenario)
    assert set(statuses) == {200}
    assert leaving.refused == 1
    assert leaving.ran == []


def test_a_target_that_breaks_answers_is_ejected():
    """Guards against preferring a broken target because it has the least load."""

    async def scenario(ingress, targets):
        codes = []
        body = {"service_ms": 0, "fault": "close"}
        for _ in range(3):
            # Let all targets but the first appear full to the picker.
            for load in loads(ingress)[1:]:
                load.in_flight += 100
            answer = await call(ingress.port, check_request(body))
            codes.append(json.loads(answer[2])["code"])
            for load in loads(ingress)[1:]:
                load.in_flight -= 100
        ran_before = len(targets[0].ran)
        for _ in range(30):
            await call(ingress.port, check_request())
        return codes, ran_before, len(targets[0].ran)

    def loads(ingress):
        runner = ingress._checks._runners["kerbihan-trial"]
        return [target.load for target in runner.targets._targets.values()]

    codes, ran_before, ran_after = run_with_targets(scenario)
    assert codes == [Code.OUTCOME_UNKNOWN] * 3
    assert ran_before == ran_after == 3


@pytest.mark.parametrize(("idempotent", "runs"), [(False, 1), (True, 2)])
def test_only_idempotent_checks_are_sent_again_after_an_unknown_outcome(
    idempotent, runs
):
    """Guards against a non-idempotent check that runs twice (I5)."""

    async def scenario(ingress, targets):
        body = {"service_ms": 0, "fault": "close"}
        answer = await call(ingress.port, check_request(body))
        ran = [request_id for target in targets for request_id in target.ran]
        return json.loads(answer[2])["code"], len(ran), len(set(ran))

    document = make_document(idempotent=idempotent)
    code, ran, ids = run_with_targets(scenario, 2, document)
    assert (code, ran, ids) == (Code.OUTCOME_UNKNOWN, runs, 1)


@pytest.mark.parametrize("second", [Code.TARGET_REFUSED, Code.DEADLINE_PASSED])
def test_a_check_that_may_have_run_is_not_answered_with_the_refusal_of_its_retry(
    monkeypatch, second
):
    """Guards against "not run" for an idempotent check whose first attempt may have."""

    async def scenario(ingress, targets):
        runner = ingress._checks._runners["kerbihan-trial"]
        clock = runner._clock
        errors = [OutcomeUnknown("no answer"), Refused("leaving", second)]

        async def send(target, request):
            runner.targets.release(target)
            if second == Code.DEADLINE_PASSED:
                runner._clock = lambda: clock() + 60
            raise errors.pop(0)

        monkeypatch.setattr(runner.targets, "send", send)
        answer = await call(ingress.port, check_request())
        return json.loads(answer[2])["code"], len(errors)

    document = make_document(idempotent=True)
    code, left = run_with_targets(scenario, 2, document)
    assert (code, left) == (Code.OUTCOME_UNKNOWN, second == Code.DEADLINE_PASSED)


def test_time_outs_by_short_deadlines_eject_no_target():
    """Guards against ejections that stop the checks of other callers."""

    async def scenario(ingress, targets):
        late = check_request({"service_ms": 50}, X_Timeout_Ms="20")
        await asyncio.gather(*[call(ingress.port, late) for _ in range(12)])
        return ingress._checks.target_counts

    counts = run_with_targets(scenario)
    assert counts["available"] == counts["known"] == 3
