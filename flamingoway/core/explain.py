"""Why a job waits, in sentences for operators."""

from ..model import Job, Policy, Resources, TaskState
from .feasibility import can_ever_fit
from .quota import QuotaReserver
from .state import ShardState, gang_is_unplaced, queue_entry_of


def waiting_reasons(
    state: ShardState, job: Job, reserved_for: str | None, quotas: QuotaReserver
) -> list[str]:
    """Return the reasons why the queued tasks of a job wait, one per line.

    Args:
        state: State of the shard.
        job: The job.
        reserved_for: Job id of the gang that holds the reservation, if any.
        quotas: Reservations of quota.
    """
    queued = [task for task in job.tasks if task.state is TaskState.QUEUED]
    if job.state.final or not queued:
        return [f"the job is {job.state.value}"]
    lines = [f"{len(queued)} of {len(job.tasks)} tasks are queued"]
    lines += _delay_reasons(state, job, queued)
    need = job.spec.resources
    count = len(queued) if job.spec.policy is Policy.GANG else 1
    if not can_ever_fit(need, count, state.index):
        lines.append("no worker of the shard can hold it; it ends if that lasts")
        return lines
    need = need.times(count)
    lines += _quota_reasons(state, job, need)
    lines += _reserved_quota_reasons(state, job, quotas)
    lines += _capacity_reasons(state, job, reserved_for)
    return lines


def _delay_reasons(state: ShardState, job: Job, queued: list) -> list[str]:
    lines = []
    if job.spec.policy is Policy.GANG and not gang_is_unplaced(job):
        lines.append("other tasks of the gang are still stopping")
    entries = dict.fromkeys(queue_entry_of(job, task) for task in queued)
    until = [state.delayed_until(entry) for entry in entries]
    delays = [time - state.now for time in until if time is not None]
    if delays:
        lines.append(f"{len(delays)} wait for a retry, first in {min(delays):.1f} s")
    blocked = sum(state.is_blocked(entry) for entry in entries)
    if blocked:
        lines.append(f"{blocked} wait for a former attempt to stop on its worker")
    return lines


def _quota_reasons(state: ShardState, job: Job, need: Resources) -> list[str]:
    member = (job.spec.environment, job.spec.member)
    if state.queue.fits_member_quota(member, need):
        return []
    used = state.ledger.member_used(*member)
    quota = state.queue.share_of(member).quota
    return [
        f"the member holds {_format(used)} of its quota of {_format(quota)} here, "
        f"and the job needs {_format(need)}"
    ]


def _reserved_quota_reasons(
    state: ShardState, job: Job, quotas: QuotaReserver
) -> list[str]:
    entries = dict.fromkeys(queue_entry_of(job, task) for task in job.tasks)
    entry = next((entry for entry in entries if entry in state.queue), None)
    if entry is None:
        return []
    lane = state.queue.lane_of(entry)
    if quotas.fits(lane, lane.need):
        return []
    return [
        f"quota of the member is reserved for {holder.head}, which needs more at once"
        for holder in quotas.holders_before(lane)
    ]


def _capacity_reasons(
    state: ShardState, job: Job, reserved_for: str | None
) -> list[str]:
    if reserved_for == job.spec.job_id:
        return ["workers are reserved for it; their tasks must end first"]
    fits = state.index.fits(job.spec.resources, job.spec.urgent)
    if fits.any() and job.spec.policy is not Policy.GANG:
        return ["a worker has room; work of more entitled members goes first"]
    if fits.any():
        return ["too few workers have room for all tasks at once"]
    return [f"no worker has {_format(job.spec.resources)} free now"]


def _format(amount: Resources) -> str:
    return (
        f"{amount.cores_milli / 1000:g} cores, {amount.memory_mb} MB, "
        f"{amount.accelerators} accelerators"
    )
