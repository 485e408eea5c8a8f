"""Guards accepted jobs that can no longer run against waiting without an end."""

from scheduling import Rig, document, spec, worker

from flamingoway.model import Policy, Resources
from flamingoway.status import Code


def test_all_jobs_of_a_lane_that_fit_no_worker_end_after_one_grace_period():
    rig = Rig([worker("big", Resources(8000, 8192)), "w1"])
    rig.submit(*(spec(f"j{n}", resources=Resources(8000, 1024)) for n in range(3)))
    rig.scheduler.remove_worker("big")
    rig.schedule(10.0)
    rig.schedule(1000.0)
    codes = [rig.scheduler.view(f"j{n}").code for n in range(3)]
    assert codes == [Code.JOB_IMPOSSIBLE] * 3


def test_gang_whose_remaining_tasks_fit_is_not_ended_as_impossible():
    rig = Rig(["w1", "w2"])
    rig.submit(spec("g", policy=Policy.GANG, tasks=5))
    rig.schedule()
    for index in range(2):
        rig.end(f"g/{index}")
    rig.scheduler.remove_worker("w2")
    for index in range(2, 5):
        if rig.ledger.tasks[f"g/{index}"].state.placed:
            rig.end(f"g/{index}", "stopped")
    rig.submit(spec("s", urgent=True, tasks=4))
    rig.schedule(10.0)
    rig.schedule(1000.0)
    assert rig.states("g")[:2] == ["succeeded"] * 2
    assert rig.scheduler.view("g").code == 0
    for index in range(4):
        rig.end(f"s/{index}")
    assert rig.schedule() == ["g/2", "g/3", "g/4"]


def test_job_for_which_services_leave_no_room_ends_after_the_grace_period():
    rig = Rig(["w1", "w2"])
    rig.scheduler.set_document("e", document(services=[("viewer", 2)]), 1.0)
    rig.schedule()
    rig.submit(spec("g", policy=Policy.GANG, tasks=8), spec("j", tasks=6))
    rig.schedule(10.0)
    rig.schedule(880.0)
    assert rig.scheduler.view("g").code == 0
    rig.schedule(100.0)
    job = rig.scheduler.view("g")
    assert job.code == Code.JOB_IMPOSSIBLE
    assert "services" in job.reason
    assert rig.scheduler.view("j").code == 0


def test_job_that_exceeds_a_lowered_quota_ends_after_the_grace_period():
    rig = Rig()
    rig.scheduler.set_document("e", document(quotas={"m": 4}), 0.5)
    rig.submit(spec("small"))
    rig.schedule()
    rig.submit(spec("large", resources=Resources(4000, 1024)))
    rig.schedule(60.0)
    rig.scheduler.set_document("e", document(quotas={"m": 3}), 0.5)
    rig.schedule(1.0)
    rig.schedule(890.0)
    assert rig.scheduler.view("large").code == 0
    rig.schedule(20.0)
    assert rig.scheduler.view("large").code == Code.JOB_IMPOSSIBLE
