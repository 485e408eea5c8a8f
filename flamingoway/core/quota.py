"""Reservation of a member's quota for an entry that has waited too long.

An entry that needs much of the quota at once could wait forever while smaller work of
its member takes each part that becomes free. After ``RESERVATION_DELAY_S``, the quota
that it needs is reserved, and other entries of the member start only if they leave it
enough. More urgent work is not held back, nor is an entry that needs at least as much
of each resource: fair order decides between the two. A reservation that makes no
progress is suspended from time to time, as the entry may wait for a task that runs for
hours, or for a worker.
"""

from dataclasses import dataclass

from ..model import Resources
from .fairness import Lane, Tier
from .feasibility import within_quota
from .hold import RESERVATION_DELAY_S, Hold, available_share
from .ledger import MemberKey
from .state import ShardState


@dataclass(frozen=True, slots=True)
class QuotaReservation:
    """Quota reserved for the next entry of a lane."""

    lane: Lane
    hold: Hold


class QuotaReserver:
    """Holds at most one reservation for each member and tier."""

    def __init__(self, state: ShardState):
        self._state = state
        self._reservations: dict[MemberKey, dict[Tier, QuotaReservation]] = {}

    def check(self, gang: str | None) -> None:
        """Drop and suspend reservations; called at the start of each pass.

        Args:
            gang: Job id of the gang that holds a reservation of workers. Its quota
                stays reserved for as long.
        """
        now = self._state.now
        due = [
            reservation
            for by_tier in self._reservations.values()
            for reservation in by_tier.values()
            if now >= reservation.hold.review_at or not reservation.lane.entries
        ]
        for reservation in due:
            lane, hold = reservation.lane, reservation.hold
            if not lane.entries:
                self._release(lane)
            elif gang in lane.entries:
                hold.extend(now)
            elif not hold.review(self._available(lane), now):
                lane.reserve_at = now + hold.duration_s
                lane.hold_s = hold.next_duration_s
                self._release(lane)

    def next_check(self) -> float | None:
        """Return the monotonic time of the next review, or ``None``."""
        reviews = (
            reservation.hold.review_at
            for by_tier in self._reservations.values()
            for reservation in by_tier.values()
        )
        return min(reviews, default=None)

    def drop_impossible(self) -> None:
        """Drop reservations for entries that exceed the whole quota of their member."""
        for by_tier in list(self._reservations.values()):
            for reservation in list(by_tier.values()):
                if not self._is_possible(reservation.lane):
                    self._release(reservation.lane)

    def fits(self, lane: Lane, need: Resources) -> bool:
        """Tell whether the quota allows entries of a lane that need ``need`` in all."""
        queue = self._state.queue
        holders = self.holders_before(lane)
        if not holders:
            return queue.fits_member_quota(lane.member, need)
        total = self._state.ledger.member_used(*lane.member) + need
        for holder in holders:
            total = total + holder.need
        return total.fits_in(queue.share_of(lane.member).quota)

    def holders_before(self, lane: Lane) -> list[Lane]:
        """Return the lanes to which a lane must leave the quota reserved for them."""
        reservations = self._reservations.get(lane.member)
        if reservations is None:
            return []
        return [
            reservation.lane
            for tier, reservation in reservations.items()
            if tier <= lane.group.tier
            and reservation.lane is not lane
            and not reservation.lane.need.fits_in(lane.need)
        ]

    def note_blocked(self, lane: Lane) -> None:
        """Note that the next entry of a lane does not fit the quota now.

        Reserves quota for the lane of the member that has waited longest, if that is
        long enough.
        """
        now, tier = self._state.now, lane.group.tier
        lane.reserve_at = min(lane.reserve_at, now + RESERVATION_DELAY_S)
        reservations = self._reservations.get(lane.member, {})
        if tier in reservations or now < lane.reserve_at:
            return
        due = [
            other
            for other in self._state.queue.lanes_of(lane.member)
            if other.group.tier is tier
            and other.reserve_at <= now
            and self._is_over_quota(other)
        ]
        if due:
            first = min(due, key=lambda other: other.reserve_at)
            hold = Hold(first.hold_s, now + first.hold_s, self._available(first))
            reservation = QuotaReservation(first, hold)
            self._reservations.setdefault(first.member, {})[tier] = reservation

    def note_placed(self, lane: Lane) -> None:
        """Note that an entry of a lane was placed; the wait of the next begins."""
        lane.reset_wait()
        self._release(lane)

    def _release(self, lane: Lane) -> None:
        reservations = self._reservations.get(lane.member, {})
        reservation = reservations.get(lane.group.tier)
        if reservation is None or reservation.lane is not lane:
            return
        del reservations[lane.group.tier]
        if not reservations:
            del self._reservations[lane.member]
        self._state.queue.touch(lane.member)

    def _is_over_quota(self, lane: Lane) -> bool:
        queue = self._state.queue
        fits = queue.fits_member_quota(lane.member, lane.need)
        return not fits and self._is_possible(lane)

    def _is_possible(self, lane: Lane) -> bool:
        return within_quota(lane.member, lane.need, self._state.queue)

    def _available(self, lane: Lane) -> float:
        """Return the share of a lane's need that its member's quota has left."""
        quota = self._state.queue.share_of(lane.member).quota
        used = self._state.ledger.member_used(*lane.member)
        return available_share(lane.need, quota - used)
