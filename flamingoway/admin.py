"""Administration API: environment documents, status and explanations.

Operators authenticate with ``Authorization: Bearer <key>``; the key is one of those in
the settings. Every response is JSON with ``code``, ``name``, ``message``, ``ran`` and
``trace_id``.
"""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
from absl import logging
from tornado import httputil, web

from .cellstatus import CellStatus
from .changes import describe_changes
from .context import Context
from .document import DocumentVersion
from .environments import DEFAULT_HISTORY_LIMIT, Environments
from .errors import BadRequest, FlamingowayError
from .follower import Follower
from .messages import Explanation
from .settings import TraceSettings
from .status import Code
from .trace import Tracer
from .versions import HistoryEntry

MAX_HISTORY_LIMIT = 1000
NAME = r"([a-z0-9][a-z0-9-]{0,62})"
JOB_ID = r"([\w.-]{1,128})"


class JobExplainer(Protocol):
    """The part of the job router that the API uses."""

    async def explain(self, environment: str, job_id: str) -> Explanation:
        """Return the reasons why a job is waiting."""


class PromoteBody(
    msgspec.Struct, rename={"source": "from"}, forbid_unknown_fields=True
):
    """Request body of a promotion."""

    digest: str
    source: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An authenticated request.

    Attributes:
        arguments: Values matched in the path.
    """

    operator: str
    arguments: tuple[str, ...]
    headers: httputil.HTTPHeaders
    query: dict[str, str]
    body: bytes


Action = Callable[[AdminRequest], Awaitable[dict[str, Any]]]


class AdminApi:
    """Serves requests of operators; every entry process runs it.

    Args:
        context: Settings, metrics and tracer.
        environments: Reads and accepts documents.
        follower: Holds the documents in effect in this process.
        jobs: Explains jobs.
        cell_status: Collects the state of all entry processes.
    """

    def __init__(
        self,
        context: Context,
        environments: Environments,
        follower: Follower,
        jobs: JobExplainer,
        cell_status: CellStatus,
    ):
        self._context = context
        self._environments = environments
        self._follower = follower
        self._jobs = jobs
        self._cell_status = cell_status
        self._tracer = context.tracer or Tracer(TraceSettings(), context.rng)
        self._operators = {
            operator.key_sha256: operator.name
            for operator in context.settings.operators
        }

    def routes(self) -> list[tuple]:
        """Return the tornado routes of the API and of ``/metrics``."""
        environment = f"/admin/v1/environments/{NAME}"
        table: list[tuple[str, str, Action]] = [
            ("GET", "/admin/v1/status", self._status),
            ("GET", environment, self._show),
            ("GET", f"{environment}/history", self._history),
            ("GET", f"{environment}/versions/([0-9]{{1,15}})", self._version),
            ("POST", f"{environment}/validate", self._validate),
            ("POST", f"{environment}/try", self._try),
            ("POST", f"{environment}/promote", self._promote),
            ("GET", f"{environment}/jobs/{JOB_ID}/explain", self._explain),
        ]
        routes: list[tuple] = [
            (path, _Handler, {"admin": self, "method": method, "action": action})
            for method, path, action in table
        ]
        if self._context.metrics is not None:
            metrics = {"metrics": self._context.metrics}
            routes.append(("/metrics", _MetricsHandler, metrics))
        return routes

    def authenticate(self, authorization: str) -> str:
        """Return the name of the operator with this ``Authorization`` header.

        Raises:
            BadRequest: With ``UNAUTHENTICATED``.
        """
        scheme, _, key = authorization.partition(" ")
        key_hash = hashlib.sha256(key.strip().encode()).hexdigest()
        operator = self._operators.get(key_hash)
        if scheme.lower() != "bearer" or operator is None:
            raise BadRequest(
                "Authorization: the operator key is missing or unknown; "
                "allowed: Bearer and a key of the settings",
                Code.UNAUTHENTICATED,
                field="Authorization",
            )
        return operator

    async def run(
        self, request: httputil.HTTPServerRequest, arguments: tuple, action: Action
    ) -> tuple[Code, dict[str, Any]]:
        """Authenticate, run one action and return its code and response fields."""
        header = request.headers.get("traceparent", "")
        with self._tracer.span("admin", header, path=request.path) as span:
            try:
                admin_request = self._make_request(request, arguments)
                fields = await action(admin_request)
                code, message = Code.OK, fields.pop("message", "")
            except FlamingowayError as exc:
                code, message = exc.code, exc.message
                fields = {"details": exc.details}
            except Exception:
                logging.exception("admin request failed")
                code, message, fields = Code.INTERNAL, "internal fault", {}
            span.set(code=int(code))
            self._count_refusal(code)
            return code, _response_fields(code, message, span.trace_id, fields)

    def _make_request(
        self, request: httputil.HTTPServerRequest, arguments: tuple
    ) -> AdminRequest:
        operator = self.authenticate(request.headers.get("Authorization", ""))
        query = {
            name: values[-1].decode(errors="replace")
            for name, values in request.query_arguments.items()
        }
        return AdminRequest(operator, arguments, request.headers, query, request.body)

    def _count_refusal(self, code: Code) -> None:
        if code != Code.OK and self._context.metrics is not None:
            self._context.metrics.count_refusal(code)

    async def _status(self, _request: AdminRequest) -> dict[str, Any]:
        return await self._cell_status.gather()

    async def _show(self, request: AdminRequest) -> dict[str, Any]:
        (environment,) = request.arguments
        settings = self._environments.environment(environment)
        version = await self._environments.current(environment)
        fields = {"application": settings.application, "stage": settings.stage}
        if version is None:
            return fields | {"environment": environment, "version": 0, "digest": ""}
        return fields | _version_fields(environment, version)

    async def _version(self, request: AdminRequest) -> dict[str, Any]:
        environment, number = request.arguments
        version = await self._environments.version(environment, int(number))
        return _version_fields(environment, version)

    async def _history(self, request: AdminRequest) -> dict[str, Any]:
        (environment,) = request.arguments
        text = request.query.get("limit", str(DEFAULT_HISTORY_LIMIT))
        if not text.isdecimal() or not 1 <= int(text) <= MAX_HISTORY_LIMIT:
            raise BadRequest(
                f"limit: found {text!r}; allowed: 1 to {MAX_HISTORY_LIMIT}",
                field="limit",
            )
        entries = await self._environments.history(environment, int(text))
        return {
            "environment": environment,
            "history": [_entry_fields(environment, entry) for entry in entries],
        }

    async def _validate(self, request: AdminRequest) -> dict[str, Any]:
        (environment,) = request.arguments
        document = await self._environments.check(environment, request.body)
        active = self._follower.current(environment)
        changed = describe_changes(active.document, document) if active else []
        return {
            "message": "the document is valid",
            "environment": environment,
            "version_in_effect": active.version.number if active else 0,
            "digest": hashlib.sha256(request.body).hexdigest(),
            "changed": changed,
        }

    async def _try(self, request: AdminRequest) -> dict[str, Any]:
        (environment,) = request.arguments
        expected = _parse_if_match(request.headers.get("If-Match"))
        entry = await self._environments.try_document(
            environment, request.body, expected, request.operator
        )
        return _report_acceptance(environment, entry)

    async def _promote(self, request: AdminRequest) -> dict[str, Any]:
        (environment,) = request.arguments
        try:
            body = msgspec.json.decode(request.body, type=PromoteBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise BadRequest(f"invalid request body: {exc}", field="body") from None
        entry = await self._environments.promote(
            environment,
            body.source,
            body.digest,
            body.expected_version,
            request.operator,
        )
        return _report_acceptance(environment, entry)

    async def _explain(self, request: AdminRequest) -> dict[str, Any]:
        environment, job_id = request.arguments
        self._environments.environment(environment)
        explanation = await self._jobs.explain(environment, job_id)
        return {"job_id": job_id, "reasons": explanation.reasons}


class _Handler(web.RequestHandler):
    """Passes requests for one path to the API."""

    def initialize(self, admin: AdminApi, method: str, action: Action) -> None:
        self._admin = admin
        self._allowed_method = method
        self._action = action

    async def get(self, *arguments: str) -> None:
        await self._run(arguments)

    async def post(self, *arguments: str) -> None:
        await self._run(arguments)

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer requests that tornado rejects, such as unsupported methods."""
        self._send_response(
            Code.NOT_FOUND, _response_fields(Code.NOT_FOUND, "no such method", "", {})
        )

    async def _run(self, arguments: tuple[str, ...]) -> None:
        if self.request.method != self._allowed_method:
            self.write_error(405)
            return
        self._send_response(
            *await self._admin.run(self.request, arguments, self._action)
        )

    def _send_response(self, code: Code, answer: dict[str, Any]) -> None:
        self.set_status(code.http_status)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Code", str(int(code)))
        self.set_header("X-Trace-Id", answer["trace_id"])
        self.finish(msgspec.json.encode(answer, enc_hook=str))


class _MetricsHandler(web.RequestHandler):
    """Serves the metrics of the process."""

    def initialize(self, metrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header("Content-Type", self._metrics.content_type)
        self.finish(self._metrics.render())


def _response_fields(
    code: Code, message: str, trace_id: str, fields: dict
) -> dict[str, Any]:
    return {
        "code": int(code),
        "name": code.name,
        "message": message,
        "ran": code.ran,
        "trace_id": trace_id,
        **fields,
    }


def _parse_if_match(header: str | None) -> int:
    text = (header or "").strip().strip('"')
    if not text.isdecimal() or len(text) > 15:
        raise BadRequest(
            f"If-Match: found {header!r}; allowed: the number of the version that "
            "you saw, 0 if there was none",
            field="If-Match",
        )
    return int(text)


def _version_fields(environment: str, version: DocumentVersion) -> dict[str, Any]:
    fields = msgspec.structs.asdict(version)
    number, data = fields.pop("number"), fields.pop("data")
    document = data.decode(errors="replace")
    return {"environment": environment, "version": number, **fields} | {
        "document": document
    }


def _entry_fields(environment: str, entry: HistoryEntry) -> dict[str, Any]:
    return {
        "environment": environment,
        "version": entry.number,
        "digest": entry.digest,
        "operator": entry.operator,
        "accepted_at": entry.accepted_at,
        "source": entry.source,
    }


def _report_acceptance(environment: str, entry: HistoryEntry) -> dict[str, Any]:
    fields = _entry_fields(environment, entry)
    logging.info(
        "%s version %d accepted from operator %s",
        environment,
        entry.number,
        entry.operator,
    )
    return {"message": "accepted"} | fields
