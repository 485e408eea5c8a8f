"""An event loop in virtual time; simulated hours take seconds."""

import asyncio
import heapq


class VirtualLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer whenever no callback is ready."""

    def __init__(self):
        super().__init__()
        self._now = 1000.0

    def time(self):
        return self._now

    def _run_once(self):
        # A cancelled timer in front would make the loop wait for the next one in real
        # time.
        while self._scheduled and self._scheduled[0]._cancelled:
            self._timer_cancelled_count -= 1
            heapq.heappop(self._scheduled)._scheduled = False
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0]._when)
        super()._run_once()


def run_virtual(main):
    """Run a coroutine function in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())
