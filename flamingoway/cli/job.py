"""Commands about jobs."""

import uuid
from urllib.parse import quote

import msgspec

from ..errors import BadRequest, FlamingowayError
from ..output import views
from ..status import Code
from .files import read_file
from .result import Result
from .session import Session


class JobCommands:
    """The ``job`` commands, which need the key of a member.

    Args:
        session: Client of the API.
    """

    def __init__(self, session: Session):
        self._session = session

    def submit(
        self,
        environment: str,
        kind: str,
        *,
        params: str = "{}",
        tasks: int = 1,
        urgent: bool = False,
        idempotency_key: str = "",
    ) -> Result:
        """Submit a job.

        Args:
            environment: Name of the environment.
            kind: Job kind defined in the environment's document.
            params: Parameters as JSON; @FILE reads them from a file.
            tasks: Number of tasks.
            urgent: Start before other jobs, within the quota.
            idempotency_key: A repeated submission with the same key does not
                start another job; random by default.

        Examples:
            flamingoway job submit kerbihan-production fit-plan --params @plan.json

            flamingoway job submit andina-production lineage-plan --tasks 4
        """
        key = idempotency_key or uuid.uuid4().hex
        body = {"kind": kind, "params": _read_params(params), "tasks": tasks}
        body["urgent"] = urgent
        path = f"{_jobs_path(environment)}"
        try:
            answer = self._session.call("POST", path, body, {"Idempotency-Key": key})
        except FlamingowayError as exc:
            if exc.code.ran == "unknown":
                exc.message += f"; to retry it safely, add --idempotency-key {key}"
                exc.details["idempotency_key"] = key
            raise
        return Result(answer, views.as_submitted)

    def show(self, environment: str, job: str) -> Result:
        """Show a job with its tasks and results.

        Args:
            environment: Name of the environment.
            job: Id of the job.

        Examples:
            flamingoway job show kerbihan-production 0d5c1f
        """
        path = f"{_jobs_path(environment)}/{quote(job, safe='')}"
        return Result(self._session.call("GET", path), views.as_job)

    def list(self, environment: str) -> Result:
        """List the member's jobs, newest first.

        Args:
            environment: Name of the environment.

        Examples:
            flamingoway job list kerbihan-production
        """
        return Result(self._session.call("GET", _jobs_path(environment)), views.as_jobs)

    def cancel(self, environment: str, job: str) -> Result:
        """Cancel a job.

        Args:
            environment: Name of the environment.
            job: Id of the job.

        Examples:
            flamingoway job cancel kerbihan-production 0d5c1f
        """
        path = f"{_jobs_path(environment)}/{quote(job, safe='')}"
        return Result(self._session.call("DELETE", path), views.as_message)


def _jobs_path(environment: str) -> str:
    return f"/v1/{quote(environment, safe='')}/jobs"


def _read_params(text: str) -> msgspec.Raw:
    data = read_file(text[1:], "params") if text.startswith("@") else text.encode()
    try:
        msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadRequest(
            f"--params: found {text[:40]!r}, which is not JSON ({exc}); "
            "allowed: JSON, or @ and the name of a JSON file",
            Code.USAGE,
            field="params",
        ) from None
    return msgspec.Raw(data)
