"""Detects outages of the store and their end, and gives up calls that got lost."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import BadRequest, StoreOutcomeUnknown, StoreUnavailable
from . import (
    ChangeSet,
    Compare,
    Delete,
    KeyValue,
    LeaseExpired,
    Put,
    RangeResult,
    RevisionCompacted,
    Store,
    TxnResult,
)

# A call without an answer for this long counts as lost if a later call was answered,
# and as the sign of an outage if none was. A slow store answers within 0.5 s.
STALL_S = 0.6
# During an outage a probe is sent at this interval, whether or not earlier ones were
# answered, so that the end of the outage is found at once.
PROBE_INTERVAL_S = 0.1
# A probe that takes longer found no answer; a slow store answers within 0.5 s.
PROBE_TIMEOUT_S = 1.0


@dataclass(slots=True, eq=False)
class _Call:
    """A call in flight.

    Attributes:
        began: Time at which it was sent.
        scope: Ends the call when it is rescheduled.
        waits: Whether the store may hold back the answer until something changes.
    """

    began: float
    scope: asyncio.Timeout
    waits: bool


class MonitoredStore:
    """Store that passes calls on to another store and notices outages.

    Args:
        store: Store that executes the calls.
        probe_key: Key that a probe reads.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, store: Store, probe_key: str, clock: Callable[[], float]):
        self._store = store
        self._probe_key = probe_key
        self._clock = clock
        self._calls: set[_Call] = set()
        self._answered_at = float("-inf")
        self._down_since: float | None = None
        self._returned = asyncio.Event()
        self._prober: asyncio.Task | None = None
        self._probes: set[asyncio.Task] = set()
        self._stall_timer: asyncio.TimerHandle | None = None

    @property
    def outage_s(self) -> float:
        """Seconds since the outage was noticed; 0 if there is none."""
        return 0.0 if self._down_since is None else self._clock() - self._down_since

    @property
    def age_s(self) -> float:
        """Seconds since the store last answered a call."""
        return self._clock() - self._answered_at

    async def wait_returned(self, timeout_s: float) -> None:
        """Wait until the store answers again, at most ``timeout_s`` seconds."""
        if self._down_since is None or timeout_s <= 0:
            return
        try:
            async with asyncio.timeout(timeout_s):
                await self._returned.wait()
        except TimeoutError:
            return

    async def get(self, key: str) -> KeyValue | None:
        """Return one key, or ``None``."""
        return await self._read(self._store.get(key))

    async def range(self, prefix: str, start: str = "", limit: int = 0) -> RangeResult:
        """Return the keys that begin with ``prefix``; see ``Store.range``."""
        return await self._read(self._store.range(prefix, start, limit), waits=True)

    async def changes(self, prefix: str, after: int, wait_s: float) -> ChangeSet:
        """Return the changes under ``prefix`` after a revision."""
        return await self._read(self._store.changes(prefix, after, wait_s), waits=True)

    async def txn(
        self,
        compares: list[Compare],
        operations: list[Put | Delete],
        read_on_failure: list[str] | None = None,
    ) -> TxnResult:
        """Apply ``operations`` atomically if all ``compares`` hold."""
        return await self._write(self._store.txn(compares, operations, read_on_failure))

    async def grant_lease(self, ttl: float) -> int:
        """Return the id of a new lease with a TTL of ``ttl`` seconds."""
        return await self._write(self._store.grant_lease(ttl))

    async def keep_alive(self, lease_id: int) -> float:
        """Renew a lease; return its remaining seconds, 0 if it has expired."""
        return await self._write(self._store.keep_alive(lease_id))

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease and delete its keys; no error if it has expired."""
        await self._write(self._store.revoke_lease(lease_id))

    async def close(self) -> None:
        """Stop probing and close the connections to the store."""
        tasks = [*self._probes, *([self._prober] if self._prober else [])]
        for task in tasks:
            task.cancel()
        if self._stall_timer is not None:
            self._stall_timer.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._store.close()

    async def _read(self, call, waits: bool = False):
        try:
            return await self._run(call, waits)
        except TimeoutError:
            raise StoreUnavailable("the answer of the store was lost") from None

    async def _write(self, call):
        try:
            return await self._run(call, False)
        except TimeoutError:
            raise StoreOutcomeUnknown("the answer of the store was lost") from None

    async def _run(self, call, waits: bool):
        began = self._clock()
        try:
            async with asyncio.timeout(None) as scope:
                pending = _Call(began, scope, waits)
                self._calls.add(pending)
                self._schedule_stall_check()
                try:
                    result = await call
                finally:
                    self._calls.discard(pending)
        except (StoreUnavailable, StoreOutcomeUnknown):
            self._on_outage()
            raise
        except (BadRequest, LeaseExpired, RevisionCompacted):
            self._on_answer(began)
            raise
        self._on_answer(began)
        return result

    def _on_answer(self, began: float) -> None:
        self._answered_at = now = self._clock()
        returned = self.outage_s > STALL_S
        self._down_since = None
        self._returned.set()
        for call in self._calls:
            # Connections on which an answer was lost stay silent after an outage.
            lost = returned if call.waits else now - call.began > STALL_S
            if lost and call.began < began and not call.scope.expired():
                call.scope.reschedule(asyncio.get_running_loop().time())

    def _on_outage(self) -> None:
        if self._down_since is not None:
            return
        self._down_since = self._clock()
        self._returned.clear()
        self._prober = asyncio.create_task(self._probe_until_returned())

    def _schedule_stall_check(self) -> None:
        if self._stall_timer is None:
            loop = asyncio.get_running_loop()
            self._stall_timer = loop.call_later(STALL_S, self._check_stall)

    def _check_stall(self) -> None:
        self._stall_timer = None
        now = self._clock()
        short = [call.began for call in self._calls if not call.waits]
        if short and now - min(short) >= STALL_S and self.age_s >= STALL_S:
            self._on_outage()
        if short:
            self._schedule_stall_check()

    async def _probe_until_returned(self) -> None:
        await asyncio.sleep(PROBE_INTERVAL_S)
        while self._down_since is not None:
            probe = asyncio.create_task(self._probe())
            self._probes.add(probe)
            probe.add_done_callback(self._probes.discard)
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self) -> None:
        began = self._clock()
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._store.get(self._probe_key)
        except (StoreUnavailable, TimeoutError):
            return
        except BadRequest:
            # The store rejected the key, so it answers.
            pass
        self._on_answer(began)
