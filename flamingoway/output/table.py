"""Plain text tables."""

from collections.abc import Sequence
from typing import Any

COLUMN_SEPARATOR = "  "


def render_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table with one line per row; columns of numbers are right-aligned.

    Args:
        headers: Column titles.
        rows: One value per column; ``None`` is shown as ``-``.
    """
    cells = [[_cell_text(value) for value in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(headers, *cells, strict=True)]
    numeric = [_all_numbers(column) for column in zip(*rows, strict=True)]
    numeric = numeric or [False] * len(headers)
    lines = [_render_row(headers, widths, numeric)]
    lines += [_render_row(row, widths, numeric) for row in cells]
    return "\n".join(lines)


def render_fields(fields: dict[str, Any]) -> str:
    """Return one ``name: value`` line per field, with aligned values."""
    width = max(map(len, fields), default=0) + 1
    return "\n".join(
        f"{name + ':':<{width}} {_cell_text(value)}" for name, value in fields.items()
    )


def _render_row(cells: Sequence[str], widths: list[int], numeric: list[bool]) -> str:
    parts = (
        cell.rjust(width) if right else cell.ljust(width)
        for cell, width, right in zip(cells, widths, numeric, strict=True)
    )
    return COLUMN_SEPARATOR.join(parts).rstrip()


def _all_numbers(column: Sequence[Any]) -> bool:
    return all(isinstance(v, int | float) and not isinstance(v, bool) for v in column)


def _cell_text(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    # A line break in a value would look like another row.
    return " ".join(str(value).split("\n"))
