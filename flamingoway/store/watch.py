"""Watch of a key prefix that resumes after failures, and the retry backoff."""

import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from absl import logging

from ..errors import StoreUnavailable
from . import KeyValue, Store, WatchBatch

INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0

Sleep = Callable[[float], Awaitable[None]]


class Backoff:
    """Exponential delays with jitter, in seconds.

    Jitter keeps processes from retrying at the same moments after a common outage.

    Args:
        rng: Source of the jitter.
        initial_s: Upper limit on the first delay.
        max_s: Upper limit on all delays.
    """

    def __init__(
        self,
        rng: random.Random,
        initial_s: float = INITIAL_RETRY_DELAY_S,
        max_s: float = MAX_RETRY_DELAY_S,
    ):
        self._rng = rng
        self._initial_s = initial_s
        self._max_s = max_s
        self._failures = 0

    def reset(self) -> None:
        """Return to the initial delay after a success."""
        self._failures = 0

    def next(self) -> float:
        """Return the delay before the next attempt."""
        # 2.0 ** 1024 would overflow.
        factor = 2.0 ** min(self._failures, 16)
        self._failures += 1
        delay = min(self._max_s, self._initial_s * factor)
        return delay * self._rng.uniform(0.5, 1.0)


class WatchListener(Protocol):
    """Receives the keys under a prefix and their changes."""

    def on_snapshot(self, items: list[KeyValue]) -> None:
        """Replace the whole content, at the start and after a failed watch."""

    def on_change(self, batch: WatchBatch) -> None:
        """Apply the changes of one revision."""

    def on_interrupted(self) -> None:
        """Handle a failed watch: changes go unseen until the next ``on_snapshot``."""


async def watch_prefix(
    store: Store, prefix: str, listener: WatchListener, rng: random.Random, sleep: Sleep
) -> None:
    """Keep ``listener`` up to date with the keys under ``prefix`` until cancelled."""
    backoff = Backoff(rng)
    available = True
    while True:
        try:
            content = await store.range(prefix)
            available = True
            listener.on_snapshot(content.items)
            async for batch in store.watch(prefix, content.revision + 1):
                backoff.reset()
                listener.on_change(batch)
        except StoreUnavailable as exc:
            if available:
                logging.warning("watch of %s interrupted: %s", prefix, exc.message)
        available = False
        listener.on_interrupted()
        await sleep(backoff.next())
