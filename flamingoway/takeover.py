"""Which live process should take a shard that has no owner."""

import hashlib
from collections.abc import Iterable

from .messages import ProcessInfo

# A process paused at the moment of the takeover delays it by this much. Takeover
# must end within 10 s, of which the session lease uses 4 s.
RANK_DELAY_S = 0.5
MAX_RANK_DELAY_S = 2.0


def candidates(
    shard: str, region: str, processes: Iterable[ProcessInfo]
) -> list[ProcessInfo]:
    """Return who may take the shard, best first, by rendezvous hash.

    Processes of other regions are candidates only if no process of the shard's region
    is live.
    """
    live = list(processes)
    local = [process for process in live if process.region == region]
    return sorted(local or live, key=lambda p: _weight(shard, p), reverse=True)


def takeover_delay(
    shard: str, region: str, processes: Iterable[ProcessInfo], process_id: str
) -> float | None:
    """Return how long a process waits before it takes a free shard.

    Returns:
        Seconds since the shard became free, or ``None`` if the process is no
        candidate.
    """
    ranked = [p.process_id for p in candidates(shard, region, processes)]
    if process_id not in ranked:
        return None
    return min(ranked.index(process_id) * RANK_DELAY_S, MAX_RANK_DELAY_S)


def _weight(shard: str, process: ProcessInfo) -> bytes:
    text = f"{shard}\0{process.process_id}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
