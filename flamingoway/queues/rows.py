"""Log lines with one row for each of many starts, stops, ends or jobs."""

import asyncio
import functools
import hashlib
from collections.abc import Sequence

from .decisions import DecisionLog

# Rows in one line. A row has up to 370 bytes, and a longer line would be cut.
MAX_ROWS = 10
# Checkpoints are cut to this length in the log.
MAX_CHECKPOINT_CHARS = 36
# Payloads whose digests are kept, for the tasks of a job that start after each other.
MAX_KEPT_DIGESTS = 256


@functools.lru_cache(maxsize=MAX_KEPT_DIGESTS)
def payload_digest(payload: str) -> str:
    """Return a short digest, by which lines of the log can be compared."""
    data = payload.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=6).hexdigest()


def write_rows(log: DecisionLog, event: str, rows: Sequence[dict], **shared) -> None:
    """Write lines with up to ``MAX_ROWS`` rows each.

    Args:
        log: Decision log.
        event: What was decided or observed, in the past tense.
        rows: Fields of each row.
        **shared: Fields that all rows have in common.
    """
    for first in range(0, len(rows), MAX_ROWS):
        log.write(event, **shared, rows=rows[first : first + MAX_ROWS])


class RowLog:
    """Collects rows that are observed shortly after each other and writes them.

    Args:
        log: Decision log.
        event: What was decided or observed, in the past tense.
        delay_s: Time after the first row at which the line is written; 0 for the next
            iteration of the event loop.
    """

    def __init__(self, log: DecisionLog, event: str, delay_s: float = 0.0):
        self._log = log
        self._event = event
        self._delay_s = delay_s
        self._rows: list[dict] = []
        self._shared: dict = {}
        self._timer: asyncio.Handle | None = None

    def add(self, row: dict, **shared) -> None:
        """Add a row; it shares a line with those that have the same shared fields."""
        if shared != self._shared:
            self.flush()
            self._shared = shared
        self._rows.append(row)
        if len(self._rows) >= MAX_ROWS:
            self.flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            if self._delay_s:
                self._timer = loop.call_later(self._delay_s, self._on_timer)
            else:
                self._timer = loop.call_soon(self._on_timer)

    def flush(self) -> None:
        """Write the collected rows."""
        if self._rows:
            rows, self._rows = self._rows, []
            self._log.write(self._event, **self._shared, rows=rows)

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
