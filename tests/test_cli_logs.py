"""Checks of the excerpts of decision logs that the command line shows."""

import json

import pytest

from flamingoway import cli
from flamingoway.cli.logs import NOTABLE_EVENTS
from tests.test_operations_page import SOURCES

JOB = "19e77f529a0006c5"


def line(process, event, at=1796556944.212, **fields):
    head = {"at": at, "process": process, "event": event}
    return json.dumps(head | fields, separators=(",", ":")) + "\n"


@pytest.fixture
def folder(tmp_path):
    """A folder with the logs of three processes, one of which knows nothing."""
    lines = [line("n1", "store unreachable", prefix=p, why="x" * 300) for p in "abcde"]
    lines += [line("n1", "job accepted", job="00"), line("n1", "relayed", job=JOB)]
    (tmp_path / "n1.log").write_text("".join(lines))
    (tmp_path / "n0.log").write_text(line("n0", "tasks placed", step=f"{JOB}.0.0"))
    (tmp_path / "n2.log").write_text(line("n2", "job accepted", job="00") + "Traceback")
    return tmp_path


def excerpt(capfd, *argv):
    exit_code = cli.run(["logs", "excerpt", *argv])
    out, err = capfd.readouterr()
    return exit_code, out or err


def test_an_excerpt_has_the_lines_that_name_the_job_first(folder, capfd):
    exit_code, text = excerpt(capfd, str(folder), "--job", JOB, "--json")
    assert exit_code == 0
    processes = json.loads(text)["processes"]
    assert list(processes) == ["n0", "n1"]
    events = [json.loads(processes["n1"][0])["event"]]
    events += [row.split('"')[9] for row in processes["n1"][1:]]
    assert events == ["relayed"] + ["store unreachable"] * 4


def test_the_lines_of_an_excerpt_are_cut(folder, capfd):
    argv = [str(folder), "--job", JOB, "--lines", "3", "--width", "90"]
    _, text = excerpt(capfd, *argv)
    rows = [row for row in text.splitlines() if row.startswith("{")]
    assert len(rows) == 4
    assert max(len(row) for row in rows) == 90
    assert "== Log of n1 " in text


def test_an_excerpt_has_no_warnings_from_long_before(folder, capfd):
    """Guards against old warnings in place of those around the job."""
    (folder / "n3.log").write_text(line("n3", "leader resigned", at=1796556900.0))
    _, text = excerpt(capfd, str(folder), "--job", JOB)
    assert "n3" not in text
    _, text = excerpt(capfd, str(folder), "--job", JOB, "--span", "60")
    assert "n3" in text


def test_an_excerpt_of_no_folder_is_refused(folder, capfd):
    exit_code, text = excerpt(capfd, str(folder / "none"), "--job", JOB)
    assert exit_code == 12
    assert "none" in text


@pytest.mark.parametrize("event", sorted(NOTABLE_EVENTS))
def test_every_event_that_an_excerpt_looks_for_exists(event):
    assert f'"{event}"' in SOURCES
