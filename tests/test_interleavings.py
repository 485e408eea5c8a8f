"""Guards the invariants against any order of events, faults and restarts."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from scheduling_world import STEPS, World

EXAMPLES = 150
SEEDS = 60
STEPS_PER_SEED = 120

moves = st.tuples(st.sampled_from(STEPS), st.integers(0, 419))


def run(steps) -> World:
    world = World(seed=1)
    for step, pick in steps:
        step(world, pick)
        world.check()
    world.settle()
    return world


@settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(moves, min_size=20, max_size=80))
def test_invariants_hold_after_every_step(steps):
    run(steps)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_invariants_hold_in_long_runs(seed):
    rng = random.Random(seed)
    run([(rng.choice(STEPS), rng.randrange(420)) for _ in range(STEPS_PER_SEED)])
