"""Guards large work of a member against starvation by its small work."""

import pytest
from scheduling import Rig, document, spec, worker

from flamingoway.core.effects import StopTask
from flamingoway.model import Policy, Resources

LARGE = Resources(4000, 1024)
ROOMY_WORKER = worker("w1", Resources(64_000, 2**20))


def quota_rig(*workers, share=1.0, quotas=None, **options):
    rig = Rig(workers or (ROOMY_WORKER,))
    quotas = quotas or {"m": 4}
    rig.scheduler.set_document("e", document(quotas=quotas, **options), share)
    return rig


def run_small_tasks(rig, until, limit_s, **changes):
    """Replace small tasks of the member until a job starts; return the seconds."""
    rig.submit(*(spec(f"s{n}", **changes) for n in range(2)))
    running = rig.schedule()
    rig.submit(until)
    for second in range(1, limit_s + 1):
        rig.submit(spec(f"s{second + 1}", **changes))
        if running:
            rig.end(running.pop(0))
        running += rig.schedule(1.0)
        if rig.states(until.job_id)[0] == "assigned":
            return second
    return None


@pytest.mark.parametrize("urgent", [False, True])
@pytest.mark.parametrize("policy", [Policy.BATCH, Policy.GANG])
@pytest.mark.parametrize("share", [1.0, 0.5])
def test_large_work_is_not_starved_by_small_tasks_of_its_member(urgent, policy, share):
    rig = quota_rig(share=share)
    shape = LARGE if policy is Policy.BATCH else Resources(1000, 1024)
    tasks = 1 if policy is Policy.BATCH else 4
    large = {"policy": policy, "tasks": tasks, "resources": shape, "kind": "plan"}
    job = spec("large", urgent=urgent, **large)
    assert run_small_tasks(rig, job, 60, urgent=urgent) is not None
    assert rig.states("large") == ["assigned"] * tasks


def test_each_large_job_of_a_member_gets_its_turn_beside_small_tasks():
    rig = quota_rig()
    rig.submit(spec("s"))
    running = rig.schedule()
    large = {"resources": LARGE, "kind": "plan"}
    rig.submit(spec("l1", **large), spec("l2", **large), spec("l3", **large))
    rig.submit(spec("g", policy=Policy.GANG, tasks=4))
    for number in range(200):
        rig.submit(spec(f"s{number}"), spec(f"t{number}"))
        if number % 2:
            rig.end(running.pop(0))
        running += rig.schedule(1.0)
    states = [rig.scheduler.view(job).state.value for job in ("l1", "l2", "l3", "g")]
    assert states == ["succeeded"] * 4


def test_small_tasks_use_the_quota_until_large_work_has_waited_long():
    rig = quota_rig()
    job = spec("large", resources=LARGE, kind="plan")
    assert run_small_tasks(rig, job, 60) >= 10


def blocked_rig(workers=(ROOMY_WORKER,)):
    """Return a rig in which a job has quota reserved beside a long task."""
    rig = quota_rig(*workers)
    rig.submit(spec("long"))
    rig.schedule()
    rig.submit(spec("large", resources=LARGE, kind="plan"))
    for _ in range(15):
        rig.schedule(1.0)
    rig.submit(spec("small"))
    assert rig.schedule() == []
    return rig


def test_urgent_work_is_not_held_back_by_quota_reserved_for_other_work():
    rig = blocked_rig()
    rig.submit(spec("u", urgent=True))
    assert rig.schedule(1.0) == ["u/0"]


def test_small_tasks_are_not_held_back_by_a_backlog_of_large_jobs():
    rig = quota_rig()
    assert run_small_tasks(rig, spec("l1", resources=LARGE, kind="plan"), 60)
    rig.submit(spec("l2", resources=LARGE, kind="plan"))
    rig.schedule(1.0)
    rig.end("l1/0")
    assert all(task_id.startswith("s") for task_id in rig.schedule())


def test_urgent_tasks_do_not_preempt_for_quota_reserved_for_another_one():
    rig = quota_rig("w1", "w2", quotas={"m": 6, "other": 100})
    rig.submit(*(spec(f"a{n}", urgent=True) for n in range(3)))
    rig.submit(spec("fixed", member="other", resources=Resources(3000, 1024)))
    rig.submit(*(spec(f"r{n}", member="other", resumable=True) for n in range(4)))
    rig.schedule()
    rig.submit(spec("large", urgent=True, resources=LARGE, kind="plan"))
    for _ in range(16):
        rig.schedule(1.0)
    rig.end("a0/0")
    rig.end("a1/0")
    rig.schedule()
    rig.submit(spec("u0", urgent=True), spec("u1", urgent=True))
    rig.scheduler.schedule(rig.now, rig.now)
    assert len(rig.effects(StopTask)) == 1


def test_gang_does_not_take_quota_reserved_for_another_job():
    roomy = Resources(8000, 8192)
    little_memory = worker("w3", Resources(8000, 1000))
    rig = quota_rig("w1", worker("w2", roomy), little_memory, quotas={"m": 8})
    rig.submit(spec("other", member="other", resources=roomy))
    rig.schedule()
    rig.submit(spec("s0"), spec("s1", resources=Resources(3000, 1024)))
    rig.schedule()
    rig.submit(spec("g", policy=Policy.GANG, tasks=4, kind="plan"))
    rig.submit(spec("large", resources=Resources(8000, 512)))
    for _ in range(16):
        rig.schedule(1.0)
    rig.end("other/0")
    assert rig.schedule() == []
    rig.end("s0/0")
    rig.end("s1/0")
    assert rig.schedule()[0] == "large/0"


def test_large_job_that_waited_longest_gets_the_next_quota_reservation():
    rig = quota_rig()
    rig.submit(spec("s"))
    running = rig.schedule()
    large = {"resources": LARGE, "kind": "plan"}
    rig.submit(spec("l1", **large), spec("l2", **large), spec("l3", **large))
    rig.submit(spec("g", policy=Policy.GANG, tasks=4))
    order = []
    for number in range(200):
        rig.submit(spec(f"s{number}"), spec(f"t{number}"))
        if number % 15 == 14:
            for task_id in running:
                rig.end(task_id)
            running = []
        placed = rig.schedule(1.0)
        order += [task_id for task_id in placed if task_id[0] in "lg"]
        running += placed
    assert order.index("g/0") < order.index("l3/0")


def test_reserved_quota_that_waits_for_a_long_task_does_not_idle_for_ever():
    rig = blocked_rig()
    for _ in range(60):
        rig.schedule(1.0)
    assert rig.states("small") == ["assigned"]


def test_job_that_a_suspended_quota_reservation_held_starts_in_the_end():
    rig = blocked_rig()
    for _ in range(60):
        rig.schedule(1.0)
    rig.end("long/0")
    running = ["small/0"]
    for number in range(200):
        rig.submit(spec(f"t{number}"))
        if running:
            rig.end(running.pop(0))
        running += rig.schedule(1.0)
        if "large/0" in running:
            break
    assert rig.states("large") == ["assigned"]


def test_large_job_is_not_starved_by_tasks_of_its_member_that_run_for_an_hour():
    rig = quota_rig()
    rig.submit(*(spec(f"s{n}") for n in range(4)))
    ends = {task_id: 900 * n for n, task_id in enumerate(rig.schedule(), 1)}
    rig.submit(spec("large", resources=LARGE, kind="plan"))
    rig.submit(*(spec(f"t{n}") for n in range(100)))
    for now in range(10, 40_000, 10):
        for task_id in [t for t, at in ends.items() if at <= now]:
            del ends[task_id]
            rig.end(task_id)
        ends |= dict.fromkeys(rig.schedule(10.0), now + 3600)
        if "large/0" in ends:
            break
    assert rig.states("large") == ["assigned"]


def test_reserved_quota_of_a_job_without_a_worker_does_not_idle_for_ever():
    rig = blocked_rig(["w1", "w2"])
    rig.submit(spec("o0", member="other", resources=LARGE), spec("o1", member="other"))
    assert len(rig.schedule()) == 2
    rig.end("long/0")
    for _ in range(90):
        rig.schedule(1.0)
    assert rig.states("large") == ["queued"]
    assert rig.states("small") == ["assigned"]


def test_cancelled_job_leaves_no_quota_reserved():
    rig = blocked_rig()
    rig.scheduler.cancel("large", "e", "m", None, rig.now, rig.now)
    assert rig.schedule() == ["small/0"]


def test_quota_is_not_reserved_for_a_job_that_exceeds_a_lowered_quota():
    rig = blocked_rig()
    rig.scheduler.set_document("e", document(quotas={"m": 3}), 1.0)
    assert rig.schedule() == ["small/0"]
    rig.submit(spec("small2"))
    for _ in range(30):
        rig.schedule(1.0)
    assert rig.states("small2") == ["assigned"]


def test_quota_reservation_leaves_no_overdue_wakeup():
    rig = blocked_rig()
    rig.scheduler.cancel("long", "e", "m", None, rig.now, rig.now)
    rig.end("long/0", "stopped")
    assert rig.schedule() == ["large/0"]
    rig.schedule(60.0)
    assert rig.scheduler.next_wakeup(rig.now) > rig.now


def test_small_tasks_beside_which_large_work_still_fits_are_not_held_back():
    rig = quota_rig(quotas={"m": 8})
    rig.submit(spec("s0", resources=Resources(5000, 1024)))
    rig.schedule()
    rig.submit(spec("large", resources=LARGE, kind="plan"))
    for _ in range(15):
        rig.schedule(1.0)
    rig.submit(*(spec(f"t{n}") for n in range(3)))
    rig.schedule(1.0)
    rig.end("s0/0")
    assert sorted(rig.schedule()) == ["large/0", "t0/0", "t1/0", "t2/0"]


def test_equal_tasks_of_a_member_keep_their_weights_when_they_wait_long():
    rig = quota_rig(quotas={"m": 20}, kinds=[("sort", 1.0), ("plan", 4.0)])
    rig.submit(*(spec(f"s{n}") for n in range(100)))
    rig.submit(*(spec(f"p{n}", kind="plan") for n in range(100)))
    running = rig.schedule()
    for _ in range(60):
        rig.end(running.pop(0))
        running += rig.schedule(15.0)
    assert sum(task_id.startswith("p") for task_id in running) >= 15


def test_gang_keeps_its_quota_while_workers_are_reserved_for_it():
    little_memory = worker("w3", Resources(4000, 1000))
    busy = Resources(32_000, 32_000)
    workers = ("w1", "w2", little_memory, worker("w4", busy))
    rig = quota_rig(*workers, quotas={"m": 8, "other": 100})
    rig.submit(spec("busy", member="other", resources=busy))
    rig.schedule()
    rig.submit(*(spec(f"o{n}", member="other") for n in range(8)))
    running = rig.schedule()
    small = {"resources": Resources(1000, 100)}
    rig.submit(*(spec(f"s{n}", **small) for n in range(4)))
    rig.schedule()
    rig.submit(spec("g", policy=Policy.GANG, tasks=8, kind="plan"))
    for _ in range(15):
        rig.schedule(1.0)
    for n in range(4):
        rig.end(f"s{n}/0")
    rig.submit(*(spec(f"t{n}", **small) for n in range(4)))
    for task_id in running:
        for _ in range(25):
            assert not any(t.startswith("t") for t in rig.schedule(1.0))
        rig.end(task_id)
    assert rig.schedule() == [f"g/{n}" for n in range(8)]


def test_reason_names_the_job_for_which_quota_is_reserved():
    rig = blocked_rig()
    reasons = rig.scheduler.explain("small", rig.now)
    assert any("reserved for large/0" in line for line in reasons)
