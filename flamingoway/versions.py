"""Keys and values of environment documents in the store."""

import msgspec

from .document import DocumentVersion
from .store import KeyValue
from .store.keys import SEQUENCE_DIGITS, Keys


class Head(msgspec.Struct, frozen=True):
    """Current version of an environment; the value of ``env/<e>/head``."""

    number: int
    digest: str


class HistoryEntry(msgspec.Struct, frozen=True):
    """One entry of an environment's history; the value of ``env/<e>/entry/<n>``.

    Attributes:
        accepted_at: Wall-clock time, in seconds since the epoch.
        source: Environment that the document was promoted from.
        write_id: Random id of the write. After an unknown outcome, it tells whether the
            stored entry comes from this write.
    """

    number: int
    digest: str
    operator: str
    accepted_at: float
    source: str = ""
    write_id: str = ""


class EnvironmentKeys(Keys):
    """Keys of the documents of one cell and of their history."""

    def entries(self, environment: str) -> str:
        """Return the prefix of all keys of the history."""
        return f"{self.environments}{environment}/entry/"

    def history_entry(self, environment: str, number: int) -> str:
        """Return the key of one history entry."""
        return f"{self.entries(environment)}{number:0{SEQUENCE_DIGITS}d}"

    def parse_version_key(self, key: str) -> tuple[str, int] | None:
        """Return environment and number of a version key, ``None`` for other keys."""
        parts = key.removeprefix(self.environments).split("/")
        if len(parts) != 3 or parts[1] != "version" or not parts[2].isdigit():
            return None
        return parts[0], int(parts[2])


def decode_head(item: KeyValue | None) -> Head | None:
    """Decode ``env/<environment>/head``; ``None`` if the key is absent."""
    return msgspec.msgpack.decode(item.value, type=Head) if item else None


def decode_history_entry(data: bytes) -> HistoryEntry:
    """Decode the value of ``env/<environment>/entry/<n>``.

    Raises:
        msgspec.DecodeError: If the bytes are not a history entry.
    """
    return msgspec.msgpack.decode(data, type=HistoryEntry)


def decode_version(data: bytes) -> DocumentVersion:
    """Decode the value of ``env/<environment>/version/<n>``.

    Raises:
        msgspec.DecodeError: If the bytes are not a version.
    """
    return msgspec.msgpack.decode(data, type=DocumentVersion)
