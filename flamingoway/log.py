"""Log output: one JSON object a line on standard error, through absl.logging.

Modules log with ``absl.logging`` and pass structured fields in ``extra``::

    logging.warning("job refused", extra={"job_id": job_id, "code": code})
"""

import logging as standard
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from typing import Any, TextIO

import msgspec
from absl import logging

from .errors import FlamingowayError
from .settings import Settings

# Attributes of a record that are written as fields of the line.
FIELDS = ("trace_id", "member", "job_id", "code", "span")
# Log collectors truncate lines at 16 KiB; a line must stay below that.
MAX_MESSAGE_CHARS = 8192
MAX_TRACEBACK_CHARS = 4096

LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


class JsonFormatter(standard.Formatter):
    """Formats a record as one JSON object without line breaks.

    Args:
        process: Id of the entry process, a field of each line.
    """

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: standard.LogRecord) -> str:
        """Return the JSON line for a record."""
        line: dict[str, Any] = {
            "time": _format_time(record.created),
            "level": record.levelname.lower(),
            "message": _format_message(record),
            "process": self._process,
        }
        for name in FIELDS:
            value = getattr(record, name, None)
            if value not in (None, ""):
                line[name] = value
        self._add_error(line, record)
        return msgspec.json.encode(line, enc_hook=str).decode()

    def _add_error(self, line: dict[str, Any], record: standard.LogRecord) -> None:
        if not record.exc_info or record.exc_info[1] is None:
            return
        error = record.exc_info[1]
        if isinstance(error, FlamingowayError):
            line.setdefault("code", int(error.code))
        text = self.formatException(record.exc_info)
        # The end of the traceback is kept, because it names the error.
        line["error"] = text[-MAX_TRACEBACK_CHARS:]


@contextmanager
def log_output(
    process: str, level: str = "info", stream: TextIO | None = None
) -> Iterator[None]:
    """Write log records as JSON lines until the block ends.

    Args:
        process: Id of the entry process.
        level: ``debug``, ``info``, ``warning`` or ``error``.
        stream: Output stream; standard error if ``None``.
    """
    root = standard.getLogger()
    previous = logging.get_verbosity(), root.level, root.handlers[:]
    _install_handler(process, level, stream or sys.stderr)
    try:
        yield
    finally:
        verbosity, root_level, handlers = previous
        logging.set_verbosity(verbosity)
        root.setLevel(root_level)
        root.handlers[:] = handlers


def configure(settings: Settings) -> None:
    """Write log records as JSON lines to standard error until the process ends."""
    _install_handler(settings.process_id, settings.log.level, sys.stderr)


def _install_handler(process: str, level: str, stream: TextIO) -> None:
    handler = standard.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(process))
    root = standard.getLogger()
    root.handlers[:] = [handler]
    # Libraries log through the root logger; only their warnings and errors are useful.
    root.setLevel(standard.WARNING)
    logging.set_verbosity(LEVELS[level])


def _format_time(created: float) -> str:
    moment = datetime.fromtimestamp(created, UTC)
    return moment.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _format_message(record: standard.LogRecord) -> str:
    try:
        text = record.getMessage()
    except (TypeError, ValueError):
        # A record with a wrong format string must not be lost.
        text = f"{record.msg} {record.args}"
    return text[:MAX_MESSAGE_CHARS]
