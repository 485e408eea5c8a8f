"""Guards against jobs that wait beside free workers after a flood of gangs."""

import pytest
from flood_world import MAX_IDLE_WAIT_S, FloodSimulation

END_LIMIT_S = 300.0


@pytest.mark.parametrize("seed", [5, 6, 13])
def test_no_job_waits_beside_free_workers_and_all_jobs_end(seed):
    simulation = FloodSimulation(seed)
    simulation.run(END_LIMIT_S)
    waits = simulation.idle_waits
    too_long = {job: wait for job, wait in waits.items() if wait > MAX_IDLE_WAIT_S}
    assert too_long == {}
    assert simulation.unfinished == []
    assert simulation.busiest > 0.8
