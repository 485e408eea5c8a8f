"""Guards the commands against wrong exit codes and unclear errors."""

import asyncio
import json
import socket
import subprocess
import sys
import threading
from contextlib import contextmanager
from pathlib import Path

import pytest
from tornado.web import RequestHandler

from flamingoway import cli
from flamingoway.document import digest
from flamingoway.output.table import render_table
from tests.admin_server import admin_server
from tests.document_fakes import SETTINGS, make_document

JOB = {
    "job_id": "job-1",
    "kind": "fit-plan",
    "state": "succeeded",
    "accepted_at": 1000.0,
    "tasks": {"job-1/0": "succeeded"},
    "results": {"job-1/0": {"vans": 2}},
}


class JobsHandler(RequestHandler):
    """Answers job requests with fixed values, or closes the connection."""

    def get(self, job=""):
        answer = {"job": JOB} if job else {"jobs": [JOB]}
        self.finish({"code": 1000, "name": "OK", **answer})

    def post(self, job=""):
        body = json.loads(self.request.body)
        if body["kind"] == "cut":
            self.request.connection.stream.close()
            return
        assert body["params"] == {"flat": 3}
        assert self.request.headers["Idempotency-Key"]
        self.finish({"code": 1001, "name": "ACCEPTED", "job_id": "job-1"})

    def delete(self, job=""):
        self.finish({"code": 5001, "name": "JOB_CANCELLED", "message": "cancelled"})


class ForeignHandler(RequestHandler):
    """Answers like an HTTP server that is not flamingoway."""

    def get(self):
        self.finish("<html>")


ROUTES = [
    (r"/v1/trial/jobs(?:/(.*))?", JobsHandler),
    (r"/v1/production/jobs", ForeignHandler),
]


@contextmanager
def running_api():
    """Serve the API in another thread and yield its URL."""
    started, ended = threading.Event(), asyncio.Event()
    found = {}

    async def main():
        async with admin_server(ROUTES) as (url, _store):
            found.update(url=url, loop=asyncio.get_running_loop())
            started.set()
            await ended.wait()

    thread = threading.Thread(target=asyncio.run, args=(main(),))
    thread.start()
    assert started.wait(10)
    try:
        yield found["url"]
    finally:
        found["loop"].call_soon_threadsafe(ended.set)
        thread.join(10)


@pytest.fixture(scope="module")
def url():
    with running_api() as address:
        yield address


@pytest.fixture
def command(monkeypatch, capfd, tmp_path):
    """Return a function that runs a command: exit code, stdout and stderr."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("FLAMINGOWAY_KEY", "key-ana")
    monkeypatch.delenv("FLAMINGOWAY_SERVER", raising=False)
    Path("first.yaml").write_bytes(make_document(1.0))
    Path("second.yaml").write_bytes(make_document(2.0, "vannes"))
    Path("broken.yaml").write_bytes(b"application: planner\nmembers:\n  - nam: a\n")
    Path("binary.yaml").write_bytes(b"\xff\xfe\x00")
    Path("node.yaml").write_bytes(SETTINGS)

    def run(*argv):
        exit_code = cli.run(list(argv))
        out, err = capfd.readouterr()
        return exit_code, out, err

    return run


def test_document_commands_from_trial_to_rollback(command):
    """Guards the operator's workflow: validate, try, diff, promote, roll back."""
    with running_api() as url:

        def env(*argv, expected=0):
            exit_code, out, err = command("env", *argv, "--server", url)
            assert exit_code == expected, err
            return out or err

        assert "valid" in env("validate", "trial", "first.yaml")
        env("try", "trial", "first.yaml", "--seen", "0")
        changes = env("diff", "trial", "--file", "second.yaml")
        assert "+ members.vannes" in changes
        env("try", "trial", "second.yaml", "--seen", "1")
        late = env("try", "trial", "first.yaml", "--seen", "1", expected=12)
        assert "VERSION_CONFLICT" in late
        assert "+ members.vannes" in late
        digests = [digest(make_document(2.0, "vannes")), digest(make_document(1.0))]
        for seen, name in enumerate(digests):
            arguments = ("--source", "trial", "--digest", name, "--seen", str(seen))
            assert f"version {seen + 1}" in env("promote", "production", *arguments)
        assert env("show", "production", "--document").encode() == make_document(1.0)
        assert "operator:" in env("show", "production", "--version", "1")
        assert env("history", "production").count("trial") == 2
        assert "- members.vannes" in env("diff", "production")


@pytest.mark.parametrize(
    ("argv", "expected", "shown"),
    [
        ('job submit trial fit-plan --params {"flat":3}', 0, "job job-1"),
        ("job show trial job-1", 0, '{"vans":2}'),
        ("job list trial", 0, "fit-plan"),
        ("job cancel trial job-1", 13, "JOB_CANCELLED"),
        ("job submit trial cut", 11, "--idempotency-key"),
        ("job submit trial fit-plan --params {flat", 12, "not JSON"),
        ("job submit trial fit-plan --params @none.json", 12, "none.json"),
        ("job list production", 11, "ANSWER_INVALID"),
        ("status", 0, "entry-3"),
        ("status --json", 0, '"lowest"'),
        ("explain trial job-1", 0, "quota is used up"),
        ("explain trial job-2", 12, "NOT_FOUND"),
        ("env show trial --key other", 12, "UNAUTHENTICATED"),
        ("env show nowhere", 12, "allowed: trial, production"),
        ("env validate trial broken.yaml", 12, "broken.yaml:3: members[0].nam"),
        ("env validate trial broken.yaml --json", 12, '"line": 3'),
        ("env validate trial none.yaml", 12, "cannot be read"),
        ("env try trial first.yaml", 12, "--seen"),
        ("env try trial first.yaml --seen x", 12, "'x'"),
        ("env diff production", 12, "no document yet"),
        ("env diff trial --file binary.yaml", 12, "BAD_DOCUMENT: binary.yaml:1"),
        ("env retry", 12, "validate"),
        ("status --server ftp://x", 12, "--server"),
        ("", 0, "examples:"),
        ("env promote --help", 0, "flamingoway env promote"),
    ],
)
def test_command_exit_code_and_output(command, url, argv, expected, shown):
    """Guards against exit codes that scripts cannot rely on."""
    arguments = argv.split()
    if "--server" not in arguments and arguments:
        arguments += ["--server", url]
    exit_code, out, err = command(*arguments)
    assert exit_code == expected
    assert shown in out + err
    assert "Traceback" not in err


@pytest.mark.parametrize(
    ("argv", "expected", "shown"),
    [
        ("--version", 0, "flamingoway 0."),
        ("settings check node.yaml", 0, "entry-1"),
        ("settings check broken.yaml", 12, "broken.yaml:1: application"),
        ("settings check none.yaml", 12, "none.yaml"),
        ("status", 12, "FLAMINGOWAY_SERVER"),
        ("serve", 12, "--settings FILE"),
        ("serve --settings none.yaml", 12, "none.yaml"),
        ("serve --settings broken.yaml", 12, "broken.yaml:1"),
        ("serve --help", 0, "--settings"),
    ],
)
def test_commands_without_a_server(command, argv, expected, shown):
    """Guards against tracebacks for usage errors and invalid files."""
    exit_code, out, err = command(*argv.split())
    assert exit_code == expected
    assert shown in out + err


def test_refused_connection_is_reported_as_not_run(command):
    """Guards against reporting "outcome unknown" when no request was sent."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        url = f"http://127.0.0.1:{unused.getsockname()[1]}"
        exit_code, _out, err = command("env", "show", "trial", "--server", url)
    assert exit_code == 10
    assert "cannot connect" in err


def test_internal_error_has_its_own_exit_code(command, monkeypatch):
    """Guards against an internal error that scripts take for a refused request."""
    monkeypatch.setattr("flamingoway.cli.local.load_settings", lambda path: 1 / 0)
    exit_code, _out, err = command("serve", "--settings", "node.yaml")
    assert exit_code == 17
    assert "ZeroDivisionError" in err


def test_serve_imports_no_command_line_packages():
    """Guards against memory used by packages that only the other commands need."""
    code = (
        "import sys\n"
        "from flamingoway.cli import run\n"
        "run(['serve', '--settings', '/none'])\n"
        "names = ('defopt', 'docutils', 'tornado.simple_httpclient')\n"
        "print([name for name in names if name in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"


def test_table_keeps_one_line_a_row():
    """Guards against line breaks in values that look like additional rows."""
    text = render_table(("name", "n"), [("a\nb", 10), (None, 5)])
    assert text.splitlines() == ["name   n", "a b   10", "-      5"]
