"""Session of this process in the store: one lease and the key ``process/<id>``."""

import random
from collections.abc import Callable

import msgspec
from absl import logging

from .errors import StoreOutcomeUnknown, StoreUnavailable
from .messages import ProcessInfo
from .store import Put, Store
from .store.watch import Backoff, Sleep

# Two renewals in a row may fail before the lease expires.
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

    The peer port must be bound before :meth:`run`, because registration revokes the
    lease of a previous incarnation at the same address.

    Args:
        store: Key-value service.
        key: Key of this process.
        process: Value of the key.
        ttl_s: TTL of the lease, in seconds.
        clock: Monotonic clock in seconds.
        rng: Source of the jitter of retries.
        sleep: Sleeps for a number of seconds.
        on_lost: Called when the store reports that the lease has expired.
        is_registered: Tells whether the key existed when the store was last read.
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
        self._registrations = 0
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
        return self._registrations <= 1

    async def run(self) -> None:
        """Register and renew until :meth:`close`."""
        while not self._closed:
            try:
                await self._register_or_renew()
                self._backoff.reset()
                self._failing = False
                delay_s = self._ttl_s / RENEWALS_PER_TTL
            except (StoreUnavailable, StoreOutcomeUnknown) as exc:
                self._note_failure(exc.message)
                delay_s = self._backoff.next()
            await self._sleep(delay_s)

    async def close(self) -> None:
        """End the session.

        Its keys are deleted at once, or after the TTL if the store does not answer.
        """
        self._closed = True
        lease_id, self._lease_id = self._lease_id, 0
        if not lease_id:
            return
        try:
            await self._store.revoke_lease(lease_id)
        except (StoreUnavailable, StoreOutcomeUnknown) as exc:
            logging.warning(
                "could not revoke the session's lease, it will expire: %s", exc.message
            )

    def _note_failure(self, message: str) -> None:
        if not self._failing:
            logging.warning("could not register or renew the session: %s", message)
        self._failing = True

    async def _register_or_renew(self) -> None:
        if not self._lease_id:
            await self._register()
            return
        await self._renew()
        if self._lease_id and not self._is_registered():
            await self._put_process_key(self._lease_id)

    async def _register(self) -> None:
        sent_at = self._clock()
        lease_id = await self._store.grant_lease(self._ttl_s)
        await self._end_previous_incarnation()
        await self._put_process_key(lease_id)
        if self._closed:
            await self._store.revoke_lease(lease_id)
            return
        self._lease_id = lease_id
        self._last_contact = sent_at
        self._started_at = self._clock()
        self._registrations += 1

    async def _renew(self) -> None:
        sent_at = self._clock()
        remaining_s = await self._store.keep_alive(self._lease_id)
        if remaining_s > 0:
            self._last_contact = sent_at
            return
        if self._closed:
            return
        logging.warning("session %d has expired", self._lease_id)
        self._lease_id = 0
        self._on_lost()
        await self._register()

    async def _put_process_key(self, lease_id: int) -> None:
        value = encode_process(self._process)
        await self._store.txn([], [Put(self._key, value, lease_id)])

    async def _end_previous_incarnation(self) -> None:
        # This process has bound the port, so a previous incarnation at this address
        # has ended. Revoking its lease frees its shards before the lease expires.
        item = await self._store.get(self._key)
        if item is None or not item.lease:
            return
        previous = decode_process(item.value)
        same_address = previous.peer_address == self._process.peer_address
        if same_address and previous.incarnation != self._process.incarnation:
            await self._store.revoke_lease(item.lease)
