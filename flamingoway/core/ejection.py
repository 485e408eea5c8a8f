"""Outlier ejection: no work for targets that fail or leave.

A target is ejected after failures in a row, for a time that doubles with each
ejection. After it, the target gets one request at a time until one succeeds. At
most half of the targets are ejected, so that a fault which all of them show (for
example in the requests) does not stop everything. Leaving targets get no work,
however many they are.
"""

from dataclasses import dataclass

CONSECUTIVE_FAILURES_LIMIT = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 0.5
# A target that said it is leaving and is still in the VM list after this time was
# restarted at the same address.
LEAVING_TIMEOUT_S = 30.0


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    leaving_until: float = 0.0
    probing: bool = False


class Ejection:
    """Health of the targets of one environment, from this process's requests."""

    def __init__(self):
        self._health: dict[str, _Health] = {}

    def available(self, targets: list[str], now: float) -> list[str]:
        """Return the targets that may get work.

        If more than ``MAX_EJECTED_SHARE`` of the targets are ejected, those whose
        ejection ends first are readmitted.
        """
        staying = [t for t in targets if self._get(t).leaving_until <= now]
        ejected = [t for t in staying if self._get(t).ejected_until > now]
        allowed = int(len(staying) * MAX_EJECTED_SHARE)
        if len(ejected) <= allowed:
            still_ejected = set(ejected)
        else:
            by_end = sorted(ejected, key=lambda t: self._get(t).ejected_until)
            still_ejected = set(by_end[len(ejected) - allowed :])
        return [t for t in staying if t not in still_ejected]

    def probing(self, target: str) -> bool:
        """Return whether a target may have only one request at a time."""
        health = self._health.get(target)
        return health is not None and health.probing

    def note_success(self, target: str) -> None:
        """Note a complete answer."""
        health = self._health.get(target)
        if health is not None:
            health.failures = 0
            health.ejections = 0
            health.probing = False

    def note_failure(self, target: str, now: float, unreachable: bool = False) -> bool:
        """Note a failure; return whether it ejects the target.

        Args:
            target: The target.
            now: Time, in seconds.
            unreachable: It refused the connection; one such failure is enough.
        """
        health = self._get(target)
        health.failures += 1
        at_once = unreachable or health.probing
        if health.failures < CONSECUTIVE_FAILURES_LIMIT and not at_once:
            return False
        if health.ejected_until > now:
            return False
        duration = BASE_EJECTION_S * 2**health.ejections
        health.ejected_until = now + min(MAX_EJECTION_S, duration)
        health.ejections = min(health.ejections + 1, 10)
        health.failures = 0
        health.probing = True
        return True

    def note_leaving(self, target: str, now: float) -> None:
        """Note that a target said it is leaving."""
        self._get(target).leaving_until = now + LEAVING_TIMEOUT_S

    def forget(self, target: str) -> None:
        """Drop a target that is not in the VM list any more."""
        self._health.pop(target, None)

    def _get(self, target: str) -> _Health:
        return self._health.setdefault(target, _Health())
