"""Session lease of a process, and the leadership that depends on it."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..errors import StoreOutcomeUnknown, StoreUnavailable
from ..store import Compare, KeyValue, LeaseExpired, Put, Store
from . import records
from .decisions import DecisionLog
from .faults import FaultReporter
from .records import LeaderRecord, ProcessRecord
from .table import JobTable

# A leader that fails is replaced after this time. The platform's store takes 240 ms
# to answer when it is slow, so two renewals fit.
SESSION_TTL_S = 1.2
RENEW_INTERVAL_S = 0.3
# Subtracted from the lease, for clock drift and the time that an order is in transit.
VALIDITY_MARGIN_S = 0.2
# Interval of retries after a failed renewal, short enough to succeed within the lease,
# and of the checks whether another leader is needed.
RETRY_S = 0.1
# Spreads the attempts of several processes to be elected.
ELECTION_JITTER_S = 0.05
# A process waits this long if another has far more processor time, so that the other
# is elected. An election takes one answer of the store, 0.25 s when it is slow.
DEFER_TO_PREFERRED_S = 0.4
# Suffix of the epoch counter: the last leader and all before it have stopped acting.
RESIGNED = "resigned"


@dataclass(slots=True)
class Leadership:
    """Leadership that this process has won.

    Attributes:
        epoch: Number of this leadership; fencing tokens derive from it.
        revision: Revision of the leader key, the condition of each write.
        elected_revision: Revision of the election.
        lease: Session lease that the leader key is attached to.
        predecessors_stopped: Whether all former leaders had stopped sending orders.
        writes: Number of the last write under this leadership.
    """

    epoch: int
    revision: int
    elected_revision: int
    lease: int
    predecessors_stopped: bool = False
    writes: int = 0


class Session:
    """Keeps a process registered in the store.

    Args:
        store: The store.
        table: Local copy of the store.
        process: Registration of this process.
        clock: Monotonic clock that counts suspended time, in seconds.
        log: Decision log.
        faults: Reports unforeseen errors.
    """

    def __init__(
        self,
        store: Store,
        table: JobTable,
        process: ProcessRecord,
        clock: Callable[[], float],
        log: DecisionLog,
        faults: FaultReporter,
    ):
        self._store = store
        self._table = table
        self._process = process
        self._clock = clock
        self._log = log
        self._faults = faults
        self._lease = 0
        self._valid_until = float("-inf")

    @property
    def lease(self) -> int:
        """Id of the session lease; 0 while there is none."""
        return self._lease

    @property
    def valid(self) -> bool:
        """Whether the lease is certain to exist in the store now."""
        return self._clock() < self._valid_until

    async def run(self) -> None:
        """Keep the lease alive until cancelled."""
        while True:
            try:
                if not self._lease:
                    await self._open()
                else:
                    await self._renew()
                await asyncio.sleep(RENEW_INTERVAL_S)
            except (StoreUnavailable, StoreOutcomeUnknown):
                # The mirrors log the outage.
                await asyncio.sleep(RETRY_S)
            except Exception as exc:
                self._faults.report_contained("session", self._process.name, exc)
                await asyncio.sleep(RETRY_S)

    async def close(self) -> None:
        """Revoke the lease, so that others need not wait for it to expire."""
        lease, self._lease = self._lease, 0
        self._valid_until = float("-inf")
        if lease:
            try:
                await self._store.revoke_lease(lease)
            except (StoreUnavailable, StoreOutcomeUnknown) as exc:
                self._log.write("session left to expire", why=exc.message)

    async def _open(self) -> None:
        sent_at = self._clock()
        lease = await self._store.grant_lease(SESSION_TTL_S)
        key = records.PROCESS_PREFIX + self._process.name
        await self._store.txn([], [Put(key, records.encode(self._process), lease)])
        self._lease = lease
        self._extend(sent_at, SESSION_TTL_S)
        self._log.write("session opened", lease=lease)

    async def _renew(self) -> None:
        sent_at = self._clock()
        remaining = await self._store.keep_alive(self._lease)
        if remaining > 0:
            self._extend(sent_at, remaining)
            await self._restore_member()
            return
        self._log.write("session expired", lease=self._lease)
        self._lease = 0
        self._valid_until = float("-inf")

    async def _restore_member(self) -> None:
        """Register again if the key was deleted while the lease still exists."""
        if self._process.name in self._table.processes:
            return
        key = records.PROCESS_PREFIX + self._process.name
        value = records.encode(self._process)
        try:
            await self._store.txn([], [Put(key, value, self._lease)])
        except LeaseExpired:
            self._lease = 0

    def _extend(self, sent_at: float, ttl_s: float) -> None:
        self._valid_until = sent_at + ttl_s - VALIDITY_MARGIN_S


class Election:
    """Elects this process as the leader when there is no other.

    Args:
        store: The store.
        table: Local copy of the store.
        session: Session of this process.
        process: Registration of this process.
        log: Decision log.
        rng: Source of the jitter of attempts.
    """

    def __init__(
        self,
        store: Store,
        table: JobTable,
        session: Session,
        process: ProcessRecord,
        log: DecisionLog,
        rng: random.Random,
    ):
        self._store = store
        self._table = table
        self._session = session
        self._process = process
        self._name = process.name
        self._log = log
        self._changed = asyncio.Event()
        self._rng = rng
        self._used_epochs: set[int] = set()
        self._replaceable_epoch = 0
        self._known_leader: tuple[str, int] | None = None
        table.on_leader = self._on_leader

    async def campaign(self) -> Leadership:
        """Wait until this process is the leader."""
        while True:
            if self._vacant and self._session.valid:
                await asyncio.sleep(self._delay_s())
                won = await self._try_election()
                if won is not None:
                    self._used_epochs.add(won.epoch)
                    self._log.write(
                        "leader elected", leader=self._name, epoch=won.epoch
                    )
                    return won
            self._changed.clear()
            try:
                async with asyncio.timeout(RETRY_S):
                    await self._changed.wait()
            except TimeoutError:
                # Checks again, since the session may have become valid.
                continue

    def take_over(self, epoch: int) -> bool:
        """Replace the leader of an epoch at its request.

        Returns:
            Whether that leader still leads and this process can replace it.
        """
        leader = self._table.leader
        if leader is None or leader.epoch != epoch or not self._session.valid:
            return False
        self._replaceable_epoch = epoch
        self._changed.set()
        return True

    def _on_leader(self) -> None:
        leader, item = self._table.leader, self._table.leader_item
        known = None if leader is None else (leader.name, leader.epoch)
        if known != self._known_leader:
            former, self._known_leader = self._known_leader, known
            self._log.write(
                "leader changed",
                leader=None if known is None else known[0],
                epoch=None if known is None else known[1],
                former=None if former is None else former[0],
                former_epoch=None if former is None else former[1],
                revision=None if item is None else item.mod_revision,
            )
        self._changed.set()

    def _delay_s(self) -> float:
        """Return the delay of an attempt, shorter for processes with more cores."""
        leader = self._table.leader
        jitter_s = self._rng.uniform(0, ELECTION_JITTER_S)
        if leader is not None and leader.epoch == self._replaceable_epoch:
            return 0.0
        processes = self._table.processes.values()
        defers = any(process.should_lead_over(self._process) for process in processes)
        return jitter_s + DEFER_TO_PREFERRED_S * defers

    @property
    def _vacant(self) -> bool:
        """Whether no other process leads.

        An earlier incarnation of this process does not count, nor does a leader that
        asked to be replaced.
        """
        leader = self._table.leader
        if leader is None:
            # A record that is not valid may be a leader of another build. It has a
            # lease, unlike one of another writer, which would stay for ever.
            item = self._table.leader_item
            return item is None or not item.lease
        return leader.name == self._name or leader.epoch == self._replaceable_epoch

    async def _try_election(self) -> Leadership | None:
        if not self._vacant or not self._session.valid:
            return None
        item, leader = self._table.leader_item, self._table.leader
        lease = self._session.lease
        own = leader is not None and item.lease == lease
        if own and leader.epoch not in self._used_epochs:
            # This process won an election, but the answer was lost.
            revision = item.mod_revision
            return Leadership(leader.epoch, revision, revision, lease)
        known = self._table.epoch_item
        former, resigned = read_epoch(known)
        epoch = former + 1
        predecessors_stopped = resigned
        if leader is not None:
            # This leader, an earlier incarnation of this process or one that asked to
            # be replaced, has stopped. Those before it have only if it was settled.
            predecessors_stopped = leader.settled
        record = records.encode(LeaderRecord(self._name, epoch))
        compares = [
            Compare(records.LEADER_KEY, "mod_revision", _revision(item)),
            Compare(records.EPOCH_KEY, "mod_revision", _revision(known)),
        ]
        puts = [
            Put(records.LEADER_KEY, record, lease),
            epoch_put(epoch, False),
        ]
        try:
            result = await self._store.txn(compares, puts)
        except (StoreUnavailable, StoreOutcomeUnknown) as exc:
            self._log.write("election unresolved", epoch=epoch, why=exc.message)
            return None
        if not result.succeeded:
            return None
        revision = result.revision
        return Leadership(epoch, revision, revision, lease, predecessors_stopped)


def epoch_put(epoch: int, resigned: bool) -> Put:
    """Return the write of the epoch counter.

    Args:
        epoch: Epoch of the last leadership.
        resigned: Whether this leader and all earlier ones have stopped sending orders.
    """
    value = f"{epoch} {RESIGNED}" if resigned else str(epoch)
    return Put(records.EPOCH_KEY, value.encode())


def read_epoch(item: KeyValue | None) -> tuple[int, bool]:
    """Return the last epoch and whether its leader resigned.

    Each election changes the store, so no epoch exceeds the revision of its write. If
    the value is not valid, that revision stands for the epoch.
    """
    if item is None:
        return 0, False
    number, _, mark = item.value.decode("ascii", "replace").partition(" ")
    valid = number.isdecimal() and len(number) <= len(str(item.mod_revision))
    if not valid or int(number) > item.mod_revision:
        return item.mod_revision, False
    return int(number), mark == RESIGNED


def _revision(item: KeyValue | None) -> int:
    return item.mod_revision if item else 0
