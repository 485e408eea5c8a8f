"""Commands about the whole cell."""

from urllib.parse import quote

from ..output import views
from .result import Result
from .session import Session


class CellCommands:
    """The commands ``status`` and ``explain``, which need the key of an operator.

    Args:
        session: Client of the API.
    """

    def __init__(self, session: Session):
        self._session = session

    def status(self) -> Result:
        """Show processes, shards, owners and active documents.

        Examples:
            flamingoway status --server http://127.0.0.1:8080
        """
        answer = self._session.call("GET", "/admin/v1/status")
        return Result(answer, views.as_status)

    def explain(self, environment: str, job: str) -> Result:
        """Show why a job is waiting.

        Args:
            environment: Name of the environment.
            job: Id of the job.

        Examples:
            flamingoway explain kerbihan-production 0d5c1f
        """
        path = f"/admin/v1/environments/{quote(environment, safe='')}"
        path += f"/jobs/{quote(job, safe='')}/explain"
        return Result(self._session.call("GET", path), views.as_reasons)
