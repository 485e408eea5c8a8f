"""Membership of this process in the cell: session, live processes, shard owners."""

import asyncio
from dataclasses import dataclass

from absl import logging

from .context import Context
from .errors import StoreOutcomeUnknown, StoreUnavailable
from .messages import OwnerInfo, ProcessInfo
from .ownership import Acquisition, Ownership
from .session import Session
from .store import Store
from .store.keys import Keys
from .store.watch import Backoff, Sleep, WatchListener, watch_prefix
from .takeover import takeover_delay
from .trackers import OwnersChanged, OwnerTracker, ProcessesChanged, ProcessTracker

# Interval of the check for processes that did not register again after an outage.
RETAINED_EXPIRY_INTERVAL_S = 1.0

# Interval at which a candidate checks whether it may acquire a shard.
CLAIM_POLL_INTERVAL_S = 0.1

# After an outage the former owner may reclaim its shard first; a new owner would
# have to read the log and attach to all workers.
RECLAIM_GRACE_S = 2.0

# Former owners are kept for this multiple of the lease horizon.
FORMER_OWNER_RETENTION_FACTOR = 1.5

# Fraction of the session TTL without store contact after which processes whose keys
# vanish stay listed: the store may have had an outage.
SUSPECT_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class SessionLost:
    """The session expired; other processes may acquire the shards held here.

    Attributes:
        held: Shards held until then; see ``Membership.reclaim``.
    """

    held: list[OwnerInfo]


Event = ProcessesChanged | OwnersChanged | SessionLost


class Membership:
    """Session, process list and shard ownership of one process.

    Args:
        context: Settings and clocks.
        store: Key-value service.
        sleep: Sleeps for a number of seconds; tests pass that of a fake clock.
    """

    def __init__(self, context: Context, store: Store, sleep: Sleep = asyncio.sleep):
        settings = context.settings
        self._context = context
        self._store = store
        self._sleep = sleep
        self._keys = Keys(settings.cell)
        self._process = _process_info(context)
        self._process_tracker = ProcessTracker(
            self._keys.processes, context.clock, self._is_store_suspect, self._publish
        )
        self._owner_trackers = {
            shard.name: OwnerTracker(
                shard.name, self._keys.owner(shard.name), context.clock, self._publish
            )
            for shard in settings.shards
        }
        self._held: dict[str, OwnerInfo] = {}
        self._subscribers: set[asyncio.Queue[Event]] = set()
        retention_s = settings.limits.lease_horizon_s * FORMER_OWNER_RETENTION_FACTOR
        self._ownership = Ownership(
            store, self._keys, self._process, context.wall_clock, retention_s
        )
        self._session = Session(
            store,
            self._keys.process(settings.process_id),
            self._process,
            settings.store.session_ttl_s,
            context.clock,
            context.rng,
            sleep,
            self._on_session_lost,
            lambda: self._process_tracker.is_registered(settings.process_id),
        )

    @property
    def process(self) -> ProcessInfo:
        """This process."""
        return self._process

    @property
    def processes(self) -> dict[str, ProcessInfo]:
        """Live entry processes by id; during a store outage the last known ones."""
        return self._process_tracker.live

    @property
    def owners(self) -> dict[str, OwnerInfo]:
        """Current owner by shard; a free shard is absent."""
        return {
            s: t.owner for s, t in self._owner_trackers.items() if t.owner is not None
        }

    @property
    def store_up(self) -> bool:
        """Whether the session was renewed within its TTL."""
        ttl_s = self._context.settings.store.session_ttl_s
        return self._context.clock() - self._session.last_contact < ttl_s

    @property
    def last_store_contact(self) -> float:
        """Clock time at which the last confirmed renewal was sent."""
        return self._session.last_contact

    @property
    def session_started_at(self) -> float:
        """Clock time at which the current session was registered."""
        return self._session.started_at

    def subscribe(self) -> asyncio.Queue[Event]:
        """Return a queue of future events; the properties give the current state."""
        queue: asyncio.Queue[Event] = asyncio.Queue()
        self._subscribers.add(queue)
        return queue

    def unsubscribe(self, queue: asyncio.Queue[Event]) -> None:
        """Stop delivering events to a queue."""
        self._subscribers.discard(queue)

    async def run(self) -> None:
        """Keep the session alive and watch processes and owners until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._session.run())
            group.create_task(self._expire_retained())
            group.create_task(
                self._watch_prefix(self._keys.processes, self._process_tracker)
            )
            # Each owner key is watched by itself: the log is under the same prefix,
            # and a watch on it would send every write of every shard to every process.
            for shard, tracker in self._owner_trackers.items():
                key = self._keys.owner(shard)
                group.create_task(self._watch_prefix(key, tracker))

    async def claim(self, shard: str) -> Acquisition:
        """Wait until this process is due to take the shard, then acquire it."""
        backoff = Backoff(self._context.rng)
        while True:
            if not self._should_claim(shard):
                await self._sleep(CLAIM_POLL_INTERVAL_S)
                continue
            try:
                await self._release_stale_owner_key(shard)
                acquired = await self.acquire(shard)
            except (StoreUnavailable, StoreOutcomeUnknown) as exc:
                logging.warning("could not acquire shard %s: %s", shard, exc.message)
                acquired = None
            if acquired is not None:
                return acquired
            await self._sleep(backoff.next())

    async def acquire(self, shard: str) -> Acquisition | None:
        """Acquire a free shard; ``None`` without a session or if it is not free.

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
            logging.warning("shard %s: session ended while acquiring it", shard)
            return None
        self._held[shard] = acquired.owner
        return acquired

    async def reclaim(self, owner: OwnerInfo) -> bool:
        """Take back a shard after ``SessionLost``, at the same epoch.

        Returns:
            ``False`` if another process has raised the epoch or holds the owner key.

        Raises:
            StoreUnavailable: If nothing was changed, there is no session yet, or the
                session ended during the call.
            StoreOutcomeUnknown: If the shard may be held again; call again.
        """
        lease_id = self._session.lease_id
        if not lease_id:
            raise StoreUnavailable("no session with the store")
        # Recorded before the store answers, so that claim() does not release the
        # owner key meanwhile.
        self._held[owner.shard] = owner
        if not await self._ownership.reclaim(owner, lease_id):
            self._forget_held(owner)
            return False
        if self._session.lease_id != lease_id:
            raise StoreUnavailable("session ended while reclaiming the shard")
        return True

    async def release(self, owner: OwnerInfo) -> None:
        """Release a shard, so that another process can acquire it at once.

        Raises:
            StoreUnavailable: If the owner key remains until its lease expires.
            StoreOutcomeUnknown: If the owner key may have been deleted.
        """
        self._forget_held(owner)
        await self._ownership.release(owner)

    async def close(self) -> None:
        """End the session, which frees all shards held by this process."""
        self._held.clear()
        await self._session.close()

    async def _watch_prefix(self, prefix: str, listener: WatchListener) -> None:
        await watch_prefix(
            self._store, prefix, listener, self._context.rng, self._sleep
        )

    def _should_claim(self, shard: str) -> bool:
        if not self._session.lease_id or not self.store_up:
            return False
        if self._ownership.is_unresolved(shard) or self._has_stale_owner_key(shard):
            return True
        now = self._context.clock()
        free_since = self._owner_trackers[shard].free_since
        if free_since is None or self._is_in_reclaim_grace(now):
            return False
        region = self._context.settings.shard(shard).region
        live = self.processes.values()
        delay = takeover_delay(shard, region, live, self._process.process_id)
        return delay is not None and now - free_since >= delay

    def _has_stale_owner_key(self, shard: str) -> bool:
        """Tell whether the owner key names this process, which released the shard."""
        owner = self._owner_trackers[shard].owner
        if owner is None or shard in self._held:
            return False
        return owner.incarnation == self._process.incarnation

    async def _release_stale_owner_key(self, shard: str) -> None:
        if self._ownership.is_unresolved(shard) or not self._has_stale_owner_key(shard):
            return
        await self._ownership.release(self._owner_trackers[shard].owner)

    def _is_store_suspect(self) -> bool:
        ttl_s = self._context.settings.store.session_ttl_s
        silence_s = self._context.clock() - self._session.last_contact
        return silence_s > SUSPECT_FRACTION * ttl_s

    def _is_in_reclaim_grace(self, now: float) -> bool:
        is_recent = now - self._session.started_at < RECLAIM_GRACE_S
        return is_recent and not self._session.is_first

    def _forget_held(self, owner: OwnerInfo) -> None:
        if self._held.get(owner.shard) == owner:
            del self._held[owner.shard]

    def _on_session_lost(self) -> None:
        held = list(self._held.values())
        self._held.clear()
        self._publish(SessionLost(held))

    def _publish(self, event: Event) -> None:
        for queue in self._subscribers:
            queue.put_nowait(event)

    async def _expire_retained(self) -> None:
        while True:
            await self._sleep(RETAINED_EXPIRY_INTERVAL_S)
            self._process_tracker.expire()


def _process_info(context: Context) -> ProcessInfo:
    settings = context.settings
    return ProcessInfo(
        process_id=settings.process_id,
        incarnation=context.incarnation,
        region=settings.region,
        zone=settings.zone,
        peer_address=settings.peer_address,
        http_address=f"{settings.ip}:{settings.http_port}",
        started_at=context.wall_clock(),
    )
