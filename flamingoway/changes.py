"""Differences of two environment documents, for operators."""

from collections.abc import Iterator
from typing import Any

import msgspec

from .document import Document

GROUPS = ("members", "checks", "jobs", "services")
HASH_PREFIX_CHARS = 8


class Change(msgspec.Struct, frozen=True):
    """One difference.

    Attributes:
        kind: ``added``, ``removed`` or ``changed``.
        field: Path in the document; list entries are named, as in
            ``members.lab-puno.weight``.
        old: Value before, ``None`` for an added entry.
        new: Value after, ``None`` for a removed entry.
    """

    kind: str
    field: str
    old: Any = None
    new: Any = None

    @property
    def text(self) -> str:
        """The difference as one line."""
        if self.kind == "added":
            return f"+ {self.field}"
        if self.kind == "removed":
            return f"- {self.field}"
        return f"~ {self.field}: {_format_value(self.old)} -> {_format_value(self.new)}"


def find_changes(old: Document, new: Document) -> list[Change]:
    """Return the differences between two documents, in document order.

    Order of list entries, comments and layout are ignored.
    """
    before, after = msgspec.to_builtins(old), msgspec.to_builtins(new)
    found = list(_value_changes("application", old.application, new.application))
    for group in GROUPS:
        found += _entry_changes(group, _by_name(before[group]), _by_name(after[group]))
    return found


def describe_changes(old: Document, new: Document) -> list[str]:
    """Return the differences as text lines; see :func:`find_changes`."""
    return [change.text for change in find_changes(old, new)]


def _by_name(entries: list[dict]) -> dict[str, dict]:
    return {entry["name"]: entry for entry in entries}


def _entry_changes(group: str, old: dict, new: dict) -> Iterator[Change]:
    for name, entry in old.items():
        field = f"{group}.{name}"
        if name not in new:
            yield Change("removed", field, old=entry)
            continue
        for key, value in entry.items():
            yield from _value_changes(f"{field}.{key}", value, new[name].get(key))
    for name, entry in new.items():
        if name not in old:
            yield Change("added", f"{group}.{name}", new=entry)


def _value_changes(field: str, old: Any, new: Any) -> Iterator[Change]:
    if isinstance(old, dict) and isinstance(new, dict):
        for key in sorted(old.keys() | new.keys()):
            yield from _value_changes(f"{field}.{key}", old.get(key), new.get(key))
    elif old != new:
        yield Change("changed", field, old=old, new=new)


def _format_value(value: Any) -> str:
    # The first characters of a key hash are enough to distinguish keys.
    if isinstance(value, list):
        return f"[{', '.join(str(item)[:HASH_PREFIX_CHARS] for item in value)}]"
    return "unset" if value is None else str(value)
