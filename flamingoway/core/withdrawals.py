"""Cancelled job ids without a job: not submitted yet, or forgotten since.

A submission may be delayed in the network or in a paused process and arrive after the
cancellation of its id. It is refused as long as the cancellation is kept.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

# Longer than the lease horizon, the longest time for which a process may act cut off
# from the others.
RETENTION_S = 2 * 3600.0
# Beyond this number the cancellation of an unknown id is refused, because dropping an
# older one would break the promise made by its answer.
MAX_PER_MEMBER = 2000


@dataclass(frozen=True, slots=True)
class Withdrawal:
    """A cancelled job id without a job.

    Attributes:
        at: Wall-clock time of the cancellation, in seconds since the epoch.
    """

    environment: str
    member: str
    job_id: str
    at: float


class Withdrawals:
    """Cancelled job ids of one shard, oldest first for each member.

    Args:
        withdrawals: Content of a snapshot, in its order.
    """

    def __init__(self, withdrawals: Iterable[Withdrawal] = ()):
        self._by_member: dict[tuple[str, str], dict[str, Withdrawal]] = {}
        for withdrawal in withdrawals:
            self._insert(withdrawal)

    def __iter__(self) -> Iterator[Withdrawal]:
        for withdrawals in self._by_member.values():
            yield from withdrawals.values()

    def contains(self, environment: str, member: str, job_id: str) -> bool:
        """Return whether the member cancelled this job id."""
        return job_id in self._by_member.get((environment, member), {})

    def accepts(self, environment: str, member: str, now: float) -> bool:
        """Return whether another cancellation of the member can be kept."""
        withdrawals = self._by_member.get((environment, member), {})
        return len(withdrawals) < MAX_PER_MEMBER or _oldest_expired(withdrawals, now)

    def add(self, withdrawal: Withdrawal) -> None:
        """Keep a cancellation, anew if it is repeated; drop the expired ones."""
        # Times come from the records, so that every replay of a log drops the same.
        self._drop_expired(withdrawal.at)
        self._insert(withdrawal)

    def _insert(self, withdrawal: Withdrawal) -> None:
        key = (withdrawal.environment, withdrawal.member)
        withdrawals = self._by_member.setdefault(key, {})
        # A repeated cancellation moves to the end, so that the oldest one stays first.
        withdrawals.pop(withdrawal.job_id, None)
        withdrawals[withdrawal.job_id] = withdrawal

    def _drop_expired(self, now: float) -> None:
        for key, withdrawals in list(self._by_member.items()):
            while _oldest_expired(withdrawals, now):
                del withdrawals[next(iter(withdrawals))]
            if not withdrawals:
                del self._by_member[key]


def _oldest_expired(withdrawals: dict[str, Withdrawal], now: float) -> bool:
    oldest = next(iter(withdrawals.values()), None)
    return oldest is not None and now - oldest.at >= RETENTION_S
