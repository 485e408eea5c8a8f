"""HTTP interface for callers: paths, bodies and statuses of the platform's job API."""

import string
import time

from ..errors import BadRequest, FlamingowayError, OutcomeUnknown, Refused
from ..httpserver import HttpRequest, HttpResponse
from ..queues.faults import FaultReporter
from ..queues.intake import Intake
from ..queues.metrics import QueueMetrics
from ..status import Code
from . import wire

DEFAULT_TIMEOUT_S = 3.0
# A longer deadline is treated as this one, since a caller is not held for hours.
MAX_TIMEOUT_S = 3600.0
MAX_DEADLINE_CHARS = 18
# A job id has exactly this many hexadecimal digits. Otherwise, while a route is not in
# force, its requests could be taken for jobs of a route with a shorter prefix.
JOB_ID_CHARS = 16
MAX_LOGGED_PATH_CHARS = 120
# Callers treat this status like a missing answer: they repeat the request with the same
# id at another process.
OUTCOME_UNKNOWN_STATUS = 504
HEX_DIGITS = frozenset(string.hexdigits)
STATUSES = {Code.NOT_FOUND: 410, Code.BODY_TOO_LARGE: 413, Code.MEMBER_LIMIT: 429}


class JobIngress:
    """Handles the HTTP requests of callers.

    Args:
        intake: Accepts, cancels and looks up jobs.
        metrics: Metrics of the process.
        faults: Reports unforeseen errors.
    """

    def __init__(self, intake: Intake, metrics: QueueMetrics, faults: FaultReporter):
        self._intake = intake
        self._metrics = metrics
        self._faults = faults

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one request; see ``HttpServer``."""
        started_at = time.monotonic()
        try:
            answer = await self._route(request)
        except FlamingowayError as exc:
            answer = error_answer(exc.code, exc.message, exc.details.get("retry_after"))
        except Exception as exc:
            # The request may have been carried out before the error.
            subject = f"{request.method} {request.path[:MAX_LOGGED_PATH_CHARS]}"
            self._faults.report_contained("request", subject, exc)
            answer = error_answer(Code.OUTCOME_UNKNOWN, "internal error")
        self._metrics.requests.labels(request.method, str(answer.status)).inc()
        self._metrics.request_seconds.observe(time.monotonic() - started_at)
        return answer

    async def _route(self, request: HttpRequest) -> HttpResponse:
        host = request.headers.get("Host", "").partition(":")[0]
        try:
            queue = self._intake.queue_for(host, request.path)
        except BadRequest:
            return _json(404, {"error": "no such queue"})
        job_id = request.path[len(queue.prefix) :]
        timeout_s = _timeout(request)
        if not job_id and request.method == "GET":
            return _json(200, {"numWaiting": self._intake.waiting(queue)})
        if not _is_job_id(job_id):
            return _json(404, {"error": "no such job"})
        if request.method == "GET":
            state = await self._intake.state(job_id)
            return _json(200, {"state": state.value})
        if request.method == "DELETE":
            await self._intake.cancel(job_id, timeout_s)
            return _json(200, {})
        if request.method != "POST":
            return _json(405, {"error": "method not allowed"})
        spec = wire.to_job(request.body, job_id, queue.name)
        await self._intake.submit(spec, timeout_s)
        return _json(200, {})


def error_answer(
    code: Code, message: str, retry_after: int | None = None
) -> HttpResponse:
    """Return the answer for the code of an error.

    Args:
        code: Code of the error.
        message: Error message for the caller.
        retry_after: Seconds after which a refused request may be repeated.
    """
    status = STATUSES.get(code, 503)
    if code // 1000 == OutcomeUnknown.code // 1000:
        status = OUTCOME_UNKNOWN_STATUS
    elif code // 1000 == BadRequest.code // 1000:
        status = STATUSES.get(code, 400)
    answer = _json(status, {"error": message})
    if code // 1000 == Refused.code // 1000:
        answer.headers["Retry-After"] = str(retry_after or 1)
    return answer


def _is_job_id(text: str) -> bool:
    return len(text) == JOB_ID_CHARS and HEX_DIGITS.issuperset(text)


def _timeout(request: HttpRequest) -> float:
    """Return how long the caller waits for the answer, in seconds."""
    text = request.headers.get("Deadline-Ms", "")
    if not (text.isascii() and text.isdecimal() and len(text) <= MAX_DEADLINE_CHARS):
        return DEFAULT_TIMEOUT_S
    return min(int(text) / 1000, MAX_TIMEOUT_S)


def _json(status: int, body: dict) -> HttpResponse:
    data = wire.ENCODER.encode(body)
    return HttpResponse(status, data, {"Content-Type": "application/json"})
