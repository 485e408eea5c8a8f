"""Decision log: JSON lines on standard output, bounded and never blocking."""

import os
import sys
import time
from collections.abc import Callable

import msgspec

# Lines a second that a process writes at most; a caller's request takes about
# three lines, and one process handles up to a hundred requests a second.
MAX_LINES_PER_S = 400.0
BURST_LINES = 1200.0
MAX_LINE_BYTES = 4096
_ENCODER = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Writes one line for each decision or change of belief.

    Lines beyond the rate, and lines that the reader of the output does not take in
    time, are dropped and counted; the next line that is written tells their number.

    Args:
        process: Name of the process, a field of each line.
        descriptor: File descriptor; standard output by default.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        process: str,
        descriptor: int | None = None,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.dropped = 0
        self._process = process
        self._descriptor = sys.stdout.fileno() if descriptor is None else descriptor
        self._clock = clock
        self._allowance = BURST_LINES
        self._refilled_at = clock()
        self._unreported = 0
        os.set_blocking(self._descriptor, False)

    def write(self, event: str, **fields) -> None:
        """Write one line.

        Args:
            event: What was decided or found, in the past tense.
            **fields: The request's id, the inputs with their age, the outcome.
        """
        if not self._admit():
            self._drop()
            return
        line = {"at": round(time.time(), 3), "process": self._process, "event": event}
        line.update(fields)
        if self._unreported:
            line["dropped_lines"] = self._unreported
        data = _ENCODER.encode(line)[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader is slow or gone; a log line must not stop the process.
            self._drop()
            return
        self._unreported = 0

    def _drop(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _admit(self) -> bool:
        now = self._clock()
        gained = (now - self._refilled_at) * MAX_LINES_PER_S
        self._allowance = min(BURST_LINES, self._allowance + gained)
        self._refilled_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True
