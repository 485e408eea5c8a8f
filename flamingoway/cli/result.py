"""What a command returns."""

from dataclasses import dataclass
from typing import Any

from ..output.views import View


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a command.

    Attributes:
        answer: Fields that ``--json`` shows.
        view: Renders the fields for people.
        raw: Bytes to write instead of text, for example a document.
    """

    answer: dict[str, Any]
    view: View
    raw: bytes | None = None
