"""Idempotency keys of checks: owners and outcomes of keys.

A key is a UUIDv7, whose time stamp tells when it was issued. The key's owner is
found by rendezvous hashing over the live processes and keeps the outcome for
``RETENTION_S``. A key that may have been run by an earlier owner, or whose outcome
was dropped, is answered "outcome unknown" and never run again.
"""

import hashlib
import heapq
import uuid
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..errors import BadRequest, OutcomeUnknown
from ..status import Code

RETENTION_S = 600.0
# Longest time by which a stamp may be ahead of the owner's clock.
MAX_SKEW_S = 5.0
# Longest time for which a process may still use the former set of live processes
# after a change: end of the session lease (4 s) and delay of the watch.
MAX_VIEW_LAG_S = 5.0
# Keys stamped within this time after a change of owner may have been run by the former
# one; skew of the caller's clock adds to the lag.
OWNERSHIP_MARGIN_S = MAX_SKEW_S + MAX_VIEW_LAG_S
MAX_ENTRIES = 100_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Key:
    """A valid key.

    Attributes:
        text: Canonical form, so that two spellings are the same key.
        stamp: When it was issued, in seconds since the epoch.
    """

    text: str
    stamp: float


def parse_key(text: str) -> Key:
    """Parse an idempotency key.

    Raises:
        BadRequest: ``BAD_KEY`` if it is not a UUIDv7.
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        raise BadRequest("the key is not a UUID", Code.BAD_KEY) from None
    if value.version != 7:
        raise BadRequest("the key is not a UUIDv7", Code.BAD_KEY)
    return Key(str(value), (value.int >> 80) / 1000)


def check_skew(key: Key, wall: float) -> None:
    """Refuse a key whose stamp is more than ``MAX_SKEW_S`` in the future.

    Raises:
        BadRequest: ``BAD_KEY``.
    """
    if key.stamp > wall + MAX_SKEW_S:
        ahead = key.stamp - wall
        raise BadRequest(f"the key's time stamp is {ahead:.0f} s ahead", Code.BAD_KEY)


def owner_of(key: str, processes: Iterable[str]) -> str | None:
    """Return the process that owns a key, or ``None`` without processes."""
    return max(processes, key=lambda name: _weight(key, name), default=None)


def _weight(key: str, process: str) -> bytes:
    data = f"{key}\0{process}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


class OwnerHistory:
    """The sets of live processes that one process has observed, with their times.

    Args:
        process_id: Id of this process.
    """

    def __init__(self, process_id: str):
        self._process_id = process_id
        self._observed: list[tuple[float, frozenset[str]]] = []

    @property
    def processes(self) -> frozenset[str]:
        """The newest set."""
        return self._observed[-1][1] if self._observed else frozenset()

    def observe(self, processes: Iterable[str], wall: float) -> None:
        """Record the live processes at ``wall``, in seconds since the epoch."""
        seen = frozenset(processes)
        if not self._observed or self._observed[-1][1] != seen:
            self._observed.append((wall, seen))
        oldest = wall - RETENTION_S - OWNERSHIP_MARGIN_S
        while len(self._observed) > 1 and self._observed[1][0] < oldest:
            del self._observed[0]

    def owned_since(self, key: str, successor: str = "") -> float | None:
        """Return since when this process has owned a key without interruption.

        Args:
            key: The key.
            successor: If given, the newest sets in which it owns the key are ignored.

        Returns:
            Seconds since the epoch; ``None`` if it is not the owner.
        """
        since = None
        for time, processes in reversed(self._observed):
            owner = owner_of(key, processes)
            if since is None and successor and owner == successor:
                continue
            if owner != self._process_id:
                break
            since = time
        return since

    def others_until(self, key: str, successor: str, wall: float) -> float | None:
        """Return until when a third process owned a key.

        Args:
            key: The key.
            successor: A process that owns the key besides this one.
            wall: Now, in seconds since the epoch.

        Returns:
            Seconds since the epoch; ``None`` if no third process was seen to own it.
        """
        until = wall
        for time, processes in reversed(self._observed):
            if owner_of(key, processes) not in (None, self._process_id, successor):
                return until
            until = time
        return None

    def others_live_until(self, wall: float) -> float | None:
        """Return until when another process was live.

        Args:
            wall: Now, in seconds since the epoch.

        Returns:
            Seconds since the epoch; ``None`` if no other process was seen.
        """
        until = wall
        for time, processes in reversed(self._observed):
            if processes - {self._process_id}:
                return until
            until = time
        return None

    def previous_owner(self, key: str) -> str | None:
        """Return the owner before this process, as far as it knows.

        Without an earlier set it is the process that would own the key if this
        one had not started.
        """
        for _, processes in reversed(self._observed):
            owner = owner_of(key, processes)
            if owner not in (None, self._process_id):
                return owner
        return self.next_owner(key)

    def next_owner(self, key: str) -> str | None:
        """Return the process that would own the key if this one were not live."""
        return owner_of(key, self.processes - {self._process_id})


@dataclass(slots=True, eq=False)
class KeyEntry:
    """State of one key.

    Attributes:
        digest: Digest of kind and body.
        outcome: Final outcome; ``None`` while it runs or after it was dropped.
        dropped: Whether the outcome is no longer stored.
        fenced_for: Incarnation of the process that may run the key instead.
        context: Data of the caller, on which duplicate requests wait.
    """

    scope: tuple[str, ...]
    digest: bytes
    stamp: float
    outcome: object = None
    size: int = 0
    finished: bool = False
    dropped: bool = False
    fenced_for: str = ""
    context: object = None


@dataclass(slots=True)
class KeyTable:
    """Keys of recent checks in one process.

    Memory is bounded: beyond ``max_entries`` the keys with the oldest stamps are
    dropped, and beyond ``max_bytes`` the oldest answers. A dropped key raises the
    watermark: no unknown key is run whose stamp is not later.
    """

    max_entries: int = MAX_ENTRIES
    max_bytes: int = MAX_ANSWER_BYTES
    _entries: dict[tuple[str, ...], KeyEntry] = field(default_factory=dict)
    _by_stamp: list[tuple[float, int, KeyEntry]] = field(default_factory=list)
    _answers: deque[KeyEntry] = field(default_factory=deque)
    _bytes: int = 0
    _sequence: int = 0
    _watermark: float = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def watermark(self) -> float:
        """Stamp up to which unknown keys are not run."""
        return self._watermark

    def begin(
        self, scope: tuple[str, ...], digest: bytes, stamp: float, wall: float
    ) -> tuple[KeyEntry, bool]:
        """Return the entry of a key and whether it is new.

        Args:
            scope: Environment, member and key.
            digest: Digest of kind and body.
            stamp: Stamp of the key, in seconds since the epoch.
            wall: Now, in seconds since the epoch.

        Raises:
            BadRequest: ``KEY_REUSED`` if the digest differs.
            OutcomeUnknown: ``KEY_AMBIGUOUS`` if its outcome is no longer known.
        """
        self.expire(wall)
        entry = self._entries.get(scope)
        if entry is None:
            if stamp <= self._watermark:
                raise OutcomeUnknown("the key is too old", Code.KEY_AMBIGUOUS)
            return self._add(scope, digest, stamp), True
        if entry.dropped:
            raise OutcomeUnknown(
                "the outcome of the key is no longer stored", Code.KEY_AMBIGUOUS
            )
        if entry.digest != digest:
            raise BadRequest("the key was used with another body", Code.KEY_REUSED)
        return entry, False

    def finish(self, entry: KeyEntry, outcome: object, size: int) -> None:
        """Keep the outcome of a check that ran or may have run."""
        entry.finished = True
        if entry.dropped:
            return
        entry.outcome = outcome
        entry.size = size
        self._bytes += size
        self._answers.append(entry)
        while self._bytes > self.max_bytes:
            self._drop_answer(self._answers.popleft())

    def forget(self, entry: KeyEntry) -> None:
        """Remove a key whose check did not run; it may be run later."""
        if self._entries.get(entry.scope) is entry:
            del self._entries[entry.scope]

    def fence(
        self, scope: tuple[str, ...], stamp: float, wall: float, new_owner: str
    ) -> KeyEntry:
        """Return the entry of a key; mark an unknown one so that it is never run here.

        Args:
            scope: Environment, member and key.
            stamp: Stamp of the key, in seconds since the epoch.
            wall: Now, in seconds since the epoch.
            new_owner: Incarnation of the process that may run the key if it is
                unknown here.
        """
        self.expire(wall)
        entry = self._entries.get(scope)
        if entry is None:
            entry = self._add(scope, b"", stamp)
            entry.finished = entry.dropped = True
            entry.fenced_for = new_owner if stamp > self._watermark else ""
        return entry

    def expire(self, wall: float) -> None:
        """Drop the keys past the retention time and those above ``max_entries``."""
        self._watermark = max(self._watermark, wall - RETENTION_S)
        while self._by_stamp and (
            self._by_stamp[0][0] < self._watermark or len(self) > self.max_entries
        ):
            stamp, _, entry = heapq.heappop(self._by_stamp)
            self._watermark = max(self._watermark, stamp)
            self.forget(entry)
            self._drop_answer(entry)
        while self._answers and self._answers[0].dropped:
            self._answers.popleft()

    def _add(self, scope: tuple[str, ...], digest: bytes, stamp: float) -> KeyEntry:
        entry = KeyEntry(scope, digest, stamp)
        self._entries[scope] = entry
        self._sequence += 1
        heapq.heappush(self._by_stamp, (stamp, self._sequence, entry))
        if len(self._by_stamp) > 2 * self.max_entries:
            self._rebuild()
        return entry

    def _rebuild(self) -> None:
        """Remove the heap items of forgotten keys."""
        self._by_stamp = [
            item
            for item in self._by_stamp
            if self._entries.get(item[2].scope) is item[2]
        ]
        heapq.heapify(self._by_stamp)

    def _drop_answer(self, entry: KeyEntry) -> None:
        if entry.dropped:
            return
        entry.dropped = True
        entry.outcome = None
        self._bytes -= entry.size
