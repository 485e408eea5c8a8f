"""Whether a job could ever run in a shard."""

from collections.abc import Callable, Set

from ..model import JobSpec, Policy, Resources
from ..status import Code
from .effects import Reply
from .fairness import FairQueue
from .index import WorkerIndex
from .ledger import ZERO, MemberKey

RETRY_AFTER_S = 5.0


def refusal(
    spec: JobSpec, waiter: object, index: WorkerIndex, queue: FairQueue
) -> Reply | None:
    """Return the refusal of a job that can never run, or ``None``.

    While no worker is known this cannot be decided. The job is then refused with
    ``OVERLOADED`` and a retry hint, as accepting it could leave a job in
    the queue that no worker can ever run.
    """
    if not index.infos:
        message = "no worker of the shard is known yet"
        details = {"retry_after": RETRY_AFTER_S}
        return Reply(waiter, Code.OVERLOADED, spec.job_id, message, details)
    count = count_at_once(spec)
    if not can_ever_fit(spec.resources, count, index):
        message = f"the workers of the shard cannot hold {_describe(spec)}"
        return Reply(waiter, Code.NEVER_FITS, spec.job_id, message)
    member = (spec.environment, spec.member)
    if not within_quota(member, spec.resources.times(count), queue):
        message = f"the member's quota is below {_describe(spec)}"
        return Reply(waiter, Code.QUOTA_TOO_SMALL, spec.job_id, message)
    return None


def count_at_once(spec: JobSpec) -> int:
    """Return how many tasks of a new job must run at once."""
    return spec.tasks if spec.policy is Policy.GANG else 1


def can_ever_fit(
    shape: Resources,
    count: int,
    index: WorkerIndex,
    occupied: Callable[[str], Resources] = lambda worker_id: ZERO,
) -> bool:
    """Tell whether all known workers could hold ``count`` tasks at once.

    Args:
        shape: Resources of one task.
        count: Number of tasks.
        index: Known workers.
        occupied: Returns what never becomes free on a worker; by default nothing.
    """
    for worker_id, info in index.infos.items():
        usable = info.capacity - occupied(worker_id)
        count -= max(0, slots_in(usable, shape, count))
        if count <= 0:
            return True
    return False


def fits_elsewhere(
    spec: JobSpec,
    count: int,
    index: WorkerIndex,
    avoid: Set[str],
    occupied: Callable[[str], Resources],
) -> bool:
    """Tell whether eligible workers outside ``avoid`` could hold the tasks at once.

    Args:
        spec: The job.
        count: Number of tasks.
        index: Known workers.
        avoid: Workers that do not count.
        occupied: Returns what never becomes free on a worker.
    """
    for worker_id in index.eligible_workers:
        if worker_id not in avoid:
            usable = index.infos[worker_id].capacity - occupied(worker_id)
            count -= max(0, slots_in(usable, spec.resources, count))
            if count <= 0:
                return True
    return False


def within_quota(member: MemberKey, need: Resources, queue: FairQueue) -> bool:
    """Tell whether the quota of a member covers ``need``."""
    return need.fits_in(queue.share_of(member).total_quota)


def slots_in(amount: Resources, shape: Resources, limit: int) -> int:
    """Return how many tasks of a shape fit in an amount, at most ``limit``."""
    pairs = (
        (amount.cores_milli, shape.cores_milli),
        (amount.memory_mb, shape.memory_mb),
        (amount.accelerators, shape.accelerators),
    )
    return min([limit, *(have // want for have, want in pairs if want > 0)])


def _describe(spec: JobSpec) -> str:
    need = spec.resources
    text = (
        f"{need.cores_milli / 1000:g} cores, {need.memory_mb} MB and "
        f"{need.accelerators} accelerators"
    )
    return f"{spec.tasks} times {text} at once" if spec.policy == "gang" else text
