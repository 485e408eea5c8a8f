"""Result of a command."""

from dataclasses import dataclass
from typing import Any

from ..output.views import View


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a command.

    Attributes:
        answer: Fields of the response, as shown by ``--json``.
        view: Renders the fields as text.
        raw: Bytes to write instead of the text, for example a document.
    """

    answer: dict[str, Any]
    view: View
    raw: bytes | None = None
