"""Adapter of the ``Store`` port for the platform's key-value service."""

from collections.abc import AsyncIterator
from urllib.parse import urlencode

from ..errors import BadRequest, StoreOutcomeUnknown, StoreUnavailable
from ..store import (
    STORES,
    ChangeSet,
    Compare,
    Delete,
    KeyValue,
    LeaseExpired,
    Put,
    RangeResult,
    RevisionCompacted,
    TxnResult,
    WatchBatch,
)
from . import wire
from .client import HttpClient, NotSent, ResponseLost

# Duration of one long poll of a watch. Short enough to detect a dead connection well
# within the 2 s in which a new configuration must take effect.
WATCH_POLL_S = 1.0
# Time added to the duration of a long poll for its timeout.
WATCH_TIMEOUT_MARGIN_S = 0.5
# The store takes 4 ms to respond, and up to half a second when it is slow.
CALL_TIMEOUT_S = 1.2
# A page of a range read can be large (1 MB).
RANGE_TIMEOUT_S = 3.0


@STORES.register("platform")
class PlatformStore:
    """Client of the platform's key-value service.

    Args:
        address: ``IP:port``.
        client: HTTP client.
        timeout_s: Timeout of calls other than range reads and watches, in seconds.
    """

    def __init__(
        self, address: str, client: HttpClient, timeout_s: float = CALL_TIMEOUT_S
    ):
        self.address = address
        self._client = client
        self._timeout_s = timeout_s

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or ``None``."""
        query = urlencode({"key": key})
        status, data = await self._read(f"/kv-key?{query}", self._timeout_s, (200, 404))
        if status == 404:
            return None
        return wire.to_item(_parse_read(wire.ItemBody, data))

    async def range(self, prefix: str, start: str = "", limit: int = 0) -> RangeResult:
        """Return the keys that begin with ``prefix``; see ``Store.range``."""
        items: list[KeyValue] = []
        after, revision, more = "", 0, True
        while more and not (limit and len(items) >= limit):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            path = f"/kv-range?{urlencode(query)}"
            _, data = await self._read(path, RANGE_TIMEOUT_S)
            page = _parse_read(wire.ItemsBody, data)
            # The pages are no consistent snapshot. Watching from the revision of the
            # first one covers the changes made while the others were read.
            revision = revision or _check_revision(page.store_revision)
            more = page.has_more and bool(page.items)
            after = page.items[-1].key if page.items else after
            items += [wire.to_item(i) for i in page.items if i.key >= start]
        return RangeResult(items[:limit] if limit else items, revision)

    async def changes(self, prefix: str, after: int, wait_s: float) -> ChangeSet:
        """Return the changes under ``prefix`` after a revision.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
            wait_s: Maximum time that the store waits for a change if there is none yet.

        Raises:
            RevisionCompacted: If the store no longer holds the changes.
        """
        query = {"prefix": prefix, "after": after, "waitMs": int(wait_s * 1000)}
        path = f"/kv-watch?{urlencode(query)}"
        timeout_s = wait_s + WATCH_TIMEOUT_MARGIN_S
        status, data = await self._read(path, timeout_s, (200, 410))
        if status == 410:
            raise RevisionCompacted(
                f"store no longer holds the changes after revision {after}"
            )
        body = _parse_read(wire.ItemsBody, data)
        events = [wire.to_event(event) for event in body.events]
        last_change = max((event.revision for event in body.events), default=0)
        return ChangeSet(_check_revision(body.store_revision), events, last_change)

    async def watch(
        self, prefix: str, start_revision: int
    ) -> AsyncIterator[WatchBatch]:
        """Yield changes under ``prefix`` from ``start_revision`` on."""
        after = start_revision - 1
        while True:
            changes = await self.changes(prefix, after, WATCH_POLL_S)
            after = max(after, changes.revision)
            by_revision: dict[int, list] = {}
            for event in changes.events:
                revision = event.item.mod_revision if event.item else changes.revision
                by_revision.setdefault(revision, []).append(event)
            for revision, events in by_revision.items():
                yield WatchBatch(revision, events)

    async def txn(
        self,
        compares: list[Compare],
        operations: list[Put | Delete],
        read_on_failure: list[str] | None = None,
    ) -> TxnResult:
        """Apply ``operations`` atomically if all ``compares`` hold.

        The service compares only ``mod_revision`` and deletes only single keys.
        """
        body = {
            "expectedRev": [{"key": c.key, "revision": c.expected} for c in compares],
            "puts": [_put(o) for o in operations if isinstance(o, Put)],
            "remove": [o.key for o in operations if isinstance(o, Delete)],
        }
        status, data = await self._write("POST", "/kv-txn", body, (200, 404, 412))
        if status == 404:
            raise LeaseExpired("a put names an expired lease")
        if status == 412:
            failed = _parse_written(wire.ItemsBody, data)
            reads = {i.key: wire.to_item(i) for i in failed.items if i.revision}
            return TxnResult(False, 0, reads)
        return TxnResult(True, _parse_written(wire.RevisionBody, data).revision)

    async def grant_lease(self, ttl: float) -> int:
        """Return the id of a new lease with a TTL of ``ttl`` seconds."""
        body = {"ttlMs": int(ttl * 1000)}
        _, data = await self._write("POST", "/kv-lease", body)
        return _parse_written(wire.LeaseBody, data).lease

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""
        path = f"/kv-keep/{lease_id}"
        status, data = await self._write("POST", path, {}, (200, 404))
        if status == 404:
            return 0.0
        return _parse_written(wire.LeaseBody, data).ttl_ms / 1000

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; no error if it has expired."""
        path = f"/kv-lease-end/{lease_id}"
        await self._write("DELETE", path, None, (200, 204, 404))

    async def close(self) -> None:
        """Close the idle connections to the service."""
        self._client.forget(self.address)

    async def _read(
        self, path: str, timeout_s: float, expected: tuple[int, ...] = (200,)
    ) -> tuple[int, bytes]:
        """Make a read call.

        Raises:
            StoreUnavailable: If no answer came, or one of an unexpected status.
            BadRequest: If the store rejected the call as invalid.
        """
        try:
            status, data = await self._client.call(
                self.address, "GET", path, timeout_s=timeout_s
            )
        except (NotSent, ResponseLost) as exc:
            raise StoreUnavailable(str(exc)) from None
        _check_rejected(status, data)
        if status not in expected:
            raise StoreUnavailable(f"store answered with status {status}")
        return status, data

    async def _write(
        self,
        method: str,
        path: str,
        body: dict | None,
        expected: tuple[int, ...] = (200,),
    ) -> tuple[int, bytes]:
        """Make a write call.

        Raises:
            StoreUnavailable: If the call had no effect.
            StoreOutcomeUnknown: If it may have taken effect.
            BadRequest: If the store rejected the call as invalid.
        """
        data = b"" if body is None else wire.ENCODER.encode(body)
        try:
            status, answer = await self._client.call(
                self.address, method, path, data, self._timeout_s
            )
        except NotSent as exc:
            raise StoreUnavailable(str(exc)) from None
        except ResponseLost as exc:
            raise StoreOutcomeUnknown(str(exc)) from None
        _check_rejected(status, answer)
        if status not in expected:
            raise StoreOutcomeUnknown(f"store answered with status {status}")
        return status, answer


def _put(operation: Put) -> dict:
    value = wire.encode_value(operation.value)
    return {"key": operation.key, "value": value, "lease": operation.lease}


def _check_rejected(status: int, data: bytes) -> None:
    """Raise the error for an answer that says that nothing was done.

    Raises:
        StoreUnavailable: If the store refused the call.
        BadRequest: If the store rejected the call as invalid, forbidden or too large.
    """
    if status in (429, 503):
        raise StoreUnavailable(f"store refused the call with status {status}")
    if status in (400, 403, 413):
        raise BadRequest(
            f"store rejected the call with status {status}: {data[:200]!r}"
        )


def _check_revision(revision: int) -> int:
    if revision < 1:
        raise StoreUnavailable("the answer of the store has no revision")
    return revision


def _parse_read(kind: type, data: bytes):
    """Decode the answer to a read; one that is not valid counts as missing."""
    try:
        return wire.parse(kind, data)
    except BadRequest as exc:
        raise StoreUnavailable(exc.message) from None


def _parse_written(kind: type, data: bytes):
    """Decode the answer to a write; if it is not valid, the outcome is unknown."""
    try:
        return wire.parse(kind, data)
    except BadRequest as exc:
        raise StoreOutcomeUnknown(exc.message) from None
