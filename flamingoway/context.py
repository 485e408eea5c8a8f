"""The context object that the tasks of one process share; no module globals."""

import random
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .settings import Settings


def boot_time() -> float:
    """Return seconds on a monotonic clock that also counts system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Context:
    """Settings, clocks, metrics and tracer of one process.

    Attributes:
        incarnation: Random id of this start of the process; a restart at the same
            address has a different one.
        clock: Monotonic clock in seconds.
        wall_clock: Wall clock, in seconds since the epoch.
    """

    settings: Settings
    clock: Callable[[], float] = boot_time
    wall_clock: Callable[[], float] = time.time
    rng: random.Random = field(default_factory=random.SystemRandom)
    incarnation: str = field(default_factory=lambda: uuid.uuid4().hex)
    metrics: Any = None
    tracer: Any = None
