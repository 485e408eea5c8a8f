"""Guards the ledger against contradictory records and lossy snapshots."""

import pytest
from scheduling import CAPACITY, Rig, spec

from flamingoway.core.ledger import Ledger
from flamingoway.core.snapshot import MAX_PART_BYTES, LedgerError
from flamingoway.records import Group as LogGroup
from flamingoway.records import (
    JobAccepted,
    JobRemoved,
    TaskAssigned,
    TaskEnded,
    decode_group,
    encode_group,
)


def ledger_with(*records):
    ledger = Ledger()
    ledger.set_capacity("w1", CAPACITY)
    ledger.apply_all([JobAccepted(spec(tasks=6), 0.0), *records])
    return ledger


FOUR_PLACED = [TaskAssigned(f"j1/{n}", 1, "w1") for n in range(4)]

CONTRADICTIONS = {
    "job accepted twice": ([], JobAccepted(spec(), 0.0)),
    "worker over capacity": (FOUR_PLACED, TaskAssigned("j1/4", 1, "w1")),
    "task placed twice": (FOUR_PLACED, TaskAssigned("j1/0", 2, "w1")),
    "attempt skipped": ([], TaskAssigned("j1/0", 2, "w1")),
    "end of an old attempt": (FOUR_PLACED, TaskEnded("j1/0", 7, "failed")),
    "end of a queued task": ([], TaskEnded("j1/0", 0, "failed")),
    "running job removed": (FOUR_PLACED, JobRemoved("j1")),
}


@pytest.mark.parametrize("case", CONTRADICTIONS.values(), ids=CONTRADICTIONS.keys())
def test_contradictory_records_change_nothing(case):
    earlier, record = case
    ledger = ledger_with(*earlier)
    state = ledger.snapshot()
    with pytest.raises(LedgerError):
        ledger.apply(record)
    assert ledger.snapshot() == state


def test_large_snapshot_is_split_and_restored():
    ledger = ledger_with(*FOUR_PLACED)
    for n in range(4):
        ledger.apply(TaskEnded(f"j1/{n}", 1, "succeeded", bytes(300_000)))
    parts = ledger.snapshot()
    assert len(parts) > 2
    assert max(map(len, parts)) <= MAX_PART_BYTES
    assert Ledger.restore(parts).snapshot() == parts


@pytest.mark.parametrize("parts", [[], [b"\xc1"], [b"\x92\x63\x90"]])
def test_unreadable_snapshot_is_an_error(parts):
    with pytest.raises(LedgerError):
        Ledger.restore(parts)


def test_replayed_log_gives_the_same_state_as_the_scheduler():
    rig = Rig(["w1", "w2"])
    rig.submit(spec("a", tasks=6), spec("b", tasks=3))
    rig.scheduler.schedule(0.0, 0.0)
    rig.end("a/0", "failed")
    rig.end("a/1", "checkpointed", b"state")
    rig.end("b/0", "succeeded", b"1")
    rig.scheduler.cancel("a", "e", "m", None, 1.0, 1.0)
    group = LogGroup("id", 1, rig.scheduler.take_batch().records)
    replayed = Ledger()
    replayed.apply_all(decode_group(encode_group(group)).records)
    assert replayed.snapshot() == rig.ledger.snapshot()
    assert replayed.used_on("w1") == rig.ledger.used_on("w1")
