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


@dataclass(slots=True)
class MemberShare:
    """Weight and quota of a member in this shard."""

    weight: float = 1.0
    quota: Resources = UNLIMITED


@dataclass(frozen=True, slots=True)
class GroupKey:
    """What all lanes of a group have in common."""

    tier: Tier
    policy: Policy
    shape: Resources


@dataclass(slots=True, eq=False)
class Lane:
    """Queued entries of one member, kind and shape, oldest first.

    Attributes:
        entries: Wall-clock time of queueing by task id, or job id of a gang.
    """

    member: MemberKey
    kind: str
    group: GroupKey
    number: int
    entries: OrderedDict[str, float] = field(default_factory=OrderedDict)
    order: Order = (0.0, 0.0, 0)
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
        self._heaps: dict[GroupKey, list[tuple[Order, Lane]]] = {}
        self._parked: dict[MemberKey, set[Lane]] = {}
        self._blocked: set[GroupKey] = set()
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

    def share_of(self, member: MemberKey) -> MemberShare:
        """Return weight and quota of a member; defaults if it is not known."""
        return self._shares.get(member) or MemberShare()

    def set_share(self, member: MemberKey, weight: float, quota: Resources) -> None:
        """Set weight and quota of a member."""
        self._shares[member] = MemberShare(weight, quota)
        self.touch(member)

    def set_kind_weight(self, environment: str, kind: str, weight: float) -> None:
        """Set the weight of a kind among the kinds of each member."""
        self._kind_weights[environment, kind] = weight

    def push(self, entry: str, spec: JobSpec, at: float, front: bool = False) -> None:
        """Queue a task, or a gang by its job id.

        Args:
            entry: Task id or, for a gang, job id.
            spec: Specification of the job.
            at: Wall-clock time from which waiting counts, in seconds.
            front: Whether it goes before the other entries of its lane.
        """
        member = (spec.environment, spec.member)
        group = GroupKey(tier_of(spec), spec.policy, spec.resources)
        key = (member, spec.kind, group)
        lane = self._lanes.get(key)
        if lane is None:
            self._numbers += 1
            lane = self._lanes[key] = Lane(member, spec.kind, group, self._numbers)
            self._of_member.setdefault(member, {})[lane.number] = lane
        lane.entries[entry] = at
        self._of_entry[entry] = lane
        if front:
            lane.entries.move_to_end(entry, last=False)
        if not lane.ready and lane not in self._parked.get(member, ()):
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
        parked = self._parked.pop(member, ())
        for lane in self._of_member.get(member, {}).values():
            if lane.ready or lane in parked:
                self._offer(lane)

    def refresh(self, total: Resources, wall: float) -> None:
        """Recompute all orders, for ageing and changed capacity."""
        self._total = total
        self._wall = wall
        self._heaps.clear()
        self._parked.clear()
        for lane in self._lanes.values():
            self._offer(lane)

    def next_lane(self, tier: Tier) -> Lane | None:
        """Return the lane to serve next in a tier, or ``None``."""
        best: Lane | None = None
        for group in self._heaps:
            if group.tier is not tier or group in self._blocked:
                continue
            lane = self._first(group)
            if lane is not None and (best is None or lane.order < best.order):
                best = lane
        return best

    def block(self, group: GroupKey) -> None:
        """Skip a group until the end of the pass: its shape fits nowhere."""
        self._blocked.add(group)

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
        self._blocked.clear()
        for lane in self._aside:
            if lane.entries:
                self._offer(lane)
        self._aside.clear()

    def within_quota(self, lane: Lane, need: Resources) -> bool:
        """Tell whether a member may hold ``need`` more."""
        quota = self.share_of(lane.member).quota
        if quota is UNLIMITED:
            return True
        return (self._ledger.member_used(*lane.member) + need).fits_in(quota)

    def _offer(self, lane: Lane) -> None:
        """Put a lane into its group's heap with its present order."""
        lane.ready = True
        lane.order = self._order(lane)
        heap = self._heaps.get(lane.group)
        if heap is None:
            heap = self._heaps[lane.group] = []
        if len(heap) > MIN_HEAP and len(heap) > HEAP_SLACK * len(self._lanes):
            heap[:] = [item for item in heap if _current(item)]
            heapq.heapify(heap)
        heapq.heappush(heap, (lane.order, lane))

    def _first(self, group: GroupKey) -> Lane | None:
        heap = self._heaps[group]
        while heap and not _current(heap[0]):
            heapq.heappop(heap)
        return heap[0][1] if heap else None

    def _order(self, lane: Lane) -> Order:
        environment, member = lane.member
        share = self._share(self._ledger.member_used(environment, member))
        weight = self.share_of(lane.member).weight
        oldest = min(
            other.entries[other.head]
            for other in self._of_member[lane.member].values()
            if other.entries
        )
        kind_share = self._share(
            self._ledger.kind_used(environment, member, lane.kind)
        ) / self._kind_weights.get((environment, lane.kind), 1.0)
        return (
            share / weight - self._credit(oldest),
            kind_share - self._credit(lane.entries[lane.head]),
            lane.number,
        )

    def _share(self, used: Resources) -> float:
        return used.dominant_share(self._total)

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
        del self._lanes[lane.member, lane.kind, lane.group]
        lanes = self._of_member[lane.member]
        del lanes[lane.number]
        if not lanes:
            del self._of_member[lane.member]
        parked = self._parked.get(lane.member)
        if parked is not None:
            parked.discard(lane)


def _current(item: tuple[Order, Lane]) -> bool:
    """Tell whether a heap item still describes its lane."""
    return item[1].ready and item[1].order == item[0]
