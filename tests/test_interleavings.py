"""Guards the scheduler's invariants under random events, faults and restarts."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from scheduling_world import STEPS, ShardSimulation

EXAMPLE_COUNT = 150
SEED_COUNT = 60
STEPS_PER_SEED = 120

random_steps = st.tuples(st.sampled_from(STEPS), st.integers(0, 419))


def run(steps) -> ShardSimulation:
    simulation = ShardSimulation(seed=1)
    for step, pick in steps:
        step(simulation, pick)
        simulation.check()
    simulation.run_to_completion()
    return simulation


@settings(
    max_examples=EXAMPLE_COUNT,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(random_steps, min_size=20, max_size=80))
def test_invariants_hold_after_every_step(steps):
    run(steps)


@pytest.mark.parametrize("seed", range(SEED_COUNT))
def test_invariants_hold_in_long_runs(seed):
    rng = random.Random(seed)
    run([(rng.choice(STEPS), rng.randrange(420)) for _ in range(STEPS_PER_SEED)])
