"""Ends accepted jobs that can no longer run."""

from ..model import Policy
from ..status import Code
from .fairness import Group, Lane
from .feasibility import can_ever_fit, within_quota
from .state import ShardState

# Workers are replaced and documents rolled back within minutes; a job is ended only
# if it has been impossible for longer than that.
IMPOSSIBLE_GRACE_S = 900.0


class ImpossibleJobs:
    """Lanes whose jobs cannot run, with the time since when.

    The entries of a lane need the same, so they become impossible together.
    """

    def __init__(self, state: ShardState):
        self._state = state
        self._impossible_since: dict[tuple, float] = {}

    def end_expired(self) -> None:
        """End queued jobs that could not run for ``IMPOSSIBLE_GRACE_S``.

        A job cannot run if it does not fit on the workers beside the services, which
        never end, or exceeds the quota of its member. Services are kept, because
        operators decide about them, not members.
        """
        impossible = {}
        # Lanes of a group need the same resources, so one check per group is enough.
        reasons: dict[int, str] = {}
        for lane in self._state.queue.lanes:
            reason = self._reason(lane, reasons)
            if reason:
                since = self._impossible_since.get(lane.key, self._state.now)
                impossible[lane.key] = since
                if self._state.now - since >= IMPOSSIBLE_GRACE_S:
                    self._fail_all(lane, reason)
        self._impossible_since = impossible

    def _reason(self, lane: Lane, reasons: dict[int, str]) -> str:
        state = self._state
        if lane.group.policy is Policy.SERVICE or not state.index.infos:
            return ""
        group = lane.group
        key = id(group)
        if key not in reasons:
            reasons[key] = self._capacity_reason(group)
        if reasons[key]:
            return reasons[key]
        need = group.shape.times(group.count)
        if not within_quota(lane.member, need, state.queue):
            return "the member's quota is below its size now"
        return ""

    def _capacity_reason(self, group: Group) -> str:
        index = self._state.index
        if not can_ever_fit(group.shape, group.count, index):
            return "no worker of the shard can hold it any more"
        services = self._state.ledger.service_used_on
        if not can_ever_fit(group.shape, group.count, index, services):
            return "the services of the shard leave too little room for it"
        return ""

    def _fail_all(self, lane: Lane, reason: str) -> None:
        while lane.entries:
            self._state.fail_job(self._job(lane), Code.JOB_IMPOSSIBLE, reason)

    def _job(self, lane: Lane):
        ledger = self._state.ledger
        return ledger.jobs.get(lane.head) or ledger.job_of(lane.head)
