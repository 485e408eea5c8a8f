"""Guards urgent tasks against waiting for resumable tasks of other jobs."""

import pytest
from scheduling import Rig, document, spec, worker

from flamingoway.core.effects import StartTask, StopTask
from flamingoway.model import Policy, Resources

WORKER_CAPACITY = Resources(4000, 8192)


def full_rig(**changes):
    """Return a rig whose only worker is full when an urgent task arrives.

    Args:
        changes: Changes to the eight jobs that compete for the worker; by default they
            belong to another member.
    """
    rig = Rig([worker("w1", WORKER_CAPACITY)])
    quotas = {"other": 100, "m": 2}
    rig.scheduler.set_document("e", document(quotas=quotas), 1.0)
    rig.submit(*(spec(f"f{n}", **({"member": "other"} | changes)) for n in range(8)))
    rig.schedule()
    rig.submit(spec("u0", urgent=True))
    rig.scheduler.schedule(rig.now, rig.now)
    return rig


def test_urgent_task_replaces_a_task_that_was_checkpointed():
    rig = full_rig(resumable=True)
    stops = rig.effects(StopTask)
    assert [stop.checkpoint for stop in stops] == [True]
    assert rig.schedule(1.0) == []
    rig.end(stops[0].task_id, "checkpointed", b"state")
    assert rig.schedule() == ["u0/0"]
    rig.end("u0/0")
    rig.scheduler.schedule(rig.now, rig.now)
    resumed = rig.effects(StartTask)
    assert (resumed[0].task_id, resumed[0].checkpoint) == (stops[0].task_id, b"state")


@pytest.mark.parametrize(
    "changes",
    [
        {"resumable": False},
        {"resumable": True, "urgent": True},
        {"resumable": True, "policy": Policy.GANG, "tasks": 2},
    ],
)
def test_non_resumable_urgent_and_gang_tasks_are_not_preempted(changes):
    rig = full_rig(**changes)
    assert rig.effects(StopTask) == []


def test_preemption_stays_within_the_quota_and_stops_no_more_than_needed():
    rig = full_rig(resumable=True)
    rig.submit(*(spec(f"u{n}", urgent=True) for n in range(1, 6)))
    for _ in range(5):
        rig.scheduler.schedule(rig.now, rig.now)
    assert len(rig.effects(StopTask)) == 2


def test_freed_resources_go_to_the_next_urgent_task():
    rig = full_rig(resumable=True)
    victim = rig.effects(StopTask)[0].task_id
    rig.scheduler.cancel("u0", "e", "m", None, rig.now, rig.now)
    rig.submit(spec("u9", urgent=True))
    rig.end(victim, "checkpointed")
    assert rig.schedule() == ["u9/0"]


def test_freed_resources_go_to_other_work_if_the_urgent_task_is_cancelled():
    rig = full_rig(resumable=True)
    victim = rig.effects(StopTask)[0].task_id
    rig.scheduler.cancel("u0", "e", "m", None, rig.now, rig.now)
    rig.end(victim, "checkpointed")
    assert len(rig.schedule()) == 1


def test_urgent_task_claims_another_worker_when_the_claimed_one_leaves():
    rig = Rig([worker("w1", WORKER_CAPACITY), worker("w2", WORKER_CAPACITY)])
    rig.submit(*(spec(f"f{n}", member="other", resumable=True) for n in range(8)))
    rig.schedule()
    rig.submit(spec("u0", urgent=True))
    rig.scheduler.schedule(rig.now, rig.now)
    (first,) = rig.effects(StopTask)
    claimed = worker(first.worker_id, WORKER_CAPACITY)
    rig.scheduler.set_worker(claimed, False)
    rig.scheduler.schedule(1.0, 1.0)
    (second,) = rig.effects(StopTask)
    assert second.worker_id != first.worker_id


@pytest.mark.parametrize("second_preemptible", [True, False])
def test_retried_urgent_task_does_not_preempt_again_and_again(second_preemptible):
    rig = Rig(["w1"])
    rig.submit(spec("u0", urgent=True))
    rig.schedule()
    assert rig.end("u0/0", "failed") == "w1"
    rig.scheduler.set_worker(worker("w2"), True)
    rig.submit(*(spec(f"f{n}", member="other", resumable=True) for n in range(4)))
    rig.schedule()
    rest = {"member": "other", "resumable": second_preemptible}
    rig.submit(*(spec(f"g{n}", **rest) for n in range(20)))
    rig.schedule()
    stopped = []
    for _ in range(60):
        rig.now += 1.0
        rig.scheduler.schedule(rig.now, rig.now)
        for stop in rig.effects(StopTask):
            stopped.append(stop.worker_id)
            rig.end(stop.task_id, "checkpointed")
    assert rig.states("u0") == ["assigned"]
    assert len(stopped) == 1


def test_urgent_task_does_not_wait_forever_for_a_task_that_does_not_stop():
    rig = Rig(["w1", "w2"])
    rig.submit(*(spec(f"f{n}", member="other", resumable=True) for n in range(8)))
    rig.schedule()
    rig.submit(spec("u0", urgent=True))
    rig.scheduler.schedule(rig.now, rig.now)
    (first,) = rig.effects(StopTask)
    for _ in range(31):
        rig.now += 1.0
        rig.scheduler.schedule(rig.now, rig.now)
    (second,) = rig.effects(StopTask)
    assert second.task_id != first.task_id
    rig.end(second.task_id, "checkpointed")
    assert "u0/0" in rig.schedule()
