"""Order of queued work: urgent first, then weighted dominant-resource fairness.

Queued entries (tasks, or whole gangs) of one member, kind and shape form a lane.
Lanes whose tasks have the same shape form a group, so that a shape that fits nowhere
is skipped at once for all members. Each group keeps its lanes in a heap, ordered by
the member's weighted dominant share, then by that of the kind within the member.
Waiting lowers a share a little (ageing), at most by ``AGEING_LIMIT``, so that a flood
of old work of one member cannot overtake members that hold less than their share.
"""

import enum
import heapq
import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..model import JobSpec, Policy, Resources
from .ledger import ZERO, Ledger, MemberKey

AGEING_PER_S = 1 / 36_000
AGEING_LIMIT = 0.05
# Entries in a heap that were replaced are dropped when they exceed this factor.
HEAP_SLACK = 4
MIN_HEAP = 64

UNLIMITED = Resources(2**62, 2**62, 2**62)

Order = tuple[float, float, int]


class Tier(enum.IntEnum):
    """Classes of work that are served strictly one after the other."""

    URGENT = 0
    SERVICE = 1
    NORMAL = 2


@dataclass(frozen=True, slots=True)
class MemberShare:
    """Weight and quota of a member.

    Attributes:
        quota: Part of the quota that counts in this shard.
        whole_quota: Quota over all shards.
    """

    weight: float = 1.0
    quota: Resources = UNLIMITED
    whole_quota: Resources = UNLIMITED


DEFAULT_SHARE = MemberShare()


@dataclass(slots=True, eq=False)
class Group:
    """Lanes whose heads need the same: ``count`` tasks of one shape at once.

    Attributes:
        heap: Lanes with their order at the time; outdated items are skipped.
        blocked: Whether it is skipped until the end of the pass.
    """

    tier: Tier
    policy: Policy
    shape: Resources
    count: int
    heap: list[tuple[Order, "Lane"]] = field(default_factory=list)
    blocked: bool = False


@dataclass(slots=True, eq=False)
class Lane:
    """Queued entries of one member, kind and group, oldest first.

    Attributes:
        entries: Wall-clock time of queueing by task id, or job id of a gang.
        credit: By how much waiting lowered its share at the last refresh.
        ready: Whether it is in the heap of its group.
    """

    member: MemberKey
    kind: str
    group: Group
    number: int
    key: tuple
    entries: OrderedDict[str, float] = field(default_factory=OrderedDict)
    order: Order = (0.0, 0.0, 0)
    credit: float = 0.0
    ready: bool = False

    @property
    def head(self) -> str:
        """Entry to be placed next."""
        return next(iter(self.entries))


def tier_of(spec: JobSpec) -> Tier:
    """Return the tier of a job."""
    if spec.policy is Policy.SERVICE:
        return Tier.SERVICE
    return Tier.URGENT if spec.urgent else Tier.NORMAL


class FairQueue:
    """All queued entries of a shard in the order in which they are served."""

    def __init__(self, ledger: Ledger):
        self._ledger = ledger
        self._shares: dict[MemberKey, MemberShare] = {}
        self._kind_weights: dict[tuple[str, str], float] = {}
        self._lanes: dict[tuple, Lane] = {}
        self._of_member: dict[MemberKey, dict[int, Lane]] = {}
        self._of_entry: dict[str, Lane] = {}
        self._groups: dict[tuple, Group] = {}
        self._tiers: dict[Tier, list[Group]] = {tier: [] for tier in Tier}
        self._touched: dict[MemberKey, None] = {}
        self._parked: dict[MemberKey, set[Lane]] = {}
        self._blocked: list[Group] = []
        self._aside: list[Lane] = []
        self._numbers = 0
        self._total = ZERO
        self._wall = 0.0

    def __len__(self) -> int:
        return len(self._of_entry)

    def __contains__(self, entry: str) -> bool:
        return entry in self._of_entry

    @property
    def lanes(self) -> list[Lane]:
        """Lanes that hold at least one entry."""
        return list(self._lanes.values())

    def lane_of(self, entry: str) -> Lane:
        """Return the lane of a queued entry."""
        return self._of_entry[entry]

    def share_of(self, member: MemberKey) -> MemberShare:
        """Return weight and quota of a member; defaults if it is not known."""
        return self._shares.get(member, DEFAULT_SHARE)

    def set_share(self, member: MemberKey, share: MemberShare) -> None:
        """Set weight and quota of a member."""
        self._shares[member] = share
        self.touch(member)

    def set_kind_weight(self, environment: str, kind: str, weight: float) -> None:
        """Set the weight of a kind among the kinds of each member."""
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
            front: Whether it goes before the other entries of its lane.
            count: Number of tasks that must be placed at once.
        """
        lane = self._lane_for(spec, count)
        lane.entries[entry] = at
        self._of_entry[entry] = lane
        if front:
            lane.entries.move_to_end(entry, last=False)
        if not lane.ready and lane not in self._parked.get(lane.member, ()):
            lane.credit = self._credit(at)
            self._offer(lane)

    def discard(self, entry: str) -> None:
        """Remove an entry wherever it is; costs the same for any queue length."""
        lane = self._of_entry.pop(entry, None)
        if lane is None:
            return
        del lane.entries[entry]
        if not lane.entries:
            self._drop(lane)

    def touch(self, member: MemberKey) -> None:
        """Reorder the lanes of a member whose usage, weight or quota changed."""
        self._touched[member] = None

    def refresh(self, total: Resources, wall: float) -> None:
        """Recompute all orders, for ageing and changed capacity."""
        self._total = total
        self._wall = wall
        self._touched.clear()
        self._parked.clear()
        self._drop_empty_groups()
        for lane in self._lanes.values():
            lane.credit = self._credit(lane.entries[lane.head])
        for member in self._of_member:
            self._reorder(member, self._of_member[member].values())

    def next_lane(self, tier: Tier) -> Lane | None:
        """Return the lane to serve next in a tier, or ``None``."""
        if self._touched:
            self._reorder_touched()
        best: Lane | None = None
        for group in self._tiers[tier]:
            if group.blocked:
                continue
            lane = _first(group.heap)
            if lane is not None and (best is None or lane.order < best.order):
                best = lane
        return best

    def block(self, group: Group) -> None:
        """Skip a group until the end of the pass: its shape fits nowhere."""
        group.blocked = True
        self._blocked.append(group)

    def set_aside(self, lane: Lane) -> None:
        """Skip one lane until the end of the pass."""
        lane.ready = False
        self._aside.append(lane)

    def park(self, lane: Lane) -> None:
        """Skip a lane until its member's usage, weight or quota changes."""
        lane.ready = False
        self._parked.setdefault(lane.member, set()).add(lane)

    def end_pass(self) -> None:
        """Offer blocked groups and lanes set aside again."""
        for group in self._blocked:
            group.blocked = False
        self._blocked.clear()
        for lane in self._aside:
            if lane.entries:
                self._offer(lane)
        self._aside.clear()

    def member_may_hold(self, member: MemberKey, need: Resources) -> bool:
        """Tell whether a member may hold ``need`` more.

        What exceeds this shard's part of the quota by itself, but not the whole
        quota, may run alone; else it could run in no shard.
        """
        share = self._shares.get(member)
        if share is None:
            return True
        used = self._ledger.member_used(*member)
        if (used + need).fits_in(share.quota):
            return True
        return used == ZERO and need.fits_in(share.whole_quota)

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
        self._numbers += 1
        lane = Lane(member, spec.kind, group, self._numbers, key)
        self._lanes[key] = lane
        self._of_member.setdefault(member, {})[lane.number] = lane
        return lane

    def _reorder_touched(self) -> None:
        for member in self._touched:
            parked = self._parked.pop(member, ())
            lanes = self._of_member.get(member)
            if lanes:
                waiting = [x for x in lanes.values() if x.ready or x in parked]
                self._reorder(member, waiting)
        self._touched.clear()

    def _reorder(self, member: MemberKey, lanes: Iterable[Lane]) -> None:
        share = self._member_order(member)
        for lane in lanes:
            self._put(lane, share)

    def _offer(self, lane: Lane) -> None:
        self._put(lane, self._member_order(lane.member))

    def _put(self, lane: Lane, share: float) -> None:
        """Put a lane into its group's heap; ``share`` is its member's order."""
        environment, member = lane.member
        used = self._ledger.kind_used(environment, member, lane.kind)
        weight = self._kind_weights.get((environment, lane.kind), 1.0)
        kind_share = used.dominant_share(self._total) / weight - lane.credit
        lane.order = (share, kind_share, lane.number)
        lane.ready = True
        heap = lane.group.heap
        if len(heap) > MIN_HEAP and len(heap) > HEAP_SLACK * len(self._lanes):
            heap[:] = [item for item in heap if _current(item)]
            heapq.heapify(heap)
        heapq.heappush(heap, (lane.order, lane))

    def _member_order(self, member: MemberKey) -> float:
        used = self._ledger.member_used(*member)
        share = used.dominant_share(self._total) / self.share_of(member).weight
        lanes = self._of_member[member].values()
        return share - max(lane.credit for lane in lanes)

    def _drop_empty_groups(self) -> None:
        used = {id(lane.group) for lane in self._lanes.values()}
        for key, group in list(self._groups.items()):
            group.heap.clear()
            if id(group) not in used:
                del self._groups[key]
                self._tiers[group.tier].remove(group)

    def _credit(self, queued_at: float) -> float:
        """Return by how much waiting lowers a share; may be below zero.

        The time is that of the last refresh, so a later arrival gets a negative
        credit, which keeps the order of arrival between equal shares.
        """
        return min(AGEING_LIMIT, AGEING_PER_S * (self._wall - queued_at))

    def _drop(self, lane: Lane) -> None:
        """Forget an empty lane."""
        lane.ready = False
        lane.order = (math.inf, math.inf, lane.number)
        del self._lanes[lane.key]
        lanes = self._of_member[lane.member]
        del lanes[lane.number]
        if not lanes:
            del self._of_member[lane.member]
        parked = self._parked.get(lane.member)
        if parked is not None:
            parked.discard(lane)


def _first(heap: list[tuple[Order, Lane]]) -> Lane | None:
    """Return the first lane of a heap, without its outdated items."""
    while heap:
        order, lane = heap[0]
        if lane.ready and lane.order is order:
            return lane
        heapq.heappop(heap)
    return None


def _current(item: tuple[Order, Lane]) -> bool:
    """Tell whether a heap item still describes its lane."""
    return item[1].ready and item[1].order is item[0]
