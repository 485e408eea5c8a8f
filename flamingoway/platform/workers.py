"""Clients for the platform's workers and its advice service."""

from ..errors import BadRequest
from ..queues.decisions import DecisionLog
from ..queues.model import Advice, RunOrder, StartReply, WorkerEntry, WorkerReport
from ..queues.ports import NoReply, PollRefused
from . import wire
from .client import HttpClient, NotSent, ResponseLost

# The network latency to workers is one to a few milliseconds, so a response that takes
# longer than this is treated as lost.
ORDER_TIMEOUT_S = 0.6
# Time added to the duration of a long poll for its timeout.
POLL_TIMEOUT_MARGIN_S = 0.4
# Limit on the unknown reasons that are logged, each once, in case the text varies.
MAX_LOGGED_REASONS = 20

REPLIES_BY_REASON = {
    "fence": StartReply.FENCED,
    "old": StartReply.SUPERSEDED,
    "late": StartReply.LATE,
    "room": StartReply.NO_CAPACITY,
    "ticket": StartReply.NO_TICKET,
}
REPLIES_BY_STATUS = {
    200: StartReply.RUNNING,
    400: StartReply.INVALID,
    421: StartReply.OTHER_INCARNATION,
    429: StartReply.UNHEALTHY,
    503: StartReply.UNHEALTHY,
}


class PlatformWorkers:
    """Adapter of the ``WorkerClient`` port for the platform's workers.

    Args:
        client: HTTP client.
        log: Decision log.
    """

    def __init__(self, client: HttpClient, log: DecisionLog):
        self._client = client
        self._log = log
        self._logged_reasons: set[str] = set()

    async def start(self, worker: WorkerEntry, order: RunOrder) -> StartReply:
        """Order a worker to start one run and return its reply."""
        body = {
            "task": order.task_id,
            "run": order.number,
            "spec": order.payload,
            "untilMs": order.lease_ms,
            "fencingToken": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        try:
            status, data = await self._call(worker, "/run-start", body, ORDER_TIMEOUT_S)
        except NotSent:
            return StartReply.NOT_SENT
        except ResponseLost:
            return StartReply.UNKNOWN
        if status == 409:
            return self._parse_refusal(worker, data) or StartReply.INVALID
        return REPLIES_BY_STATUS.get(status, StartReply.UNKNOWN)

    async def stop(
        self, worker: WorkerEntry, task_id: str, number: int, token: int
    ) -> bool:
        """Order a worker to stop one run; return whether it accepted the order."""
        body = {"task": task_id, "run": number, "fencingToken": token}
        try:
            status, _ = await self._call(worker, "/run-stop", body, ORDER_TIMEOUT_S)
        except (NotSent, ResponseLost):
            return False
        return status == 200

    async def poll(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int,
        lease_ms: int,
        wait_s: float,
    ) -> WorkerReport:
        """Poll a worker and renew its lease; return its running and ended runs.

        Args:
            worker: The worker.
            token: Fencing token.
            acknowledged: Sequence number up to which the worker may discard ended runs.
            lease_ms: New expiry of the lease on the worker's monotonic clock; 0 for no
                renewal.
            wait_s: Maximum time that the worker waits for a run to end.

        Raises:
            NoReply: No valid answer came in time.
            PollRefused: The worker has seen a higher fencing token, or is another
                incarnation.
        """
        body = {"fencingToken": token, "lastSeen": acknowledged}
        if lease_ms:
            body["untilMs"] = lease_ms
        if wait_s > 0:
            body["waitMs"] = int(wait_s * 1000)
        timeout_s = wait_s + POLL_TIMEOUT_MARGIN_S
        try:
            status, data = await self._call(worker, "/hold", body, timeout_s)
        except (NotSent, ResponseLost) as exc:
            raise NoReply(str(exc)) from None
        if status != 200:
            reply = REPLIES_BY_STATUS.get(status)
            if status == 409:
                reply = self._parse_refusal(worker, data)
            raise PollRefused(reply or StartReply.UNKNOWN)
        try:
            return wire.to_report(data)
        except BadRequest as exc:
            raise NoReply(exc.message) from None

    def _parse_refusal(self, worker: WorkerEntry, data: bytes) -> StartReply | None:
        """Return the reply for the body of status 409, ``None`` for unknown reasons."""
        try:
            reason = wire.parse(wire.OrderAnswerBody, data).reason
        except BadRequest as exc:
            self._log.write(
                "refusal not readable", worker=worker.worker_id, why=exc.message
            )
            return StartReply.UNKNOWN
        reply = REPLIES_BY_REASON.get(reason)
        logged = self._logged_reasons
        if reply is None and reason not in logged and len(logged) < MAX_LOGGED_REASONS:
            logged.add(reason)
            self._log.write(
                "order refused for an unknown reason",
                worker=worker.worker_id,
                reason=reason,
            )
        return reply

    async def _call(self, worker: WorkerEntry, path: str, body: dict, timeout_s: float):
        data = wire.ENCODER.encode(body)
        headers = {"Target-Instance": worker.worker_id}
        return await self._client.call(
            worker.address, "POST", path, data, timeout_s, headers
        )


class PlatformAdvice:
    """Adapter of the ``AdviceService`` port for the platform's advice service.

    Args:
        address: ``IP:port`` of the service; empty if there is none.
        client: HTTP client.
    """

    def __init__(self, address: str, client: HttpClient):
        self.address = address
        self._client = client

    async def ask(self, step_id: str, workers: list[str], timeout_s: float) -> Advice:
        """Return a ticket for each of the named workers that may run a step.

        Raises:
            NoReply: No readable answer came in time, or the service refused the call
                because it has too many callers.
        """
        data = wire.ENCODER.encode({"step": step_id, "workers": workers})
        try:
            status, answer = await self._client.call(
                self.address, "POST", "/advise", data, timeout_s
            )
        except (NotSent, ResponseLost) as exc:
            raise NoReply(str(exc)) from None
        if status != 200:
            raise NoReply(f"advice service answered with status {status}")
        try:
            body = wire.parse(wire.AdviceAnswerBody, answer)
        except BadRequest as exc:
            raise NoReply(f"unreadable answer of the advice service: {exc}") from None
        return Advice(dict(body.good), body.valid_ms / 1000)
