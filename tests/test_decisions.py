"""Checks that the decision log writes whole lines, rate-limited, without blocking."""

import json
import os
import shutil
from collections import Counter

import pytest

from flamingoway.build import PACKAGE, build_digest
from flamingoway.queues.decisions import (
    BURST_LINES,
    KEPT_EVENTS,
    MAX_KEPT_LINES,
    RESERVED_LINES,
    DecisionLog,
)

QUEUES = PACKAGE / "queues"
LOGGING_SOURCES = "\n".join(
    path.read_text() for path in QUEUES.glob("*.py") if path.name != "decisions.py"
)


class Clock:
    """Manual clock, in seconds."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def test_a_line_is_one_json_object():
    read, write = os.pipe()
    DecisionLog("n1", write).write("job accepted", job="a1", age_s=0.25)
    line = json.loads(os.read(read, 4096))
    assert (line["process"], line["event"], line["job"]) == ("n1", "job accepted", "a1")


def test_each_line_names_the_build_of_its_process():
    """Guards against a cut record that does not show which code wrote it."""
    read, write = os.pipe()
    DecisionLog("n1", write).write("job accepted", job="a1")
    line = os.read(read, 4096).decode()
    assert f'"build":"{build_digest()}"' in line[:80]
    assert len(build_digest()) == 8


def test_a_changed_source_has_another_build_digest(tmp_path):
    package = tmp_path / "package"
    shutil.copytree(PACKAGE, package, ignore=shutil.ignore_patterns("__pycache__"))
    assert build_digest(package) == build_digest()
    copy = tmp_path / "copy"
    shutil.copytree(package, copy)
    with (copy / "queues" / "intake.py").open("a") as file:
        file.write("\n")
    assert build_digest(copy) != build_digest()


def test_a_stalled_reader_does_not_block_the_writer():
    """Guards against a process that blocks on writing its log."""
    _, write = os.pipe()
    clock = Clock()
    log = DecisionLog("n1", write, clock)
    for _ in range(2000):
        clock.now += 1
        log.write("x", text="y" * 200)
    assert log.dropped > 0


def test_lines_are_rate_limited_and_dropped_ones_are_counted():
    read, write = os.pipe()
    clock = Clock()
    log = DecisionLog("n1", write, clock)
    for _ in range(int(BURST_LINES) + 50):
        log.write("x")
        os.read(read, 100_000) if log.dropped == 0 else None
    assert log.dropped == 50
    clock.now += 1
    log.write("next")
    assert json.loads(os.read(read, 100_000))["dropped_lines"] == 50


def test_a_flood_of_starts_leaves_room_for_other_lines():
    """Guards against a log that tells of thousands of starts and of no cancellation."""
    read, write = os.pipe()
    log = DecisionLog("n1", write, Clock())
    for _ in range(10 * int(BURST_LINES)):
        log.write("starts sent")
        os.read(read, 100_000) if log.dropped == 0 else None
    assert log.dropped == 10 * BURST_LINES - (BURST_LINES - RESERVED_LINES)
    dropped = log.dropped
    for _ in range(int(RESERVED_LINES)):
        log.write("cancellation learned")
        os.read(read, 100_000)
    assert log.dropped == dropped


def test_orders_to_start_a_run_are_written_rather_than_routine_lines():
    """Guards against starts that no line explains on a leader that is always busy."""
    read, write = os.pipe()
    os.set_blocking(read, False)
    clock = Clock()
    log = DecisionLog("n1", write, clock)
    written = Counter()
    for _ in range(1000):
        clock.now += 0.01
        for event in (
            "advice answered",
            "tasks placed",
            "starts answered",
            "job ended",
        ):
            log.write(event)
        log.write("starts sent")
        lines = os.read(read, 100_000).splitlines()
        written.update(json.loads(line)["event"] for line in lines)
    assert written["starts sent"] == written["job ended"] == 1000
    assert log.dropped > 0


def test_a_flood_of_other_lines_leaves_room_for_cancellations():
    """Guards against an acknowledged cancellation of which no line tells."""
    read, write = os.pipe()
    os.set_blocking(read, False)
    log = DecisionLog("n1", write, Clock())
    for _ in range(2 * int(BURST_LINES)):
        log.write("relayed")
        os.read(read, 100_000) if log.dropped == 0 else None
    dropped = log.dropped
    for _ in range(MAX_KEPT_LINES):
        log.write("cancellation answered")
        os.read(read, 100_000)
    assert log.dropped == dropped
    log.write("cancellation answered")
    assert log.dropped == dropped + 1


def test_cancellations_wait_while_the_reader_is_stalled():
    """Guards against a lost cancellation when the collector of the logs is slow."""
    read, write = os.pipe()
    os.set_blocking(read, False)
    clock = Clock()
    log = DecisionLog("n1", write, clock)
    while not log.dropped:
        clock.now += 1
        log.write("x", text="y" * 200)
    # Short lines take the room that is left in the pipe.
    while log.dropped < 10:
        clock.now += 1
        log.write("x")
    for number in range(MAX_KEPT_LINES + 1):
        clock.now += 1
        log.write("cancellation answered", number=number)
    assert log.dropped == 11
    os.read(read, 1_000_000)
    clock.now += 1
    log.write("next")
    lines = [json.loads(line) for line in os.read(read, 1_000_000).splitlines()]
    assert [line["number"] for line in lines[:-1]] == list(range(MAX_KEPT_LINES))
    assert (lines[-1]["event"], lines[-1]["dropped_lines"]) == ("next", 1)
    assert 1 <= lines[0]["dropped_lines"] <= 10


@pytest.mark.parametrize("event", sorted(KEPT_EVENTS))
def test_every_kept_event_exists(event):
    assert f'"{event}"' in LOGGING_SOURCES
