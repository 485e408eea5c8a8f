"""HTTP API for members: checks, jobs, liveness and readiness.

Every response carries a result code in the ``X-Code`` header. Responses built here
also have it in their JSON body; the body of a target's answer is passed through
unchanged.
"""

import asyncio
import hashlib
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from absl import logging
from tornado import web

from .context import Context
from .core.limiter import MemberLimiter
from .document import MemberModel
from .errors import BadRequest, FlamingowayError, Refused
from .httpserver import HttpRequest, HttpResponse, HttpServer
from .messages import CheckReply
from .status import Code
from .trace import Span, Tracer

MAX_TIMEOUT_MS = 600_000
MAX_KEY_LENGTH = 128
_JSON = "application/json"
_API_PATH_PATTERN = re.compile(
    r"/v1/([a-z0-9][a-z0-9-]{0,62})/(checks|jobs)(?:/([\w.-]{1,128}))?"
)
_TIMEOUT_PATTERN = re.compile(r"[0-9]{1,9}")
_API_PREFIXES = ("/v1/", "/healthz", "/readyz")


class JobBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of a job submission."""

    kind: str
    params: msgspec.Raw = msgspec.Raw(b"null")
    tasks: int = 1
    urgent: bool = False


@dataclass(slots=True)
class _Call:
    """An authenticated request to an environment."""

    request: HttpRequest
    environment: str
    member: MemberModel
    name: str
    span: Span

    @property
    def traceparent(self) -> str:
        """Value of the ``traceparent`` header for the next hop."""
        return self.span.traceparent

    @property
    def trace_id(self) -> str:
        """Trace id for the response."""
        return self.span.trace_id

    @property
    def key(self) -> str:
        """Idempotency key, or an empty string.

        Raises:
            BadRequest: If it is longer than ``MAX_KEY_LENGTH``.
        """
        key = self.request.headers.get("Idempotency-Key", "")
        if len(key) > MAX_KEY_LENGTH:
            raise BadRequest("the Idempotency-Key is too long", Code.BAD_KEY)
        return key


class Ingress:
    """Serves the HTTP API of one entry process.

    Args:
        context: Settings and clocks of the process.
        checks: Runs checks; see :class:`flamingoway.checks.Checks`.
        jobs: Submits and reads jobs; has the interface of ``JobRouter``.
        follower: Returns the document in effect for an environment.
        routes: Additional tornado routes, for example of the admin API.
        ready: Whether the process can serve; called for each ``/readyz`` request.
    """

    def __init__(
        self,
        context: Context,
        checks,
        jobs,
        follower,
        routes: list | None = None,
        ready: Callable[[], bool] = lambda: True,
    ):
        self._context = context
        self._checks = checks
        self._jobs = jobs
        self._follower = follower
        self._ready = ready
        self._draining = False
        self._tracer = context.tracer or Tracer(context.settings.trace, context.rng)
        self._job_limiter = MemberLimiter(context.settings.limits.max_queue)
        self._member_cache: dict[str, tuple[object, dict[str, MemberModel]]] = {}
        application = web.Application(
            list(routes or []),
            default_handler_class=_NotFound,
            log_function=_skip_access_log,
        )
        self._server = HttpServer(
            self._handle,
            self._refuse,
            context.settings.limits.body_bytes,
            application,
            lambda path: path.startswith(_API_PREFIXES),
        )
        self._handlers: dict[tuple[str, str, bool], Callable[[_Call], Awaitable]] = {
            ("POST", "checks", True): self._check,
            ("POST", "jobs", False): self._submit,
            ("GET", "jobs", False): self._list,
            ("GET", "jobs", True): self._get,
            ("DELETE", "jobs", True): self._cancel,
        }

    @property
    def port(self) -> int:
        """Port on which the server listens."""
        return self._server.port

    @property
    def listening(self) -> bool:
        """Whether new connections are accepted."""
        return self._server.listening

    @property
    def in_flight(self) -> int:
        """Requests that are being read or answered."""
        return self._server.in_flight

    def listen(self, ip: str, port: int) -> None:
        """Start accepting connections.

        Raises:
            OSError: If the address cannot be bound.
        """
        self._server.listen(ip, port)

    async def run(self) -> None:
        """Close connections of slow clients until cancelled."""
        await self._server.sweep()

    async def drain(self, grace_s: float) -> int:
        """Shut down gracefully; return how many requests were aborted.

        The readiness check fails at once. The listener closes after
        ``drain_notice_s``, which gives the load balancer time to remove this
        process. Requests in flight then have ``grace_s`` seconds to finish.
        """
        self._draining = True
        self._server.closing = True
        await asyncio.sleep(self._context.settings.limits.drain_notice_s)
        self._server.stop_listening()
        return await self._server.drain(grace_s)

    async def close(self) -> None:
        """Close all connections at once."""
        await self._server.close()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        header = request.headers.get("traceparent", "")
        with self._tracer.span("ingress", header) as span:
            try:
                return await self._route(request, span)
            except FlamingowayError as exc:
                error = exc
            except Exception:
                # The client must get a response even if its request hits a bug.
                logging.exception("unhandled exception while handling a request")
                error = FlamingowayError("internal error", Code.INTERNAL)
            span.set(code=int(error.code))
        if self._context.metrics is not None:
            self._context.metrics.count_refusal(error.code)
        return _error_answer(error, span.trace_id)

    async def _route(self, request: HttpRequest, span: Span) -> HttpResponse:
        if request.path == "/healthz":
            return _json_answer(Code.OK, "alive", span.trace_id)
        if request.path == "/readyz":
            return self._readiness(span.trace_id)
        match = _API_PATH_PATTERN.fullmatch(request.path)
        if match is None:
            raise BadRequest("no such path", Code.NOT_FOUND)
        environment, resource, name = match[1], match[2], match[3] or ""
        handler = self._handlers.get((request.method, resource, bool(name)))
        if handler is None:
            raise BadRequest("no such method on this path", Code.NOT_FOUND)
        member = self._authenticate(environment, request)
        return await handler(_Call(request, environment, member, name, span))

    def _readiness(self, trace_id: str) -> HttpResponse:
        if self._draining:
            return _json_answer(Code.STOPPING, "stopping", trace_id)
        if not self._ready():
            return _json_answer(Code.STARTING, "not ready", trace_id)
        return _json_answer(Code.OK, "ready", trace_id)

    def _authenticate(self, environment: str, request: HttpRequest) -> MemberModel:
        active = self._follower.current(environment)
        if active is None:
            raise BadRequest(f"no environment {environment!r}", Code.NOT_FOUND)
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        member = self._members_by_digest(environment, active).get(digest)
        if scheme.lower() != "bearer" or member is None:
            raise BadRequest("the API key is missing or unknown", Code.UNAUTHENTICATED)
        return member

    def _members_by_digest(self, environment: str, active) -> dict[str, MemberModel]:
        """Return the members by the SHA-256 digest of each of their API keys."""
        cached_for, members = self._member_cache.get(environment, (None, {}))
        if cached_for is not active:
            members = {
                digest.lower(): member
                for member in active.document.members
                for digest in member.key_sha256
            }
            self._member_cache[environment] = (active, members)
        return members

    async def _check(self, call: _Call) -> HttpResponse:
        deadline = self._context.clock() + self._timeout_s(call)
        reply = await self._checks.run(
            call.environment,
            call.member.name,
            call.name,
            call.request.body,
            deadline,
            call.key,
            call.traceparent,
            call.request.client_disconnected,
        )
        if reply.code != Code.OK:
            raise _error_from_reply(reply)
        headers = _headers(Code.OK, call.trace_id)
        headers["Content-Type"] = reply.content_type or "application/octet-stream"
        return HttpResponse(reply.status, reply.body, headers)

    def _timeout_s(self, call: _Call) -> float:
        kind = self._follower.current(call.environment).document.check_kind(call.name)
        if kind is None:
            raise BadRequest(f"no check kind {call.name!r}", Code.UNKNOWN_KIND)
        requested = call.request.headers.get("X-Timeout-Ms")
        if requested is None:
            return kind.timeout_s
        if (
            not _TIMEOUT_PATTERN.fullmatch(requested)
            or not 0 < int(requested) <= MAX_TIMEOUT_MS
        ):
            raise BadRequest(
                f"X-Timeout-Ms must be from 1 to {MAX_TIMEOUT_MS}", found=requested[:20]
            )
        return min(kind.timeout_s, int(requested) / 1000)

    async def _submit(self, call: _Call) -> HttpResponse:
        if self._draining:
            raise Refused("this process is shutting down", Code.STOPPING)
        try:
            body = msgspec.json.decode(call.request.body, type=JobBody)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            raise BadRequest(f"the request body is invalid: {exc}") from None
        with self._job_limiter.enter(call.member.name):
            reply = await self._jobs.submit(
                call.environment,
                call.member.name,
                body.kind,
                body.tasks,
                body.urgent,
                bytes(body.params),
                call.key,
                call.traceparent,
            )
        return _json_answer(
            Code(reply.code), reply.message, call.trace_id, job_id=reply.job_id
        )

    async def _get(self, call: _Call) -> HttpResponse:
        view = await self._jobs.get(call.environment, call.member.name, call.name)
        return _json_answer(Code.OK, "", call.trace_id, job=_job_fields(view))

    async def _list(self, call: _Call) -> HttpResponse:
        reply = await self._jobs.list(call.environment, call.member.name)
        jobs = [_job_fields(view) for view in reply.jobs]
        return _json_answer(Code.OK, "", call.trace_id, jobs=jobs)

    async def _cancel(self, call: _Call) -> HttpResponse:
        reply = await self._jobs.cancel(call.environment, call.member.name, call.name)
        return _json_answer(
            Code(reply.code), reply.message, call.trace_id, job_id=reply.job_id
        )

    def _refuse(self, code: Code, message: str) -> HttpResponse:
        """Build the response to a request that could not be read."""
        with self._tracer.span("ingress", code=int(code)) as span:
            return _json_answer(code, message, span.trace_id)


class _NotFound(web.RequestHandler):
    """Responds with ``NOT_FOUND`` to paths without a route."""

    def prepare(self) -> None:
        """Send the response before any method handler runs."""
        answer = _json_answer(Code.NOT_FOUND, "no such path", "")
        self.set_status(answer.status)
        for name, value in answer.headers.items():
            self.set_header(name, value)
        self.finish(answer.body)


def _skip_access_log(handler: web.RequestHandler) -> None:
    """Skip tornado's access log; each request is recorded as a trace span."""


def _job_fields(view) -> dict:
    fields = msgspec.to_builtins(view)
    fields["results"] = {
        task: msgspec.Raw(result) for task, result in view.results.items()
    }
    return fields


def _headers(code: Code, trace_id: str) -> dict[str, str]:
    return {
        "Content-Type": _JSON,
        "X-Code": str(int(code)),
        "X-Ran": code.ran,
        "X-Trace-Id": trace_id,
    }


def _json_answer(code: Code, message: str, trace_id: str, **fields) -> HttpResponse:
    payload = {
        "code": int(code),
        "name": code.name,
        "message": message,
        "ran": code.ran,
        "trace_id": trace_id,
    }
    body = msgspec.json.encode(payload | fields)
    return HttpResponse(code.http_status, body, _headers(code, trace_id))


def _error_from_reply(reply: CheckReply) -> FlamingowayError:
    details = {"retry_after": reply.retry_after} if reply.retry_after else {}
    return FlamingowayError(reply.message, Code(reply.code), **details)


def _error_answer(exc: FlamingowayError, trace_id: str) -> HttpResponse:
    answer = _json_answer(exc.code, exc.message, trace_id)
    retry_after = exc.details.get("retry_after")
    if retry_after is not None:
        answer.headers["Retry-After"] = str(max(1, round(retry_after)))
        answer.headers["X-Retry-After-Ms"] = str(max(1, round(retry_after * 1000)))
    return answer
