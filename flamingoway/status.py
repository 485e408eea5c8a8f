"""Numbered result codes and their HTTP statuses and exit codes.

The first digit gives the class: 1 success, 2 refused and not run, 3 outcome
unknown, 4 caller error, 5 ended without success, 9 internal error.
``docs/codes.md`` holds the same table; a test compares the two.
"""

import enum
from dataclasses import dataclass


class Code(enum.IntEnum):
    """Result codes that callers, operators and logs see."""

    OK = 1000
    ACCEPTED = 1001
    ALREADY_ACCEPTED = 1002

    OVERLOADED = 2000
    MEMBER_LIMIT = 2001
    DEADLINE_PASSED = 2002
    NO_TARGET = 2003
    STORE_UNAVAILABLE = 2004
    OWNER_UNAVAILABLE = 2005
    STOPPING = 2006
    NEVER_FITS = 2007
    QUOTA_TOO_SMALL = 2008
    TARGET_REFUSED = 2009
    OWNER_CHANGED = 2010
    STARTING = 2011

    OUTCOME_UNKNOWN = 3000
    ANSWER_CUT = 3001
    ANSWER_INVALID = 3002
    ANSWER_TOO_LARGE = 3003
    ANSWER_LATE = 3004
    KEY_AMBIGUOUS = 3005
    WRITE_UNRESOLVED = 3006

    BAD_REQUEST = 4000
    UNAUTHENTICATED = 4001
    FORBIDDEN = 4002
    NOT_FOUND = 4003
    BODY_TOO_LARGE = 4004
    UNKNOWN_KIND = 4005
    KEY_REUSED = 4006
    BAD_KEY = 4007
    CANCELLED_BEFORE = 4008
    BAD_SETTINGS = 4010
    BAD_DOCUMENT = 4011
    VERSION_CONFLICT = 4012
    NOT_TRIED = 4013
    USAGE = 4014

    JOB_FAILED = 5000
    JOB_CANCELLED = 5001
    JOB_IMPOSSIBLE = 5002
    RETRIES_EXHAUSTED = 5003

    INTERNAL = 9000

    @property
    def ran(self) -> str:
        """Whether the work ran: ``no``, ``unknown`` or ``yes``."""
        if 2000 <= self < 3000 or 4000 <= self < 5000:
            return "no"
        if 3000 <= self < 4000 or self >= 9000:
            return "unknown"
        return "yes"

    @property
    def http_status(self) -> int:
        """HTTP status sent with this code."""
        return HTTP_STATUSES.get(self, CLASS_HTTP_STATUSES[self // 1000])

    @property
    def exit_code(self) -> int:
        """Process exit code of a command that ends with this code."""
        return 0 if self // 1000 == 1 else self // 1000 + 8


CLASS_HTTP_STATUSES = {1: 200, 2: 503, 3: 502, 4: 400, 5: 200, 9: 500}

HTTP_STATUSES = {
    Code.ACCEPTED: 202,
    Code.MEMBER_LIMIT: 429,
    Code.NEVER_FITS: 422,
    Code.QUOTA_TOO_SMALL: 422,
    Code.ANSWER_LATE: 504,
    Code.KEY_AMBIGUOUS: 409,
    Code.WRITE_UNRESOLVED: 504,
    Code.UNAUTHENTICATED: 401,
    Code.FORBIDDEN: 403,
    Code.NOT_FOUND: 404,
    Code.BODY_TOO_LARGE: 413,
    Code.KEY_REUSED: 409,
    Code.CANCELLED_BEFORE: 409,
    Code.VERSION_CONFLICT: 409,
    Code.NOT_TRIED: 409,
}


@dataclass(frozen=True, slots=True)
class CodeRow:
    """One row of the table of result codes."""

    code: Code
    http_status: int
    exit_code: int
    ran: str


def code_rows() -> list[CodeRow]:
    """Return the table of result codes in numeric order."""
    return [CodeRow(c, c.http_status, c.exit_code, c.ran) for c in Code]
