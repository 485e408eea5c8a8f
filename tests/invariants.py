"""Invariants of the scheduling core, checked from the outside after every step."""

from collections import Counter, defaultdict

from flamingoway.core.ledger import Ledger
from flamingoway.model import JobState, Policy, Resources, TaskState
from flamingoway.status import Code


class Violation(AssertionError):
    """An invariant does not hold."""


def check_capacity(ledger: Ledger, capacities: dict[str, Resources]) -> None:
    """I1: no worker holds more than it has, and the totals are right."""
    held = defaultdict(Resources)
    members = defaultdict(Resources)
    for task in ledger.tasks.values():
        if task.state.placed:
            spec = ledger.jobs[task.job_id].spec
            held[task.worker_id] += spec.resources
            members[spec.environment, spec.member] += spec.resources
    for worker_id, amount in held.items():
        _require(amount == ledger.used_on(worker_id), f"total of {worker_id}")
        capacity = capacities.get(worker_id)
        if capacity is not None:
            _require(amount.fits_in(capacity), f"{worker_id} is over capacity")
    for member, amount in members.items():
        _require(ledger.member_used(*member) == amount, f"total of {member}")


def check_places(ledger: Ledger, running: dict[str, set[tuple[str, int]]]) -> None:
    """I2: no task runs on two workers, or twice on one.

    Args:
        ledger: State of the scheduler.
        running: Attempts that run on each worker now.
    """
    places = Counter(task_id for tasks in running.values() for task_id, _ in tasks)
    twice = [task_id for task_id, count in places.items() if count > 1]
    _require(not twice, f"tasks in two places: {twice}")
    for task in ledger.tasks.values():
        _require(bool(task.worker_id) == task.state.placed, f"place of {task.task_id}")


def check_jobs(ledger: Ledger, accepted: set[str], forgotten: set[str]) -> None:
    """No accepted job is lost; final states agree with their tasks."""
    missing = accepted - set(ledger.jobs) - forgotten
    _require(not missing, f"accepted jobs are missing: {missing}")
    for job in ledger.jobs.values():
        states = {task.state for task in job.tasks}
        if job.state is JobState.SUCCEEDED:
            _require(states == {TaskState.SUCCEEDED}, f"{job.spec.job_id} succeeded")
        if job.state.final:
            _require(TaskState.QUEUED not in states, f"{job.spec.job_id} still queued")
        elif job.spec.policy is not Policy.SERVICE:
            unfinished = states - {TaskState.SUCCEEDED}
            _require(bool(unfinished), f"{job.spec.job_id} never ends")


def check_gangs(ledger: Ledger) -> None:
    """A gang never waits half placed: then all its placed tasks are stopping."""
    for job in ledger.jobs.values():
        if job.spec.policy is Policy.GANG and not job.state.final:
            states = {task.state for task in job.tasks}
            half = TaskState.QUEUED in states and TaskState.ASSIGNED in states
            _require(not half, f"gang {job.spec.job_id} is half placed")


def check_waiting(scheduler) -> None:
    """No queued task is forgotten by the queue, unless it waits for a retry."""
    state = scheduler._state
    for job in scheduler.ledger.jobs.values():
        placed = any(task.state.placed for task in job.tasks)
        for task in job.tasks:
            if task.state is not TaskState.QUEUED or job.state.final:
                continue
            gang = job.spec.policy is Policy.GANG
            entry = job.spec.job_id if gang else task.task_id
            waits = (
                entry in state.queue
                or entry in state._delayed_until
                or state._blocked[entry]
                or (gang and placed)
            )
            _require(waits, f"{task.task_id} is forgotten")


def check_results(ledger: Ledger) -> None:
    """A result is that of the attempt that succeeded, not of an older one.

    Workers of the test answer with task id and attempt number.
    """
    for task in ledger.tasks.values():
        if task.state is TaskState.SUCCEEDED:
            expected = f"{task.task_id}#{task.attempt}".encode()
            _require(task.result == expected, f"result of {task.task_id}")


def check_answers(history: dict[str, list[int | str]]) -> None:
    """I4: whoever is told "not run" finds that the work did not run.

    Args:
        history: For each job its answers and, as ``"ran"``, each start of a task, in
            order. A start must follow an acceptance that no refusal came after.
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


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise Violation(message)
