"""Guards the shares of members against floods from others, and checks quotas."""

from collections import Counter

import pytest
from scheduling import Rig, document, spec, worker

from flamingoway.core.effects import Reply
from flamingoway.model import Policy, Resources
from flamingoway.status import Code

LARGE_WORKER = worker("w1", Resources(100_000, 10**6))


def fair_rig(**options):
    rig = Rig([LARGE_WORKER])
    rig.scheduler.set_document("e", document(**options), 1.0)
    return rig


def replace_oldest(rig, running, steps):
    """End the oldest running task and schedule again, ``steps`` times."""
    for _ in range(steps):
        rig.end(running.pop(0))
        running += rig.schedule(0.1)


def cores_of(rig, member):
    return rig.ledger.member_used("e", member).cores_milli // 1000


@pytest.mark.parametrize(
    ("weights", "expected"),
    [({"a": 1.0, "b": 1.0}, (50, 50)), ({"a": 3.0, "b": 1.0}, (75, 25))],
)
def test_backlogged_members_hold_shares_by_weight(weights, expected):
    rig = fair_rig(quotas={"a": 100, "b": 100}, weights=weights)
    rig.submit(*(spec(f"a{n}", member="a") for n in range(400)))
    running = rig.schedule()
    rig.submit(*(spec(f"b{n}", member="b") for n in range(300)))
    replace_oldest(rig, running, 150)
    assert cores_of(rig, "a") == pytest.approx(expected[0], abs=6)
    assert cores_of(rig, "b") == pytest.approx(expected[1], abs=6)


def test_long_queued_flood_does_not_overtake_a_member_below_its_share():
    rig = fair_rig(quotas={"flood": 100, "small": 100})
    rig.submit(*(spec(f"f{n}", member="flood") for n in range(500)))
    running = rig.schedule()
    rig.now += 100_000.0
    rig.submit(*(spec(f"s{n}", member="small") for n in range(10)))
    replace_oldest(rig, running, 10)
    assert cores_of(rig, "small") == 10


def test_ageing_places_work_of_members_with_equal_shares_in_order_of_arrival():
    rig = Rig([worker("w1", Resources(1000, 2048))])
    rig.submit(spec("first", member="a"))
    running = rig.schedule()
    for name in ("b", "c", "d"):
        rig.now += 60.0
        rig.submit(spec(name, member=name))
    order = []
    for _ in range(3):
        rig.end(running.pop())
        running = rig.schedule()
        order += running
    assert order == ["b/0", "c/0", "d/0"]


def test_urgent_work_goes_first_but_only_within_its_quota():
    rig = fair_rig(quotas={"a": 100, "b": 5})
    rig.submit(*(spec(f"a{n}", member="a") for n in range(200)))
    rig.submit(*(spec(f"u{n}", member="b", urgent=True) for n in range(10)))
    placed = Counter(task_id[0] for task_id in rig.schedule())
    assert placed == {"u": 5, "a": 95}


def test_kinds_of_a_member_share_by_weight():
    kinds = [("sort", 1.0), ("plan", 4.0)]
    rig = fair_rig(quotas={"a": 50}, kinds=kinds)
    rig.submit(*(spec(f"s{n}", member="a") for n in range(100)))
    rig.submit(*(spec(f"p{n}", member="a", kind="plan") for n in range(100)))
    placed = Counter(task_id[0] for task_id in rig.schedule())
    assert placed == {"s": 10, "p": 40}


def test_quota_frees_when_a_task_ends():
    rig = fair_rig(quotas={"a": 2})
    rig.submit(*(spec(f"j{n}", member="a") for n in range(4)))
    first = rig.schedule()
    assert len(first) == 2
    rig.end(first[0])
    assert rig.schedule() == ["j2/0"]


# Tasks, policy, share of the quota in this shard, expected code.
QUOTAS = {
    "one task at a time": (9, Policy.BATCH, 1.0, Code.ACCEPTED),
    "gang within the quota": (4, Policy.GANG, 1.0, Code.ACCEPTED),
    "gang above the quota": (5, Policy.GANG, 1.0, Code.QUOTA_TOO_SMALL),
    "gang above the shard's share only": (4, Policy.GANG, 0.25, Code.ACCEPTED),
}


@pytest.mark.parametrize("case", QUOTAS.values(), ids=QUOTAS.keys())
def test_jobs_that_can_never_fit_their_quota_are_refused(case):
    tasks, policy, share, code = case
    rig = Rig([LARGE_WORKER])
    rig.scheduler.set_document("e", document(quotas={"a": 4}), share)
    rig.submit(spec("j", member="a", policy=policy, tasks=tasks))
    assert rig.effects(Reply)[0].code == code
    assert (len(rig.schedule()) > 0) == (code == Code.ACCEPTED)


def test_burst_of_cancellations_keeps_the_order_of_the_other_jobs():
    rig = Rig([worker("w1", Resources(1000, 2048))])
    rig.submit(*(spec(f"j{n}") for n in range(2000)))
    running = rig.schedule()
    for n in range(1, 1990):
        rig.scheduler.cancel(f"j{n}", "e", "m", None, rig.now, rig.now)
    rig.end(running[0])
    assert rig.schedule() == ["j1990/0"]
    assert rig.scheduler.queued == 9
