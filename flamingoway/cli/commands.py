"""Parses and runs the commands for operators and members, using defopt."""

import argparse
import os
import sys
from collections.abc import Callable

import defopt

from ..errors import FlamingowayError
from ..output.views import as_json
from ..status import Code
from .cell import CellCommands
from .env import EnvironmentCommands
from .job import JobCommands
from .local import check_settings, serve
from .logs import excerpt_logs
from .result import Result
from .session import Session

EPILOG = """\
options of every command:
  --server URL  base URL of any entry process; FLAMINGOWAY_SERVER by default
  --key KEY     key of an operator or, for job commands, of a member;
                FLAMINGOWAY_KEY by default
  --json        write the full response, or the error, as JSON
  --version     show the version

examples:
  flamingoway settings check node.yaml
  flamingoway logs excerpt /var/log/flamingoway --job 19e77f529a0006c5
  flamingoway env show kerbihan-trial
  flamingoway env try kerbihan-trial planner.yaml --seen 3
  flamingoway env promote kerbihan-production --source kerbihan-trial \\
    --digest 3f7a... --seen 2
  flamingoway job submit kerbihan-production fit-plan --params @plan.json
  flamingoway status

exit codes: 0 success, 10 refused and not run, 11 outcome unknown, 12 caller error,
13 ended without success, 17 internal error; see docs/codes.md.
"""


def run_command(argv: list[str]) -> int:
    """Run one command and return the process exit code."""
    options, rest = _split_options(argv)
    session = Session(options.server, options.key)
    try:
        result = defopt.run(
            _commands(session),
            argv=rest or ["--help"],
            short={},
            no_negated_flags=True,
            argparse_kwargs={"prog": "flamingoway", "epilog": EPILOG},
        )
    except SystemExit as exc:
        # argparse exits with 2 on every usage error.
        return Code.USAGE.exit_code if exc.code else 0
    except FlamingowayError as exc:
        return _show_error(exc, options.json)
    except BrokenPipeError:
        # The reader of the output, such as head, closed the pipe.
        return 0
    if isinstance(result, int):
        return result
    return _show(result, options.json)


def _split_options(argv: list[str]) -> tuple[argparse.Namespace, list[str]]:
    parser = argparse.ArgumentParser(add_help=False, allow_abbrev=False)
    parser.add_argument("--server", default=os.environ.get("FLAMINGOWAY_SERVER", ""))
    parser.add_argument("--key", default=os.environ.get("FLAMINGOWAY_KEY", ""))
    parser.add_argument("--json", action="store_true")
    return parser.parse_known_args(argv)


def _commands(session: Session) -> dict[str, Callable | dict[str, Callable]]:
    env, job = EnvironmentCommands(session), JobCommands(session)
    cell = CellCommands(session)
    return {
        "serve": serve,
        "settings": {"check": check_settings},
        "logs": {"excerpt": excerpt_logs},
        "env": {
            "validate": env.validate,
            "try": env.try_,
            "promote": env.promote,
            "show": env.show,
            "history": env.history,
            "diff": env.diff,
        },
        "job": {
            "submit": job.submit,
            "show": job.show,
            "list": job.list,
            "cancel": job.cancel,
        },
        "status": cell.status,
        "explain": cell.explain,
    }


def _show(result: Result, json: bool) -> int:
    if json:
        print(as_json(result.answer))
    elif result.raw is not None:
        sys.stdout.buffer.write(result.raw)
        sys.stdout.flush()
    else:
        print(result.view(result.answer))
    return Code(result.answer.get("code", Code.OK)).exit_code


def _show_error(error: FlamingowayError, json: bool) -> int:
    code = Code(error.code)
    if json:
        answer = {
            "code": int(code),
            "name": code.name,
            "message": error.message,
            "ran": code.ran,
            "details": error.details,
        }
        print(as_json(answer))
    else:
        print(f"flamingoway: {code.name}: {error.message}", file=sys.stderr)
        for line in error.details.get("changed") or []:
            print(f"  {line}", file=sys.stderr)
        trace_id = error.details.get("trace_id")
        if trace_id:
            print(f"  trace {trace_id}", file=sys.stderr)
    return code.exit_code
