"""Following the keys of a prefix across broken watches."""

import random
from collections.abc import Awaitable, Callable
from typing import Protocol

from absl import logging

from ..errors import StoreUnavailable
from . import KeyValue, Store, WatchBatch

FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 1.0

Sleep = Callable[[float], Awaitable[None]]


class Backoff:
    """Exponential delays with jitter, in seconds.

    Jitter keeps processes from retrying in step after an outage that hit all.
    """

    def __init__(
        self,
        rng: random.Random,
        first_s: float = FIRST_RETRY_S,
        longest_s: float = LONGEST_RETRY_S,
    ):
        self._rng = rng
        self._first_s = first_s
        self._longest_s = longest_s
        self._failures = 0

    def reset(self) -> None:
        """Start again with the first delay."""
        self._failures = 0

    def next(self) -> float:
        """Return the delay before the next attempt."""
        # The exponent is bounded because 2.0 ** 1024 overflows.
        growth = 2.0 ** min(self._failures, 16)
        self._failures += 1
        delay = min(self._longest_s, self._first_s * growth)
        return delay * self._rng.uniform(0.5, 1.0)


class Listener(Protocol):
    """Receives the content of a prefix and its changes."""

    def replace(self, items: list[KeyValue]) -> None:
        """Take the whole content, read at the start and after a broken watch."""

    def change(self, batch: WatchBatch) -> None:
        """Take the changes of one revision."""

    def interrupted(self) -> None:
        """Note that changes are not seen until the next ``replace``."""


async def follow(
    store: Store, prefix: str, listener: Listener, rng: random.Random, sleep: Sleep
) -> None:
    """Keep ``listener`` up to date with the keys under ``prefix``, without end."""
    backoff = Backoff(rng)
    reading = True
    while True:
        try:
            content = await store.range(prefix)
            reading = True
            listener.replace(content.items)
            async for batch in store.watch(prefix, content.revision + 1):
                backoff.reset()
                listener.change(batch)
        except StoreUnavailable as exc:
            if reading:
                logging.warning("following %s is interrupted: %s", prefix, exc.message)
        reading = False
        listener.interrupted()
        await sleep(backoff.next())
