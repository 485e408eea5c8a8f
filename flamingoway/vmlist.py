"""Follows the platform's list of VMs over HTTP."""

import asyncio

import msgspec
from absl import logging
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from .context import Context
from .model import Resources, WorkerInfo

REQUEST_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
NOT_MODIFIED = 304


class Vm(msgspec.Struct, frozen=True):
    """One VM of the platform.

    Attributes:
        role: ``worker``, ``target`` or ``entry``.
        state: ``live`` or ``leaving``.
        slots: Number of requests that a target handles at once.
        connections: Number of connections that a target accepts.
    """

    id: str
    role: str
    ip: str
    port: int
    region: str
    zone: str
    rack: str = ""
    state: str = "live"
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0
    application: str = ""

    @property
    def address(self) -> str:
        """``IP:port`` at which the VM serves its protocol."""
        return f"{self.ip}:{self.port}"

    @property
    def worker_info(self) -> WorkerInfo:
        """The VM as the scheduling core sees a worker."""
        return WorkerInfo(
            worker_id=self.id,
            address=self.address,
            region=self.region,
            zone=self.zone,
            rack=self.rack,
            capacity=Resources(
                round(self.cores * 1000), self.memory_mb, self.accelerators
            ),
        )


class VmListing(msgspec.Struct, frozen=True):
    """Response body of ``GET /vms``."""

    version: int
    vms: list[Vm]


class VmsChanged(msgspec.Struct, frozen=True):
    """The list has changed; read :attr:`VmList.vms`."""

    version: int


class VmList:
    """Polls the list; while requests fail, the last known one stays in use."""

    def __init__(self, context: Context):
        self._settings = context.settings.vm_list
        self._client = AsyncHTTPClient(force_instance=True)
        self._vms: dict[str, Vm] = {}
        self._departed_entry_addresses: set[str] = set()
        self._etag = ""
        self._failing = False
        self._subscribers: list[asyncio.Queue[VmsChanged]] = []

    @property
    def vms(self) -> dict[str, Vm]:
        """Last known VMs by id."""
        return self._vms

    @property
    def departed_entry_addresses(self) -> set[str]:
        """Addresses of entry VMs that were listed before and no longer are."""
        return self._departed_entry_addresses

    def subscribe(self) -> asyncio.Queue[VmsChanged]:
        """Return a queue that receives a message after each change."""
        queue: asyncio.Queue[VmsChanged] = asyncio.Queue()
        self._subscribers.append(queue)
        return queue

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                await self.poll()
                await asyncio.sleep(self._settings.interval_s)
        finally:
            self._client.close()

    async def poll(self) -> None:
        """Fetch the list once; a failure is logged, and the last known list stays."""
        try:
            listing = await self._fetch()
        except (OSError, HTTPClientError, msgspec.DecodeError) as exc:
            self._note_failure(exc)
            return
        self._failing = False
        if listing is not None:
            self.accept(listing)

    async def _fetch(self) -> VmListing | None:
        headers = {"If-None-Match": self._etag} if self._etag else {}
        request = HTTPRequest(
            self._settings.url,
            headers=headers,
            connect_timeout=REQUEST_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
        )
        response = await self._client.fetch(request, raise_error=False)
        if response.code == NOT_MODIFIED:
            return None
        response.rethrow()
        if len(response.body) > MAX_RESPONSE_BYTES:
            raise OSError(f"the VM list has {len(response.body)} bytes")
        listing = msgspec.json.decode(response.body, type=VmListing)
        # Set only once the list is decoded; otherwise the next poll would get "not
        # modified" for a list that was never accepted.
        self._etag = response.headers.get("ETag", "")
        return listing

    def accept(self, listing: VmListing) -> None:
        """Store a list and notify subscribers if it has changed."""
        vms = {vm.id: vm for vm in listing.vms}
        if vms == self._vms:
            return
        self._update_departed_entry_addresses(vms)
        self._vms = vms
        for queue in self._subscribers:
            queue.put_nowait(VmsChanged(listing.version))

    def _update_departed_entry_addresses(self, vms: dict[str, Vm]) -> None:
        # An empty list is treated as a fault of the platform, not as evidence that the
        # machines are gone.
        if not vms:
            return
        listed = _entry_addresses(vms)
        self._departed_entry_addresses |= _entry_addresses(self._vms) - listed
        self._departed_entry_addresses -= listed

    def _note_failure(self, exc: Exception) -> None:
        if not self._failing:
            logging.warning(
                "could not fetch the VM list, keeping the last one: %s", exc
            )
        self._failing = True


def _entry_addresses(vms: dict[str, Vm]) -> set[str]:
    return {vm.address for vm in vms.values() if vm.role == "entry"}
