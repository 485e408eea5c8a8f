"""Invariants of the scheduling core that tests check after every step."""

from collections import Counter, defaultdict

from flamingoway.core.effects import StartTask
from flamingoway.core.ledger import Ledger
from flamingoway.model import JobState, Policy, Resources, TaskState
from flamingoway.status import Code


class Violation(AssertionError):
    """An invariant of the scheduler does not hold."""


def check_capacity(ledger: Ledger, capacities: dict[str, Resources]) -> None:
    """I1: no worker is over capacity, and the totals match the placed tasks."""
    used = defaultdict(Resources)
    used_by_member = defaultdict(Resources)
    for task in ledger.tasks.values():
        if task.state.placed:
            spec = ledger.jobs[task.job_id].spec
            used[task.worker_id] += spec.resources
            used_by_member[spec.environment, spec.member] += spec.resources
    for worker_id, amount in used.items():
        _require(amount == ledger.used_on(worker_id), f"wrong total of {worker_id}")
        capacity = capacities.get(worker_id)
        if capacity is not None:
            _require(amount.fits_in(capacity), f"{worker_id} is over capacity")
    for member, amount in used_by_member.items():
        _require(
            ledger.member_used(*member) == amount, f"wrong total of member {member}"
        )


def check_placement(ledger: Ledger, running: dict[str, set[tuple[str, int]]]) -> None:
    """I2: no task runs on two workers, or twice on one worker.

    Args:
        ledger: The scheduler's ledger.
        running: Task id and attempt of the tasks that run now, by worker.
    """
    run_counts = Counter(task_id for tasks in running.values() for task_id, _ in tasks)
    duplicates = [task_id for task_id, count in run_counts.items() if count > 1]
    _require(not duplicates, f"tasks run more than once: {duplicates}")
    for task in ledger.tasks.values():
        _require(
            bool(task.worker_id) == task.state.placed,
            f"worker of {task.task_id} contradicts its state",
        )


def check_jobs(ledger: Ledger, accepted: set[str], removed: set[str]) -> None:
    """No accepted job is lost, and the state of each job agrees with its tasks."""
    missing = accepted - set(ledger.jobs) - removed
    _require(not missing, f"accepted jobs are missing: {missing}")
    for job in ledger.jobs.values():
        states = {task.state for task in job.tasks}
        if job.state is JobState.SUCCEEDED:
            _require(
                states == {TaskState.SUCCEEDED},
                f"{job.spec.job_id} succeeded, but not all its tasks did",
            )
        if job.state.final:
            _require(
                TaskState.QUEUED not in states,
                f"{job.spec.job_id} ended with queued tasks",
            )
        elif job.spec.policy is not Policy.SERVICE:
            unfinished = states - {TaskState.SUCCEEDED}
            _require(bool(unfinished), f"{job.spec.job_id} is done but has not ended")


def check_gangs(ledger: Ledger) -> None:
    """A gang is never partly placed.

    While one of its tasks is queued, all its placed tasks are stopping.
    """
    for job in ledger.jobs.values():
        if job.spec.policy is Policy.GANG and not job.state.final:
            states = {task.state for task in job.tasks}
            partly_placed = TaskState.QUEUED in states and TaskState.ASSIGNED in states
            _require(not partly_placed, f"gang {job.spec.job_id} is partly placed")


def check_queued_tasks(scheduler) -> None:
    """Every queued task is in the queue or waits for a known event.

    Such events are the end of a retry delay, of a blocking attempt, or of the gang's
    tasks that are still placed.
    """
    state = scheduler._state
    for job in scheduler.ledger.jobs.values():
        placed = any(task.state.placed for task in job.tasks)
        for task in job.tasks:
            if task.state is not TaskState.QUEUED or job.state.final:
                continue
            gang = job.spec.policy is Policy.GANG
            entry = job.spec.job_id if gang else task.task_id
            will_continue = (
                entry in state.queue
                or entry in state._delayed_until
                or state._blocked[entry]
                or (gang and placed)
            )
            _require(will_continue, f"{task.task_id} is queued but can never be placed")


def check_results(ledger: Ledger) -> None:
    """The result of a task comes from the attempt that succeeded, not an older one.

    The simulated workers return the task id and the attempt number as result.
    """
    for task in ledger.tasks.values():
        if task.state is TaskState.SUCCEEDED:
            expected = f"{task.task_id}#{task.attempt}".encode()
            _require(
                task.result == expected,
                f"{task.task_id} has the result of another attempt",
            )


def check_answers(history: dict[str, list[int | str]]) -> None:
    """I4: a job that was answered with "not run" has not run.

    Args:
        history: By job and in order, its answers and ``"ran"`` for each start of a
            task. A start must follow an acceptance without a refusal in between.
    """
    for job_id, events in history.items():
        accepted = False
        started = False
        for event in events:
            if event == "ran":
                _require(accepted, f"{job_id} ran after a refusal")
                started = True
            elif Code(event).ran == "no" and event != Code.KEY_REUSED:
                _require(not started, f"{job_id} was refused after it ran")
                accepted = False
            else:
                accepted = True


def check_start(start: StartTask, cancelled: set[tuple[str, str]]) -> None:
    """No start is sent for a job whose cancellation was answered.

    Args:
        start: A start that is about to be sent.
        cancelled: Member and job id of each answered cancellation.
    """
    job = (start.spec.member, start.spec.job_id)
    _require(job not in cancelled, f"{start.task_id} starts after its cancellation")


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise Violation(message)
