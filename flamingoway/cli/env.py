"""Commands about environment documents."""

from ..changes import describe_changes
from ..document import Document, parse_document
from ..errors import BadRequest
from ..output import views
from ..status import Code
from .files import read_file
from .result import Result
from .session import Session

# Name that the server uses in errors about a document sent without a file name.
DOCUMENT_PLACEHOLDER = "<document>"


class EnvironmentCommands:
    """The ``env`` commands.

    Args:
        session: Client of the API.
    """

    def __init__(self, session: Session):
        self._session = session

    def validate(self, environment: str, file: str) -> Result:
        """Check a document and show its changes without applying them.

        Args:
            environment: Environment whose application the document describes.
            file: Document; - for standard input.

        Examples:
            flamingoway env validate kerbihan-trial planner.yaml
        """
        answer = self._post_file(f"{environment}/validate", file, {})
        return Result(answer, views.as_validated)

    def try_(self, environment: str, file: str, *, seen: int) -> Result:
        """Accept a document into a trial environment.

        Args:
            environment: Name of a trial environment.
            file: Document; - for standard input.
            seen: Version last shown by "env show"; 0 if there was none. The
                command is refused if the environment is at another version.

        Examples:
            flamingoway env try kerbihan-trial planner.yaml --seen 3
        """
        answer = self._post_file(f"{environment}/try", file, {"If-Match": str(seen)})
        return Result(answer, views.as_accepted)

    def promote(
        self, environment: str, *, source: str, digest: str, seen: int
    ) -> Result:
        """Promote the exact bytes of a document from a trial environment.

        To roll back, promote an older digest from the trial environment's history.

        Args:
            environment: Name of a production environment.
            source: Trial environment that holds the document.
            digest: Digest of the document, from "env history" of the source.
            seen: Version of ENVIRONMENT last shown by "env show"; 0 if there was
                none. The command is refused if it is at another version.

        Examples:
            flamingoway env promote kerbihan-production --source kerbihan-trial \
--digest 3f7a... --seen 2
        """
        body = {"digest": digest, "from": source, "expected_version": seen}
        path = f"/admin/v1/environments/{environment}/promote"
        return Result(self._session.call("POST", path, body), views.as_accepted)

    def show(
        self, environment: str, *, version: int = 0, document: bool = False
    ) -> Result:
        """Show a version of an environment's document.

        Args:
            environment: Name of the environment.
            version: Version to show; the current one by default.
            document: Write only the document, byte for byte.

        Examples:
            flamingoway env show kerbihan-production

            flamingoway env show kerbihan-trial --document > planner.yaml
        """
        answer = self._version(environment, version)
        raw = answer.get("document", "").encode() if document else None
        return Result(answer, views.as_environment, raw)

    def history(self, environment: str, *, limit: int = 20) -> Result:
        """List the versions of an environment, newest first.

        Args:
            environment: Name of the environment.
            limit: Maximum number of versions to list, at most 1000.

        Examples:
            flamingoway env history kerbihan-production --limit 5
        """
        path = f"/admin/v1/environments/{environment}/history?limit={limit}"
        return Result(self._session.call("GET", path), views.as_history)

    def diff(
        self, environment: str, *, old: int = 0, new: int = 0, file: str = ""
    ) -> Result:
        """Show the differences between two versions, or a version and a file.

        Args:
            environment: Name of the environment.
            old: Earlier version; the one before NEW by default, or the current
                one if a file is given.
            new: Later version; the current one by default.
            file: Compare with this document instead of a version.

        Examples:
            flamingoway env diff kerbihan-production --old 3 --new 5

            flamingoway env diff kerbihan-trial --file planner.yaml
        """
        if file:
            later = parse_document(read_file(file, "file"), file)
            earlier, new_name = self._document(environment, old), file
        else:
            answer = self._document(environment, new)
            later, new_name = _parse(answer), answer["version"]
            old = old or max(1, answer["version"] - 1)
            earlier = self._document(environment, old)
        answer = {
            "environment": environment,
            "old": earlier["version"],
            "new": new_name,
            "changed": describe_changes(_parse(earlier), later),
        }
        return Result(answer, views.as_changes)

    def _version(self, environment: str, number: int) -> dict:
        path = f"/admin/v1/environments/{environment}"
        if number:
            path += f"/versions/{number}"
        return self._session.call("GET", path)

    def _document(self, environment: str, number: int) -> dict:
        answer = self._version(environment, number)
        if not answer.get("document"):
            raise BadRequest(
                f"environment: {environment} has no document yet",
                Code.NOT_FOUND,
                field="environment",
            )
        return answer

    def _post_file(self, path: str, file: str, headers: dict[str, str]) -> dict:
        data = read_file(file, "file")
        try:
            return self._session.call(
                "POST", f"/admin/v1/environments/{path}", data, headers
            )
        except Exception as exc:
            _insert_file_name(exc, file)
            raise


def _parse(answer: dict) -> Document:
    path = f"{answer['environment']}@{answer['version']}"
    return parse_document(answer["document"].encode(), path)


def _insert_file_name(error: Exception, file: str) -> None:
    """Replace the server's placeholder in an error with the name of the file."""
    details = getattr(error, "details", {})
    if details.get("file") == DOCUMENT_PLACEHOLDER:
        details["file"] = file
        error.message = error.message.replace(DOCUMENT_PLACEHOLDER, file, 1)
