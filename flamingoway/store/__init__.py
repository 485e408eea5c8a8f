"""Port of the platform's key-value service.

Adapters register themselves in ``STORES``. Calls raise ``StoreUnavailable`` if they
failed without any effect, and ``StoreOutcomeUnknown`` if a write may have taken effect
although no answer arrived.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import StoreUnavailable
from ..registry import Registry


class LeaseExpired(StoreUnavailable):
    """The lease named in a write has expired; nothing was written."""


class RevisionCompacted(StoreUnavailable):
    """The store no longer holds the changes requested; read the range again."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """One key with its value and revisions."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class RangeResult:
    """Result of a range read.

    Attributes:
        items: Keys in key order.
        revision: Store revision of the read; a watch continues from the next one.
    """

    items: list[KeyValue]
    revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction.

    Attributes:
        target: Compared property: ``create_revision``, ``mod_revision`` or ``value``.
        expected: Required value of the property; revision 0 means the key is absent.
    """

    key: str
    target: str
    expected: int | bytes


@dataclass(frozen=True, slots=True)
class Put:
    """Set a key, optionally bound to a lease."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete one key, or the range from ``key`` up to ``end`` exclusive.

    A single key is deleted if ``end`` is empty.
    """

    key: str
    end: str = ""


@dataclass(frozen=True, slots=True)
class TxnResult:
    """Result of a transaction.

    Attributes:
        succeeded: Whether all conditions held and the operations were applied.
        reads: Existing keys of ``read_on_failure``, if a condition did not hold.
    """

    succeeded: bool
    revision: int
    reads: dict[str, KeyValue] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of one key; ``item`` is ``None`` for a deletion."""

    key: str
    item: KeyValue | None


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Changes made in one revision."""

    revision: int
    events: list[WatchEvent]


@dataclass(frozen=True, slots=True)
class ChangeSet:
    """Changes of a prefix since a revision.

    Attributes:
        revision: Revision of the store at the time of the answer. A watch that was
            silent may report a revision beyond changes that it missed.
        last_change: Revision of the newest of the changes; 0 if it is not known.
    """

    revision: int
    events: list[WatchEvent]
    last_change: int = 0


class Store(Protocol):
    """Interface to a key-value service with leases and watches."""

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or ``None``."""

    async def range(self, prefix: str, start: str = "", limit: int = 0) -> RangeResult:
        """Return the keys that begin with ``prefix``.

        Args:
            prefix: Prefix of the keys.
            start: Lowest key to return; empty for the first key of the prefix.
            limit: Maximum number of keys; 0 for no limit.
        """

    async def txn(
        self,
        compares: list[Compare],
        operations: list[Put | Delete],
        read_on_failure: list[str] | None = None,
    ) -> TxnResult:
        """Apply ``operations`` atomically if all ``compares`` hold.

        Raises:
            LeaseExpired: If a put names an expired lease.
            BadRequest: If a value is larger than the service accepts.
        """

    async def grant_lease(self, ttl: int) -> int:
        """Return the id of a new lease with a TTL of ``ttl`` seconds."""

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; no error if it has expired."""

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield changes under ``prefix`` from ``start_revision`` on.

        Raises:
            StoreUnavailable: If the watch fails; the caller then reads the range again
                and starts a new watch.
        """

    async def close(self) -> None:
        """Close connections."""


STORES: Registry[type] = Registry("store")
