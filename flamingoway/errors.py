"""Exceptions that carry a numbered result code."""

from .status import Code


class FlamingowayError(Exception):
    """Base class of all errors that reach a caller, operator or log.

    Args:
        code: Result code.
        message: Human-readable description.
        **details: Machine-readable details, for example ``field`` or ``found``.
    """

    code = Code.INTERNAL

    def __init__(self, message: str, code: Code | None = None, **details):
        super().__init__(message)
        self.code = code if code is not None else type(self).code
        self.message = message
        self.details = details


class Refused(FlamingowayError):
    """The work was not run and will not be run.

    ``retry_after`` in ``details`` (seconds) tells when a retry may succeed.
    """

    code = Code.OVERLOADED


class OutcomeUnknown(FlamingowayError):
    """The work may or may not have run; a retry is safe only if it is idempotent."""

    code = Code.OUTCOME_UNKNOWN


class BadRequest(FlamingowayError):
    """The caller's request is invalid; nothing was run."""

    code = Code.BAD_REQUEST


class StoreUnavailable(FlamingowayError):
    """The store could not be reached and the call had no effect."""

    code = Code.STORE_UNAVAILABLE


class StoreOutcomeUnknown(FlamingowayError):
    """A store write may or may not have taken effect."""

    code = Code.WRITE_UNRESOLVED


class Fenced(FlamingowayError):
    """Another process owns the shard at a higher epoch."""

    code = Code.OWNER_CHANGED


class BadSettings(FlamingowayError):
    """A settings file is invalid; ``details`` has file, line and field."""

    code = Code.BAD_SETTINGS


class BadDocument(FlamingowayError):
    """An environment document is invalid; ``details`` has line and field."""

    code = Code.BAD_DOCUMENT


class VersionConflict(FlamingowayError):
    """Another operator changed the document first."""

    code = Code.VERSION_CONFLICT
