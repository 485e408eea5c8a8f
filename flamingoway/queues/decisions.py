"""Decision log: JSON lines on standard output, bounded and never blocking."""

import os
import sys
import time
from collections import deque
from collections.abc import Callable

import msgspec

from ..build import build_digest

# A caller's request takes about three lines, and a process handles up to 100 requests
# per second.
MAX_LINES_PER_S = 400.0
BURST_LINES = 1200.0
# The frequent events, which come with each start or run, leave this many lines of the
# burst to the others: leadership, cancellations, stops and ends.
RESERVED_LINES = 600.0
FREQUENT_EVENTS = frozenset({"start sent late", "starts sent"})
# Those that no start depends on leave some of theirs to the orders to start a run.
ROUTINE_RESERVED_LINES = 900.0
ROUTINE_EVENTS = frozenset(
    {
        "advice answered",
        "jobs taken over",
        "runs adopted",
        "starts answered",
        "tasks placed",
    }
)
_RESERVED = dict.fromkeys(FREQUENT_EVENTS, RESERVED_LINES)
_RESERVED |= dict.fromkeys(ROUTINE_EVENTS, ROUTINE_RESERVED_LINES)
# These tell which process relied on which copy of the store. They may exceed the burst
# by some lines, and wait in memory while the reader takes none.
KEPT_EVENTS = frozenset(
    {
        "cancellation answered",
        "cancellation learned",
        "cancelled job learned",
        "cancelled job started",
        "cancelled job stored",
        "leader changed",
        "leadership taken",
    }
)
MAX_KEPT_LINES = 200
MAX_LINE_BYTES = 4096
_ENCODER = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Writes one line for each decision or observed state change.

    Lines beyond the rate limit, and lines that would block because the reader of the
    output is slow, are dropped and counted; the next line written gives their number.
    Up to ``MAX_KEPT_LINES`` of ``KEPT_EVENTS`` are written all the same, once the
    reader goes on.

    Args:
        process: Name of the process, included in each line.
        descriptor: File descriptor; standard output by default.
        clock: Monotonic clock in seconds.
        build: Digest of the code, included in each line; by default of this package.
    """

    def __init__(
        self,
        process: str,
        descriptor: int | None = None,
        clock: Callable[[], float] = time.monotonic,
        build: str = "",
    ):
        self.dropped = 0
        self._process = process
        self._build = build or build_digest()
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock()
        self._unreported = 0
        self._waiting: deque[bytes] = deque()
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields) -> None:
        """Write one line, or drop it if that would block or exceed the rate limit.

        Args:
            event: What was decided or observed, in the past tense.
            **fields: The request's id, the inputs with their age, and the outcome.
        """
        kept = event in KEPT_EVENTS
        if not self._take_token(-MAX_KEPT_LINES if kept else _RESERVED.get(event, 0.0)):
            self._count_dropped()
            return
        line = {
            "at": round(time.time(), 3),
            "process": self._process,
            "build": self._build,
            "event": event,
        }
        line.update(fields)
        if self._unreported:
            line["dropped_lines"] = self._unreported
        data = _ENCODER.encode(line)[: MAX_LINE_BYTES - 1] + b"\n"
        if self._write_waiting() and self._try_write(data):
            self._unreported = 0
        elif kept and len(self._waiting) < MAX_KEPT_LINES:
            self._waiting.append(data)
            self._unreported = 0
        else:
            self._count_dropped()

    def _write_waiting(self) -> bool:
        """Write the lines that wait; return whether none is left."""
        while self._waiting and self._try_write(self._waiting[0]):
            self._waiting.popleft()
        return not self._waiting

    def _try_write(self, data: bytes) -> bool:
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader is slow or gone; logging must not block or end the process.
            return False
        return True

    def _count_dropped(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _take_token(self, reserved: float) -> bool:
        now = self._clock()
        refill = (now - self._refilled_at) * MAX_LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 + reserved:
            return False
        self._tokens -= 1
        return True
