"""Copies of store prefixes in memory, kept current by watching."""

import asyncio
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ..errors import StoreUnavailable
from ..store import ChangeSet, KeyValue, RevisionCompacted, Store, WatchEvent
from ..store.watch import Backoff
from .decisions import DecisionLog
from .faults import FaultReporter

# A watch waits at most this long, so that a dead connection is noticed within a
# fraction of the 2 s in which a new configuration must be in force.
WATCH_WAIT_S = 0.8
# Delay after the first failed call; it grows up to ``LONGEST_RETRY_S``.
FIRST_RETRY_S = 0.05
# Least time between two watch calls. The store charges for each call; changes within
# this time share one.
CONFIG_READ_INTERVAL_S = 0.12
# For the registry of the workers, which only the leader follows.
WORKER_READ_INTERVAL_S = 0.12
# The number of waiting jobs may be 2 s old. Callers learn of an end from the process
# that accepted their job, which the leader notifies.
FOLLOWER_READ_INTERVAL_S = 0.5
# Shorter, because a job that was not announced starts only after it is read.
LEADER_READ_INTERVAL_S = 0.1
# Least time between two reads if a caller's question needs a current copy.
REFRESH_INTERVAL_S = 0.12
# A fifth of the 2 s in which a new configuration must be in force.
LONGEST_RETRY_S = 0.4
# A watch may miss changes for about a second and report a revision beyond them. A
# reported revision counts as included only after this time without a change. The
# platform's store keeps the changes of 20 s.
GAP_S = 5.0


class Listener(Protocol):
    """Receives the content of a prefix and the changes to it."""

    def replace(self, items: list[KeyValue], revision: int) -> None:
        """Replace all content with that of a revision."""

    def apply_changes(self, events: list[WatchEvent]) -> None:
        """Apply changes, given in the order in which they were made."""


class Mirror:
    """Keeps a listener up to date with the keys under a prefix.

    Args:
        store: The store.
        prefix: Beginning of the keys.
        listener: Receives content and changes.
        clock: Monotonic clock in seconds.
        log: Decision log.
        faults: Reports unforeseen errors.
        rng: Source of the jitter of retries.
        read_interval_s: Least time between two reads of changes.
        heartbeat_key: Key that changes while all is well. After a read without a change
            of this key, the next one follows after ``REFRESH_INTERVAL_S``, so that a
            lost leader is noticed soon.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        listener: Listener,
        clock: Callable[[], float],
        log: DecisionLog,
        faults: FaultReporter,
        rng: random.Random,
        read_interval_s: float = FOLLOWER_READ_INTERVAL_S,
        heartbeat_key: str = "",
    ):
        self._read_interval_s = read_interval_s
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._clock = clock
        self._log = log
        self._faults = faults
        self._revision = 0
        # Revisions reported without changes, with the times of these answers.
        self._reported: deque[tuple[float, int]] = deque()
        self._confirmed_at = float("-inf")
        self._synced = asyncio.Event()
        self._complete = False
        self._reachable = True
        # Time and revision at which the store was lost.
        self._lost_at = float("-inf")
        self._lost_revision = 0
        self._changed_at = float("-inf")
        self._heartbeat_key = heartbeat_key
        self._heartbeat_seen = False
        self._watching = False
        self._wanted = asyncio.Event()
        self._refreshed = asyncio.Event()
        self._backoff = Backoff(rng, FIRST_RETRY_S, LONGEST_RETRY_S)

    @property
    def revision(self) -> int:
        """Store revision up to which the copy is certain to be complete."""
        return self._revision

    @property
    def age_s(self) -> float:
        """Seconds since the call was sent that last confirmed the copy.

        The time of the answer does not count, as the process may have been paused
        before it read the answer.
        """
        return self._clock() - self._confirmed_at

    @property
    def since_change_s(self) -> float:
        """Seconds since the last change."""
        return self._clock() - self._changed_at

    async def wait_synced(self) -> None:
        """Wait until the content has been read once."""
        await self._synced.wait()

    async def catch_up(self) -> None:
        """Read the current content from the store.

        A watch may stall or lag behind; a range read is always current.

        Raises:
            StoreUnavailable: The store does not answer.
        """
        await self._read()

    def read_every(self, interval_s: float) -> None:
        """Set the least time between two reads of changes, and read at once."""
        self._read_interval_s = interval_s
        self._wanted.set()

    async def refresh(self, timeout_s: float) -> None:
        """Bring the copy up to date; callers that ask together share a read.

        Args:
            timeout_s: Time after which to give up waiting.
        """
        if self._watching:
            # The store answers this call as soon as there is a change.
            return
        self._wanted.set()
        try:
            async with asyncio.timeout(timeout_s):
                await self._refreshed.wait()
        except TimeoutError:
            return

    async def run(self) -> None:
        """Watch the prefix until cancelled."""
        while True:
            try:
                began = self._clock()
                await self._follow_once(0.0 if self._wanted.is_set() else WATCH_WAIT_S)
                self._backoff.reset()
                self._wanted.clear()
                self._refreshed.set()
                self._refreshed.clear()
                await self._pause(began)
            except StoreUnavailable as exc:
                # A watch that was cut may have reported a revision without its changes,
                # so all is read again.
                self._complete = False
                self._on_failure(exc)
                await asyncio.sleep(self._backoff.next())
            except Exception as exc:
                # Following must not end; a new read may get past the error.
                self._complete = False
                self._faults.report_contained("mirror", self._prefix, exc)
                await asyncio.sleep(self._backoff.next())

    async def _pause(self, began: float) -> None:
        """Wait until the next read is due or wanted.

        Args:
            began: Time at which the last read began.
        """
        least_s = min(self._read_interval_s, REFRESH_INTERVAL_S)
        await asyncio.sleep(began + least_s - self._clock())
        left_s = began + self._read_interval_s - self._clock()
        if left_s <= 0 or (self._heartbeat_key and not self._heartbeat_seen):
            return
        try:
            async with asyncio.timeout(left_s):
                await self._wanted.wait()
        except TimeoutError:
            return

    async def _follow_once(self, wait_s: float) -> None:
        if not self._complete:
            await self._read()
            return
        began, after = self._clock(), self._revision
        self._heartbeat_seen = False
        self._watching = wait_s > 0
        try:
            changes = await self._store.changes(self._prefix, after, wait_s)
        except RevisionCompacted:
            self._log.write("history lost", prefix=self._prefix, revision=after)
            await self._read()
            return
        finally:
            self._watching = False
        self._note_reachable()
        if self._revision != after:
            # ``catch_up`` has advanced the copy meanwhile. These changes may be older
            # than its content, so they neither count nor confirm it.
            return
        if changes.events:
            self._apply(changes)
        else:
            self._note_reported(changes.revision, began)
        self._confirmed_at = max(self._confirmed_at, began)

    def _apply(self, changes: ChangeSet) -> None:
        known = changes.last_change > self._revision
        self._revision = changes.last_change if known else changes.revision
        self._reported.clear()
        self._changed_at = self._clock()
        self._heartbeat_seen = any(
            event.key == self._heartbeat_key for event in changes.events
        )
        self._listener.apply_changes(_latest(changes.events))

    def _note_reported(self, revision: int, began: float) -> None:
        """Advance to the revisions reported ``GAP_S`` before the call was sent.

        Args:
            revision: Revision that the answer reported without changes.
            began: Time at which the call was sent.
        """
        while self._reported and began - self._reported[0][0] >= GAP_S:
            self._revision = max(self._revision, self._reported.popleft()[1])
        self._reported.append((self._clock(), revision))

    async def _read(self) -> None:
        began = self._clock()
        content = await self._store.range(self._prefix)
        if content.revision < self._revision:
            return
        self._revision = content.revision
        self._reported.clear()
        self._listener.replace(content.items, content.revision)
        self._changed_at = self._clock()
        self._complete = True
        self._synced.set()
        # Watches that were answered meanwhile confirmed the former content.
        self._confirmed_at = began
        self._note_reachable()

    def _note_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            self._log.write(
                "store reachable again",
                prefix=self._prefix,
                away_s=round(self._clock() - self._lost_at, 3),
                revision_before=self._lost_revision,
                revision=self._revision,
            )

    def _on_failure(self, exc: StoreUnavailable) -> None:
        if self._reachable:
            self._reachable = False
            self._lost_at, self._lost_revision = self._clock(), self._revision
            self._log.write(
                "store unreachable",
                prefix=self._prefix,
                revision=self._revision,
                why=exc.message,
            )


def _latest(events: list[WatchEvent]) -> list[WatchEvent]:
    """Return the last change of each key, and all deletions, in their order.

    A key that was deleted and written again stands for something new.
    """
    latest: list[WatchEvent] = []
    seen: set[str] = set()
    for event in reversed(events):
        if event.item is None or event.key not in seen:
            latest.append(event)
        seen.add(event.key)
    return latest[::-1]
