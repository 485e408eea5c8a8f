"""State of the cell, gathered from all live entry processes."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from .errors import FlamingowayError
from .messages import GetStatus, ProcessInfo, StatusReply
from .peer import PeerClient, PeerServer
from .settings import Settings

# A paused process must not hold up the status of the others.
STATUS_TIMEOUT_S = 1.5


class CellStatus:
    """Asks every live entry process for its state.

    Args:
        settings: Names the cell, this process and the environments.
        client: Calls the other entry processes.
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

    def serve(self, server: PeerServer) -> None:
        """Register the handler that gives this process's state to peers."""
        server.handle(GetStatus, self._on_get_status)

    async def gather(self) -> dict[str, Any]:
        """Return processes, shards and documents as plain values.

        A process that does not answer is listed with ``reachable`` false.
        """
        own = self._settings.process_id
        others = [p for p in self._processes().values() if p.process_id != own]
        rows = [self._own_row()]
        rows += await asyncio.gather(*(self._ask(process) for process in others))
        rows.sort(key=lambda row: row["process_id"])
        return {
            "cell": self._settings.cell,
            "processes": rows,
            "shards": _shards(rows),
            "documents": self._documents(rows),
        }

    async def _on_get_status(self, _request: GetStatus) -> StatusReply:
        return self._local_status()

    def _own_row(self) -> dict[str, Any]:
        address = f"{self._settings.ip}:{self._settings.http_port}"
        row = msgspec.to_builtins(self._local_status())
        return row | {"http_address": address, "reachable": True, "local": True}

    async def _ask(self, process: ProcessInfo) -> dict[str, Any]:
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

    def _documents(self, rows: list[dict]) -> dict[str, dict[str, int]]:
        """Return the lowest and highest version in effect, 0 for none."""
        found = {}
        reachable = [row["documents"] for row in rows if row["reachable"]]
        for environment in self._settings.environments:
            numbers = [known.get(environment.name, 0) for known in reachable]
            found[environment.name] = {"lowest": min(numbers), "highest": max(numbers)}
        return found


def _shards(rows: list[dict]) -> dict[str, dict[str, Any]]:
    """Return the shards by name; of two owners the one with the higher epoch."""
    found: dict[str, dict[str, Any]] = {}
    for row in rows:
        for name, state in row.get("shards", {}).items():
            known = found.get(name)
            if known is None or state.get("epoch", 0) > known.get("epoch", 0):
                found[name] = state | {"owner": row["process_id"]}
    return found
