"""Reads files named on the command line."""

import sys

from ..errors import BadRequest
from ..status import Code


def read_file(path: str, field: str) -> bytes:
    """Return the content of a file; ``-`` is standard input.

    Raises:
        BadRequest: With ``USAGE`` if the file cannot be read.
    """
    if path == "-":
        return sys.stdin.buffer.read()
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as exc:
        raise BadRequest(
            f"{field}: found {path!r}, which cannot be read ({exc.strerror}); "
            "allowed: a readable file, or - for standard input",
            Code.USAGE,
            field=field,
        ) from None
