"""Counts the calls of a store by kind and result."""

from collections.abc import AsyncIterator, Awaitable
from typing import Any, Protocol, TypeVar

from ..errors import StoreOutcomeUnknown, StoreUnavailable
from . import Compare, Delete, KeyValue, Put, RangeResult, Store, TxnResult, WatchBatch

T = TypeVar("T")


class CallCounter(Protocol):
    """Counter of store calls, implemented by the metrics."""

    def count_store_call(self, call: str, result: str) -> None:
        """Count one call by method and result."""


class CountedStore:
    """Store that passes calls on to another store and counts them.

    Args:
        store: Store that executes the calls.
        metrics: Counter for the calls.
    """

    def __init__(self, store: Store, metrics: CallCounter):
        self._store = store
        self._metrics = metrics

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or ``None``."""
        return await self._count("get", self._store.get(key))

    async def range(self, prefix: str, start: str = "", limit: int = 0) -> RangeResult:
        """Return the keys that begin with ``prefix``."""
        return await self._count("range", self._store.range(prefix, start, limit))

    async def txn(
        self,
        compares: list[Compare],
        operations: list[Put | Delete],
        read_on_failure: list[str] | None = None,
    ) -> TxnResult:
        """Apply ``operations`` atomically if all ``compares`` hold."""
        call = self._store.txn(compares, operations, read_on_failure)
        return await self._count("txn", call)

    async def grant_lease(self, ttl: int) -> int:
        """Return the id of a new lease with a TTL of ``ttl`` seconds."""
        return await self._count("grant_lease", self._store.grant_lease(ttl))

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""
        return await self._count("keep_alive", self._store.keep_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys."""
        await self._count("revoke_lease", self._store.revoke_lease(lease_id))

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[WatchBatch]:
        """Yield changes; count the start of the watch and its failure."""
        self._metrics.count_store_call("watch", "ok")
        try:
            async for batch in self._store.watch(prefix, start_revision):
                yield batch
        except Exception as exc:
            self._metrics.count_store_call("watch", _result_of(exc))
            raise

    async def close(self) -> None:
        """Close connections."""
        await self._store.close()

    async def _count(self, call: str, pending: Awaitable[T]) -> T:
        try:
            value = await pending
        except Exception as exc:
            self._metrics.count_store_call(call, _result_of(exc))
            raise
        self._metrics.count_store_call(call, _result_of(value))
        return value


def _result_of(value: Any) -> str:
    if isinstance(value, StoreUnavailable):
        return "unavailable"
    if isinstance(value, StoreOutcomeUnknown):
        return "unknown"
    if isinstance(value, Exception):
        return "error"
    if isinstance(value, TxnResult) and not value.succeeded:
        return "failed_compare"
    return "ok"
