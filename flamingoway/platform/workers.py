"""Calls to workers and to the advice service."""

from ..errors import BadRequest
from ..queues.model import Advice, RunOrder, StartReply, WorkerEntry, WorkerReport
from ..queues.ports import NoReply, PollRefused
from . import wire
from .client import HttpClient, NoAnswer, NotSent

# Workers are one to a few milliseconds away; a longer wait is a lost answer.
ORDER_TIMEOUT_S = 0.6
POLL_SLACK_S = 0.4

START_REASONS = {
    "fence": StartReply.FENCED,
    "old": StartReply.SUPERSEDED,
    "late": StartReply.LATE,
    "room": StartReply.NO_CAPACITY,
    "ticket": StartReply.NO_TICKET,
}
START_STATUSES = {
    200: StartReply.RUNNING,
    400: StartReply.INVALID,
    421: StartReply.OTHER_INCARNATION,
    429: StartReply.UNHEALTHY,
    503: StartReply.UNHEALTHY,
}


class PlatformWorkers:
    """The ``WorkerClient`` port over the platform's calls.

    Args:
        client: HTTP client.
    """

    def __init__(self, client: HttpClient):
        self._client = client

    async def start(self, worker: WorkerEntry, order: RunOrder) -> StartReply:
        """Order a worker to start one run."""
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
        except NoAnswer:
            return StartReply.UNKNOWN
        if status == 409:
            reason = wire.parse(wire.ClockBody, data).reason
            return START_REASONS.get(reason, StartReply.INVALID)
        return START_STATUSES.get(status, StartReply.UNKNOWN)

    async def stop(
        self, worker: WorkerEntry, task_id: str, number: int, token: int
    ) -> bool:
        """Order a worker to stop one run; return whether it took the order."""
        body = {"task": task_id, "run": number, "fencingToken": token}
        try:
            status, _ = await self._call(worker, "/run-stop", body, ORDER_TIMEOUT_S)
        except (NotSent, NoAnswer):
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
        """Renew a worker's lease and return what it runs and what has ended.

        Args:
            worker: The worker.
            token: Fencing token.
            acknowledged: Ends up to this sequence number may be forgotten.
            lease_ms: New end of the lease on the worker's clock; 0 for none.
            wait_s: Longest time that the worker waits for an end.

        Raises:
            NoReply: No answer came.
            PollRefused: The worker follows a higher token or is another incarnation.
        """
        body = {"fencingToken": token, "lastSeen": acknowledged}
        if lease_ms:
            body["untilMs"] = lease_ms
        if wait_s > 0:
            body["waitMs"] = int(wait_s * 1000)
        timeout_s = wait_s + POLL_SLACK_S
        try:
            status, data = await self._call(worker, "/hold", body, timeout_s)
        except (NotSent, NoAnswer) as exc:
            raise NoReply(str(exc)) from None
        if status != 200:
            reason = START_STATUSES.get(status)
            if status == 409:
                reason = START_REASONS.get(wire.parse(wire.ClockBody, data).reason)
            raise PollRefused(reason or StartReply.UNKNOWN)
        try:
            return wire.to_report(data)
        except BadRequest as exc:
            raise NoReply(exc.message) from None

    async def _call(self, worker: WorkerEntry, path: str, body: dict, timeout_s: float):
        data = wire.ENCODER.encode(body)
        headers = {"Target-Instance": worker.worker_id}
        return await self._client.call(
            worker.address, "POST", path, data, timeout_s, headers
        )


class PlatformAdvice:
    """The ``AdviceService`` port over the platform's call.

    Args:
        address: ``IP:port`` of the service; empty if there is none.
        client: HTTP client.
    """

    def __init__(self, address: str, client: HttpClient):
        self.address = address
        self._client = client

    async def ask(self, step_id: str, workers: list[str], timeout_s: float) -> Advice:
        """Ask which workers may run a step.

        Raises:
            NoReply: No answer came, or the service has too many callers.
        """
        data = wire.ENCODER.encode({"step": step_id, "workers": workers})
        try:
            status, answer = await self._client.call(
                self.address, "POST", "/advise", data, timeout_s
            )
        except (NotSent, NoAnswer) as exc:
            raise NoReply(str(exc)) from None
        if status != 200:
            raise NoReply(f"the advice service answered {status}")
        body = wire.parse(wire.AdviseBody, answer)
        tickets = {row[0]: row[1] for row in body.good}
        return Advice(tickets, body.valid_ms / 1000)
