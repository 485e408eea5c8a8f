"""Entry point of ``python -m flamingoway`` and of the installed command."""

import sys


def main() -> int:
    """Run the command line and return the process exit code."""
    from .cli import run

    return run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
