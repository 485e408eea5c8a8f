"""Order of queued work: urgent first, then weighted dominant-resource fairness.

Queued entries (tasks or whole gangs) of one member, kind and shape form a lane.
Lanes whose tasks have the same shape form a group, so that a shape that fits on no
worker is skipped for all members at once. Each group keeps its lanes in a heap,
ordered by the weighted dominant share of the member, then by that of the kind within
the member. Ageing lowers the share of waiting work by a credit of at most
``MAX_AGEING_CREDIT``. The limit keeps a large backlog of old work of one member from
overtaking members that use less than their share.
"""

import enum
import heapq
import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import JobSpec, Policy, Resources
from .hold import FIRST_HOLD_S
from .ledger import ZERO, Ledger, MemberKey

AGEING_CREDIT_PER_S = 1 / 36_000
MAX_AGEING_CREDIT = 0.05
# Outdated items are removed from a heap that has more than ``MIN_HEAP_SIZE`` items and
# more than ``HEAP_SLACK`` items for each lane of the queue.
HEAP_SLACK = 4
MIN_HEAP_SIZE = 64

UNLIMITED = Resources(2**62, 2**62, 2**62)

Order = tuple[float, float, int]


class Tier(enum.IntEnum):
    """Priority classes; a lower value is always served first."""

    URGENT = 0
    SERVICE = 1
    NORMAL = 2


@dataclass(frozen=True, slots=True)
class MemberShare:
    """Weight and quota of a member.

    Attributes:
        quota: Part of the quota that applies to this shard.
        total_quota: Quota across all shards.
    """

    weight: float = 1.0
    quota: Resources = UNLIMITED
    total_quota: Resources = UNLIMITED


DEFAULT_SHARE = MemberShare()


@dataclass(slots=True, eq=False)
class Group:
    """Lanes whose entries need the same: ``count`` tasks of one shape at once.

    Attributes:
        heap: Lanes with their order when they were pushed; outdated items are
            skipped.
        skipped: Whether the group is skipped until the end of the pass.
        need: Resources that one entry takes.
    """

    tier: Tier
    policy: Policy
    shape: Resources
    count: int
    heap: list[tuple[Order, "Lane"]] = field(default_factory=list)
    skipped: bool = False
    need: Resources = field(init=False)

    def __post_init__(self) -> None:
        self.need = self.shape.times(self.count)


@dataclass(slots=True, eq=False)
class Lane:
    """Queued entries of one member, kind and group, oldest first.

    Attributes:
        entries: Wall-clock time from which waiting counts, in seconds, by task id or
            job id of a gang.
        ageing_credit: Reduction of its share by ageing, as of the last refresh.
        ready: Whether it has a current item in the heap of its group.
        reserve_at: Monotonic time from which quota may be reserved for it; infinite
            while its next entry was not found blocked.
        hold_s: Time without progress after which its reservation is suspended.
    """

    member: MemberKey
    kind: str
    group: Group
    number: int
    key: tuple
    entries: OrderedDict[str, float] = field(default_factory=OrderedDict)
    order: Order = (0.0, 0.0, 0)
    ageing_credit: float = 0.0
    ready: bool = False
    reserve_at: float = math.inf
    hold_s: float = FIRST_HOLD_S

    @property
    def head(self) -> str:
        """Entry to place next."""
        return next(iter(self.entries))

    @property
    def need(self) -> Resources:
        """Resources that one entry takes."""
        return self.group.need

    def reset_wait(self) -> None:
        """Forget for how long the next entry was blocked."""
        self.reserve_at = math.inf
        self.hold_s = FIRST_HOLD_S


def tier_of(spec: JobSpec) -> Tier:
    """Return the tier of a job."""
    if spec.policy is Policy.SERVICE:
        return Tier.SERVICE
    return Tier.URGENT if spec.urgent else Tier.NORMAL


class FairQueue:
    """Queued entries of a shard, in the order in which they are served."""

    def __init__(self, ledger: Ledger):
        self._ledger = ledger
        self._shares: dict[MemberKey, MemberShare] = {}
        self._kind_weights: dict[tuple[str, str], float] = {}
        self._lanes: dict[tuple, Lane] = {}
        self._lanes_by_member: dict[MemberKey, dict[int, Lane]] = {}
        self._lane_by_entry: dict[str, Lane] = {}
        self._groups: dict[tuple, Group] = {}
        self._tiers: dict[Tier, list[Group]] = {tier: [] for tier in Tier}
        self._touched_members: dict[MemberKey, None] = {}
        self._lanes_awaiting_change: dict[MemberKey, set[Lane]] = {}
        self._skipped_groups: list[Group] = []
        self._skipped_lanes: list[Lane] = []
        self._last_lane_number = 0
        self._total = ZERO
        self._wall = 0.0

    def __len__(self) -> int:
        return len(self._lane_by_entry)

    def __contains__(self, entry: str) -> bool:
        return entry in self._lane_by_entry

    @property
    def lanes(self) -> list[Lane]:
        """Lanes that have at least one entry."""
        return list(self._lanes.values())

    def lane_of(self, entry: str) -> Lane:
        """Return the lane of a queued entry."""
        return self._lane_by_entry[entry]

    def lanes_of(self, member: MemberKey) -> Iterable[Lane]:
        """Return the lanes of a member that have at least one entry."""
        return self._lanes_by_member.get(member, {}).values()

    def share_of(self, member: MemberKey) -> MemberShare:
        """Return weight and quota of a member; defaults for an unknown member."""
        return self._shares.get(member, DEFAULT_SHARE)

    def set_share(self, member: MemberKey, share: MemberShare) -> None:
        """Set weight and quota of a member."""
        self._shares[member] = share
        self.touch(member)

    def set_kind_weight(self, environment: str, kind: str, weight: float) -> None:
        """Set the weight of a kind relative to the other kinds of a member."""
        self._kind_weights[environment, kind] = weight

    def push(
        self,
        entry: str,
        spec: JobSpec,
        at: float,
        front: bool = False,
        count: int = 1,
    ) -> None:
        """Queue a task, or a gang by its job id.

        Args:
            entry: Task id or, for a gang, job id.
            spec: Specification of the job.
            at: Wall-clock time from which waiting counts, in seconds.
            front: Whether to insert it before the other entries of its lane.
            count: Number of tasks that must be placed at once.
        """
        lane = self._lane_for(spec, count)
        lane.entries[entry] = at
        self._lane_by_entry[entry] = lane
        if front:
            lane.entries.move_to_end(entry, last=False)
        if not lane.ready and lane not in self._lanes_awaiting_change.get(
            lane.member, ()
        ):
            lane.ageing_credit = self._ageing_credit(at)
            self._make_ready(lane)

    def discard(self, entry: str) -> None:
        """Remove an entry if it is queued; takes constant time."""
        lane = self._lane_by_entry.pop(entry, None)
        if lane is None:
            return
        del lane.entries[entry]
        if not lane.entries:
            self._remove_lane(lane)

    def touch(self, member: MemberKey) -> None:
        """Reorder the lanes of a member whose usage, weight or quota changed."""
        self._touched_members[member] = None

    def refresh(self, total: Resources, wall: float) -> None:
        """Recompute the order of all lanes after ageing or capacity changes."""
        self._total = total
        self._wall = wall
        self._touched_members.clear()
        self._lanes_awaiting_change.clear()
        self._drop_empty_groups()
        for lane in self._lanes.values():
            lane.ageing_credit = self._ageing_credit(lane.entries[lane.head])
        for member in self._lanes_by_member:
            self._reorder(member, self._lanes_by_member[member].values())

    def next_lane(self, tier: Tier) -> Lane | None:
        """Return the lane to serve next in a tier, or ``None``."""
        if self._touched_members:
            self._reorder_touched()
        best: Lane | None = None
        for group in self._tiers[tier]:
            if group.skipped:
                continue
            lane = _first_lane(group.heap)
            if lane is not None and (best is None or lane.order < best.order):
                best = lane
        return best

    def skip_group(self, group: Group) -> None:
        """Skip a group until the end of the pass: its shape fits on no worker."""
        group.skipped = True
        self._skipped_groups.append(group)

    def skip_lane(self, lane: Lane) -> None:
        """Skip a lane until the end of the pass."""
        lane.ready = False
        self._skipped_lanes.append(lane)

    def skip_until_change(self, lane: Lane) -> None:
        """Skip a lane until its member's usage, weight or quota changes."""
        lane.ready = False
        self._lanes_awaiting_change.setdefault(lane.member, set()).add(lane)

    def end_pass(self) -> None:
        """Make the groups and lanes that were skipped for this pass eligible again."""
        for group in self._skipped_groups:
            group.skipped = False
        self._skipped_groups.clear()
        for lane in self._skipped_lanes:
            if lane.entries:
                self._make_ready(lane)
        self._skipped_lanes.clear()

    def fits_member_quota(self, member: MemberKey, need: Resources) -> bool:
        """Return whether the quota of a member allows ``need`` in addition.

        An entry larger than this shard's part of the quota, but not larger than the
        total quota, may run while the member uses nothing else in the shard;
        otherwise it could not run in any shard.
        """
        share = self._shares.get(member)
        if share is None:
            return True
        used = self._ledger.member_used(*member)
        if (used + need).fits_in(share.quota):
            return True
        return used == ZERO and need.fits_in(share.total_quota)

    def _lane_for(self, spec: JobSpec, count: int) -> Lane:
        shape = spec.resources
        amounts = (shape.cores_milli, shape.memory_mb, shape.accelerators)
        member = (spec.environment, spec.member)
        group_key = (tier_of(spec), spec.policy, *amounts, count)
        key = (member, spec.kind, group_key)
        lane = self._lanes.get(key)
        if lane is not None:
            return lane
        group = self._groups.get(group_key)
        if group is None:
            group = Group(group_key[0], spec.policy, shape, count)
            self._groups[group_key] = group
            self._tiers[group.tier].append(group)
        self._last_lane_number += 1
        lane = Lane(member, spec.kind, group, self._last_lane_number, key)
        self._lanes[key] = lane
        self._lanes_by_member.setdefault(member, {})[lane.number] = lane
        return lane

    def _reorder_touched(self) -> None:
        for member in self._touched_members:
            awaiting = self._lanes_awaiting_change.pop(member, ())
            lanes = self._lanes_by_member.get(member)
            if lanes:
                waiting = [x for x in lanes.values() if x.ready or x in awaiting]
                self._reorder(member, waiting)
        self._touched_members.clear()

    def _reorder(self, member: MemberKey, lanes: Iterable[Lane]) -> None:
        share = self._member_order(member)
        for lane in lanes:
            self._push_to_heap(lane, share)

    def _make_ready(self, lane: Lane) -> None:
        self._push_to_heap(lane, self._member_order(lane.member))

    def _push_to_heap(self, lane: Lane, share: float) -> None:
        """Push a lane to the heap of its group; ``share`` orders its member."""
        environment, member = lane.member
        used = self._ledger.kind_used(environment, member, lane.kind)
        weight = self._kind_weights.get((environment, lane.kind), 1.0)
        kind_share = used.dominant_share(self._total) / weight - lane.ageing_credit
        lane.order = (share, kind_share, lane.number)
        lane.ready = True
        heap = lane.group.heap
        if len(heap) > MIN_HEAP_SIZE and len(heap) > HEAP_SLACK * len(self._lanes):
            heap[:] = [item for item in heap if _is_current(item)]
            heapq.heapify(heap)
        heapq.heappush(heap, (lane.order, lane))

    def _member_order(self, member: MemberKey) -> float:
        used = self._ledger.member_used(*member)
        share = used.dominant_share(self._total) / self.share_of(member).weight
        lanes = self._lanes_by_member[member].values()
        return share - max(lane.ageing_credit for lane in lanes)

    def _drop_empty_groups(self) -> None:
        used = {id(lane.group) for lane in self._lanes.values()}
        for key, group in list(self._groups.items()):
            group.heap.clear()
            if id(group) not in used:
                del self._groups[key]
                self._tiers[group.tier].remove(group)

    def _ageing_credit(self, queued_at: float) -> float:
        """Return by how much ageing lowers a share; may be negative.

        Waiting is counted up to the last refresh. Entries queued since then get a
        negative credit, which preserves the order of arrival between equal shares.
        """
        return min(MAX_AGEING_CREDIT, AGEING_CREDIT_PER_S * (self._wall - queued_at))

    def _remove_lane(self, lane: Lane) -> None:
        """Remove an empty lane."""
        lane.ready = False
        lane.order = (math.inf, math.inf, lane.number)
        del self._lanes[lane.key]
        lanes = self._lanes_by_member[lane.member]
        del lanes[lane.number]
        if not lanes:
            del self._lanes_by_member[lane.member]
        awaiting = self._lanes_awaiting_change.get(lane.member)
        if awaiting is not None:
            awaiting.discard(lane)


def _first_lane(heap: list[tuple[Order, Lane]]) -> Lane | None:
    """Return the first lane of a heap; removes outdated items before it."""
    while heap:
        order, lane = heap[0]
        if lane.ready and lane.order is order:
            return lane
        heapq.heappop(heap)
    return None


def _is_current(item: tuple[Order, Lane]) -> bool:
    """Return whether a heap item still matches the order of its lane."""
    return item[1].ready and item[1].order is item[0]
