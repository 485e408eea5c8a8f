"""Clock for deterministic tests of asyncio tasks."""

import asyncio
import heapq
import itertools

# Upper bound on the event loop turns that tasks take between two sleeps.
SETTLE_ROUNDS = 50


class FakeClock:
    """Clock whose time changes only by :meth:`advance`.

    Calling it returns seconds; pass :meth:`sleep` in place of ``asyncio.sleep``.
    """

    def __init__(self, now: float = 1000.0):
        self._now = now
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future]] = []

    def __call__(self) -> float:
        """Return the current time in seconds."""
        return self._now

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has advanced by ``seconds``."""
        future = asyncio.get_running_loop().create_future()
        wake_at = self._now + max(0.0, seconds)
        heapq.heappush(self._sleepers, (wake_at, next(self._order), future))
        await future

    async def advance(self, seconds: float) -> None:
        """Advance the clock; wake sleepers in order of time and let tasks run."""
        end = self._now + seconds
        await self.settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            wake_at, _, future = heapq.heappop(self._sleepers)
            self._now = max(self._now, wake_at)
            if not future.done():
                future.set_result(None)
                await self.settle()
        self._now = end
        await self.settle()

    async def settle(self) -> None:
        """Let all tasks run until they block."""
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)
