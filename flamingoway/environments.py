"""Versions of environment documents in the store.

A document is accepted by one conditional transaction against the version that
the operator saw. It is tried in a trial environment and promoted to production
by its digest, with the very same bytes. A rollback promotes an older digest, so
it is a new version as well.
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
    Entry,
    EnvironmentKeys,
    Head,
    decode_entry,
    decode_head,
    decode_version,
)

# At the design size (60 kB a document) this many versions hold 60 MB of the store.
KEPT_VERSIONS = 1000
KEPT_ENTRIES = 10_000
DEFAULT_HISTORY = 50
# Waits between attempts to resolve a write whose answer was lost, in seconds.
RESOLVE_DELAYS_S = (0.1, 0.2, 0.5, 1.0, 2.0)


class Environments:
    """Reads and accepts versions of documents for operators.

    Args:
        settings: Names the cell and its environments.
        store: Where the versions are.
        wall: Wall clock, in seconds since the epoch.
        sleep: Waits between attempts to resolve a lost answer.
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
        """Validate a document for an environment and change nothing.

        Raises:
            BadDocument: With file, line and field.
            BadRequest: If there is no such environment.
        """
        settings = self.environment(environment)
        document = await _parse(data, path)
        if document.application != settings.application:
            problem = f"found {document.application!r}; allowed: {settings.application}"
            raise yamlio.mistake(data, BadDocument, path, ["application"], problem)
        return document

    async def head(self, environment: str) -> Head | None:
        """Return the current version's number and digest; ``None`` without one."""
        self.environment(environment)
        item = await self._store.get(self._keys.environment_head(environment))
        return decode_head(item)

    async def current(self, environment: str) -> DocumentVersion | None:
        """Return the current version; ``None`` if nothing was accepted yet."""
        head = await self.head(environment)
        return await self.version(environment, head.number) if head else None

    async def version(self, environment: str, number: int) -> DocumentVersion:
        """Return one version.

        Raises:
            BadRequest: With ``NOT_FOUND`` if it does not exist or is not kept.
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
        self, environment: str, limit: int = DEFAULT_HISTORY
    ) -> list[Entry]:
        """Return the newest ``limit`` lines of the history, newest first."""
        head = await self.head(environment)
        if head is None or limit < 1:
            return []
        start = self._keys.entry(environment, max(1, head.number - limit + 1))
        prefix = self._keys.entries(environment)
        result = await self._store.range(prefix, start=start)
        return [decode_entry(item.value) for item in reversed(result.items)]

    async def changes(self, environment: str, old: int, new: int) -> list[str]:
        """Return the differences of two versions as lines."""
        versions = [await self.version(environment, n) for n in (old, new)]
        return describe_changes(*[await _parse(v.data) for v in versions])

    async def try_document(
        self, environment: str, data: bytes, expected: int, operator: str
    ) -> Entry:
        """Accept a document into a trial environment.

        Args:
            environment: Name of a trial environment.
            data: Bytes of the document.
            expected: Version that the operator saw; 0 if there was none.
            operator: Name of the operator, for the history.

        Raises:
            BadDocument: If the document is invalid.
            BadRequest: If this is not a trial environment (``FORBIDDEN``).
            VersionConflict: If another version was accepted meanwhile.
            StoreUnavailable: If nothing was changed.
            StoreOutcomeUnknown: If the document may have been accepted.
        """
        self._require_stage(environment, "trial")
        await self.check(environment, data)
        return await self._accept(environment, data, expected, operator, source="")

    async def promote(
        self, environment: str, source: str, wanted: str, expected: int, operator: str
    ) -> Entry:
        """Accept the bytes that were tried in ``source`` into production.

        Args:
            environment: Name of a production environment.
            source: Trial environment of the same application.
            wanted: Digest of a version in the history of ``source``.
            expected: Version of ``environment`` that the operator saw; 0 for none.
            operator: Name of the operator, for the history.

        Raises:
            FlamingowayError: With ``NOT_TRIED`` if ``source`` never held the
                digest; otherwise as :meth:`try_document`.
        """
        self._require_stage(environment, "production")
        self._require_stage(source, "trial")
        data = await self._tried_bytes(source, wanted)
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

    async def _tried_bytes(self, source: str, wanted: str) -> bytes:
        for entry in await self.history(source, limit=KEPT_VERSIONS):
            if entry.digest == wanted:
                version = await self._find_version(source, entry.number)
                if version is not None and digest(version.data) == wanted:
                    return version.data
        head = await self.head(source)
        current = f"{head.digest} (version {head.number})" if head else "nothing"
        raise FlamingowayError(
            f"digest: found {wanted!r}, which was not tried in {source}; "
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
    ) -> Entry:
        item = await self._store.get(self._keys.environment_head(environment))
        head = decode_head(item)
        if (head.number if head else 0) != expected:
            raise await self._conflict(environment, expected, head, data)
        entry = Entry(
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
        operations = self._operations(environment, entry, data)
        if await self._commit(environment, compare, operations, entry):
            return entry
        head = await self.head(environment)
        raise await self._conflict(environment, expected, head, data)

    def _operations(
        self, environment: str, entry: Entry, data: bytes
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
            Put(self._keys.entry(environment, number), encode(entry)),
            Put(self._keys.environment_head(environment), encode(head)),
        ]
        if number > KEPT_VERSIONS:
            old = self._keys.environment_version(environment, number - KEPT_VERSIONS)
            operations.append(Delete(old))
        if number > KEPT_ENTRIES:
            old = self._keys.entry(environment, number - KEPT_ENTRIES)
            operations.append(Delete(old))
        return operations

    async def _commit(
        self,
        environment: str,
        compare: Compare,
        operations: list[Put | Delete],
        entry: Entry,
    ) -> bool:
        try:
            result = await self._store.txn([compare], operations)
            return result.succeeded
        except StoreOutcomeUnknown:
            return await self._resolve(environment, compare, operations, entry)

    async def _resolve(
        self,
        environment: str,
        compare: Compare,
        operations: list[Put | Delete],
        entry: Entry,
    ) -> bool:
        # The transaction is conditional, so sending it again cannot apply it
        # twice. Once it failed its comparison, the first one cannot apply later.
        key = self._keys.entry(environment, entry.number)
        for delay in RESOLVE_DELAYS_S:
            await self._sleep(delay)
            try:
                result = await self._store.txn([compare], operations, [key])
            except (StoreOutcomeUnknown, StoreUnavailable):
                continue
            return result.succeeded or _is_own(result, key, entry)
        raise StoreOutcomeUnknown(
            f"environment {environment}: version {entry.number} may have been "
            "accepted; ask for the history when the store answers again",
            version=entry.number,
            digest=entry.digest,
        )

    async def _conflict(
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
            # A version that an earlier release accepted may break newer rules.
            return []
        return describe_changes(*documents)


async def _parse(data: bytes, path: str = "<document>") -> Document:
    # A document of 290 members held up the event loop for 109 ms, and for 46 ms
    # when it was parsed in a thread; checks are answered meanwhile.
    return await asyncio.to_thread(parse_document, data, path)


def _is_own(result: TxnResult, key: str, entry: Entry) -> bool:
    found = result.reads.get(key)
    if found is None:
        return False
    return decode_entry(found.value).write_id == entry.write_id
