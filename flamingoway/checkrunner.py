"""Runs the checks of one environment: admission, choice of a target, retries."""

import asyncio
import uuid
from dataclasses import dataclass

from .context import Context
from .core.admission import Admission, PendingCheck
from .core.concurrency import ConcurrencyLimit
from .core.retry import RetryBudget
from .document import CheckKind, MemberModel
from .errors import FlamingowayError, Refused
from .messages import CheckReply
from .status import Code
from .target import Answer, TargetRequest
from .targetset import MIN_COUNTED_TIMEOUT_S, Target, TargetSet
from .trace import Tracer

NO_TARGET_RETRY_AFTER_S = 1.0
REFUSED_RETRY_AFTER_S = 0.1
# Retry budget: a share of the first attempts, with a bounded burst.
RETRY_RATIO = 0.2
RETRY_BURST = 10.0
# Refusals after which any check is sent to another target: it did not run.
_RETRYABLE_REFUSALS = (Code.NO_TARGET, Code.TARGET_REFUSED, Code.OVERLOADED)
# Failures with unknown outcome after which only an idempotent check is sent again.
_RETRYABLE_IF_IDEMPOTENT = (Code.OUTCOME_UNKNOWN, Code.ANSWER_CUT, Code.ANSWER_INVALID)


@dataclass(slots=True)
class CheckCall:
    """A check request with the member and check kind from the document.

    Attributes:
        deadline: Time on the context's monotonic clock, in seconds.
        client_disconnected: Done when the client closes the connection. A check that
            still waits is then not started.
    """

    member: MemberModel
    kind: CheckKind
    body: bytes
    deadline: float
    traceparent: str
    client_disconnected: asyncio.Future | None = None


@dataclass(slots=True, eq=False)
class _Waiter:
    """State of a check in the queue, kept as ``PendingCheck.context``.

    Attributes:
        target: Target on which a slot is reserved; ``None`` while the check waits
            and if it expired.
        done: Future that ends the wait; ``None`` if the check started at once.
    """

    target: Target | None = None
    done: asyncio.Future | None = None


class CheckRunner:
    """Runs the checks of one environment in this process.

    Queues checks, limits their number in flight, chooses a target for each and
    retries within a budget.

    Args:
        context: Settings and clocks of the process.
        environment: Name of the environment.
        targets: The targets of the environment.
    """

    def __init__(self, context: Context, environment: str, targets: TargetSet):
        self._environment = environment
        self._tracer = context.tracer or Tracer(context.settings.trace, context.rng)
        self.targets = targets
        self.process_count = 1
        self._context = context
        self._clock = context.clock
        self._limit = ConcurrencyLimit(0)
        self._admission = Admission(context.settings.limits.max_queue, self._limit)
        self._retries = RetryBudget(RETRY_RATIO, RETRY_BURST, RETRY_BURST)

    @property
    def counts(self) -> dict[str, int]:
        """Numbers of waiting checks and checks in flight, and the concurrency limit."""
        return {
            "waiting": self._admission.waiting,
            "in_flight": self._admission.in_flight,
            "limit": self._limit.value,
        }

    def refresh(self) -> None:
        """Update the concurrency limit from the slots of the available targets."""
        self.targets.refresh()
        self._limit.set_maximum(self.targets.slots)
        self._dispatch()

    async def run(self, call: CheckCall) -> CheckReply:
        """Run a check and return the complete answer.

        Raises:
            Refused: The check did not run.
            OutcomeUnknown: The check may have run.
        """
        arrived = self._clock()
        check = self._enqueue(call)
        try:
            target = await self._wait(check, call.client_disconnected)
        except BaseException:
            self._abandon(check)
            raise
        started = self._clock()
        latency = None
        try:
            answer = await self._attempt(call, target)
            latency = self._clock() - started
        except FlamingowayError as exc:
            # A time-out counts as a slow answer; otherwise the concurrency limit would
            # not see targets that answer too late.
            elapsed = self._clock() - started
            if exc.code == Code.ANSWER_LATE and elapsed >= MIN_COUNTED_TIMEOUT_S:
                latency = elapsed
            raise
        finally:
            self._admission.release(check, self._clock(), latency)
            self._dispatch()
        self._observe(started - arrived, latency)
        return CheckReply(int(Code.OK), answer.status, answer.content_type, answer.body)

    def _observe(self, wait_s: float, latency_s: float) -> None:
        metrics = self._context.metrics
        if metrics is not None:
            metrics.observe_wait(self._environment, "check", wait_s)
            metrics.observe_check(self._environment, wait_s + latency_s, wait_s)

    def _enqueue(self, call: CheckCall) -> PendingCheck:
        if not self.targets.slots:
            raise Refused(
                "no target is available",
                Code.NO_TARGET,
                retry_after=NO_TARGET_RETRY_AFTER_S,
            )
        check = PendingCheck(
            call.member.name,
            call.kind.name,
            call.member.weight,
            call.member.check_rate / self.process_count,
            call.deadline,
            _Waiter(),
        )
        self._admission.offer(check, self._clock())
        self._dispatch()
        return check

    def _dispatch(self) -> None:
        """Start waiting checks while slots are free."""
        admission = self._admission
        while admission.waiting and admission.has_room:
            target = self.targets.reserve()
            if target is None:
                return
            check, expired = admission.take(self._clock())
            for expired_check in expired:
                _wake(expired_check.context)
            if check is None:
                self.targets.release(target)
                return
            check.context.target = target
            _wake(check.context)

    async def _wait(
        self, check: PendingCheck, client_disconnected: asyncio.Future | None
    ) -> Target:
        """Wait until the check may start and return its target.

        Raises:
            Refused: ``DEADLINE_PASSED`` if it could not be started in time or the
                client disconnected.
        """
        waiter: _Waiter = check.context
        if check.waiting:
            loop = asyncio.get_running_loop()
            waiter.done = loop.create_future()
            timer = loop.call_later(check.deadline - self._clock(), _wake, waiter)
            if client_disconnected is not None:
                client_disconnected.add_done_callback(lambda _: _wake(waiter))
            try:
                await waiter.done
            finally:
                timer.cancel()
        if waiter.target is None:
            raise Refused(
                "the deadline passed before the check was sent",
                Code.DEADLINE_PASSED,
                retry_after=REFUSED_RETRY_AFTER_S,
            )
        return waiter.target

    def _abandon(self, check: PendingCheck) -> None:
        """Remove a check from the queue, or free the slot reserved for it."""
        self._admission.withdraw(check)
        target = check.context.target
        if target is not None:
            self.targets.release(target)
            self._admission.release(check, self._clock())
            self._dispatch()

    async def _attempt(self, call: CheckCall, target: Target) -> Answer:
        """Send a check and retry it on other targets.

        Only an idempotent check is sent again if it may already have run.

        Raises:
            Refused: No attempt ran the check.
            OutcomeUnknown: An attempt may have run it.
        """
        self._retries.note_attempt()
        request_id = uuid.UUID(int=self._context.rng.getrandbits(128)).hex
        tried: list[str] = []
        unresolved: FlamingowayError | None = None
        while True:
            if call.deadline <= self._clock():
                self.targets.release(target)
                refused = Refused("the deadline passed", Code.DEADLINE_PASSED)
                raise unresolved or refused
            try:
                return await self._send(call, target, request_id)
            except FlamingowayError as exc:
                if exc.code.ran != "no":
                    unresolved = exc
                tried.append(target.load.target_id)
                target = self._next_target(call, exc, tried)
                if target is None:
                    error = unresolved or exc
                    error.details.setdefault("retry_after", REFUSED_RETRY_AFTER_S)
                    raise error from None

    async def _send(self, call: CheckCall, target: Target, request_id: str) -> Answer:
        name = target.load.target_id
        with self._tracer.span("target", call.traceparent, target=name) as span:
            request = self._request(call, request_id, span.traceparent)
            return await self.targets.send(target, request)

    def _next_target(
        self, call: CheckCall, exc: FlamingowayError, tried: list[str]
    ) -> Target | None:
        """Reserve another target; ``None`` if no retry is allowed or none is free."""
        if isinstance(exc, Refused):
            retryable = exc.code in _RETRYABLE_REFUSALS
        else:
            retryable = call.kind.idempotent and exc.code in _RETRYABLE_IF_IDEMPOTENT
        if not retryable or not self._retries.withdraw():
            return None
        return self.targets.reserve(tried)

    def _request(
        self, call: CheckCall, request_id: str, traceparent: str
    ) -> TargetRequest:
        return TargetRequest(
            path=call.kind.path,
            body=call.body,
            request_id=request_id,
            timeout_s=call.deadline - self._clock(),
            traceparent=traceparent,
            idempotent=call.kind.idempotent,
            max_answer_bytes=self._context.settings.limits.answer_bytes,
        )


def _wake(waiter: _Waiter) -> None:
    if waiter.done is not None and not waiter.done.done():
        waiter.done.set_result(None)
