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
    """Asks the former owners of a shard to depose until all are proved gone.

    Args:
        context: Clock of this process.
        peers: Calls other entry processes.
        owner: This owner, with the former ones.
        taken_over_at: Monotonic time of the takeover, in seconds.
        departed: Returns the peer addresses of entry VMs that the platform's list
            does not name any more.
    """

    def __init__(
        self,
        context: Context,
        peers: PeerClient,
        owner: OwnerInfo,
        taken_over_at: float,
        departed: Callable[[], Collection[str]],
    ):
        self._context = context
        self._peers = peers
        self._owner = owner
        self._left = list(owner.former)
        self._proved_at = taken_over_at
        self._departed = departed

    @property
    def deposed_at(self) -> float | None:
        """When the last former owner was proved gone; ``None`` before that."""
        return None if self._left else self._proved_at

    async def run(self) -> None:
        """Return when all former owners are proved gone."""
        await asyncio.gather(*(self._depose(former) for former in list(self._left)))

    async def _depose(self, former: FormerOwner) -> None:
        while True:
            if await self._is_gone(former):
                break
            await asyncio.sleep(ASK_INTERVAL_S)
        self._left.remove(former)
        self._proved_at = self._context.clock()
        logging.info(
            "shard %s: former owner %s of epoch %d is proved gone",
            self._owner.shard,
            former.process_id,
            former.epoch,
        )

    async def _is_gone(self, former: FormerOwner) -> bool:
        if former.peer_address in self._departed():
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

    A timeout proves nothing: the process may be paused or cut off.
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
