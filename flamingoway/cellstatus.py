"""State of the cell, gathered from all live entry processes."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from .errors import FlamingowayError
from .messages import GetStatus, ProcessInfo, StatusReply
from .peer import PeerClient, PeerServer
from .settings import Settings

# Limits the delay that a paused process causes for the whole status.
STATUS_TIMEOUT_S = 1.5


class CellStatus:
    """Collects the state of every live entry process.

    Args:
        settings: Settings with the names of the cell, this process and environments.
        client: Client for calls to the other entry processes.
        processes: Returns the live entry processes by id.
        local_status: Returns the state of this process.
    """

    def __init__(
        self,
        settings: Settings,
        client: PeerClient,
        processes: Callable[[], dict[str, ProcessInfo]],
        local_status: Callable[[], StatusReply],
    ):
        self._settings = settings
        self._client = client
        self._processes = processes
        self._local_status = local_status

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handler that gives this process's state to peers."""
        server.handle(GetStatus, self._on_get_status)

    async def gather(self) -> dict[str, Any]:
        """Return processes, shards and documents as JSON-compatible values.

        A process that does not answer is listed with ``reachable`` set to false.
        """
        local_id = self._settings.process_id
        others = [p for p in self._processes().values() if p.process_id != local_id]
        rows = [self._local_row()]
        rows += await asyncio.gather(*(self._fetch_row(process) for process in others))
        rows.sort(key=lambda row: row["process_id"])
        return {
            "cell": self._settings.cell,
            "processes": rows,
            "shards": _shards(rows),
            "documents": self._document_versions(rows),
        }

    async def _on_get_status(self, _request: GetStatus) -> StatusReply:
        return self._local_status()

    def _local_row(self) -> dict[str, Any]:
        address = f"{self._settings.ip}:{self._settings.http_port}"
        row = msgspec.to_builtins(self._local_status())
        return row | {"http_address": address, "reachable": True, "local": True}

    async def _fetch_row(self, process: ProcessInfo) -> dict[str, Any]:
        row: dict[str, Any] = {
            "process_id": process.process_id,
            "incarnation": process.incarnation,
            "zone": process.zone,
            "http_address": process.http_address,
            "reachable": False,
            "local": False,
        }
        try:
            reply = await self._client.call(
                process.peer_address, GetStatus(), STATUS_TIMEOUT_S, StatusReply
            )
        except FlamingowayError as exc:
            return row | {"error": exc.message}
        return row | msgspec.to_builtins(reply) | {"reachable": True}

    def _document_versions(self, rows: list[dict]) -> dict[str, dict[str, int]]:
        """Return the lowest and highest version in effect by environment, 0 if none."""
        ranges = {}
        reachable = [row["documents"] for row in rows if row["reachable"]]
        for environment in self._settings.environments:
            versions = [loaded.get(environment.name, 0) for loaded in reachable]
            ranges[environment.name] = {
                "lowest": min(versions),
                "highest": max(versions),
            }
        return ranges


def _shards(rows: list[dict]) -> dict[str, dict[str, Any]]:
    """Return the shards by name; of two owners the one with the higher epoch."""
    shards: dict[str, dict[str, Any]] = {}
    for row in rows:
        for name, state in row.get("shards", {}).items():
            other = shards.get(name)
            if other is None or state.get("epoch", 0) > other.get("epoch", 0):
                shards[name] = state | {"owner": row["process_id"]}
    return shards
