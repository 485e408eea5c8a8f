"""The targets of one environment: connections, loads, health and slot shares."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .core.ejection import Ejection
from .core.routing import TargetLoad, TargetPicker, slot_share
from .errors import FlamingowayError, Refused
from .status import Code
from .target import Answer, TargetPool, TargetRequest

# A time-out after less than this does not count against the target; otherwise a
# client with short deadlines could get healthy targets ejected.
MIN_COUNTED_TIMEOUT_S = 1.0
# Codes that say nothing about the health of the target.
_NEUTRAL = (
    Code.DEADLINE_PASSED,
    Code.OVERLOADED,
    Code.TARGET_REFUSED,
    Code.ANSWER_TOO_LARGE,
)


@dataclass(slots=True, eq=False)
class Target:
    """A target with its connections.

    Attributes:
        share: Slots of the target that this process may use.
    """

    load: TargetLoad
    pool: TargetPool
    share: int = 0


class TargetSet:
    """Owns the connections to the targets of one environment.

    Args:
        picker: Chooses a target for each request.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, picker: TargetPicker, clock: Callable[[], float]):
        self._picker = picker
        self._clock = clock
        self._targets: dict[str, Target] = {}
        self._available: list[TargetLoad] = []
        self._last_inputs: tuple[list, set[str]] = ([], set())
        self._ejection = Ejection()

    @property
    def slots(self) -> int:
        """Largest number of requests in flight at the available targets."""
        return sum(load.share + load.extra_slots for load in self._available)

    @property
    def counts(self) -> dict[str, int]:
        """Numbers of known targets and of targets that get requests."""
        return {"known": len(self._targets), "available": len(self._available)}

    def update(self, vms: Iterable, process_id: str, processes: Iterable[str]) -> None:
        """Set the live targets and the processes that share them.

        Args:
            vms: The live targets.
            process_id: This process.
            processes: All processes that share the targets, including this one.
        """
        vms, sharing = list(vms), set(processes)
        # Recomputing the shares on each refresh, twice a second, used most of the CPU
        # time of an idle process.
        if (vms, sharing) == self._last_inputs:
            return
        self._last_inputs = (vms, sharing)
        previous = self._targets
        self._targets = {}
        for vm in vms:
            target = previous.get(vm.id)
            if target is not None and _is_at(target, vm):
                del previous[vm.id]
            else:
                target = self._open(vm)
            target.share = slot_share(vm.id, vm.slots, process_id, sharing)
            target.pool.limit = _connection_limit(vm.connections, sharing)
            self._targets[vm.id] = target
        for target_id, target in previous.items():
            target.pool.close()
            self._ejection.forget(target_id)
        self.refresh()

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        for target in self._targets.values():
            target.pool.sweep()

    def refresh(self) -> None:
        """Recompute which targets are available and the slots of each."""
        available = self._ejection.available(list(self._targets), self._clock())
        self._available = []
        for target_id in available:
            target = self._targets[target_id]
            probing = self._ejection.probing(target_id)
            target.load.share = min(1, target.share) if probing else target.share
            target.load.extra_slots = 0 if probing else self._picker.extra_slots
            self._available.append(target.load)

    def reserve(self, tried: Iterable[str] = ()) -> Target | None:
        """Choose a target and reserve a slot on it; ``None`` if none is free.

        Args:
            tried: Ids of targets that must not be chosen.
        """
        loads = self._available
        if tried:
            loads = [load for load in loads if load.target_id not in tried]
        load = self._picker.pick(loads)
        if load is None:
            return None
        load.in_flight += 1
        return self._targets[load.target_id]

    def release(self, target: Target) -> None:
        """Free a reserved slot on which nothing was sent."""
        target.load.in_flight -= 1

    async def send(self, target: Target, request: TargetRequest) -> Answer:
        """Send a request on the reserved slot and free the slot.

        Raises:
            Refused: The request did not run.
            OutcomeUnknown: It may have run.
        """
        target_id = target.load.target_id
        try:
            answer = await target.pool.send(request)
        except FlamingowayError as exc:
            if self._holds(target):
                self._note_failure(target_id, request, exc)
            raise
        finally:
            target.load.in_flight -= 1
        if not self._holds(target):
            # Another VM may have the id by now.
            return answer
        if answer.leaving:
            self._ejection.note_leaving(target_id, self._clock())
            self.refresh()
        elif self._ejection.probing(target_id):
            self._ejection.note_success(target_id)
            self.refresh()
        else:
            self._ejection.note_success(target_id)
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        for target in self._targets.values():
            target.pool.close()

    def _note_failure(
        self, target_id: str, request: TargetRequest, exc: FlamingowayError
    ) -> None:
        now = self._clock()
        if exc.code == Code.ANSWER_LATE and request.timeout_s < MIN_COUNTED_TIMEOUT_S:
            return
        if exc.details.get("leaving"):
            self._ejection.note_leaving(target_id, now)
            self.refresh()
        elif exc.code == Code.TARGET_REFUSED:
            # The target is full: use no slots beyond the share until the next refresh.
            self._targets[target_id].load.extra_slots = 0
        elif exc.code not in _NEUTRAL:
            unreachable = isinstance(exc, Refused)
            if self._ejection.note_failure(target_id, now, unreachable):
                self.refresh()

    def _holds(self, target: Target) -> bool:
        """Return whether a target is still in the VM list, at the same address."""
        return self._targets.get(target.load.target_id) is target

    def _open(self, vm) -> Target:
        load = TargetLoad(vm.id, vm.zone, 0)
        return Target(load, TargetPool(vm.ip, vm.port, vm.connections, self._clock))


def _is_at(target: Target, vm) -> bool:
    """Return whether a VM of the list is the one that a target stands for."""
    return target.pool.address == (vm.ip, vm.port) and target.load.zone == vm.zone


def _connection_limit(connections: int, processes: Iterable[str]) -> int:
    """Return how many connections one process may open to one target."""
    return max(1, connections // max(1, len(set(processes))))
