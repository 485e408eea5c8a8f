"""Which waiting step starts next, and where.

Order: Steps whose job can still meet its latency objective come first, by queue
priority and then by least work. Jobs that are already late follow in the order of
their objectives' deadlines, and jobs that are too late to be useful come last. Under
overload, this spends resources on jobs that still have their full value, keeps them
from waiting behind late jobs, and lets as many jobs as possible meet their objectives.

Gangs: A gang that does not fit reserves a small set of workers that could run it, and
later steps do not use them. Otherwise a stream of small tasks could starve a gang
of large ones. While much of the cluster is free, only the first gang reserves workers;
otherwise a backlog of gangs after an overload would block each other.

Advice: On a queue with an advice policy, a start needs a ticket from the advice
service, which is slow. The first call names many workers, and a step that does not fit
asks about the others. Once the tickets have expired, resources for a step are reserved
while new tickets are fetched for only the chosen workers, and it starts there.

Backlog: A step that did not fit is retried only on workers that have gained free
resources since, so that a pass over hundreds of waiting steps stays short.
"""

import math
from collections.abc import Iterable, Sequence

from .cluster import ClusterState
from .decisions import DecisionLog
from .placement import (
    UNLIMITED_TASKS,
    Candidate,
    FreeCapacity,
    Placement,
    allocated_resources,
    available_slots,
    choose_gang_workers,
    place_gang,
    place_tasks,
    slots_beside_lasting,
    slots_on_empty_worker,
)
from .runs import MAX_CALLS_IN_FLIGHT, AdviceCall, StepRun, WorkerState

# A ticket must still be valid when the worker receives the start order.
TICKET_MARGIN_S = 0.15
# The advice service accepts at most this many worker ids per call.
MAX_ADVISED_WORKERS = 100
# Least time between two calls about more workers for the same step, so that workers
# that join one by one do not cause a call each.
ASK_AGAIN_S = 1.0
# Largest fraction of the workers that all gangs together may reserve.
MAX_RESERVED_SHARE = 0.5
# For this long, a failed task avoids the workers on which tasks of its step failed; for
# longer while most of the cluster is in use. By the users' rules, a job must not have
# nothing running for 3 s beside free capacity.
AVOID_FAILURES_S = 2.0
# Below this CPU utilization most of the cluster is free: only the first gang reserves
# workers, and failed tasks soon return to workers on which they failed, so that work
# does not wait for idle resources.
MIN_USED_SHARE = 0.6
# By the users' rules, a job that takes more than this many times its objective is of
# no use to its caller.
USELESS_FACTOR = 3.0
# Interval at which the log tells why a step waits, for as long as it does.
WAIT_LOG_S = 2.0
# Most such lines in one pass. Each looks at all workers, and a backlog of hundreds of
# steps would otherwise block the process for most of a second.
MAX_WAIT_LINES_PER_PASS = 5
# Largest part of the start orders that may still be sent that one step takes.
MAX_SHARE_OF_STARTS = 0.5


class PlanningError(Exception):
    """An unforeseen error while one step was planned.

    Args:
        step: The step.
    """

    def __init__(self, step: StepRun):
        super().__init__(step.id)
        self.step = step


class Planner:
    """Orders starts and calls to the advice service for the waiting steps.

    Args:
        cluster: The cluster state.
        log: Decision log.
    """

    def __init__(self, cluster: ClusterState, log: DecisionLog):
        self._cluster = cluster
        self._log = log
        self._free = FreeCapacity((), {}, 0.0)
        # Candidates at the end of the last pass, by worker id.
        self._previous: dict[str, Candidate] = {}
        # Workers reserved for gangs, by step id; kept between passes.
        self._gang_reservations: dict[str, list[Candidate]] = {}
        # The gang that reserved a worker and the first part of its rank, by worker id.
        self._reserved_by: dict[str, tuple[StepRun, int]] = {}
        self._untracked_tasks: set[str] = set()
        self._wait_lines_left = 0
        self._starts_left = 0
        self._starts_limited = False
        # The step that was planned last with fewer tasks than it could start.
        self._limited_step: StepRun | None = None
        self._planned: StepRun | None = None

    @property
    def starts_limited(self) -> bool:
        """Whether the last pass left out tasks because of orders in flight."""
        return self._starts_limited

    def run(self, now: float) -> int:
        """Order all starts that are possible now; return their number.

        Raises:
            PlanningError: An error occurred while a step was planned; steps after it
                have not been planned.
        """
        self._planned = None
        try:
            return self._run(now)
        except Exception as exc:
            if self._planned is None:
                raise
            raise PlanningError(self._planned) from exc

    def _run(self, now: float) -> int:
        cluster = self._cluster
        self._wait_lines_left = MAX_WAIT_LINES_PER_PASS
        self._starts_left = MAX_CALLS_IN_FLIGHT - cluster.starting
        self._starts_limited = False
        self._limited_step = None
        self._drop_stale_reservations()
        self._untracked_tasks = cluster.untracked_tasks()
        takeover_unfinished = cluster.may_have_unknown_runs
        started = self._start_reserved(now)
        free = self._free = FreeCapacity(cluster.workers.values(), self._previous, now)
        reserved_before, self._reserved_by = self._reserved_by, {}
        for step in self._ranked(cluster.waiting.values(), now):
            self._planned = step
            held_back = step.job.inherited and takeover_unfinished
            if step.retry_at > now or held_back:
                # Resources freed in the meantime would not count as gained when the
                # step is planned again, so it then considers all workers.
                step.blocked = False
                if step.id in self._gang_reservations:
                    self._reserve_workers(step, now)
                why = "takeover unfinished" if held_back else "retry delayed"
                self._log_wait(step, why, now)
                continue
            started += self._plan(step, now)
        self._previous = dict(free.candidates)
        self._starts_limited |= any(c.starts <= 0 for c in free.candidates.values())
        # Workers whose gang reservation changed count as having gained resources.
        for worker_id in reserved_before.keys() | self._reserved_by.keys():
            if reserved_before.get(worker_id) != self._reserved_by.get(worker_id):
                self._previous.pop(worker_id, None)
        return started

    def _ranked(self, steps: Iterable[StepRun], now: float) -> list[StepRun]:
        """Return steps in the order in which they are planned."""

        def key(step: StepRun) -> tuple:
            self._planned = step
            return self.rank(step, now)

        return sorted(steps, key=key)

    def rank(self, step: StepRun, now: float) -> tuple:
        """Return the sort key of a waiting step; lower keys are planned first."""
        job, spec = step.job, step.spec
        end = now + step.critical_path_s
        if end <= job.objective_at:
            work = spec.count * spec.resources.cores_milli * spec.estimate_s
            return (0, job.queue.priority, work, step.id)
        objective_s = job.objective_at - job.accepted_at
        useless = end > job.accepted_at + USELESS_FACTOR * objective_s
        return (1 + useless, job.queue.priority, job.objective_at, step.id)

    def _plan(self, step: StepRun, now: float) -> int:
        advised = step.job.queue.advice is not None
        if self._starts_left <= 0 and not advised and not step.spec.gang:
            self._starts_limited = True
            step.blocked = False
            self._log_wait(step, "too many orders in flight", now)
            return 0
        if advised and step.allowed_workers is None and not step.advice_pending:
            self._ask_about_others(step, now)
        if step.advice_pending:
            return self._plan_during_call(step, now)
        candidates = self._candidates(step, now)
        placements: list[Placement] = []
        if advised:
            placements = self._place_with_tickets(step, candidates, now)
        if placements:
            # Tasks that are left have not been tried on the other workers.
            step.blocked = False
            return self._start(step, placements, now)
        if candidates:
            placements = self._place(step, candidates)
        # Workers that reject the step's orders are tried even if they gain nothing, and
        # so are all once an untracked run of the step has ended or once more orders may
        # be in flight.
        step.blocked = len(placements) < len(step.pending) and not (
            step.rejecting_workers
            or step is self._limited_step
            or len(self._startable(step)) < len(step.pending)
        )
        if not placements:
            self._reserve_workers(step, now)
            if advised and not step.advice_pending:
                self._ask_about_others(step, now)
            self._log_wait(step, "no worker fits" if candidates else "not tried", now)
            return 0
        if not advised:
            return self._start(step, placements, now)
        self._log_wait(step, "tickets missing", now)
        self._reserve_resources(step, placements, now)
        return 0

    def _plan_during_call(self, step: StepRun, now: float) -> int:
        """Start a step with the tickets it has while more advice is on its way."""
        # Resources freed meanwhile would not count as gained after the answer.
        step.blocked = False
        placements: list[Placement] = []
        if not step.reserved and self._ticketed_workers(step, now):
            placements = self._place_with_tickets(
                step, self._candidates(step, now), now
            )
        if placements:
            return self._start(step, placements, now)
        if step.id in self._gang_reservations:
            self._reserve_workers(step, now)
        self._log_wait(step, "advice pending", now)
        return 0

    def _log_wait(self, step: StepRun, why: str, now: float) -> None:
        """Log at intervals why a step waits, with the inputs of the decision."""
        since = max(step.due_at, step.wait_logged_at)
        if now - since < WAIT_LOG_S or not self._wait_lines_left:
            return
        self._wait_lines_left -= 1
        step.wait_logged_at = now
        eligible = self._free.eligible(step)
        needs = allocated_resources(step.spec)
        self._log.write(
            "step waits",
            step=step.id,
            why=why,
            waited_s=round(now - step.due_at, 3),
            tasks=len(step.pending),
            slots_free=sum(c.slots(needs) for c in eligible),
            slots_unreserved=sum(
                c.slots(needs) for c in self._unreserved(step, eligible)
            ),
            slots_empty=sum(slots_on_empty_worker(step, c) for c in eligible),
            workers_limited=sum(c.tasks < UNLIMITED_TASKS for c in eligible),
            workers_allowed=len(eligible),
            workers_reserved=len(self._reserved_by),
            resources_reserved=len(step.reserved),
            used_share=round(self._free.used_share, 3),
            advice_age_s=_age(now, step.advice_asked_at),
            ticket_left_s=_ticket_left_s(step, now),
        )

    # Placement

    def _candidates(self, step: StepRun, now: float) -> list[Candidate]:
        """Return the workers that may have resources for a step now."""
        grown = self._free.grown
        if (
            step.blocked
            and not step.avoids_failures
            and step.allowed_workers is not None
            and grown.isdisjoint(step.allowed_workers)
        ):
            return []
        candidates = self._unreserved(step, self._without_failures(step, now))
        if not step.blocked:
            return candidates
        if step.spec.gang:
            return candidates if any(c.worker_id in grown for c in candidates) else []
        return [c for c in candidates if c.worker_id in grown]

    def _without_failures(self, step: StepRun, now: float) -> list[Candidate]:
        """Return the workers on which no task of a step failed, and note the exclusion.

        All if none of those can get room for a task, or if most of the cluster is free
        but none of those has had room for ``AVOID_FAILURES_S``. Workers that rejected
        the step's orders are not counted. Gangs and steps with lasting tasks, which
        are to run at any time, are not restricted.
        """
        candidates = self._free.eligible(step)
        if not step.failed_workers or step.spec.gang or step.spec.lasting:
            return candidates
        others = [c for c in candidates if c.worker_id not in step.failed_workers]
        accepting = [c for c in others if c.worker_id not in step.rejecting_workers]
        waited = now - step.failed_at >= AVOID_FAILURES_S
        if waited and self._free.used_share < MIN_USED_SHARE:
            avoids = bool(available_slots(step, self._unreserved(step, accepting)))
        else:
            avoids = any(slots_beside_lasting(step, c) for c in accepting)
        if step.avoids_failures and not avoids:
            # The workers on which tasks failed have not been tried before.
            step.blocked = False
        step.avoids_failures = avoids
        return others if avoids else candidates

    def _unreserved(
        self, step: StepRun, candidates: Iterable[Candidate]
    ) -> list[Candidate]:
        """Return the workers that no earlier gang has reserved."""
        if not self._reserved_by:
            return list(candidates)
        reserved_by = self._reserved_by
        return [
            c
            for c in candidates
            if c.worker_id not in reserved_by or reserved_by[c.worker_id][0] is step
        ]

    def _place_with_tickets(
        self, step: StepRun, candidates: Sequence[Candidate], now: float
    ) -> list[Placement]:
        """Place a step on the workers for which it has valid tickets.

        Without those that rejected its orders: other workers may lack only a ticket.
        """
        ticketed = self._ticketed_workers(step, now) - step.rejecting_workers
        if not ticketed:
            return []
        usable = [c for c in candidates if c.worker_id in ticketed]
        return self._place(step, usable) if usable else []

    def _ticketed_workers(self, step: StepRun, now: float) -> set[str]:
        """Return the workers for which a step has tickets that stay valid."""
        at = now + TICKET_MARGIN_S
        return {w for w, ticket in step.tickets.items() if at < ticket.valid_until}

    def _startable(self, step: StepRun) -> list[int]:
        """Return the tasks to start, except those that may be running untracked."""
        untracked = self._untracked_tasks
        if not untracked:
            return step.pending
        return [i for i in step.pending if step.task_id(i) not in untracked]

    def _place(self, step: StepRun, candidates: Sequence[Candidate]) -> list[Placement]:
        """Place a step, if possible on workers that have not rejected its orders."""
        indexes = self._startable(step)
        gang, rejecting = step.spec.gang, step.rejecting_workers
        if gang and len(indexes) < step.spec.count:
            return []
        preferred = candidates
        if rejecting:
            preferred = [c for c in candidates if c.worker_id not in rejecting]
        if not gang:
            indexes = self._within_start_limit(step, indexes)
        if gang:
            placed = place_gang(step, preferred)
            return placed or (place_gang(step, candidates) if rejecting else [])
        placed = place_tasks(step, indexes, preferred)
        # A step that makes progress waits for workers that accept its orders, if any.
        if rejecting and (
            step.spec.lasting or not (preferred and (placed or step.live))
        ):
            others = [c for c in candidates if c.worker_id in rejecting]
            placed += place_tasks(step, indexes[len(placed) :], others)
        return placed

    def _within_start_limit(self, step: StepRun, indexes: list[int]) -> list[int]:
        """Return the tasks that may be ordered now, part of those of a wide step.

        A step gets part of what the orders in flight leave, so that the steps behind it
        need not wait until all its tasks have started.
        """
        limit = math.ceil(max(0, self._starts_left) * MAX_SHARE_OF_STARTS)
        if limit >= len(indexes):
            return indexes
        self._starts_limited = True
        self._limited_step = step
        return indexes[:limit]

    # Gang reservations

    def _reserve_workers(self, step: StepRun, now: float) -> None:
        """Reserve workers for a gang that does not fit yet; ignored for other steps."""
        if not step.spec.gang:
            return
        if self._reserved_by and self._free.used_share < MIN_USED_SHARE:
            return
        limit = int(MAX_RESERVED_SHARE * len(self._cluster.workers)) - len(
            self._reserved_by
        )
        chosen = self._workers_to_reserve(step, limit)
        if not chosen or len(chosen) > limit:
            return
        self._gang_reservations[step.id] = chosen
        reservation = (step, self.rank(step, now)[0])
        for candidate in chosen:
            self._reserved_by[candidate.worker_id] = reservation
        may_ask = not step.advice_pending and step.retry_at <= now
        if step.job.queue.advice is not None and may_ask:
            self._renew_tickets(step, chosen, now)

    def _workers_to_reserve(self, step: StepRun, limit: int) -> list[Candidate]:
        """Return the workers to reserve for a gang, if possible the same as before.

        Workers that rejected the gang's orders are reserved only if it does not fit on
        others.
        """
        kept = self._gang_reservations.pop(step.id, ())
        chosen = self._still_available(step, kept)
        rejecting = step.rejecting_workers
        if limit <= 0 or (chosen and not _includes_any(chosen, rejecting)):
            return chosen
        candidates = self._unreserved(step, self._free.eligible(step))
        chosen = chosen or choose_gang_workers(step, candidates, limit)
        if not _includes_any(chosen, rejecting):
            return chosen
        accepting = [c for c in candidates if c.worker_id not in rejecting]
        return choose_gang_workers(step, accepting, limit) or chosen

    def _drop_stale_reservations(self) -> None:
        """Drop the reservations of gangs that are no longer waiting."""
        for step_id in self._gang_reservations.keys() - self._cluster.waiting.keys():
            for candidate in self._gang_reservations.pop(step_id):
                self._previous.pop(candidate.worker_id, None)

    def _still_available(
        self, step: StepRun, candidates: Sequence[Candidate]
    ) -> list[Candidate]:
        """Return the current candidates for a gang's reserved workers.

        Empty if a worker is unusable for the gang, if an earlier gang has reserved it,
        or if the gang no longer fits on them.
        """
        eligible = {c.worker_id: c for c in self._free.eligible(step)}
        found = []
        for candidate in candidates:
            current = eligible.get(candidate.worker_id)
            if current is None or candidate.worker_id in self._reserved_by:
                return []
            found.append(current)
        slots = sum(slots_beside_lasting(step, c) for c in found)
        return found if slots >= step.spec.count else []

    # Advice

    def _ask_about_others(self, step: StepRun, now: float) -> None:
        """Ask which of the workers not named in a call so far may run a step."""
        candidates = self._free.candidates
        if candidates.keys() <= step.asked_workers:
            return
        if now - step.others_asked_at < ASK_AGAIN_S:
            return
        workers = [
            candidate.worker
            for worker_id, candidate in candidates.items()
            if worker_id not in step.asked_workers
            and step.may_run_on(candidate.worker.entry)
        ]
        if workers:
            step.others_asked_at = now
            self._request_advice(step, workers, now)

    def _renew_tickets(
        self, step: StepRun, candidates: Sequence[Candidate], now: float
    ) -> None:
        """Renew the tickets of a gang before its reserved workers are free."""
        duration_s = step.job.queue.advice.duration(len(candidates))
        at = now + duration_s + TICKET_MARGIN_S
        if not all(step.has_ticket(c.worker_id, at) for c in candidates):
            self._request_advice(step, [c.worker for c in candidates], now)

    def _reserve_resources(
        self, step: StepRun, placements: list[Placement], now: float
    ) -> None:
        """Reserve resources for a step while its tickets are renewed."""
        amount = allocated_resources(step.spec)
        step.reserved = [(index, worker, amount) for index, worker in placements]
        for _, worker in placements:
            worker.used = worker.used + amount
            worker.reserved_tasks += 1
        step.unasked_workers = list({id(w): w for _, w in placements}.values())
        self._ask_about_reserved(step, now)

    def _ask_about_reserved(self, step: StepRun, now: float) -> None:
        """Renew the tickets of reserved workers that no call has named yet."""
        workers = step.unasked_workers[:MAX_ADVISED_WORKERS]
        del step.unasked_workers[:MAX_ADVISED_WORKERS]
        self._request_advice(step, workers, now)

    def _request_advice(
        self, step: StepRun, workers: Sequence[WorkerState], now: float
    ) -> None:
        if not workers:
            return
        if len(workers) > MAX_ADVISED_WORKERS:
            workers = sorted(workers, key=lambda w: -w.free.cores_milli)
        ids = tuple(w.entry.worker_id for w in workers[:MAX_ADVISED_WORKERS])
        step.advice_pending = True
        step.restarted_workers.clear()
        step.advice_asked_at = now
        duration_s = step.job.queue.advice.duration(len(ids))
        self._cluster.orders.append(
            AdviceCall(step, ids, self.rank(step, now), duration_s)
        )

    # Starts

    def _start_reserved(self, now: float) -> int:
        """Start steps on their reserved workers once their tickets are renewed.

        Placing them anew could choose other workers, for which they have no tickets.
        """
        answered = [
            step
            for step in self._cluster.waiting.values()
            if step.reserved and not step.advice_pending
        ]
        started = 0
        for step in self._ranked(answered, now):
            self._planned = step
            if step.spec.gang and step.unasked_workers:
                self._ask_about_reserved(step, now)
                continue
            reserved = [(index, worker) for index, worker, _ in step.reserved]
            step.release_reservation()
            placements = self._still_valid(step, reserved, now)
            if placements:
                started += self._start(step, placements, now)
        return started

    def _still_valid(
        self, step: StepRun, reserved: list[Placement], now: float
    ) -> list[Placement]:
        """Return the reserved placements that can start now, for a gang all or none."""
        at = now + TICKET_MARGIN_S
        needs = allocated_resources(step.spec)
        startable = set(self._startable(step))
        candidates: dict[str, Candidate] = {}
        valid = []
        for index, worker in reserved:
            worker_id = worker.entry.worker_id
            if index not in startable or not worker.usable:
                continue
            # The worker or the queue may have changed since.
            if not step.may_run_on(worker.entry):
                continue
            if worker_id not in candidates:
                candidates[worker_id] = Candidate.of(worker, now)
            candidate = candidates[worker_id]
            if step.has_ticket(worker_id, at) and candidate.slots(needs):
                candidate.take(needs, 1)
                valid.append((index, worker))
        if step.spec.gang and len(valid) < step.spec.count:
            return []
        return valid

    def _start(self, step: StepRun, placements: list[Placement], now: float) -> int:
        cluster = self._cluster
        gang_number = 0
        if step.spec.gang:
            gang_number = step.next_number(0, cluster.epoch, now)
        for index, worker in placements:
            number = gang_number or step.next_number(index, cluster.epoch, now)
            cluster.start_run(step, index, number, worker, now)
        placed = {index for index, _ in placements}
        step.pending = [index for index in step.pending if index not in placed]
        self._starts_left -= len(placements)
        cluster.update_waiting(step)
        job = step.job
        self._log.write(
            "tasks placed",
            job=job.spec.job_id,
            step=step.id,
            tasks=len(placements),
            left=len(step.pending),
            workers=sorted({w.entry.worker_id for _, w in placements}),
            waited_s=round(now - step.due_at, 3),
            objective_in_s=round(job.objective_at - now, 3),
            ticket_left_s=_ticket_left_s(step, now),
        )
        return len(placements)


def _includes_any(candidates: Iterable[Candidate], worker_ids: set[str]) -> bool:
    return not worker_ids.isdisjoint(c.worker_id for c in candidates)


def _ticket_left_s(step: StepRun, now: float) -> float | None:
    """Return how long the newest ticket of a step is valid, ``None`` without one."""
    until = max((t.valid_until for t in step.tickets.values()), default=None)
    return None if until is None else round(until - now, 3)


def _age(now: float, at: float) -> float | None:
    """Return the age of an event in seconds, ``None`` if it has not happened."""
    return None if at == float("-inf") else round(now - at, 3)
