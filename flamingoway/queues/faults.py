"""Reports of records that are skipped and of errors that are contained.

A record that cannot be used, or an unforeseen error while one record, worker or job is
handled, must not affect the others. Each is logged, with a limit, and counted.
"""

import traceback
from collections.abc import Callable
from contextlib import contextmanager
from typing import TypeVar

from ..errors import BadRequest
from ..store import KeyValue
from .decisions import DecisionLog
from .metrics import QueueMetrics

T = TypeVar("T")

# A record that is rewritten many times a second is logged once in this time.
LOG_INTERVAL_S = 10.0
# Most subjects whose last line is remembered.
MAX_SUBJECTS = 1000
# The last frames of a traceback fit in a line of the log.
MAX_FRAMES = 6
MAX_REASON_CHARS = 500


class FaultReporter:
    """Logs and counts skipped records and contained errors.

    Args:
        log: Decision log.
        metrics: Metrics of the process.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self, log: DecisionLog, metrics: QueueMetrics, clock: Callable[[], float]
    ):
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._logged_at: dict[tuple[str, str], float] = {}
        self._unlogged: dict[tuple[str, str], int] = {}

    def decode(
        self, kind: str, item: KeyValue, decode: Callable[..., T], *args
    ) -> T | None:
        """Return the decoded value of an item, or report it and return ``None``.

        Args:
            kind: Kind of record, for the metric.
            item: The stored item.
            decode: Called with ``args`` and the value; raises ``BadRequest`` if the
                value is not valid.
            *args: Arguments before the value.
        """
        try:
            return decode(*args, item.value)
        except BadRequest as exc:
            self.report_skipped(kind, item.key, exc.message, item.mod_revision)
        except Exception as exc:
            self.report_contained(kind, item.key, exc)
        return None

    def report_skipped(
        self, kind: str, key: str, reason: str, revision: int = 0
    ) -> None:
        """Report a record that is not valid and is not used.

        Args:
            kind: Kind of record, for the metric.
            key: Key of the record in the store, or what identifies it elsewhere.
            reason: What is wrong with it.
            revision: Revision of its last change in the store.
        """
        self._metrics.skipped_records.labels(kind).inc()
        self._write(
            "entry skipped",
            (kind, key),
            kind=kind,
            key=key,
            revision=revision,
            why=reason[:MAX_REASON_CHARS],
        )

    def report_contained(self, kind: str, subject: str, error: Exception) -> None:
        """Report an unforeseen error that was kept to one subject.

        Args:
            kind: What was handled, for the metric.
            subject: What identifies it.
            error: The error.
        """
        self._metrics.contained_errors.labels(kind).inc()
        frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
        self._write(
            "error contained",
            (kind, subject),
            kind=kind,
            subject=subject,
            why=repr(error)[:MAX_REASON_CHARS],
            traceback=[f"{f.filename}:{f.lineno} {f.name}" for f in frames],
        )

    @contextmanager
    def contain(self, kind: str, subject: str):
        """Report an error in the block instead of raising it."""
        try:
            yield
        except Exception as exc:
            self.report_contained(kind, subject, exc)

    def _write(self, event: str, limit_key: tuple[str, str], **fields) -> None:
        now = self._clock()
        last = self._logged_at.get(limit_key, float("-inf"))
        if now - last < LOG_INTERVAL_S:
            self._unlogged[limit_key] = self._unlogged.get(limit_key, 0) + 1
            return
        if len(self._logged_at) >= MAX_SUBJECTS:
            self._logged_at.clear()
            self._unlogged.clear()
        self._logged_at[limit_key] = now
        repeated = self._unlogged.pop(limit_key, 0)
        self._log.write(event, **fields, repeated=repeated)
