"""Versions of environment documents in the store.

A document is accepted in one transaction that is conditional on the version that
the operator saw. It is first tried in a trial environment and then promoted to
production by its digest, byte for byte. A rollback promotes an older digest and so
creates a new version.
"""

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable

import msgspec

from . import yamlio
from .changes import describe_changes
from .document import Document, DocumentVersion, digest, parse_document
from .errors import (
    BadDocument,
    BadRequest,
    FlamingowayError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    VersionConflict,
)
from .settings import EnvironmentSettings, Settings
from .status import Code
from .store import Compare, Delete, Put, Store, TxnResult
from .versions import (
    EnvironmentKeys,
    Head,
    HistoryEntry,
    decode_head,
    decode_history_entry,
    decode_version,
)

# At the design size (60 kB a document) this many versions hold 60 MB of the store.
KEPT_VERSIONS = 1000
KEPT_HISTORY_ENTRIES = 10_000
DEFAULT_HISTORY_LIMIT = 50
# Waits between attempts to resolve a write whose outcome is unknown, in seconds.
RESOLVE_DELAYS_S = (0.1, 0.2, 0.5, 1.0, 2.0)


class Environments:
    """Reads and accepts versions of documents for operators.

    Args:
        settings: Settings with the cell and its environments.
        store: Holds the versions.
        wall: Wall clock, in seconds since the epoch.
        sleep: Waits between attempts to resolve an unknown outcome.
    """

    def __init__(
        self,
        settings: Settings,
        store: Store,
        wall: Callable[[], float] = time.time,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ):
        self._settings = settings
        self._store = store
        self._wall = wall
        self._sleep = sleep
        self._keys = EnvironmentKeys(settings.cell)

    def environment(self, name: str) -> EnvironmentSettings:
        """Return the settings of one environment.

        Raises:
            BadRequest: With ``NOT_FOUND`` and the known names.
        """
        found = self._settings.environment(name)
        if found is None:
            known = ", ".join(e.name for e in self._settings.environments)
            raise BadRequest(
                f"environment: found {name!r}; allowed: {known}",
                Code.NOT_FOUND,
                field="environment",
            )
        return found

    async def check(
        self, environment: str, data: bytes, path: str = "<document>"
    ) -> Document:
        """Validate a document for an environment without storing it.

        Raises:
            BadDocument: With file, line and field.
            BadRequest: If there is no such environment.
        """
        settings = self.environment(environment)
        document = await _parse(data, path)
        if document.application != settings.application:
            problem = f"found {document.application!r}; allowed: {settings.application}"
            raise yamlio.make_error(data, BadDocument, path, ["application"], problem)
        return document

    async def head(self, environment: str) -> Head | None:
        """Return number and digest of the current version, or ``None``."""
        self.environment(environment)
        item = await self._store.get(self._keys.environment_head(environment))
        return decode_head(item)

    async def current(self, environment: str) -> DocumentVersion | None:
        """Return the current version; ``None`` before the first one is accepted."""
        head = await self.head(environment)
        return await self.version(environment, head.number) if head else None

    async def version(self, environment: str, number: int) -> DocumentVersion:
        """Return one version.

        Raises:
            BadRequest: With ``NOT_FOUND`` if it does not exist or is no longer kept.
        """
        found = await self._find_version(environment, number)
        if found is None:
            raise BadRequest(
                f"environment {environment} has no version {number}; "
                f"the newest {KEPT_VERSIONS} are kept",
                Code.NOT_FOUND,
                field="version",
            )
        return found

    async def history(
        self, environment: str, limit: int = DEFAULT_HISTORY_LIMIT
    ) -> list[HistoryEntry]:
        """Return the newest ``limit`` history entries, newest first."""
        head = await self.head(environment)
        if head is None or limit < 1:
            return []
        start = self._keys.history_entry(environment, max(1, head.number - limit + 1))
        prefix = self._keys.entries(environment)
        result = await self._store.range(prefix, start=start)
        return [decode_history_entry(item.value) for item in reversed(result.items)]

    async def changes(self, environment: str, old: int, new: int) -> list[str]:
        """Return the differences between two versions, one per line."""
        versions = [await self.version(environment, n) for n in (old, new)]
        return describe_changes(*[await _parse(v.data) for v in versions])

    async def try_document(
        self, environment: str, data: bytes, expected: int, operator: str
    ) -> HistoryEntry:
        """Accept a document into a trial environment.

        Args:
            environment: Name of a trial environment.
            data: Bytes of the document.
            expected: Version that the operator saw; 0 if there was none.
            operator: Name of the operator, for the history.

        Raises:
            BadDocument: If the document is invalid.
            BadRequest: If this is not a trial environment (``FORBIDDEN``).
            VersionConflict: If another version was accepted in the meantime.
            StoreUnavailable: If the store is unavailable; nothing was changed.
            StoreOutcomeUnknown: If the document may have been accepted.
        """
        self._require_stage(environment, "trial")
        await self.check(environment, data)
        return await self._accept(environment, data, expected, operator, source="")

    async def promote(
        self,
        environment: str,
        source: str,
        wanted_digest: str,
        expected: int,
        operator: str,
    ) -> HistoryEntry:
        """Accept a document that was tried in ``source`` into production.

        Args:
            environment: Name of a production environment.
            source: Trial environment of the same application.
            wanted_digest: Digest of a version in the history of ``source``.
            expected: Version of ``environment`` that the operator saw; 0 if there was
                none.
            operator: Name of the operator, for the history.

        Raises:
            FlamingowayError: With ``NOT_TRIED`` if no kept version of ``source`` has
                the digest; otherwise as :meth:`try_document`.
        """
        self._require_stage(environment, "production")
        self._require_stage(source, "trial")
        data = await self._read_tried_bytes(source, wanted_digest)
        await self.check(environment, data)
        return await self._accept(environment, data, expected, operator, source)

    def _require_stage(self, environment: str, stage: str) -> None:
        found = self.environment(environment)
        if found.stage != stage:
            names = [e.name for e in self._settings.environments if e.stage == stage]
            raise BadRequest(
                f"environment: found {environment!r}, a {found.stage} environment; "
                f"allowed: {', '.join(names)}",
                Code.FORBIDDEN,
                field="environment",
            )

    async def _read_tried_bytes(self, source: str, wanted_digest: str) -> bytes:
        for entry in await self.history(source, limit=KEPT_VERSIONS):
            if entry.digest == wanted_digest:
                version = await self._find_version(source, entry.number)
                if version is not None and digest(version.data) == wanted_digest:
                    return version.data
        head = await self.head(source)
        current = f"{head.digest} (version {head.number})" if head else "nothing"
        raise FlamingowayError(
            f"digest: found {wanted_digest!r}, which was not tried in {source}; "
            f"tried there now: {current}",
            Code.NOT_TRIED,
            field="digest",
            tried=head.digest if head else "",
        )

    async def _find_version(
        self, environment: str, number: int
    ) -> DocumentVersion | None:
        self.environment(environment)
        item = await self._store.get(
            self._keys.environment_version(environment, number)
        )
        return decode_version(item.value) if item else None

    async def _accept(
        self, environment: str, data: bytes, expected: int, operator: str, source: str
    ) -> HistoryEntry:
        item = await self._store.get(self._keys.environment_head(environment))
        head = decode_head(item)
        if (head.number if head else 0) != expected:
            raise await self._make_conflict(environment, expected, head, data)
        entry = HistoryEntry(
            number=expected + 1,
            digest=digest(data),
            operator=operator,
            accepted_at=self._wall(),
            source=source,
            write_id=uuid.uuid4().hex,
        )
        compare = Compare(
            self._keys.environment_head(environment),
            "mod_revision",
            item.mod_revision if item else 0,
        )
        operations = self._make_operations(environment, entry, data)
        if await self._commit(environment, compare, operations, entry):
            return entry
        head = await self.head(environment)
        raise await self._make_conflict(environment, expected, head, data)

    def _make_operations(
        self, environment: str, entry: HistoryEntry, data: bytes
    ) -> list[Put | Delete]:
        version = DocumentVersion(
            number=entry.number,
            digest=entry.digest,
            data=data,
            operator=entry.operator,
            accepted_at=entry.accepted_at,
            tried_digest=entry.digest if entry.source else "",
        )
        head = Head(entry.number, entry.digest)
        encode = msgspec.msgpack.encode
        number = entry.number
        operations: list[Put | Delete] = [
            Put(self._keys.environment_version(environment, number), encode(version)),
            Put(self._keys.history_entry(environment, number), encode(entry)),
            Put(self._keys.environment_head(environment), encode(head)),
        ]
        if number > KEPT_VERSIONS:
            old = self._keys.environment_version(environment, number - KEPT_VERSIONS)
            operations.append(Delete(old))
        if number > KEPT_HISTORY_ENTRIES:
            old = self._keys.history_entry(environment, number - KEPT_HISTORY_ENTRIES)
            operations.append(Delete(old))
        return operations

    async def _commit(
        self,
        environment: str,
        compare: Compare,
        operations: list[Put | Delete],
        entry: HistoryEntry,
    ) -> bool:
        try:
            result = await self._store.txn([compare], operations)
            return result.succeeded
        except StoreOutcomeUnknown:
            return await self._resolve_unknown_outcome(
                environment, compare, operations, entry
            )

    async def _resolve_unknown_outcome(
        self,
        environment: str,
        compare: Compare,
        operations: list[Put | Delete],
        entry: HistoryEntry,
    ) -> bool:
        # The transaction is conditional, so a retry cannot apply it twice. Once a
        # retry fails its comparison, the first attempt cannot be applied later.
        key = self._keys.history_entry(environment, entry.number)
        for delay in RESOLVE_DELAYS_S:
            await self._sleep(delay)
            try:
                result = await self._store.txn([compare], operations, [key])
            except (StoreOutcomeUnknown, StoreUnavailable):
                continue
            return result.succeeded or _is_own_write(result, key, entry)
        raise StoreOutcomeUnknown(
            f"environment {environment}: version {entry.number} may have been "
            "accepted; check the history once the store is reachable again",
            version=entry.number,
            digest=entry.digest,
        )

    async def _make_conflict(
        self, environment: str, expected: int, head: Head | None, data: bytes
    ) -> VersionConflict:
        number = head.number if head else 0
        current = await self._find_version(environment, number) if head else None
        operator = current.operator if current else ""
        same = head is not None and head.digest == digest(data)
        text = f"environment {environment} is at version {number}"
        if operator:
            text += f", accepted by {operator}"
        if same:
            text += ", with the same bytes"
        return VersionConflict(
            f"{text}; you saw version {expected}",
            field="version",
            expected_version=expected,
            current_version=number,
            current_digest=head.digest if head else "",
            operator=operator,
            same_bytes=same,
            changed=await self._changed_since(environment, expected, current),
        )

    async def _changed_since(
        self, environment: str, seen: int, current: DocumentVersion | None
    ) -> list[str]:
        before = await self._find_version(environment, seen) if seen > 0 else None
        if before is None or current is None:
            return []
        try:
            documents = [await _parse(v.data) for v in (before, current)]
        except BadDocument:
            # An earlier release may have accepted a version that newer rules reject.
            return []
        return describe_changes(*documents)


async def _parse(data: bytes, path: str = "<document>") -> Document:
    # Parsing a document of 290 members blocks the event loop for 109 ms, and for
    # 46 ms from a thread, in which case checks are still answered.
    return await asyncio.to_thread(parse_document, data, path)


def _is_own_write(result: TxnResult, key: str, entry: HistoryEntry) -> bool:
    found = result.reads.get(key)
    if found is None:
        return False
    return decode_history_entry(found.value).write_id == entry.write_id
