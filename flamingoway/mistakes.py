"""Checks of settings and documents that types cannot express.

Each check yields the mistakes it finds; the message names the value found and the
values allowed.
"""

import ipaddress
import math
import re
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from .yamlio import Steps

# Names appear in URLs, store keys, job ids and metric labels.
NAME_PATTERN = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
NAME_RULE = "1 to 63 lower-case letters, digits and inner hyphens"
HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
MAX_PORT = 65_535


class Mistake(NamedTuple):
    """One mistake.

    Attributes:
        steps: Field names and list indexes that lead to the value.
        problem: Value found and values allowed.
    """

    steps: Steps
    problem: str


def bad_name(steps: Steps, name: str) -> Iterator[Mistake]:
    """Check one name."""
    if not NAME_PATTERN.fullmatch(name):
        yield Mistake(steps, f"found {name!r}; allowed: {NAME_RULE}")


def bad_names(group: str, entries: Iterable[Any]) -> Iterator[Mistake]:
    """Check that the names of a list's entries are valid and occur once."""
    first_index: dict[str, int] = {}
    for index, entry in enumerate(entries):
        steps = [group, index, "name"]
        yield from bad_name(steps, entry.name)
        first = first_index.setdefault(entry.name, index)
        if first != index:
            yield Mistake(
                steps,
                f"found {entry.name!r}, the name of {group}[{first}]; "
                "allowed: a name that occurs once",
            )


def bad_key_hash(steps: Steps, key_hash: str) -> Iterator[Mistake]:
    """Check the form of a key hash; the value is not shown: it may be the key."""
    if not HASH_PATTERN.fullmatch(key_hash):
        yield Mistake(
            steps,
            f"found {len(key_hash)} characters that are not a SHA-256; "
            "allowed: 64 digits 0-9 and a-f",
        )


def not_positive(steps: Steps, value: float) -> Iterator[Mistake]:
    """Check that a number is finite and above 0."""
    if not 0 < value < math.inf:
        yield Mistake(steps, f"found {value}; allowed: a number above 0")


def outside(
    steps: Steps, value: float, lowest: float, highest: float
) -> Iterator[Mistake]:
    """Check that a number is within both bounds."""
    if not lowest <= value <= highest:
        yield Mistake(steps, f"found {value}; allowed: {lowest} to {highest}")


def unknown(steps: Steps, name: str, known: Iterable[str]) -> Iterator[Mistake]:
    """Check that a name refers to something that exists."""
    names = sorted(set(known))
    if name not in names:
        yield Mistake(steps, f"found {name!r}; allowed: {', '.join(names) or 'none'}")


def bad_ip(steps: Steps, text: str) -> Iterator[Mistake]:
    """Check an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        yield Mistake(steps, f"found {text!r}; allowed: an IPv4 address")


def bad_address(steps: Steps, text: str) -> Iterator[Mistake]:
    """Check an address of the form ``IP:port``."""
    ip, _, port = text.rpartition(":")
    valid_port = port.isdecimal() and 1 <= int(port) <= MAX_PORT
    if any(bad_ip(steps, ip)) or not valid_port:
        yield Mistake(
            steps, f"found {text!r}; allowed: IPv4 address, colon and port 1 to 65535"
        )
