"""In-memory key-value engine with revisions, transactions, leases and watches.

Follows the published semantics of the etcd v3 API for the subset in
``proto/etcd.proto``. The engine performs no I/O and reads time only from the
clock that is passed in.
"""

import bisect
import operator
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1024 * 1024
HISTORY_REVISIONS = 20_000
OPEN_END = b"\0"

RELATIONS = {
    "equal": operator.eq,
    "greater": operator.gt,
    "less": operator.lt,
    "not_equal": operator.ne,
}


class InvalidRequest(Exception):
    """The request is malformed or too large; nothing was changed."""


class LeaseNotFound(Exception):
    """The lease does not exist or has expired; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One key; ``version`` counts the writes since it was created."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Condition:
    """A comparison that a transaction depends on.

    Attributes:
        target: ``version``, ``create_revision``, ``mod_revision``, ``value`` or
            ``lease``. For an absent key the numbers are 0, and a condition on
            ``value`` is false.
        relation: A key of ``RELATIONS``.
    """

    key: bytes
    target: str
    expected: int | bytes
    relation: str = "equal"


@dataclass(frozen=True, slots=True)
class PutOp:
    """Set a key."""

    key: bytes
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class DeleteOp:
    """Delete one key, or ``key`` up to ``end`` exclusive."""

    key: bytes
    end: bytes = b""


@dataclass(frozen=True, slots=True)
class RangeOp:
    """Read one key, or ``key`` up to ``end`` exclusive; ``limit`` 0: all."""

    key: bytes
    end: bytes = b""
    limit: int = 0


Op = PutOp | DeleteOp | RangeOp


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Entries of a range; ``count`` includes those beyond the limit."""

    entries: list[Entry]
    count: int


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Result of a transaction.

    Attributes:
        results: One per operation: ``RangeResult``, number of deleted keys, or
            ``None`` for a put.
    """

    succeeded: bool
    revision: int
    results: list[RangeResult | int | None]


@dataclass(frozen=True, slots=True)
class Change:
    """A change of one key; ``entry`` is ``None`` for a deletion."""

    key: bytes
    entry: Entry | None


@dataclass(frozen=True, slots=True)
class Changes:
    """All changes of one revision."""

    revision: int
    changes: list[Change]


@dataclass(slots=True)
class _Lease:
    ttl: int
    deadline: float
    keys: set[bytes] = field(default_factory=set)


@dataclass(eq=False, slots=True)
class Watcher:
    """A registered watch; ``notify`` is called with each matching revision."""

    key: bytes
    end: bytes
    notify: Callable[[Changes], None]


class Compacted(Exception):
    """The requested revisions have been compacted.

    Args:
        revision: Oldest revision from which a watch can start.
    """

    def __init__(self, revision: int):
        super().__init__(f"history before revision {revision} is compacted")
        self.revision = revision


class Engine:
    """The key space with its leases and watches.

    Args:
        clock: Monotonic clock in seconds.
        history: Number of revisions kept for watches.
    """

    def __init__(self, clock: Callable[[], float], history: int = HISTORY_REVISIONS):
        self._clock = clock
        self._entries: dict[bytes, Entry] = {}
        self._keys: list[bytes] = []
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._revision = 1
        self._history: deque[Changes] = deque()
        self._history_limit = history
        self._first_kept = 1
        self._watchers: set[Watcher] = set()

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    @property
    def lease_ids(self) -> list[int]:
        """Ids of the leases that have not expired."""
        self.expire()
        return list(self._leases)

    def range(self, op: RangeOp) -> RangeResult:
        """Read keys in key order."""
        self.expire()
        return self._range(op)

    def txn(
        self, conditions: list[Condition], success: list[Op], failure: list[Op]
    ) -> TxnResult:
        """Apply ``success`` if all conditions hold, else ``failure``.

        Raises:
            InvalidRequest: If a value is too large or a key is put twice.
            LeaseNotFound: If a put names a lease that does not exist.
        """
        self.expire()
        succeeded = all(self._is_met(condition) for condition in conditions)
        operations = success if succeeded else failure
        self._validate(operations)
        changes: dict[bytes, Change] = {}
        results = [self._apply(op, changes) for op in operations]
        self._commit(changes)
        return TxnResult(succeeded, self._revision, results)

    def grant(self, ttl: int, lease_id: int = 0) -> int:
        """Create a lease of ``ttl`` seconds; return its id.

        Raises:
            InvalidRequest: If the TTL is not positive or the id is in use.
        """
        self.expire()
        if ttl <= 0:
            raise InvalidRequest("the TTL must be positive")
        if lease_id in self._leases:
            raise InvalidRequest("the lease already exists")
        if not lease_id:
            lease_id = self._next_lease
            self._next_lease += 1
        self._leases[lease_id] = _Lease(ttl, self._clock() + ttl)
        return lease_id

    def keep_alive(self, lease_id: int) -> int:
        """Renew a lease; return its TTL in seconds, 0 if it does not exist."""
        self.expire()
        lease = self._leases.get(lease_id)
        if lease is None:
            return 0
        lease.deadline = self._clock() + lease.ttl
        return lease.ttl

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete its keys.

        Raises:
            LeaseNotFound: If there is no such lease.
        """
        self.expire()
        if lease_id not in self._leases:
            raise LeaseNotFound(str(lease_id))
        self._end_lease(lease_id)

    def expire(self) -> None:
        """End the leases whose deadline has passed."""
        now = self._clock()
        due = [i for i, lease in self._leases.items() if lease.deadline <= now]
        for lease_id in due:
            self._end_lease(lease_id)

    def next_expiry(self) -> float | None:
        """Return the clock time of the next lease expiry, if there is a lease."""
        return min((lease.deadline for lease in self._leases.values()), default=None)

    def watch(
        self, key: bytes, end: bytes, start: int, notify: Callable[[Changes], None]
    ) -> Watcher:
        """Register a watch, after replaying the history that it asks for.

        Args:
            key: First key.
            end: End of the range, as in ``RangeOp``.
            start: First revision to deliver; 0 for changes from now on.
            notify: Called synchronously with each matching revision.

        Raises:
            Compacted: If ``start`` is older than the kept history.
        """
        self.expire()
        if start and start < self._first_kept:
            raise Compacted(self._first_kept)
        watcher = Watcher(key, end, notify)
        if start:
            for batch in self._history:
                if batch.revision >= start:
                    _deliver(watcher, batch)
        self._watchers.add(watcher)
        return watcher

    def unwatch(self, watcher: Watcher) -> None:
        """Remove a watch."""
        self._watchers.discard(watcher)

    def compact(self) -> None:
        """Drop all history, as a periodic compaction of the service does."""
        self._history.clear()
        self._first_kept = self._revision + 1

    def _range(self, op: RangeOp) -> RangeResult:
        keys = self._select(op.key, op.end)
        wanted = keys[: op.limit] if op.limit else keys
        return RangeResult([self._entries[key] for key in wanted], len(keys))

    def _select(self, key: bytes, end: bytes) -> list[bytes]:
        if not end:
            return [key] if key in self._entries else []
        first = bisect.bisect_left(self._keys, key)
        if end == OPEN_END:
            return self._keys[first:]
        return self._keys[first : bisect.bisect_left(self._keys, end)]

    def _is_met(self, condition: Condition) -> bool:
        entry = self._entries.get(condition.key)
        if entry is None and condition.target == "value":
            return False
        found = getattr(entry, condition.target) if entry else 0
        return RELATIONS[condition.relation](found, condition.expected)

    def _validate(self, operations: list[Op]) -> None:
        seen = set()
        for op in operations:
            if not isinstance(op, PutOp):
                continue
            if len(op.value) > MAX_VALUE_BYTES:
                raise InvalidRequest(
                    f"value of {len(op.value)} bytes exceeds {MAX_VALUE_BYTES} bytes"
                )
            if op.key in seen:
                raise InvalidRequest("duplicate key given in txn request")
            if op.lease and op.lease not in self._leases:
                raise LeaseNotFound(str(op.lease))
            seen.add(op.key)

    def _apply(self, op: Op, changes: dict[bytes, Change]) -> RangeResult | int | None:
        if isinstance(op, RangeOp):
            return self._range(op)
        if isinstance(op, PutOp):
            self._put(op, changes)
            return None
        keys = self._select(op.key, op.end)
        for key in keys:
            self._delete(key, changes)
        return len(keys)

    def _put(self, op: PutOp, changes: dict[bytes, Change]) -> None:
        revision = self._revision + 1
        old = self._entries.get(op.key)
        if old is None:
            bisect.insort(self._keys, op.key)
            entry = Entry(op.key, op.value, revision, revision, 1, op.lease)
        else:
            self._detach_from_lease(old)
            created, version = old.create_revision, old.version + 1
            entry = Entry(op.key, op.value, created, revision, version, op.lease)
        self._entries[op.key] = entry
        if op.lease:
            self._leases[op.lease].keys.add(op.key)
        changes[op.key] = Change(op.key, entry)

    def _delete(self, key: bytes, changes: dict[bytes, Change]) -> None:
        self._detach_from_lease(self._entries.pop(key))
        del self._keys[bisect.bisect_left(self._keys, key)]
        changes[key] = Change(key, None)

    def _detach_from_lease(self, entry: Entry) -> None:
        lease = self._leases.get(entry.lease)
        if lease is not None:
            lease.keys.discard(entry.key)

    def _end_lease(self, lease_id: int) -> None:
        keys = sorted(self._leases.pop(lease_id).keys)
        changes: dict[bytes, Change] = {}
        for key in keys:
            self._delete(key, changes)
        self._commit(changes)

    def _commit(self, changes: dict[bytes, Change]) -> None:
        if not changes:
            return
        self._revision += 1
        batch = Changes(self._revision, list(changes.values()))
        self._history.append(batch)
        if len(self._history) > self._history_limit:
            self._first_kept = self._history.popleft().revision + 1
        for watcher in list(self._watchers):
            _deliver(watcher, batch)


def _deliver(watcher: Watcher, batch: Changes) -> None:
    changes = [c for c in batch.changes if _in_range(watcher, c.key)]
    if changes:
        watcher.notify(Changes(batch.revision, changes))


def _in_range(watcher: Watcher, key: bytes) -> bool:
    if not watcher.end:
        return key == watcher.key
    if key < watcher.key:
        return False
    return watcher.end == OPEN_END or key < watcher.end
