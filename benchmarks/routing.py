"""Compares target pickers in virtual time.

``python benchmarks/routing.py [--json] [--seed N] [--requests N]`` simulates 7 entry
processes and 24 targets of 8 slots in 3 zones. Each entry process knows only its own
requests, and a request waits there while the picker finds no target. A target with
all slots busy queues the request, or refuses it if it has no queue or the queue is
full; the entry process then picks again.

Reported for each picker, load, division of the requests over the entry processes and
length of the targets' queues: the waiting time (arrival at the entry process to
start at the target, with the network) and the part of the requests that reached a
target without a free slot.
"""

import argparse
import heapq
import json
import random
import sys
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from flamingoway.core.routing import (  # noqa: E402
    TargetLoad,
    slot_share,
    target_pickers,
)

ENTRIES = 7
TARGETS = 24
SLOTS = 8
TARGET_QUEUES = (8, 0)
ZONES = 3
SERVICE_S = 0.02
SAME_ZONE_S = 0.0001
OTHER_ZONE_S = 0.0005
LOADS = (0.5, 0.7, 0.85, 0.95)
# How the load balancer divides the requests over the entry processes.
DIVISIONS = {
    "even": [1.0] * ENTRIES,
    "uneven": [1.6, 1.3, 1.1, 0.9, 0.8, 0.7, 0.6],
}
EXTRA_SLOTS_RESET_S = 0.5
WARM_UP_SHARE = 0.1


@dataclass(slots=True)
class Request:
    """One request, from its arrival until its answer."""

    entry: int
    arrived: float
    load: TargetLoad | None = None


@dataclass(slots=True)
class Target:
    """Slots and queue of a target."""

    zone: str
    running: int = 0
    queue: deque = field(default_factory=deque)


class Entry:
    """One entry process: its picker, its view of the targets, its waiting requests."""

    def __init__(self, index: int, picker: str, targets: list[Target], rng):
        self.zone = f"z{index % ZONES}"
        self.waiting: deque[Request] = deque()
        self.picker = target_pickers.get(picker)(self.zone, rng)
        names = [f"entry-{number}" for number in range(ENTRIES)]
        self.loads = [
            TargetLoad(
                str(number),
                target.zone,
                slot_share(str(number), SLOTS, names[index], names),
            )
            for number, target in enumerate(targets)
        ]
        self.reset_extra_slots()
        self.in_flight = 0

    @property
    def limit(self) -> int:
        """Maximum requests in flight at all targets together."""
        return sum(load.share + load.extra_slots for load in self.loads)

    def reset_extra_slots(self) -> None:
        """Allow slots beyond the own share at all targets again."""
        for load in self.loads:
            load.extra_slots = self.picker.extra_slots


class Simulation:
    """One run of one picker at one load."""

    def __init__(
        self, picker: str, load: float, division: str, target_queue: int, seed: int
    ):
        self._target_queue = target_queue
        self._rng = random.Random(seed)
        self._targets = [Target(f"z{number % ZONES}") for number in range(TARGETS)]
        self._entries = [
            Entry(index, picker, self._targets, self._rng) for index in range(ENTRIES)
        ]
        self._weights = DIVISIONS[division]
        self._rate = load * TARGETS * SLOTS / SERVICE_S
        self._events: list = []
        self._count = 0
        self._now = 0.0
        self._next_reset = EXTRA_SLOTS_RESET_S
        self.waits: list[float] = []
        self.overfull = 0
        self.refused = 0
        self.same_zone = 0
        self.sent = 0

    def run(self, requests: int) -> None:
        """Simulate a number of requests."""
        arrival = 0.0
        for _ in range(requests):
            arrival += self._rng.expovariate(self._rate)
            if arrival >= self._next_reset:
                self._next_reset += EXTRA_SLOTS_RESET_S
                for entry in self._entries:
                    entry.reset_extra_slots()
            self._advance(arrival)
            index = self._rng.choices(range(ENTRIES), self._weights)[0]
            self._entries[index].waiting.append(Request(index, arrival))
            self._dispatch(self._entries[index])
        self._advance(float("inf"))

    def _advance(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self._now, _, action, request = heapq.heappop(self._events)
            action(request)
        if until != float("inf"):
            self._now = until

    def _after(self, delay: float, action, request: Request) -> None:
        self._count += 1
        heapq.heappush(self._events, (self._now + delay, self._count, action, request))

    def _dispatch(self, entry: Entry) -> None:
        while entry.waiting and entry.in_flight < entry.limit:
            load = entry.picker.pick(entry.loads)
            if load is None:
                return
            request = entry.waiting.popleft()
            request.load = load
            load.in_flight += 1
            entry.in_flight += 1
            self._after(self._network_delay(request), self._arrive_at_target, request)

    def _network_delay(self, request: Request) -> float:
        in_zone = self._entries[request.entry].zone == request.load.zone
        self.same_zone += in_zone
        self.sent += 1
        return SAME_ZONE_S if in_zone else OTHER_ZONE_S

    def _arrive_at_target(self, request: Request) -> None:
        target = self._targets[int(request.load.target_id)]
        if target.running < SLOTS:
            self._start(target, request)
            return
        self.overfull += 1
        if len(target.queue) < self._target_queue:
            target.queue.append(request)
            return
        self.refused += 1
        request.load.extra_slots = 0
        self._free(request)
        entry = self._entries[request.entry]
        entry.waiting.appendleft(request)
        self._dispatch(entry)

    def _start(self, target: Target, request: Request) -> None:
        target.running += 1
        self.waits.append(self._now - request.arrived)
        self._after(self._rng.expovariate(1 / SERVICE_S), self._end, request)

    def _end(self, request: Request) -> None:
        target = self._targets[int(request.load.target_id)]
        target.running -= 1
        if target.queue:
            self._start(target, target.queue.popleft())
        in_zone = self._entries[request.entry].zone == target.zone
        self._after(SAME_ZONE_S if in_zone else OTHER_ZONE_S, self._on_answer, request)

    def _on_answer(self, request: Request) -> None:
        self._free(request)
        self._dispatch(self._entries[request.entry])

    def _free(self, request: Request) -> None:
        request.load.in_flight -= 1
        self._entries[request.entry].in_flight -= 1


def measure(
    picker: str,
    load: float,
    division: str,
    target_queue: int,
    seed: int,
    requests: int,
) -> dict:
    """Return the figures of one run."""
    simulation = Simulation(picker, load, division, target_queue, seed)
    simulation.run(requests)
    waits = sorted(simulation.waits[int(len(simulation.waits) * WARM_UP_SHARE) :])
    return {
        "picker": picker,
        "division": division,
        "target_queue": target_queue,
        "load": load,
        "wait_mean_ms": round(sum(waits) / len(waits) * 1000, 3),
        "wait_median_ms": round(waits[len(waits) // 2] * 1000, 3),
        "wait_p99_ms": round(waits[int(len(waits) * 0.99)] * 1000, 3),
        "overfull_share": round(simulation.overfull / simulation.sent, 5),
        "refused_share": round(simulation.refused / simulation.sent, 5),
        "same_zone_share": round(simulation.same_zone / simulation.sent, 3),
    }


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--json", action="store_true", help="print one JSON object")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=60_000)
    arguments = parser.parse_args()
    rows = [
        measure(picker, load, division, queue, arguments.seed, arguments.requests)
        for queue in TARGET_QUEUES
        for division in DIVISIONS
        for load in LOADS
        for picker in target_pickers
    ]
    if arguments.json:
        print(json.dumps({"seed": arguments.seed, "rows": rows}))
        return
    print(*rows[0], sep="\t")
    for row in rows:
        print(*row.values(), sep="\t")


if __name__ == "__main__":
    main()
