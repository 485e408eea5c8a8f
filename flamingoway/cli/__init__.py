"""Command line of flamingoway.

``serve`` does not import the packages that only the other commands need, so that an
entry process does not hold them in memory.
"""

import sys
import traceback

from ..errors import BadRequest, FlamingowayError
from ..status import Code

SERVE_USAGE = "usage: flamingoway serve --settings FILE"


def run(argv: list[str]) -> int:
    """Run one command and return the process exit code.

    Args:
        argv: Arguments without the program name.
    """
    try:
        return _run(argv)
    except Exception:
        # An internal error has its own exit code, so that scripts can recognize it.
        traceback.print_exc()
        print(f"flamingoway: {Code.INTERNAL.name}", file=sys.stderr)
        return Code.INTERNAL.exit_code


def _run(argv: list[str]) -> int:
    if argv == ["--version"]:
        return _show_version()
    if argv[:1] == ["serve"] and not {"-h", "--help"} & set(argv):
        return _serve(argv[1:])
    from .commands import run_command

    return run_command(argv)


def _show_version() -> int:
    from .. import __version__

    print(f"flamingoway {__version__}")
    return Code.OK.exit_code


def _serve(argv: list[str]) -> int:
    try:
        path = _settings_path(argv)
        from .local import serve

        return serve(settings=path)
    except FlamingowayError as exc:
        print(f"flamingoway: {exc.code.name}: {exc.message}", file=sys.stderr)
        return exc.code.exit_code


def _settings_path(argv: list[str]) -> str:
    if len(argv) == 2 and argv[0] == "--settings":
        return argv[1]
    if len(argv) == 1 and argv[0].startswith("--settings="):
        return argv[0].removeprefix("--settings=")
    found = " ".join(argv) or "nothing"
    raise BadRequest(
        f"serve: found {found!r}; allowed: --settings FILE\n{SERVE_USAGE}",
        Code.USAGE,
        field="settings",
    )
