"""The settings file that the platform writes for each process."""

from typing import Annotated

import msgspec
from msgspec import Meta

from .. import yamlio
from ..addresses import MAX_PORT, parse_address
from ..errors import BadSettings

Port = Annotated[int, Meta(ge=1, le=MAX_PORT)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]


class SettingsStruct(msgspec.Struct, rename="camel", frozen=True):
    """Base of the structures in the file; unknown fields are ignored."""


class Listen(SettingsStruct):
    """Addresses to listen on: ``front`` for callers, ``ready`` for health checks."""

    front: str
    ready: str

    def __post_init__(self):
        parse_address(self.front)
        parse_address(self.ready)


class TimeLimits(SettingsStruct):
    """Time limits that the platform sets.

    Attributes:
        hold_max_ms: Longest lease that a worker accepts.
        status_s: How long the state of an ended job must be available.
        grace_s: Time from SIGTERM until the process must have ended.
    """

    hold_max_ms: Positive = 6000.0
    status_s: Positive = msgspec.field(name="status_s", default=120.0)
    grace_s: Positive = 6.0


class CpuLimits(SettingsStruct):
    """Processor time that the process may use on its VM.

    Attributes:
        cpu_share: Fraction of one core's time that the process may use.
        cores: Speed of that core relative to a standard core.
    """

    cpu_share: Positive = 1.0
    cores: Positive = 1.0


class StoreSettings(SettingsStruct):
    """Address of the metadata store, ``IP:port``."""

    address: str

    def __post_init__(self):
        parse_address(self.address)


class NodeSettings(SettingsStruct):
    """Part of the settings file that the process uses."""

    node_name: str
    ip: str
    zone: str
    listen: Listen
    port_range: Annotated[list[Port], Meta(min_length=2)]
    platform: StoreSettings
    bounds: TimeLimits = TimeLimits()
    limits: CpuLimits = CpuLimits()
    advice: str | None = None

    @property
    def peer_address(self) -> str:
        """``IP:port`` for calls from other entry processes."""
        return f"{self.ip}:{self.port_range[0]}"

    @property
    def standard_cores(self) -> float:
        """Processor time available to the process, in standard cores."""
        return self.limits.cpu_share * self.limits.cores

    @property
    def metrics_port(self) -> int:
        """Port of the metrics endpoint."""
        return self.port_range[1]


def load(path: str) -> NodeSettings:
    """Read the settings file.

    Raises:
        BadSettings: If it cannot be read or is not valid.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as exc:
        raise BadSettings(f"{path}: the file cannot be read: {exc.strerror}") from None
    return yamlio.decode(data, NodeSettings, BadSettings, path)
