"""Tests the calculations of the capacity benchmark without starting processes."""

import os

import pytest

from benchmarks import page
from benchmarks.design_size import AVERAGE, Model
from benchmarks.fits import fit_line
from benchmarks.procfs import memory, processor_seconds
from benchmarks.slopes import fits_of
from benchmarks.streams import framed, message_sizes


def test_fit_recovers_a_line_and_reports_scatter():
    """Guards against swapped slope and intercept."""
    exact = fit_line([0, 10, 20], [5, 25, 45])
    assert (exact.intercept, exact.slope, exact.r2) == pytest.approx((5, 2, 1))
    assert exact.at(100) == pytest.approx(205)
    assert fit_line([0, 10, 20, 30], [0, 9, 1, 8]).r2 < 0.5


@pytest.mark.parametrize(
    ("size", "expected"), [(0, 14 + 104), (1434, 1448 + 104), (1435, 1449 + 208)]
)
def test_framing_counts_a_segment_and_its_acknowledgement(size, expected):
    """Guards against counting a message of several TCP segments as one segment."""
    assert framed(size) == expected


def test_message_sizes_grow_with_tasks():
    """Guards against measuring empty messages, for example refused starts."""
    sizes = message_sizes()
    assert sizes["report_per_task"] > 2 * 34  # the task id, running and in usage
    assert sizes["command_per_renewal"] > 34
    assert sizes["command_start"] > sizes["command_ack"]


def test_own_process_is_measured():
    """Guards against reading the wrong fields of /proc."""
    before = processor_seconds(os.getpid())
    while processor_seconds(os.getpid()) < before + 0.05:
        sum(range(10_000))
    found = memory(os.getpid())
    assert 0 < found.private <= found.rss


def _series(slope: float) -> list[dict]:
    return [
        {
            "x": x,
            "cpu_ms_per_s": 10 + slope * x,
            "rss_kib": 50_000 + x,
            "store_writes_per_s": x,
            "finished_jobs": x,
            "sent_in_all": x,
        }
        for x in (0, 10, 20)
    ]


def _results() -> dict:
    names = ("idle", "running", "starts", "queued", "checks", "keyed_checks")
    series = {name: _series(2.0) for name in names}
    for role in ("administration", "follower", "owner"):
        points = []
        for members in (30, 100, 290):
            point = {"x": members, "rss_kib": 50_000 + 10 * members}
            quiet = point | {"cpu_ms_per_s": 10.0, "changes_per_s": 0}
            busy = point | {"cpu_ms_per_s": 10.0 + members, "changes_per_s": 2.0}
            points += [quiet, busy]
        series[f"document_{role}"] = points
    return {"fits": fits_of(series), "streams": message_sizes(), "series": series}


def test_change_cost_subtracts_the_quiet_process():
    """Guards against counting the idle load as a cost of document changes."""
    model = Model(_results())
    assert model.change_ms("follower", 100) == pytest.approx(50)


def test_model_adds_parts_of_a_load():
    """Guards against omitting a part of the load from the sum."""
    parts = Model(_results()).cpu(AVERAGE)
    assert parts["base"] == pytest.approx(10)
    assert parts["workers"] == pytest.approx(2 * 20)  # bounded by the largest point
    assert parts["jobs"] == pytest.approx(2 * 55 / 7)


def test_page_without_marks_is_refused(tmp_path):
    """Guards against overwriting a page that has no marks for the results."""
    path = tmp_path / "page.md"
    path.write_text("text")
    with pytest.raises(ValueError, match="marks"):
        page.write({}, path)
    assert path.read_text() == "text"
