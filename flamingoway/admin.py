"""Administration API: environment documents, status and explanations.

Operators send ``Authorization: Bearer <key>`` with a key of the settings. Every
answer is JSON with ``code``, ``name``, ``message``, ``ran`` and ``trace_id``.
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
    """What the API needs of the job router."""

    async def explain(self, environment: str, job_id: str) -> Explanation:
        """Return why a job waits."""


class PromoteBody(
    msgspec.Struct, rename={"source": "from"}, forbid_unknown_fields=True
):
    """Body of a promotion."""

    digest: str
    source: str
    expected_version: int


@dataclass(frozen=True, slots=True)
class Call:
    """An authenticated request.

    Attributes:
        arguments: Parts of the path.
    """

    operator: str
    arguments: tuple[str, ...]
    headers: httputil.HTTPHeaders
    query: dict[str, str]
    body: bytes


Action = Callable[[Call], Awaitable[dict[str, Any]]]


class Admin:
    """Answers operators at any entry process.

    Args:
        context: Settings, metrics and tracer.
        environments: Reads and accepts documents.
        follower: Documents in effect in this process.
        jobs: Explains jobs.
        cell_status: Gathers the state of all entry processes.
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
        """Authenticate, run one action and return its code and answer."""
        header = request.headers.get("traceparent", "")
        with self._tracer.span("admin", header, path=request.path) as span:
            try:
                call = self._call(request, arguments)
                fields = await action(call)
                code, message = Code.OK, fields.pop("message", "")
            except FlamingowayError as exc:
                code, message = exc.code, exc.message
                fields = {"details": exc.details}
            except Exception:
                logging.exception("admin request failed")
                code, message, fields = Code.INTERNAL, "internal fault", {}
            span.set(code=int(code))
            self._note(code)
            return code, _answer(code, message, span.trace_id, fields)

    def _call(self, request: httputil.HTTPServerRequest, arguments: tuple) -> Call:
        operator = self.authenticate(request.headers.get("Authorization", ""))
        query = {
            name: values[-1].decode(errors="replace")
            for name, values in request.query_arguments.items()
        }
        return Call(operator, arguments, request.headers, query, request.body)

    def _note(self, code: Code) -> None:
        if code != Code.OK and self._context.metrics is not None:
            self._context.metrics.count_refusal(code)

    async def _status(self, _call: Call) -> dict[str, Any]:
        return await self._cell_status.gather()

    async def _show(self, call: Call) -> dict[str, Any]:
        (environment,) = call.arguments
        settings = self._environments.environment(environment)
        version = await self._environments.current(environment)
        fields = {"application": settings.application, "stage": settings.stage}
        if version is None:
            return fields | {"environment": environment, "version": 0, "digest": ""}
        return fields | _version_fields(environment, version)

    async def _version(self, call: Call) -> dict[str, Any]:
        environment, number = call.arguments
        version = await self._environments.version(environment, int(number))
        return _version_fields(environment, version)

    async def _history(self, call: Call) -> dict[str, Any]:
        (environment,) = call.arguments
        text = call.query.get("limit", str(DEFAULT_HISTORY_LIMIT))
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

    async def _validate(self, call: Call) -> dict[str, Any]:
        (environment,) = call.arguments
        document = await self._environments.check(environment, call.body)
        active = self._follower.current(environment)
        changed = describe_changes(active.document, document) if active else []
        return {
            "message": "the document is valid",
            "environment": environment,
            "version_in_effect": active.version.number if active else 0,
            "digest": hashlib.sha256(call.body).hexdigest(),
            "changed": changed,
        }

    async def _try(self, call: Call) -> dict[str, Any]:
        (environment,) = call.arguments
        expected = _seen_version(call.headers.get("If-Match"))
        entry = await self._environments.try_document(
            environment, call.body, expected, call.operator
        )
        return _accepted(environment, entry)

    async def _promote(self, call: Call) -> dict[str, Any]:
        (environment,) = call.arguments
        try:
            body = msgspec.json.decode(call.body, type=PromoteBody)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            raise BadRequest(f"the body is not valid: {exc}", field="body") from None
        entry = await self._environments.promote(
            environment,
            body.source,
            body.digest,
            body.expected_version,
            call.operator,
        )
        return _accepted(environment, entry)

    async def _explain(self, call: Call) -> dict[str, Any]:
        environment, job_id = call.arguments
        self._environments.environment(environment)
        explanation = await self._jobs.explain(environment, job_id)
        return {"job_id": job_id, "reasons": explanation.reasons}


class _Handler(web.RequestHandler):
    """Passes requests of one path to the API."""

    def initialize(self, admin: Admin, method: str, action: Action) -> None:
        self._admin = admin
        self._allowed_method = method
        self._action = action

    async def get(self, *arguments: str) -> None:
        await self._run(arguments)

    async def post(self, *arguments: str) -> None:
        await self._run(arguments)

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer what tornado refuses itself, such as another method."""
        self._send(Code.NOT_FOUND, _answer(Code.NOT_FOUND, "no such method", "", {}))

    async def _run(self, arguments: tuple[str, ...]) -> None:
        if self.request.method != self._allowed_method:
            self.write_error(405)
            return
        self._send(*await self._admin.run(self.request, arguments, self._action))

    def _send(self, code: Code, answer: dict[str, Any]) -> None:
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


def _answer(code: Code, message: str, trace_id: str, fields: dict) -> dict[str, Any]:
    return {
        "code": int(code),
        "name": code.name,
        "message": message,
        "ran": code.ran,
        "trace_id": trace_id,
        **fields,
    }


def _seen_version(header: str | None) -> int:
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


def _accepted(environment: str, entry: HistoryEntry) -> dict[str, Any]:
    fields = _entry_fields(environment, entry)
    logging.info(
        "%s version %d accepted from operator %s",
        environment,
        entry.number,
        entry.operator,
    )
    return {"message": "accepted"} | fields
