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
from .targetset import LATE_COUNTS_S, Target, TargetSet
from .trace import Tracer

NO_TARGET_RETRY_AFTER_S = 1.0
REFUSED_RETRY_AFTER_S = 0.1
# Retries are a share of the first attempts, with some saved up.
RETRY_RATIO = 0.2
RETRY_BURST = 10.0
# Refusals after which another target is worth a try.
_NEXT_TARGET = (Code.NO_TARGET, Code.TARGET_REFUSED, Code.OVERLOADED)
# Failures of an idempotent check after which it is sent again.
_REPEATABLE = (Code.OUTCOME_UNKNOWN, Code.ANSWER_CUT, Code.ANSWER_INVALID)


@dataclass(slots=True)
class CheckCall:
    """A check of a member, with the kind from the document.

    Attributes:
        deadline: On the clock of the context, in seconds.
        caller_left: Once it is done, the check is not started.
    """

    member: MemberModel
    kind: CheckKind
    body: bytes
    deadline: float
    traceparent: str
    caller_left: asyncio.Future | None = None


@dataclass(slots=True, eq=False)
class _Turn:
    """What a waiting check gets: a target or an error."""

    target: Target | None = None
    done: asyncio.Future | None = None


class Lane:
    """Request path of one environment in one process.

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
        """Checks that wait and that are at targets, and the limit."""
        return {
            "waiting": self._admission.waiting,
            "in_flight": self._admission.in_flight,
            "limit": self._limit.value,
        }

    def refresh(self) -> None:
        """Take over the slots that the targets have now."""
        self.targets.refresh()
        self._limit.set_maximum(self.targets.slots)
        self._dispatch()

    async def run(self, call: CheckCall) -> CheckReply:
        """Run a check and return the whole answer.

        Raises:
            Refused: It did not run.
            OutcomeUnknown: It may have run.
        """
        arrived = self._clock()
        check = self._offer(call)
        try:
            target = await self._wait(check, call.caller_left)
        except BaseException:
            self._give_up(check)
            raise
        started = self._clock()
        latency = None
        try:
            answer = await self._attempt(call, target)
            latency = self._clock() - started
        except FlamingowayError as exc:
            # Otherwise targets that answer nothing in time would not count as slow.
            elapsed = self._clock() - started
            if exc.code == Code.ANSWER_LATE and elapsed >= LATE_COUNTS_S:
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

    def _offer(self, call: CheckCall) -> PendingCheck:
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
            _Turn(),
        )
        self._admission.offer(check, self._clock())
        self._dispatch()
        return check

    def _dispatch(self) -> None:
        """Start waiting checks while there are slots."""
        admission = self._admission
        while admission.waiting and admission.has_room:
            target = self.targets.reserve()
            if target is None:
                return
            check, expired = admission.take(self._clock())
            for late in expired:
                _wake(late.context)
            if check is None:
                self.targets.unreserve(target)
                return
            check.context.target = target
            _wake(check.context)

    async def _wait(self, check: PendingCheck, left: asyncio.Future | None) -> Target:
        """Wait until the check starts.

        Raises:
            Refused: ``DEADLINE_PASSED`` if it could not be started in time or the
                caller left.
        """
        turn: _Turn = check.context
        if check.waiting:
            loop = asyncio.get_running_loop()
            turn.done = loop.create_future()
            timer = loop.call_later(check.deadline - self._clock(), _wake, turn)
            if left is not None:
                left.add_done_callback(lambda _: _wake(turn))
            try:
                await turn.done
            finally:
                timer.cancel()
        if turn.target is None:
            raise Refused(
                "the deadline passed before the check was sent",
                Code.DEADLINE_PASSED,
                retry_after=REFUSED_RETRY_AFTER_S,
            )
        return turn.target

    def _give_up(self, check: PendingCheck) -> None:
        """Withdraw a check that waits, or return the slot that it got."""
        self._admission.withdraw(check)
        target = check.context.target
        if target is not None:
            self.targets.unreserve(target)
            self._admission.release(check, self._clock())
            self._dispatch()

    async def _attempt(self, call: CheckCall, target: Target) -> Answer:
        """Send a check, again where that cannot make it run twice."""
        self._retries.note_attempt()
        request_id = uuid.UUID(int=self._context.rng.getrandbits(128)).hex
        tried: list[str] = []
        while True:
            if call.deadline <= self._clock():
                self.targets.unreserve(target)
                raise Refused("the deadline passed", Code.DEADLINE_PASSED)
            try:
                return await self._send(call, target, request_id)
            except FlamingowayError as exc:
                tried.append(target.load.target_id)
                target = self._next_target(call, exc, tried)
                if target is None:
                    exc.details.setdefault("retry_after", REFUSED_RETRY_AFTER_S)
                    raise

    async def _send(self, call: CheckCall, target: Target, request_id: str) -> Answer:
        name = target.load.target_id
        with self._tracer.span("target", call.traceparent, target=name) as span:
            request = self._request(call, request_id, span.traceparent)
            return await self.targets.send(target, request)

    def _next_target(
        self, call: CheckCall, exc: FlamingowayError, tried: list[str]
    ) -> Target | None:
        """Return another target if the check may be sent again."""
        if isinstance(exc, Refused):
            repeatable = exc.code in _NEXT_TARGET
        else:
            repeatable = call.kind.idempotent and exc.code in _REPEATABLE
        if not repeatable or not self._retries.withdraw():
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


def _wake(turn: _Turn) -> None:
    if turn.done is not None and not turn.done.done():
        turn.done.set_result(None)
