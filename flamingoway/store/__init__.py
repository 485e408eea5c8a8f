"""Port of the platform's key-value service.

Adapters register themselves in ``STORES``. All calls raise ``StoreUnavailable``
if the call surely had no effect, and ``StoreOutcomeUnknown`` if a write may have
taken effect although its answer was lost.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from ..errors import StoreUnavailable
from ..registry import Registry


class LeaseLapsed(StoreUnavailable):
    """The lease that a write names does not exist any more; nothing was written."""


class HistoryLost(StoreUnavailable):
    """The changes that a watch asks for are no longer known; read the range again."""


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
    """Keys of one range read, in key order, at one store revision."""

    items: list[KeyValue]
    revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition of a transaction.

    Attributes:
        target: ``create_revision``, ``mod_revision`` or ``value``.
        expected: Value that must be equal; revision 0 means the key is absent.
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
        reads: Values of the keys named in ``read_on_failure``, if it failed.
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
    """Changes of one revision."""

    revision: int
    events: list[WatchEvent]


@dataclass(frozen=True, slots=True)
class Changes:
    """Changes of a prefix since a revision.

    Attributes:
        revision: Revision up to which the changes are complete.
    """

    revision: int
    events: list[WatchEvent]


class Store(Protocol):
    """What flamingoway needs of a key-value service."""

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or ``None``."""

    async def range(self, prefix: str, start: str = "", limit: int = 0) -> RangeResult:
        """Return the keys that begin with ``prefix``.

        Args:
            prefix: Beginning of the keys.
            start: First key to return; empty for the beginning of the prefix.
            limit: Largest number of keys; 0 for no limit.
        """

    async def txn(
        self,
        compares: list[Compare],
        operations: list[Put | Delete],
        read_on_failure: list[str] | None = None,
    ) -> TxnResult:
        """Apply ``operations`` atomically if all ``compares`` hold.

        Raises:
            LeaseLapsed: If a put names a lease that has lapsed.
            BadRequest: If a value is larger than the service accepts.
        """

    async def grant_lease(self, ttl: int) -> int:
        """Return the id of a new lease of ``ttl`` seconds."""

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has lapsed."""

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys; no error if it has lapsed."""

    def watch(self, prefix: str, start_revision: int) -> AsyncIterator[WatchBatch]:
        """Yield changes under ``prefix`` from ``start_revision`` on.

        The iterator ends with ``StoreUnavailable`` if the watch breaks; the
        caller reads the range again and starts a new watch.
        """

    async def close(self) -> None:
        """Close connections."""


STORES: Registry[type] = Registry("store")
