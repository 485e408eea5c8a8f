"""Guards accepted jobs that can no longer run against waiting without an end."""

from scheduling import Rig, spec, worker

from flamingoway.model import Resources
from flamingoway.status import Code


def test_all_jobs_of_a_lane_that_fit_no_worker_end_after_one_grace_period():
    rig = Rig([worker("big", Resources(8000, 8192)), "w1"])
    rig.submit(*(spec(f"j{n}", resources=Resources(8000, 1024)) for n in range(3)))
    rig.scheduler.remove_worker("big")
    rig.schedule(10.0)
    rig.schedule(1000.0)
    codes = [rig.scheduler.view(f"j{n}").code for n in range(3)]
    assert codes == [Code.JOB_IMPOSSIBLE] * 3
