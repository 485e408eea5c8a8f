"""Acquisition and release of shards in the store.

A new owner raises ``shard/<s>/epoch`` and creates the leased ``shard/<s>/owner``
in one transaction, so that an epoch has at most one owner.
"""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from .errors import StoreOutcomeUnknown, StoreUnavailable
from .messages import FormerOwner, OwnerInfo, ProcessInfo
from .store import Compare, Delete, KeyValue, LeaseExpired, Put, Store, TxnResult
from .store.keys import Keys

# Attempts to learn the outcome of one write before it is reported as unknown.
RESOLVE_ATTEMPTS = 3

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(OwnerInfo)


def encode_owner(owner: OwnerInfo) -> bytes:
    """Encode the value of a shard's ``epoch`` and ``owner`` keys."""
    return _ENCODER.encode(owner)


def decode_owner(data: bytes) -> OwnerInfo:
    """Decode the value of a shard's ``epoch`` or ``owner`` key.

    Raises:
        msgspec.DecodeError: If the bytes are not an owner.
    """
    return _DECODER.decode(data)


@dataclass(frozen=True, slots=True)
class Acquisition:
    """A shard that this process has acquired.

    Attributes:
        owner: This process with its new epoch.
        predecessor: Owner of the previous epoch; ``None`` for the first one.
        epoch_revision: Revision of ``shard/<s>/epoch``; each write of this owner
            is conditional on it.
    """

    owner: OwnerInfo
    predecessor: OwnerInfo | None
    epoch_revision: int


@dataclass(frozen=True, slots=True)
class _AcquisitionAttempt:
    owner: OwnerInfo
    predecessor: OwnerInfo | None
    seen_revision: int
    lease_id: int


class Ownership:
    """Acquires, reclaims and releases shards for one process.

    Args:
        store: Key-value service.
        keys: Key layout of the cell.
        process: This process.
        wall: Wall clock, in seconds since the epoch.
        retention_s: How long former owners are kept in the value of the epoch
            key; at least as long as a former owner may renew task leases.
    """

    def __init__(
        self,
        store: Store,
        keys: Keys,
        process: ProcessInfo,
        wall: Callable[[], float],
        retention_s: float,
    ):
        self._store = store
        self._keys = keys
        self._process = process
        self._wall = wall
        self._retention_s = retention_s
        self._unresolved: dict[str, _AcquisitionAttempt] = {}

    def is_unresolved(self, shard: str) -> bool:
        """Tell whether an earlier acquisition may have taken effect."""
        return shard in self._unresolved

    async def acquire(self, shard: str, lease_id: int) -> Acquisition | None:
        """Acquire a shard that has no owner; ``None`` if another process has it.

        An earlier attempt with an unknown outcome is resolved first: if it took
        effect, only that attempt has the predecessor.

        Raises:
            StoreUnavailable: If the shard was not acquired.
            StoreOutcomeUnknown: If it may have been acquired; call again.
        """
        attempt = self._unresolved.get(shard)
        if attempt is None:
            attempt = await self._prepare(shard, lease_id)
        return await self._send_until_resolved(attempt)

    async def reclaim(self, owner: OwnerInfo, lease_id: int) -> bool:
        """Create the owner key again after a lost session, at the same epoch.

        Returns:
            ``False`` if another process has raised the epoch or holds the key.

        Raises:
            StoreUnavailable: If nothing was changed.
            StoreOutcomeUnknown: If the key may have been created; call again.
        """
        key, value = self._keys.owner(owner.shard), encode_owner(owner)
        epoch_unchanged = Compare(self._keys.epoch(owner.shard), "value", value)
        result = await self._store.txn(
            [epoch_unchanged, Compare(key, "mod_revision", 0)],
            [Put(key, value, lease_id)],
            [key],
        )
        if result.succeeded:
            return True
        found = result.reads.get(key)
        return found is not None and (found.value, found.lease) == (value, lease_id)

    async def release(self, owner: OwnerInfo) -> None:
        """Delete the owner key if it still has this owner's value.

        Raises:
            StoreUnavailable: If it was not deleted; its lease will expire.
            StoreOutcomeUnknown: If no attempt got an answer.
        """
        key = self._keys.owner(owner.shard)
        still_own = Compare(key, "value", encode_owner(owner))
        # Deleting twice is harmless, so the request is simply sent again.
        for attempt in range(RESOLVE_ATTEMPTS):
            try:
                await self._store.txn([still_own], [Delete(key)])
                return
            except StoreOutcomeUnknown:
                if attempt + 1 == RESOLVE_ATTEMPTS:
                    raise

    async def _prepare(self, shard: str, lease_id: int) -> _AcquisitionAttempt:
        item = await self._store.get(self._keys.epoch(shard))
        predecessor = decode_owner(item.value) if item else None
        owner = OwnerInfo(
            shard=shard,
            epoch=predecessor.epoch + 1 if predecessor else 1,
            process_id=self._process.process_id,
            incarnation=self._process.incarnation,
            peer_address=self._process.peer_address,
            former=self._former_owners(predecessor),
        )
        seen_revision = item.mod_revision if item else 0
        return _AcquisitionAttempt(owner, predecessor, seen_revision, lease_id)

    async def _send_until_resolved(
        self, attempt: _AcquisitionAttempt
    ) -> Acquisition | None:
        shard = attempt.owner.shard
        # A request whose answer was lost may still take effect later. Only sending the
        # same conditional transaction again tells who acquired the shard.
        for _ in range(RESOLVE_ATTEMPTS):
            maybe_applied = shard in self._unresolved
            self._unresolved[shard] = attempt
            try:
                result = await self._send(attempt)
            except StoreOutcomeUnknown:
                continue
            except LeaseExpired:
                # The conditions held, so no attempt with this lease took effect; none
                # can later, as the lease no longer exists.
                del self._unresolved[shard]
                raise
            except StoreUnavailable:
                if not maybe_applied:
                    del self._unresolved[shard]
                    raise
                continue
            del self._unresolved[shard]
            return self._to_acquired(attempt, result)
        raise StoreOutcomeUnknown(f"shard {shard}: the acquisition is not confirmed")

    async def _send(self, attempt: _AcquisitionAttempt) -> TxnResult:
        epoch_key = self._keys.epoch(attempt.owner.shard)
        owner_key = self._keys.owner(attempt.owner.shard)
        value = encode_owner(attempt.owner)
        return await self._store.txn(
            [
                Compare(epoch_key, "mod_revision", attempt.seen_revision),
                Compare(owner_key, "mod_revision", 0),
            ],
            [Put(epoch_key, value), Put(owner_key, value, attempt.lease_id)],
            [epoch_key, owner_key],
        )

    def _to_acquired(
        self, attempt: _AcquisitionAttempt, result: TxnResult
    ) -> Acquisition | None:
        revision = result.revision
        if not result.succeeded:
            epoch = result.reads.get(self._keys.epoch(attempt.owner.shard))
            owner = result.reads.get(self._keys.owner(attempt.owner.shard))
            if not _is_value_of(epoch, attempt) or not _is_value_of(owner, attempt):
                return None
            revision = epoch.mod_revision
        return Acquisition(attempt.owner, attempt.predecessor, revision)

    def _former_owners(self, predecessor: OwnerInfo | None) -> list[FormerOwner]:
        if predecessor is None:
            return []
        now = self._wall()
        latest = FormerOwner(
            epoch=predecessor.epoch,
            process_id=predecessor.process_id,
            incarnation=predecessor.incarnation,
            peer_address=predecessor.peer_address,
            replaced_at=now,
        )
        # Only one process can listen at an address, so a later start there (that of
        # this process included) proves that the earlier processes have ended.
        newest: dict[str, FormerOwner] = {}
        for former in [latest, *predecessor.former]:
            newest.setdefault(former.peer_address, former)
        newest.pop(self._process.peer_address, None)
        cutoff = now - self._retention_s
        return [f for f in newest.values() if f.replaced_at >= cutoff]


def _is_value_of(item: KeyValue | None, attempt: _AcquisitionAttempt) -> bool:
    return item is not None and item.value == encode_owner(attempt.owner)
