"""Checks that the decision log writes whole lines, rate-limited, without blocking."""

import json
import os
import shutil

from flamingoway.build import PACKAGE, build_digest
from flamingoway.queues.decisions import BURST_LINES, RESERVED_LINES, DecisionLog


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
