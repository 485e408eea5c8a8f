"""Checks that an owner still has the current epoch of its shard."""

import asyncio
from collections.abc import Callable

from .context import Context
from .errors import Fenced, StoreOutcomeUnknown, StoreUnavailable
from .membership import Membership, OwnersChanged
from .ownership import Acquisition
from .store import Store
from .store.keys import Keys

# Interval between reads of the epoch; the lease horizon counts from the last one that
# confirmed it.
CONFIRM_INTERVAL_S = 10.0


class EpochGuard:
    """Watches for a newer owner and limits renewals to the lease horizon.

    Args:
        context: Settings and clocks.
        store: Holds the epoch.
        membership: Reports other owners.
        acquired: Result of the acquisition.

    Attributes:
        on_confirmed: Called after each confirmation of the epoch.
    """

    def __init__(
        self,
        context: Context,
        store: Store,
        membership: Membership,
        acquired: Acquisition,
    ):
        self._context = context
        self._store = store
        self._membership = membership
        self._acquired = acquired
        self._key = Keys(context.settings.cell).epoch(acquired.owner.shard)
        self._confirmed_at = context.clock()
        self.on_confirmed: Callable[[], None] = lambda: None

    def may_grant_leases(self) -> bool:
        """Tell whether leases may be granted or renewed."""
        # Counts from the last read that confirmed the epoch. A renewed session is not
        # enough: it may be a new one, begun after another process took over.
        age_s = self._context.clock() - self._confirmed_at
        return age_s < self._context.settings.limits.lease_horizon_s

    def may_start(self) -> bool:
        """Tell whether starts may be sent."""
        # A start may have waited for its worker since its commit. Another process takes
        # over at the earliest when a session has not been renewed for its TTL.
        age_s = self._context.clock() - self._confirmed_at
        return age_s < self._context.settings.store.session_ttl_s

    def note_confirmed(self, sent_at: float) -> None:
        """Note a write that the store applied on the condition of the epoch.

        Args:
            sent_at: Clock time at which the write was sent, in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)
        self.on_confirmed()

    async def confirm(self) -> None:
        """Check once that the epoch in the store is this owner's.

        Raises:
            Fenced: If another process has raised the epoch.
            StoreUnavailable: If the store cannot be reached.
        """
        requested_at = self._context.clock()
        entry = await self._store.get(self._key)
        if entry is None or entry.mod_revision != self._acquired.epoch_revision:
            raise self._fenced_error()
        self.note_confirmed(requested_at)

    async def run(self) -> None:
        """Confirm the epoch at intervals, also while nothing is committed.

        Raises:
            Fenced: If another process has raised the epoch.
        """
        while True:
            await asyncio.sleep(CONFIRM_INTERVAL_S)
            try:
                await self.confirm()
            except (StoreUnavailable, StoreOutcomeUnknown):
                continue

    async def follow_owners(self) -> None:
        """Watch for a newer owner.

        Raises:
            Fenced: As soon as there is one.
        """
        own = self._acquired.owner
        events = self._membership.subscribe()
        try:
            while True:
                event = await events.get()
                owner = self._membership.owners.get(own.shard)
                if not isinstance(event, OwnersChanged) or owner is None:
                    continue
                if owner.epoch > own.epoch:
                    raise self._fenced_error()
        finally:
            self._membership.unsubscribe(events)

    def _fenced_error(self) -> Fenced:
        own = self._acquired.owner
        return Fenced(f"shard {own.shard}: epoch {own.epoch} is no longer current")
