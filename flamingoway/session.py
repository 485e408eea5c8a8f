"""Session of this process in the store: one lease and the key ``process/<id>``."""

import random
from collections.abc import Callable

import msgspec
from absl import logging

from .errors import StoreOutcomeUnknown, StoreUnavailable
from .messages import ProcessInfo
from .store import Put, Store
from .store.follow import Backoff, Sleep

# Renewals for each TTL; two may fail before the lease lapses.
RENEWALS_PER_TTL = 3

NEVER = float("-inf")

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(ProcessInfo)


def encode_process(process: ProcessInfo) -> bytes:
    """Encode the value of ``process/<id>``."""
    return _ENCODER.encode(process)


def decode_process(data: bytes) -> ProcessInfo:
    """Decode the value of ``process/<id>``.

    Raises:
        msgspec.DecodeError: If the bytes are not a process.
    """
    return _DECODER.decode(data)


class Session:
    """Keeps the lease alive and the process registered.

    The peer port must be bound before :meth:`run`, because registration ends the
    session of an earlier start at the same address.

    Args:
        store: Key-value service.
        key: Key of this process.
        process: Value of the key.
        ttl_s: TTL of the lease, in seconds.
        clock: Monotonic clock in seconds.
        rng: For jitter.
        sleep: Waits some seconds.
        on_lost: Called when the store says that the lease has lapsed.
        is_registered: Whether the key exists, as far as is known.
    """

    def __init__(
        self,
        store: Store,
        key: str,
        process: ProcessInfo,
        ttl_s: int,
        clock: Callable[[], float],
        rng: random.Random,
        sleep: Sleep,
        on_lost: Callable[[], None],
        is_registered: Callable[[], bool],
    ):
        self._store = store
        self._key = key
        self._process = process
        self._ttl_s = ttl_s
        self._clock = clock
        self._backoff = Backoff(rng)
        self._sleep = sleep
        self._on_lost = on_lost
        self._is_registered = is_registered
        self._lease_id = 0
        self._last_contact = NEVER
        self._started_at = NEVER
        self._starts = 0
        self._closed = False
        self._failing = False

    @property
    def lease_id(self) -> int:
        """Id of the lease, 0 without a session."""
        return self._lease_id

    @property
    def last_contact(self) -> float:
        """Clock time at which the last confirmed renewal was sent."""
        return self._last_contact

    @property
    def started_at(self) -> float:
        """Clock time at which the current session was registered."""
        return self._started_at

    @property
    def is_first(self) -> bool:
        """Whether no session of this process was lost before the current one."""
        return self._starts <= 1

    async def run(self) -> None:
        """Register and renew until :meth:`close`."""
        while not self._closed:
            try:
                await self._step()
                self._backoff.reset()
                self._failing = False
                delay = self._ttl_s / RENEWALS_PER_TTL
            except (StoreUnavailable, StoreOutcomeUnknown) as exc:
                self._report(exc.message)
                delay = self._backoff.next()
            await self._sleep(delay)

    async def close(self) -> None:
        """End the session; its keys are deleted, at the latest after the TTL."""
        self._closed = True
        lease_id, self._lease_id = self._lease_id, 0
        if not lease_id:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except (StoreUnavailable, StoreOutcomeUnknown) as exc:
            logging.warning("session is left to lapse: %s", exc.message)

    def _report(self, message: str) -> None:
        if not self._failing:
            logging.warning("session is not renewed: %s", message)
        self._failing = True

    async def _step(self) -> None:
        if not self._lease_id:
            await self._register()
            return
        await self._renew()
        if self._lease_id and not self._is_registered():
            await self._announce(self._lease_id)

    async def _register(self) -> None:
        sent_at = self._clock()
        lease_id = await self._store.grant_lease(self._ttl_s)
        await self._end_earlier_start()
        await self._announce(lease_id)
        if self._closed:
            await self._store.revoke_lease(lease_id)
            return
        self._lease_id = lease_id
        self._last_contact = sent_at
        self._started_at = self._clock()
        self._starts += 1

    async def _renew(self) -> None:
        sent_at = self._clock()
        remaining = await self._store.keep_alive(self._lease_id)
        if remaining > 0:
            self._last_contact = sent_at
            return
        if self._closed:
            return
        logging.warning("session %d has lapsed", self._lease_id)
        self._lease_id = 0
        self._on_lost()
        await self._register()

    async def _announce(self, lease_id: int) -> None:
        value = encode_process(self._process)
        await self._store.txn([], [Put(self._key, value, lease_id)])

    async def _end_earlier_start(self) -> None:
        # The port is bound here, so an earlier start at this address has ended.
        # Its shards become free now instead of when its lease lapses.
        item = await self._store.get(self._key)
        if item is None or not item.lease:
            return
        earlier = decode_process(item.value)
        same_address = earlier.peer_address == self._process.peer_address
        if same_address and earlier.incarnation != self._process.incarnation:
            await self._store.revoke_lease(item.lease)
