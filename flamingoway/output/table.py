"""Plain text tables."""

from collections.abc import Sequence
from typing import Any

GAP = "  "


def render_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table with one line a row; numbers are aligned to the right.

    Args:
        headers: Column titles.
        rows: One value a column; ``None`` shows as ``-``.
    """
    cells = [[_text(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(headers, *cells, strict=True)]
    numeric = [_all_numbers(column) for column in zip(*rows, strict=True)]
    numeric = numeric or [False] * len(headers)
    lines = [_line(headers, widths, numeric)]
    lines += [_line(row, widths, numeric) for row in cells]
    return "\n".join(lines)


def render_fields(fields: dict[str, Any]) -> str:
    """Return one ``name: value`` line for each field, values aligned."""
    width = max(map(len, fields), default=0) + 1
    return "\n".join(
        f"{name + ':':<{width}} {_text(value)}" for name, value in fields.items()
    )


def _line(cells: Sequence[str], widths: list[int], numeric: list[bool]) -> str:
    parts = (
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric, strict=True)
    )
    return GAP.join(parts).rstrip()


def _all_numbers(column: Sequence[Any]) -> bool:
    return all(isinstance(v, int | float) and not isinstance(v, bool) for v in column)


def _text(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    # A line break in a value would look like another row.
    return " ".join(str(value).split("\n"))
