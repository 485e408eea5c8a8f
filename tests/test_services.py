"""Guards services against missing, surplus and badly spread replicas."""

from collections import Counter

import pytest
from scheduling import Rig, document, worker

from flamingoway.core.effects import StopTask
from flamingoway.core.ledger import Ledger
from flamingoway.core.scheduler import Scheduler

WORKERS = [worker(f"w{n}", zone=f"z{n // 4}", rack=f"r{n // 2}") for n in range(8)]


def rig_with(replicas, ledger=None):
    rig = Rig(WORKERS, ledger)
    rig.scheduler.set_document("e", document(services=[("viewer", replicas)]), 1.0)
    return rig


def service(rig):
    return next(j for j in rig.ledger.jobs.values() if not j.state.final)


def test_replicas_are_spread_over_zones_racks_and_workers():
    rig = rig_with(4)
    assert len(rig.schedule()) == 4
    used = Counter(task.worker_id for task in service(rig).tasks)
    racks = Counter(int(worker_id[1:]) // 2 for worker_id in used)
    assert sorted(racks.items()) == [(0, 1), (1, 1), (2, 1), (3, 1)]


def test_lost_replica_is_replaced():
    rig = rig_with(3)
    rig.schedule()
    lost = service(rig).tasks[0].worker_id
    rig.scheduler.remove_worker(lost)
    assert len(rig.schedule()) == 1
    assert len({task.worker_id for task in service(rig).tasks}) == 3


@pytest.mark.parametrize("outcome", ["succeeded", "failed"])
def test_replica_that_ends_is_started_again_after_a_backoff(outcome):
    rig = rig_with(1)
    rig.schedule()
    for _ in range(12):
        rig.end(service(rig).tasks[0].task_id, outcome)
        assert rig.schedule() == []
        assert len(rig.schedule(400.0)) == 1


def test_service_scales_with_the_number_of_replicas():
    rig = rig_with(2)
    rig.schedule()
    rig.scheduler.set_document("e", document(services=[("viewer", 4)]), 1.0)
    assert len(rig.schedule()) == 2
    rig.scheduler.set_document("e", document(services=[("viewer", 1)]), 1.0)
    rig.scheduler.schedule(rig.now, rig.now)
    assert len(rig.effects(StopTask)) == 3
    for task in service(rig).tasks[1:]:
        rig.end(task.task_id, "stopped")
    assert rig.states(service(rig).spec.job_id) == ["assigned"] + ["cancelled"] * 3


def test_service_removed_from_the_document_can_return_with_the_same_id():
    rig = rig_with(2)
    rig.schedule()
    job_id = service(rig).spec.job_id
    rig.scheduler.set_document("e", document(), 1.0)
    rig.schedule()
    assert rig.scheduler.view(job_id).state == "cancelled"
    rig.scheduler.set_document("e", document(services=[("viewer", 2)]), 1.0)
    assert rig.schedule() == []
    for task in rig.scheduler.view(job_id).tasks:
        rig.end(task.task_id, "stopped")
    assert len(rig.schedule(1.0)) == 2
    assert service(rig).spec.job_id == job_id


def test_changed_service_is_replaced_once_its_successor_runs():
    rig = rig_with(2)
    rig.schedule()
    old = service(rig).spec.job_id
    changed = document(services=[("viewer", 2)])
    changed.services[0].params["colour"] = "pink"
    rig.scheduler.set_document("e", changed, 1.0)
    assert len(rig.schedule()) == 2
    assert rig.scheduler.view(old).state == "running"
    rig.schedule(1.0)
    assert rig.scheduler.view(old).state == "cancelled"


def test_new_owner_does_not_start_a_service_twice():
    rig = rig_with(3)
    rig.schedule()
    restored = rig_with(3, Ledger.restore(rig.ledger.snapshot()))
    assert isinstance(restored.scheduler, Scheduler)
    assert restored.schedule() == []
    assert len(restored.ledger.jobs) == 1


@pytest.mark.parametrize(("share", "replicas"), [(0.5, 2), (0.25, 1), (1 / 3, 2)])
def test_shares_of_all_shards_cover_the_replicas(share, replicas):
    rig = Rig(WORKERS)
    rig.scheduler.set_document("e", document(services=[("viewer", 4)]), share)
    assert len(rig.schedule()) == replicas
