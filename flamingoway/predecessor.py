"""Proof that the former owners of a shard send nothing more to workers."""

import asyncio
from collections.abc import Callable, Collection

from absl import logging

from .context import Context
from .errors import FlamingowayError
from .messages import Depose, DeposeReply, FormerOwner, OwnerInfo
from .peer import PeerClient

ASK_TIMEOUT_S = 1.0
ASK_INTERVAL_S = 1.0


class FormerOwners:
    """Asks the former owners of a shard to give it up until all are deposed.

    A former owner is deposed once it confirms that it has given up the shard, or once
    its process has ended.

    Args:
        context: Clock of this process.
        peers: Calls other entry processes.
        owner: This owner, with the list of former ones.
        taken_over_at: Monotonic time of the takeover, in seconds.
        departed_entry_addresses: Returns the peer addresses of entry VMs that have
            been removed from the platform's VM list.
    """

    def __init__(
        self,
        context: Context,
        peers: PeerClient,
        owner: OwnerInfo,
        taken_over_at: float,
        departed_entry_addresses: Callable[[], Collection[str]],
    ):
        self._context = context
        self._peers = peers
        self._owner = owner
        self._remaining = list(owner.former)
        self._last_deposed_at = taken_over_at
        self._departed_entry_addresses = departed_entry_addresses

    @property
    def deposed_at(self) -> float | None:
        """Monotonic time when the last former owner was deposed, or ``None``."""
        return None if self._remaining else self._last_deposed_at

    async def run(self) -> None:
        """Return when all former owners are deposed."""
        await asyncio.gather(
            *(self._wait_until_deposed(former) for former in list(self._remaining))
        )

    async def _wait_until_deposed(self, former: FormerOwner) -> None:
        while True:
            if await self._is_deposed(former):
                break
            await asyncio.sleep(ASK_INTERVAL_S)
        self._remaining.remove(former)
        self._last_deposed_at = self._context.clock()
        logging.info(
            "shard %s: former owner %s of epoch %d is deposed",
            self._owner.shard,
            former.process_id,
            former.epoch,
        )

    async def _is_deposed(self, former: FormerOwner) -> bool:
        if former.peer_address in self._departed_entry_addresses():
            return True
        if await refuses_connections(former.peer_address):
            return True
        request = Depose(self._owner.shard, self._owner.epoch)
        try:
            reply = await self._peers.call(
                former.peer_address, request, ASK_TIMEOUT_S, DeposeReply
            )
        except FlamingowayError:
            return False
        return reply.dropped or reply.incarnation != former.incarnation


async def refuses_connections(address: str) -> bool:
    """Tell whether the machine answers that nothing listens at ``IP:port``.

    A timeout proves nothing: the process may be paused or cut off from the network.
    """
    ip, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(ASK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(ip, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
