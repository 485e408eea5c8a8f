"""Guards gangs against partial placement, deadlock and starvation."""

import pytest
from scheduling import Rig, document, spec, worker

from flamingoway.model import Policy, Resources


def gang(job_id, tasks, **changes):
    return spec(job_id, policy=Policy.GANG, tasks=tasks, **changes)


def test_two_gangs_that_do_not_fit_together_run_one_after_the_other():
    rig = Rig(["w1", "w2"])
    rig.submit(gang("g1", 6), gang("g2", 6))
    assert len(rig.schedule()) == 6
    assert rig.states("g2") == ["queued"] * 6
    for index in range(6):
        rig.end(f"g1/{index}")
    assert rig.schedule() == [f"g2/{index}" for index in range(6)]


@pytest.mark.parametrize("outcome", ["failed", "lost", "stopped"])
def test_gang_that_loses_a_task_is_stopped_and_restarted_as_a_whole(outcome):
    rig = Rig(["w1", "w2"])
    rig.submit(gang("g1", 3))
    rig.schedule()
    rig.end("g1/0", outcome)
    assert rig.states("g1") == ["queued", "stopping", "stopping"]
    assert rig.schedule(60.0) == []
    rig.end("g1/1", "stopped")
    assert rig.schedule(60.0) == []
    rig.end("g1/2", "stopped")
    assert len(rig.schedule(60.0)) == 3


def test_task_that_succeeds_first_does_not_stop_its_gang():
    rig = Rig()
    rig.submit(gang("g1", 3))
    rig.schedule()
    rig.end("g1/0")
    assert rig.states("g1") == ["succeeded", "assigned", "assigned"]


def test_rest_of_a_gang_is_queued_when_its_last_stopping_task_succeeds():
    rig = Rig()
    rig.submit(gang("g1", 2))
    rig.schedule()
    rig.end("g1/0", "lost")
    rig.end("g1/1", "succeeded")
    assert rig.schedule() == ["g1/0"]


def test_small_jobs_do_not_starve_a_gang():
    rig = Rig(["w1", "w2"])
    rig.submit(*(spec(f"s{n}") for n in range(200)))
    running = rig.schedule()
    rig.submit(gang("g1", 8, member="other"))
    for _ in range(100):
        rig.end(running.pop(0))
        placed = rig.schedule(after=1.0)
        running += placed
        if "g1/0" in placed:
            break
    assert rig.states("g1") == ["assigned"] * 8
    assert rig.now < 30.0


def test_small_jobs_may_overtake_a_gang_that_has_just_arrived():
    rig = Rig()
    rig.submit(spec("s0"))
    rig.schedule()
    rig.submit(gang("g1", 4), spec("s1"))
    assert rig.schedule(1.0) == ["s1/0"]


def test_reservation_moves_when_its_worker_becomes_unschedulable():
    rig = Rig(["w1", "w2", "w3"])
    rig.submit(*(spec(f"s{n}", resources=Resources(3000, 1024)) for n in range(3)))
    rig.schedule()
    rig.submit(gang("g1", 4, resources=Resources(2000, 1024)))
    rig.schedule()
    rig.schedule(20.0)
    reserved = rig.scheduler._placer._gangs._reservation.tasks
    unschedulable = sorted(reserved)[0]
    rig.scheduler.set_worker(worker(unschedulable), False)
    rig.schedule(20.0)
    rig.schedule(20.0)
    for job in ("s0", "s1", "s2"):
        rig.end(f"{job}/0")
    assert len(rig.schedule()) == 4


def test_gang_that_no_workers_can_hold_now_does_not_delay_other_reservations():
    rig = Rig(["w1", "w2", "w3"])
    rig.submit(*(spec(f"s{n}", member="small") for n in range(400)))
    running = rig.schedule()
    rig.submit(gang("wide", 12, member="a"), gang("narrow", 4, member="b"))
    rig.scheduler.set_worker(worker("w3"), False)
    for _ in range(100):
        rig.end(running.pop(0))
        running += rig.schedule(after=1.0)
        if rig.states("narrow")[0] == "assigned":
            break
    assert rig.states("narrow") == ["assigned"] * 4
    assert rig.now < 40.0


def test_placed_gang_leaves_no_overdue_wakeup():
    rig = Rig()
    rig.submit(spec("s0"))
    rig.schedule()
    rig.submit(gang("g1", 4))
    rig.schedule(1.0)
    rig.end("s0/0")
    assert len(rig.schedule(1.0)) == 4
    rig.schedule(20.0)
    assert rig.scheduler.next_wakeup(rig.now) > rig.now


def test_gang_with_a_reservation_does_not_wait_beside_free_workers():
    rig = Rig(["w1", "w2"])
    rig.submit(*(spec(f"s{n}", resources=Resources(3000, 1024)) for n in range(2)))
    rig.schedule()
    rig.submit(gang("g1", 2, resources=Resources(4000, 1024)))
    rig.schedule()
    rig.schedule(11.0)
    assert rig.scheduler._placer.reserved_for == "g1"
    for name in ("w3", "w4"):
        rig.scheduler.set_worker(worker(name), True)
    assert rig.schedule() == ["g1/0", "g1/1"]


def test_reservation_moves_from_a_long_task_to_workers_that_become_free():
    rig = Rig(["w1", "w2", "w3"])
    rig.submit(*(spec(f"s{n}", member="small") for n in range(400)))
    running = rig.schedule()
    rig.submit(gang("g1", 8))
    rig.schedule()
    rig.schedule(11.0)
    reserved = rig.scheduler._placer._gangs._reservation.tasks
    long_task = next(t for t in running if rig.ledger.tasks[t].worker_id in reserved)
    running.remove(long_task)
    for _ in range(60):
        rig.end(running.pop(0))
        running += rig.schedule(after=1.0)
        if rig.states("g1")[0] == "assigned":
            break
    assert rig.states("g1") == ["assigned"] * 8


def test_reservation_that_waits_for_a_long_task_does_not_hold_back_others_for_ever():
    rig = Rig(["w1", "w2", "w3", "w4"])
    rig.submit(spec("long"))
    rig.schedule()
    rig.submit(gang("wide", 16, member="a"))
    rig.schedule()
    rig.schedule(11.0)
    rig.submit(gang("narrow", 4, member="b"), spec("small", member="c"))
    for _ in range(60):
        rig.schedule(1.0)
    assert rig.states("narrow") == ["assigned"] * 4
    assert rig.states("small") == ["assigned"]
    for task_id in ("long/0", "small/0", *(f"narrow/{n}" for n in range(4))):
        rig.end(task_id)
    assert len(rig.schedule()) == 16


def test_busy_accelerators_do_not_extend_the_reservation_of_a_gang_without_any():
    rig = Rig([worker("w1", Resources(4000, 8192, 1)), "w2", "w3", "w4"])
    rig.submit(spec("long", resources=Resources(1000, 1024, 1)))
    rig.schedule()
    rig.submit(gang("wide", 16, member="a"))
    rig.schedule()
    rig.schedule(11.0)
    rig.submit(spec("small", member="b"))
    for _ in range(60):
        rig.schedule(1.0)
    assert rig.states("small") == ["assigned"]


def test_worker_that_leaves_a_reservation_does_not_free_the_rest_for_small_jobs():
    rig = Rig(["w1", "w2", "w3"])
    rig.submit(*(spec(f"s{n}", member="small") for n in range(400)))
    running = rig.schedule()
    rig.submit(gang("g1", 8))
    rig.schedule()
    rig.schedule(11.0)
    rig.end(running.pop(0))
    rig.schedule()
    reserved = rig.scheduler._placer._gangs._reservation.tasks
    rig.scheduler.set_worker(worker(sorted(reserved)[-1]), False)
    assert rig.schedule() == []


def test_worker_that_returns_before_the_next_pass_stays_reserved():
    rig = Rig(["w1", "w2"])
    rig.submit(*(spec(f"long{n}", resources=Resources(3000, 1024)) for n in range(2)))
    rig.schedule()
    rig.submit(gang("g1", 4, resources=Resources(2000, 1024)))
    rig.schedule()
    rig.schedule(11.0)
    assert rig.scheduler._placer.reserved_for == "g1"
    rig.scheduler.remove_worker("w1")
    rig.scheduler.set_worker(worker("w1"), True)
    rig.submit(*(spec(f"s{n}", member="small") for n in range(4)))
    assert rig.schedule() == []
    rig.end("long1/0")
    assert rig.schedule() == [f"g1/{n}" for n in range(4)]


def test_small_tasks_of_a_member_do_not_starve_its_gang_by_the_quota():
    rig = Rig(["w1", "w2"])
    rig.scheduler.set_document("e", document(quotas={"m": 4}), 1.0)
    rig.submit(spec("s0"), spec("s1"))
    running = rig.schedule()
    rig.submit(gang("g", 4, kind="plan"))
    for number in range(2, 302):
        rig.submit(spec(f"s{number}"))
        rig.end(running.pop(0))
        running += rig.schedule(1.0)
        if "g/0" in running:
            break
    assert rig.states("g") == ["assigned"] * 4
    assert rig.now < 30.0


def test_reservation_without_progress_does_not_hold_back_others_in_a_busy_shard():
    rig = Rig(["w1", "w2", "w3", "w4"])
    rig.submit(*(spec(f"long{n}", resources=Resources(4000, 4096)) for n in range(3)))
    rig.schedule()
    rig.submit(gang("wide", 8, member="a"))
    rig.schedule()
    rig.schedule(11.0)
    rig.submit(spec("small", member="c"))
    for _ in range(3600):
        rig.schedule(1.0)
    assert rig.states("small") == ["assigned"]


def test_gang_is_not_starved_by_tasks_that_run_for_hours():
    rig = Rig(["w1", "w2", "w3", "w4"])
    rig.submit(*(spec(f"s{n}") for n in range(16)))
    ends = {task_id: 450 * n for n, task_id in enumerate(rig.schedule(), 1)}
    rig.submit(gang("wide", 2, member="a", resources=Resources(4000, 1024)))
    rig.submit(*(spec(f"t{n}") for n in range(400)))
    for now in range(30, 30_000, 30):
        for task_id in [t for t, at in ends.items() if at <= now]:
            del ends[task_id]
            rig.end(task_id)
        ends |= dict.fromkeys(rig.schedule(30.0), now + 7200)
        if "wide/0" in ends:
            break
    assert rig.states("wide") == ["assigned"] * 2


def test_small_job_waits_minutes_beside_idle_workers_reserved_for_a_gang():
    rig = Rig(["w1", "w2", "w3", "w4"])
    rig.submit(spec("long"))
    rig.schedule()
    rig.submit(gang("wide", 16, member="a"))
    longest = 0
    for number in range(200):
        rig.submit(spec(f"s{number}", member="b"))
        waited = 0
        while not rig.schedule(10.0):
            waited += 10
        rig.end(f"s{number}/0", after=50.0)
        longest = max(longest, waited)
    assert 300 < longest <= 600


def test_reservation_that_keeps_nothing_idle_lasts_until_its_tasks_end():
    rig = Rig(["w1", "w2"])
    rig.submit(*(spec(f"s{n}") for n in range(16)))
    running = rig.schedule()
    rig.submit(gang("wide", 8, member="a"))
    for _ in range(45):
        rig.schedule(1.0)
    for task_id in running:
        rig.end(task_id)
    assert rig.schedule() == [f"wide/{n}" for n in range(8)]
