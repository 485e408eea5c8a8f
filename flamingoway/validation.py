"""Checks of settings and documents that types cannot express.

Each check yields the violations it finds. A message states the value found and the
values allowed.
"""

import ipaddress
import math
import re
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from .yamlio import FieldPath

# Names appear in URLs, store keys, job ids and metric labels.
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
NAME_RULE = "1 to 63 lower-case letters, digits and inner hyphens"
HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65_535


class Violation(NamedTuple):
    """A value that breaks a rule.

    Attributes:
        field_path: Field names and list indexes that lead to the value.
        problem: Value found and values allowed.
    """

    field_path: FieldPath
    problem: str


def check_name(field_path: FieldPath, name: str) -> Iterator[Violation]:
    """Check one name."""
    if not NAME_PATTERN.fullmatch(name):
        yield Violation(field_path, f"found {name!r}; allowed: {NAME_RULE}")


def check_unique_names(group: str, entries: Iterable[Any]) -> Iterator[Violation]:
    """Check that the names of the entries in a list are valid and unique."""
    first_index: dict[str, int] = {}
    for index, entry in enumerate(entries):
        field_path = [group, index, "name"]
        yield from check_name(field_path, entry.name)
        first = first_index.setdefault(entry.name, index)
        if first != index:
            yield Violation(
                field_path,
                f"found {entry.name!r}, the name of {group}[{first}]; "
                "allowed: a name that occurs once",
            )


def check_key_hash(field_path: FieldPath, key_hash: str) -> Iterator[Violation]:
    """Check the form of a key hash.

    The message omits the value, which may be the key itself.
    """
    if not HASH_PATTERN.fullmatch(key_hash):
        yield Violation(
            field_path,
            f"found {len(key_hash)} characters that are not a SHA-256; "
            "allowed: 64 digits 0-9 and a-f",
        )


def check_positive(field_path: FieldPath, value: float) -> Iterator[Violation]:
    """Check that a number is finite and above 0."""
    if not 0 < value < math.inf:
        yield Violation(field_path, f"found {value}; allowed: a number above 0")


def check_range(
    field_path: FieldPath, value: float, lowest: float, highest: float
) -> Iterator[Violation]:
    """Check that a number is from ``lowest`` to ``highest``, both included."""
    if not lowest <= value <= highest:
        yield Violation(field_path, f"found {value}; allowed: {lowest} to {highest}")


def check_reference(
    field_path: FieldPath, name: str, known: Iterable[str]
) -> Iterator[Violation]:
    """Check that a name refers to one of the ``known`` names."""
    names = sorted(set(known))
    if name not in names:
        yield Violation(
            field_path, f"found {name!r}; allowed: {', '.join(names) or 'none'}"
        )


def check_ip(field_path: FieldPath, text: str) -> Iterator[Violation]:
    """Check an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        yield Violation(field_path, f"found {text!r}; allowed: an IPv4 address")


def check_address(field_path: FieldPath, text: str) -> Iterator[Violation]:
    """Check an address of the form ``IP:port``."""
    ip, _, port = text.rpartition(":")
    valid_port = port.isdecimal() and 1 <= int(port) <= MAX_PORT
    if any(check_ip(field_path, ip)) or not valid_port:
        yield Violation(
            field_path,
            f"found {text!r}; allowed: IPv4 address, colon and port 1 to 65535",
        )
