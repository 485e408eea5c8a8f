"""Membership of this process in the cell: session, live processes, shard owners."""

import asyncio
from dataclasses import dataclass

from absl import logging

from .context import Context
from .errors import StoreOutcomeUnknown, StoreUnavailable
from .messages import OwnerInfo, ProcessInfo
from .ownership import Acquired, Ownership
from .roster import OwnerRoster, OwnersChanged, ProcessesChanged, ProcessRoster
from .session import Session
from .store import Store
from .store.follow import Backoff, Listener, Sleep, follow
from .store.keys import Keys
from .takeover import takeover_delay

# Interval at which processes that did not return after an outage are dropped.
EXPIRY_INTERVAL_S = 1.0

# Interval at which a waiting candidate checks whether its turn has come.
CLAIM_POLL_S = 0.1

# After an outage the former owner retakes its shard first, which spares the new
# owner's reading of the log and attaching to all workers.
RECLAIM_GRACE_S = 2.0

# Margin over the lease horizon for which former owners are kept.
FORMER_RETENTION_FACTOR = 1.5

# Part of the TTL without contact after which vanished processes are retained.
SUSPECT_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class SessionLost:
    """The session lapsed; other processes may take the shards held here.

    Attributes:
        held: Shards held until now; see ``Membership.reclaim``.
    """

    held: list[OwnerInfo]


Event = ProcessesChanged | OwnersChanged | SessionLost


class Membership:
    """Session, process list and shard ownership of one process.

    Args:
        context: Settings and clocks.
        store: Key-value service.
        sleep: Waits some seconds; tests pass that of a fake clock.
    """

    def __init__(self, context: Context, store: Store, sleep: Sleep = asyncio.sleep):
        settings = context.settings
        self._context = context
        self._store = store
        self._sleep = sleep
        self._keys = Keys(settings.cell)
        self._self = _describe(context)
        self._roster = ProcessRoster(
            self._keys.processes, context.clock, self._is_suspect, self._publish
        )
        self._shards = {
            shard.name: OwnerRoster(
                shard.name, self._keys.owner(shard.name), context.clock, self._publish
            )
            for shard in settings.shards
        }
        self._held: dict[str, OwnerInfo] = {}
        self._queues: set[asyncio.Queue[Event]] = set()
        retention_s = settings.limits.lease_horizon_s * FORMER_RETENTION_FACTOR
        self._ownership = Ownership(
            store, self._keys, self._self, context.wall, retention_s
        )
        self._session = Session(
            store,
            self._keys.process(settings.process_id),
            self._self,
            settings.store.session_ttl_s,
            context.clock,
            context.rng,
            sleep,
            self._lose_session,
            lambda: self._roster.is_registered(settings.process_id),
        )

    @property
    def process(self) -> ProcessInfo:
        """This process."""
        return self._self

    @property
    def processes(self) -> dict[str, ProcessInfo]:
        """Live entry processes by id; the last known ones while the store is down."""
        return self._roster.live

    @property
    def owners(self) -> dict[str, OwnerInfo]:
        """Current owner by shard; a free shard is absent."""
        return {s: r.owner for s, r in self._shards.items() if r.owner is not None}

    @property
    def store_up(self) -> bool:
        """Whether the session was renewed within its TTL."""
        ttl_s = self._context.settings.store.session_ttl_s
        return self._context.clock() - self._session.last_contact < ttl_s

    @property
    def last_store_contact(self) -> float:
        """Clock time at which the last confirmed renewal was sent."""
        return self._session.last_contact

    def subscribe(self) -> asyncio.Queue[Event]:
        """Return a queue of coming events; read the properties for the start."""
        queue: asyncio.Queue[Event] = asyncio.Queue()
        self._queues.add(queue)
        return queue

    def unsubscribe(self, queue: asyncio.Queue[Event]) -> None:
        """Stop delivery to a queue."""
        self._queues.discard(queue)

    async def run(self) -> None:
        """Keep the session and follow processes and owners until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._session.run())
            group.create_task(self._expire_retained())
            group.create_task(self._follow(self._keys.processes, self._roster))
            # The log lies under the same prefix, and following it would bring
            # every write of every shard to every process.
            for shard, roster in self._shards.items():
                key = self._keys.owner(shard)
                group.create_task(self._follow(key, roster))

    async def claim(self, shard: str) -> Acquired:
        """Wait until this process should take the shard, and acquire it."""
        backoff = Backoff(self._context.rng)
        while True:
            if not self._is_my_turn(shard):
                await self._sleep(CLAIM_POLL_S)
                continue
            try:
                await self._repeat_release(shard)
                acquired = await self.acquire(shard)
            except (StoreUnavailable, StoreOutcomeUnknown) as exc:
                logging.warning("shard %s is not acquired: %s", shard, exc.message)
                acquired = None
            if acquired is not None:
                return acquired
            await self._sleep(backoff.next())

    async def acquire(self, shard: str) -> Acquired | None:
        """Take a free shard; ``None`` without a session or if it is not free.

        Raises:
            StoreUnavailable: If the shard was not acquired.
            StoreOutcomeUnknown: If it may have been acquired; call again.
            msgspec.DecodeError: If the value of the shard's epoch is damaged.
        """
        lease_id = self._session.lease_id
        if not lease_id:
            return None
        acquired = await self._ownership.acquire(shard, lease_id)
        if acquired is None:
            return None
        if self._session.lease_id != lease_id:
            logging.warning("shard %s: the session ended meanwhile", shard)
            return None
        self._held[shard] = acquired.owner
        return acquired

    async def reclaim(self, owner: OwnerInfo) -> bool:
        """Keep a shard after ``SessionLost``, at the same epoch, if still possible.

        Raises:
            StoreUnavailable: If nothing was changed, or there is no session yet.
            StoreOutcomeUnknown: If the shard may be held again; call again.
        """
        lease_id = self._session.lease_id
        if not lease_id:
            raise StoreUnavailable("there is no session")
        # Held before the answer, so that claim() does not release it meanwhile.
        self._held[owner.shard] = owner
        if not await self._ownership.reclaim(owner, lease_id):
            self._drop(owner)
            return False
        if self._session.lease_id != lease_id:
            raise StoreUnavailable("the session ended meanwhile")
        return True

    async def release(self, owner: OwnerInfo) -> None:
        """Give up a shard, so that another process can take it at once.

        Raises:
            StoreUnavailable: If the store was not told; the lease will lapse.
            StoreOutcomeUnknown: If the store may have been told.
        """
        self._drop(owner)
        await self._ownership.release(owner)

    async def close(self) -> None:
        """End the session; everything held is free for others."""
        self._held.clear()
        await self._session.close()

    async def _follow(self, prefix: str, listener: Listener) -> None:
        await follow(self._store, prefix, listener, self._context.rng, self._sleep)

    def _is_my_turn(self, shard: str) -> bool:
        if not self._session.lease_id or not self.store_up:
            return False
        if self._ownership.is_unresolved(shard) or self._is_left_over(shard):
            return True
        now = self._context.clock()
        free_since = self._shards[shard].free_since
        if free_since is None or self._is_grace_time(now):
            return False
        region = self._context.settings.shard(shard).region
        live = self.processes.values()
        delay = takeover_delay(shard, region, live, self._self.process_id)
        return delay is not None and now - free_since >= delay

    def _is_left_over(self, shard: str) -> bool:
        """Tell whether the owner key is this process's although it gave it up."""
        owner = self._shards[shard].owner
        if owner is None or shard in self._held:
            return False
        return owner.incarnation == self._self.incarnation

    async def _repeat_release(self, shard: str) -> None:
        if self._ownership.is_unresolved(shard) or not self._is_left_over(shard):
            return
        await self._ownership.release(self._shards[shard].owner)

    def _is_suspect(self) -> bool:
        ttl_s = self._context.settings.store.session_ttl_s
        silence = self._context.clock() - self._session.last_contact
        return silence > SUSPECT_FRACTION * ttl_s

    def _is_grace_time(self, now: float) -> bool:
        recent = now - self._session.started_at < RECLAIM_GRACE_S
        return recent and not self._session.is_first

    def _drop(self, owner: OwnerInfo) -> None:
        if self._held.get(owner.shard) == owner:
            del self._held[owner.shard]

    def _lose_session(self) -> None:
        held = list(self._held.values())
        self._held.clear()
        self._publish(SessionLost(held))

    def _publish(self, event: Event) -> None:
        for queue in self._queues:
            queue.put_nowait(event)

    async def _expire_retained(self) -> None:
        while True:
            await self._sleep(EXPIRY_INTERVAL_S)
            self._roster.expire()


def _describe(context: Context) -> ProcessInfo:
    settings = context.settings
    return ProcessInfo(
        process_id=settings.process_id,
        incarnation=context.incarnation,
        region=settings.region,
        zone=settings.zone,
        peer_address=settings.peer_address,
        http_address=f"{settings.ip}:{settings.http_port}",
        started_at=context.wall(),
    )
