"""Settings of one entry process, read from YAML and validated."""

from typing import Literal

import msgspec

from . import yamlio
from .errors import BadSettings
from .settingscheck import find_violations


class ValidatedModel(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Base of validated models; unknown fields are errors."""


class StoreSettings(ValidatedModel):
    """How to reach the platform's key-value service.

    Attributes:
        adapter: Name in the ``store`` registry.
        endpoint: ``IP:port``.
        timeout_s: Longest wait for one answer, in seconds.
        session_ttl_s: TTL of the lease of the process, in seconds. Detecting a dead
            process takes up to this long, and a takeover must end within 10 s.
    """

    endpoint: str
    adapter: str = "etcd"
    timeout_s: float = 2.0
    session_ttl_s: int = 4


class VmListSettings(ValidatedModel):
    """How to read the platform's list of VMs."""

    url: str
    interval_s: float = 1.0


class EnvironmentSettings(ValidatedModel):
    """An environment and the shards that run its durable work.

    Attributes:
        application: Documents are promoted only between environments of the same
            application.
        stage: Documents are tried in trial and promoted to production.
    """

    name: str
    application: str
    stage: Literal["trial", "production"]
    shards: list[str]


class ShardSettings(ValidatedModel):
    """A shard of the cell: the workers of some zones of one region."""

    name: str
    region: str
    zones: list[str]


class OperatorSettings(ValidatedModel):
    """An operator; ``key_sha256`` is the hexadecimal SHA-256 of the key."""

    name: str
    key_sha256: str


class LimitSettings(ValidatedModel):
    """Limits and durations of one entry process.

    Attributes:
        body_bytes: Largest request body.
        answer_bytes: Largest response body of a target.
        check_timeout_s: Deadline of a check that sets none.
        task_lease_s: Lease of a running task, counted by the worker from the
            report that the owner acknowledges.
        report_interval_s: Time between worker reports.
        clock_drift: Largest relative difference between the rates of two clocks.
        lease_horizon_s: Longest time that an owner renews task leases without
            reaching the store; long enough for an outage of one hour.
        writes_per_second: Rate limit of log writes, shared by all shards of the cell.
        drain_notice_s: Time between failing readiness and closing listeners.
        grace_s: Longest duration of a graceful shutdown.
        leaving_after_s: Time after which a leaving target gets no new work.
        max_queue: Longest admission queue of one member and kind of check.
    """

    body_bytes: int = 262_144
    answer_bytes: int = 1_048_576
    check_timeout_s: float = 2.0
    task_lease_s: float = 15.0
    report_interval_s: float = 5.0
    clock_drift: float = 0.1
    lease_horizon_s: float = 4200.0
    writes_per_second: float = 80.0
    drain_notice_s: float = 1.0
    grace_s: float = 30.0
    leaving_after_s: float = 3.0
    max_queue: int = 256


class TraceSettings(ValidatedModel):
    """Trace export.

    Attributes:
        sample_ratio: Fraction of the traces started by this process that is
            exported, 0 to 1.
    """

    exporter: Literal["none", "log", "otlp"] = "none"
    sample_ratio: float = 1.0


class LogSettings(ValidatedModel):
    """Log output."""

    level: Literal["debug", "info", "warning", "error"] = "info"


class Settings(ValidatedModel):
    """Settings of one entry process.

    Attributes:
        peers: ``IP:port`` of entry processes to fetch documents from. They are needed
            when a process starts during a store outage and so has no process list.
    """

    cell: str
    process_id: str
    region: str
    zone: str
    ip: str
    http_port: int
    peer_port: int
    store: StoreSettings
    vm_list: VmListSettings
    shards: list[ShardSettings]
    environments: list[EnvironmentSettings]
    operators: list[OperatorSettings]
    peers: list[str] = []
    limits: LimitSettings = LimitSettings()
    trace: TraceSettings = TraceSettings()
    log: LogSettings = LogSettings()

    @property
    def peer_address(self) -> str:
        """``IP:port`` at which other entry processes reach this one."""
        return f"{self.ip}:{self.peer_port}"

    def environment(self, name: str) -> EnvironmentSettings | None:
        """Return the environment called ``name``, or ``None``."""
        for environment in self.environments:
            if environment.name == name:
                return environment
        return None

    def shard(self, name: str) -> ShardSettings | None:
        """Return the shard called ``name``, or ``None``."""
        for shard in self.shards:
            if shard.name == name:
                return shard
        return None


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Raises:
        BadSettings: With file, line, field, value found and values allowed.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as exc:
        raise BadSettings(
            f"{path}: the file cannot be read: {exc.strerror}",
            file=path,
            line=0,
            field="",
        ) from None
    return parse_settings(data, path)


def parse_settings(data: bytes, path: str = "<settings>") -> Settings:
    """Validate the bytes of a settings file; see :func:`load_settings`."""
    settings = yamlio.decode(data, Settings, BadSettings, path)
    for violation in find_violations(settings):
        raise yamlio.make_error(
            data, BadSettings, path, violation.field_path, violation.problem
        )
    return settings
