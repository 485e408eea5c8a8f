"""The settings file that the platform writes for each process."""

import msgspec

from .. import yamlio
from ..errors import BadSettings


class Field(msgspec.Struct, rename="camel", frozen=True):
    """Base of the file's tables; fields that are not named here are ignored."""


class Listen(Field):
    """Addresses to listen on: ``front`` for callers, ``ready`` for health checks."""

    front: str
    ready: str


class Bounds(Field):
    """Bounds of the platform's contracts.

    Attributes:
        hold_max_ms: Longest lease that a worker accepts.
        status_s: Time for which the state of a job must be known.
    """

    hold_max_ms: float = 6000.0
    status_s: float = msgspec.field(name="status_s", default=120.0)
    grace_s: float = 6.0


class Limits(Field):
    """What the process may use of its VM.

    Attributes:
        cpu_share: Part of a core's time that the process gets.
        cores: Speed of that core, as a multiple of a usual one.
    """

    cpu_share: float = 1.0
    cores: float = 1.0


class StoreFields(Field):
    """The metadata store."""

    address: str


class NodeSettings(Field):
    """What a process reads of its settings file."""

    node_name: str
    ip: str
    zone: str
    listen: Listen
    port_range: list[int]
    platform: StoreFields
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    advice: str | None = None

    @property
    def peer_address(self) -> str:
        """``IP:port`` for calls of other entry processes."""
        return f"{self.ip}:{self.port_range[0]}"

    @property
    def power(self) -> float:
        """Processor time that the process gets, in usual cores."""
        return self.limits.cpu_share * self.limits.cores

    @property
    def metrics_port(self) -> int:
        """Port of the metrics."""
        return self.port_range[1]


def load(path: str) -> NodeSettings:
    """Read the settings file.

    Raises:
        BadSettings: If it cannot be read.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as exc:
        raise BadSettings(f"{path}: the file cannot be read: {exc.strerror}") from None
    return yamlio.decode(data, NodeSettings, BadSettings, path)
