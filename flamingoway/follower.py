"""Follows the newest document of each environment.

A single watch delivers new versions. While the store is unavailable, the newest known
versions stay in effect and newer versions are fetched from peers. A version number
never decreases.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from absl import logging

from .context import Context
from .document import Document, DocumentVersion, digest, parse_document
from .errors import FlamingowayError, StoreOutcomeUnknown, StoreUnavailable
from .messages import Documents, GetDocuments
from .peer import PeerClient, PeerServer
from .store import KeyValue, Store, WatchBatch
from .versions import EnvironmentKeys, decode_head, decode_version

PEER_TIMEOUT_S = 2.0
# Bounds of the back-off between attempts to reach the store. A change must be in
# effect within 6 s, so the longest wait stays well below that.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0
# A reply must stay below the 4 MiB limit of a peer message; the caller fetches
# omitted documents with its next request.
MAX_REPLY_BYTES = 3 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ActiveDocument:
    """A document in effect."""

    environment: str
    version: DocumentVersion
    document: Document


class Follower:
    """Keeps the newest document of each environment in the settings.

    Args:
        context: Settings and random numbers.
        store: Holds the versions.
        client: Client for calls to peers.
        live_peers: Returns the peer addresses of the live entry processes.
    """

    def __init__(
        self,
        context: Context,
        store: Store,
        client: PeerClient,
        live_peers: Callable[[], Iterable[str]] = tuple,
    ):
        self._context = context
        self._store = store
        self._client = client
        self._live_peers = live_peers
        self._keys = EnvironmentKeys(context.settings.cell)
        self._store_reachable = True
        self._active: dict[str, ActiveDocument] = {}
        self._rejected: dict[str, int] = {}
        self._subscribers: list[asyncio.Queue[ActiveDocument]] = []
        self._initial_read_done = False

    @property
    def loaded(self) -> bool:
        """Whether the store was read, or documents were received from a peer."""
        return self._initial_read_done or bool(self._active)

    @property
    def environments(self) -> list[str]:
        """Names of the environments that are followed."""
        return [e.name for e in self._context.settings.environments]

    @property
    def versions(self) -> dict[str, int]:
        """Version number in effect, for each environment that has a document."""
        return {name: active.version.number for name, active in self._active.items()}

    def current(self, environment: str) -> ActiveDocument | None:
        """Return the document in effect, or ``None`` if none is known."""
        return self._active.get(environment)

    def subscribe(self) -> asyncio.Queue[ActiveDocument]:
        """Return a queue that receives the current and all later documents."""
        queue: asyncio.Queue[ActiveDocument] = asyncio.Queue()
        for active in self._active.values():
            queue.put_nowait(active)
        self._subscribers.append(queue)
        return queue

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handler that sends known documents to peers."""
        server.handle(GetDocuments, self._on_get_documents)

    async def run(self) -> None:
        """Follow the store until cancelled."""
        delay = MIN_RETRY_S
        while True:
            try:
                revision = await self._read_heads()
                self._initial_read_done = True
                delay = MIN_RETRY_S
                await self._watch(revision + 1)
            except (StoreUnavailable, StoreOutcomeUnknown) as exc:
                self._set_store_reachable(reachable=False, reason=exc.message)
                await self.fetch_from_peers()
            await asyncio.sleep(delay * self._context.rng.uniform(0.5, 1.0))
            delay = min(delay * 2, MAX_RETRY_S)

    async def refresh(self) -> None:
        """Read the newest documents from the store.

        Raises:
            StoreUnavailable: If the store cannot be reached.
        """
        await self._read_heads()

    async def fetch_from_peers(self) -> None:
        """Fetch newer versions from all known peers."""
        own = self._context.settings.peer_address
        addresses = {*self._live_peers(), *self._context.settings.peers} - {own}
        calls = [self._fetch_from(address) for address in sorted(addresses)]
        await asyncio.gather(*calls)

    def _set_store_reachable(self, reachable: bool, reason: str = "") -> None:
        # An outage can last an hour, so only its start and end are logged.
        if reachable and not self._store_reachable:
            logging.info("documents: store is reachable again")
        if not reachable and self._store_reachable:
            logging.warning("documents: store is not reachable: %s", reason)
        self._store_reachable = reachable

    async def _read_heads(self) -> int:
        revisions = []
        for environment in self.environments:
            key = self._keys.environment_head(environment)
            result = await self._store.range(key)
            revisions.append(result.revision)
            item = next((i for i in result.items if i.key == key), None)
            await self._read_version(environment, item)
        self._set_store_reachable(reachable=True)
        # Watching from the lowest revision misses no change between the reads.
        return min(revisions, default=0)

    async def _read_version(self, environment: str, item: KeyValue | None) -> None:
        head = decode_head(item)
        if head is None or not self._is_newer(environment, head.number):
            return
        found = await self._store.get(
            self._keys.environment_version(environment, head.number)
        )
        if found is not None:
            await self._decode_and_activate(environment, found.value)

    async def _watch(self, start_revision: int) -> None:
        async for batch in self._store.watch(self._keys.environments, start_revision):
            await self._on_batch(batch)

    async def _on_batch(self, batch: WatchBatch) -> None:
        for event in batch.events:
            parsed_key = self._keys.parse_version_key(event.key)
            if parsed_key is None or event.item is None:
                continue
            environment, number = parsed_key
            if self._is_newer(environment, number):
                await self._decode_and_activate(environment, event.item.value)

    def _is_newer(self, environment: str, number: int) -> bool:
        if environment not in self.environments:
            return False
        active = self._active.get(environment)
        known = active.version.number if active else 0
        return number > max(known, self._rejected.get(environment, 0))

    async def _decode_and_activate(self, environment: str, data: bytes) -> None:
        try:
            version = decode_version(data)
        except msgspec.DecodeError as exc:
            logging.error("documents: %s: cannot decode version: %s", environment, exc)
            return
        await self._activate(environment, version)

    async def _activate(self, environment: str, version: DocumentVersion) -> None:
        if not self._is_newer(environment, version.number):
            return
        try:
            document = await self._parse(environment, version)
        except FlamingowayError as exc:
            # The current version stays in effect. A newer release may have written the
            # rejected one.
            self._rejected[environment] = version.number
            logging.error(
                "documents: %s version %d rejected: %s",
                environment,
                version.number,
                exc,
            )
            return
        # Another version may have been activated while this one was parsed.
        if self._is_newer(environment, version.number):
            self._publish(ActiveDocument(environment, version, document))

    async def _parse(self, environment: str, version: DocumentVersion) -> Document:
        path = f"{environment}@{version.number}"
        if digest(version.data) != version.digest:
            raise FlamingowayError(f"{path}: data does not match the digest")
        # Parsing a large document takes 50 ms; in a thread, checks are still answered.
        return await asyncio.to_thread(parse_document, version.data, path)

    def _publish(self, active: ActiveDocument) -> None:
        self._active[active.environment] = active
        logging.info(
            "documents: %s version %d is in effect",
            active.environment,
            active.version.number,
        )
        if self._context.metrics is not None:
            self._context.metrics.set_version(active.environment, active.version.number)
        for queue in self._subscribers:
            queue.put_nowait(active)

    async def _fetch_from(self, address: str) -> None:
        request = GetDocuments(known=self.versions)
        try:
            reply = await self._client.call(
                address, request, PEER_TIMEOUT_S, GetDocuments.reply
            )
        except FlamingowayError as exc:
            logging.debug("documents: peer %s did not answer: %s", address, exc)
            return
        for environment, version in reply.versions.items():
            await self._activate(environment, version)

    async def _on_get_documents(self, request: GetDocuments) -> Documents:
        versions: dict[str, DocumentVersion] = {}
        size = 0
        for environment, active in self._active.items():
            version = active.version
            if version.number <= request.known.get(environment, 0):
                continue
            versions[environment] = version
            size += len(version.data)
            if size > MAX_REPLY_BYTES:
                break
        return Documents(versions)
