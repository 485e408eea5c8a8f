"""The checks of the soak test at site size report each kind of violation."""

import json

import pytest

from tests.site_checks import check

STEPS = [{"count": 2, "checkpointing": True}, {"count": 1, "after": [0]}]
SPEC = json.dumps({"steps": STEPS})
SUBMIT = {"t": 1, "ev": "submit", "job": "a", "path": "/a", "spec": SPEC}
CANCEL = [
    {"t": 20, "ev": "cancel", "job": "a"},
    {"t": 20.1, "ev": "cancelled", "job": "a", "status": 410},
]


def start(t, task="a.0.0.0", run=1, worker="w", spec=SPEC, ckpt=""):
    row = {"t": t, "ev": "start", "w": worker, "task": task, "run": run}
    return row | {"token": 100000, "received": None, "spec": spec, "ckpt": ckpt}


def end(t, task="a.0.0.0", run=1, worker="w", how="done"):
    row = {"t": t, "ev": "end", "w": worker, "task": task, "run": run}
    return row | {"how": how}


def fault(begin, t, on=(), benign=False):
    row = {"t": t, "ev": "fault", "begin": begin, "kind": "x"}
    return row | {"on": on, "benign": benign}


def forms(*rows):
    broken, excused = check([SUBMIT, *rows, {"t": 60, "ev": "config"}])
    return {row["form"] for row in broken}, {row["form"] for row in excused}


@pytest.mark.parametrize(
    "form, rows",
    [
        ("UNASKED unknown job", [start(2, "b.0.0.0"), end(3, "b.0.0.0")]),
        ("UNASKED unknown task", [start(2, "a.0.0.2"), end(3, "a.0.0.2")]),
        ("UNASKED other spec", [start(2, spec="x"), end(3)]),
        ("UNASKED other checkpoint", [start(2, ckpt="a.0.0.1~1~500"), end(3)]),
        ("UNASKED start after cancel", [*CANCEL, start(24.2), end(24.3)]),
        ("UNASKED runs on", [*CANCEL, start(19), end(25)]),
        ("TWICE", [start(2), start(3, run=2, worker="v"), end(4)]),
        ("ORDER", [start(2, "a.0.1.0"), end(3, "a.0.1.0")]),
        ("GANG alone", [start(20), end(24, how="alone")]),
        ("REFUSED", [SUBMIT | {"ev": "submitted", "status": 503}, start(2)]),
    ],
)
def test_each_violation_is_reported(form, rows):
    """Guards against a soak test that can't fail."""
    rows = [row | {"sent": 1} if row.get("status") == 503 else row for row in rows]
    assert form in forms(*rows)[0]


def test_runs_near_a_cancellation_are_no_violation():
    """Guards against reports of runs that end within the bounds."""
    assert forms(*CANCEL, start(23), end(24.4, how="stopped")) == (set(), set())


def test_a_store_fault_excuses_and_a_change_of_routes_does_not():
    """Guards against faults that excuse too little or too much."""
    runs_on = (*CANCEL, start(19), end(25))
    assert forms(*runs_on, fault(21, 22, ["core"]))[1] == {"UNASKED runs on"}
    assert forms(*runs_on, fault(21, 22, benign=True))[0] == {"UNASKED runs on"}


def test_a_run_that_outlives_the_fault_is_reported():
    """Guards against faults that excuse a run without an end."""
    runs_on = (*CANCEL, start(19), end(40))
    assert forms(*runs_on, fault(21, 22, ["core"]))[0] == {"UNASKED runs on"}
