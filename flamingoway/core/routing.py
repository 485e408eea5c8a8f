"""Choice of the target of each check, from local knowledge only.

Every entry process sees only its own requests. The slots of a target are shared by
all entry processes of the region: each has a share of them, and the shares of all
processes add up to the slots.
"""

import random
import zlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..registry import Registry


@dataclass(slots=True)
class TargetLoad:
    """What one entry process knows about a target.

    Attributes:
        share: Slots that this process may use.
        in_flight: Requests of this process that the target is handling.
        extra_slots: Requests that the target may be sent beyond the share.
    """

    target_id: str
    zone: str
    share: int
    in_flight: int = 0
    extra_slots: int = 0

    @property
    def free(self) -> int:
        """Slots of the share that are not in use; negative above the share."""
        return self.share - self.in_flight

    @property
    def can_borrow(self) -> bool:
        """Whether the target may be sent a request, even beyond the share."""
        return self.free + self.extra_slots > 0


class TargetPicker(Protocol):
    """Chooses a target for one request.

    Attributes:
        extra_slots: Value of ``TargetLoad.extra_slots`` for healthy targets.
    """

    extra_slots: int

    def pick(self, targets: Sequence[TargetLoad]) -> TargetLoad | None:
        """Return a target with a free slot of the share, or ``None``."""


target_pickers: Registry[type[TargetPicker]] = Registry("target picker")


@target_pickers.register("two_choices")
class TwoChoices:
    """The less loaded of two random targets, of the own zone if it has room.

    Args:
        zone: Availability zone of this process.
        rng: Source of the random choices.
    """

    extra_slots = 0

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng

    def pick(self, targets: Sequence[TargetLoad]) -> TargetLoad | None:
        """Return a target with a free slot of the share, or ``None``."""
        free = [target for target in targets if target.free > 0]
        same_zone = [target for target in free if target.zone == self._zone]
        return self._less_loaded(same_zone or free)

    def _less_loaded(self, candidates: list[TargetLoad]) -> TargetLoad | None:
        if not candidates:
            return None
        first = self._rng.choice(candidates)
        second = self._rng.choice(candidates)
        return first if first.free >= second.free else second


@target_pickers.register("borrowing")
class Borrowing(TwoChoices):
    """Like ``two_choices``, but may use one slot of each target beyond the share.

    The slot may be free because another process has less to do. In the simulation
    of ``benchmarks/routing.py`` a second extra request did not shorten the waits.
    The caller sets ``extra_slots`` of a target that refused a request to 0, and
    restores it later.
    """

    extra_slots = 1

    def pick(self, targets: Sequence[TargetLoad]) -> TargetLoad | None:
        """Return a target with a free slot of the share or one to borrow."""
        within_share = super().pick(targets)
        if within_share is not None:
            return within_share
        return self._less_loaded([target for target in targets if target.can_borrow])


@target_pickers.register("round_robin")
class RoundRobin:
    """Each target in turn, regardless of load and zone; a baseline to compare with."""

    extra_slots = 0

    def __init__(self, zone: str, rng: random.Random):
        self._next = rng.randrange(1 << 16)

    def pick(self, targets: Sequence[TargetLoad]) -> TargetLoad | None:
        """Return the next target, or ``None`` without targets."""
        if not targets:
            return None
        self._next += 1
        return targets[self._next % len(targets)]


def slot_share(
    target_id: str, slots: int, process_id: str, processes: Iterable[str]
) -> int:
    """Return how many of a target's slots one process may use.

    The slots that cannot be divided evenly go to processes in an order that
    differs between targets, so that all processes get about the same in total.
    """
    ranked = sorted(processes)
    if process_id not in ranked:
        return 0
    base, remainder = divmod(slots, len(ranked))
    offset = zlib.crc32(target_id.encode())
    position = (ranked.index(process_id) + offset) % len(ranked)
    return base + (position < remainder)
