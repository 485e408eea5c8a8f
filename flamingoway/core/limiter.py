"""Bounds the calls in flight of each member, so that a flood cannot fill a process."""

from collections.abc import Iterator
from contextlib import contextmanager

from ..errors import Refused
from ..status import Code

TOTAL_FACTOR = 4
RETRY_AFTER_S = 0.5


class MemberLimiter:
    """Limits the calls in flight per member and in total.

    Args:
        limit: Calls in flight of one member; all members together may have
            ``TOTAL_FACTOR`` times as many.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._total = 0
        self._counts: dict[str, int] = {}

    @contextmanager
    def enter(self, member: str) -> Iterator[None]:
        """Count a call until the block ends.

        Raises:
            Refused: ``MEMBER_LIMIT`` or ``OVERLOADED``; the call must not be made.
        """
        count = self._counts.get(member, 0)
        if count >= self._limit:
            raise Refused(
                "too many calls of the member are in flight",
                Code.MEMBER_LIMIT,
                retry_after=RETRY_AFTER_S,
            )
        if self._total >= self._limit * TOTAL_FACTOR:
            raise Refused("too many calls are in flight", retry_after=RETRY_AFTER_S)
        self._counts[member] = count + 1
        self._total += 1
        try:
            yield
        finally:
            self._total -= 1
            self._counts[member] -= 1
            if not self._counts[member]:
                del self._counts[member]
