"""Checks of settings beyond their types: references, duplicates and amounts."""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

from .validation import (
    MAX_PORT,
    Violation,
    check_address,
    check_ip,
    check_key_hash,
    check_name,
    check_positive,
    check_range,
    check_reference,
    check_unique_names,
)

if TYPE_CHECKING:
    from .settings import EnvironmentSettings, LimitSettings, Settings

MAX_SESSION_TTL_S = 60
# Limits that may be 0; all others must be positive.
ZERO_ALLOWED = ("clock_drift", "drain_notice_s", "grace_s")


def find_violations(settings: "Settings") -> Iterator[Violation]:
    """Yield the violations in settings that passed type validation."""
    yield from _check_process(settings)
    yield from _check_store(settings)
    yield from _check_shards(settings)
    yield from _check_environments(settings)
    yield from _check_operators(settings)
    for index, address in enumerate(settings.peers):
        yield from check_address(["peers", index], address)
    yield from _check_limits(settings.limits)
    yield from check_range(
        ["trace", "sample_ratio"], settings.trace.sample_ratio, 0.0, 1.0
    )


def _check_process(settings: "Settings") -> Iterator[Violation]:
    for field in ("cell", "process_id", "region", "zone"):
        yield from check_name([field], getattr(settings, field))
    yield from check_ip(["ip"], settings.ip)
    for field in ("http_port", "peer_port"):
        yield from check_range([field], getattr(settings, field), 1, MAX_PORT)
    # A region without shards may still run entry processes; then its zones are
    # not listed.
    own = [shard for shard in settings.shards if shard.region == settings.region]
    zones = [zone for shard in own for zone in shard.zones]
    if zones:
        yield from check_reference(["zone"], settings.zone, zones)


def _check_store(settings: "Settings") -> Iterator[Violation]:
    store, vm_list = settings.store, settings.vm_list
    yield from check_address(["store", "endpoint"], store.endpoint)
    yield from check_positive(["store", "timeout_s"], store.timeout_s)
    ttl = store.session_ttl_s
    yield from check_range(["store", "session_ttl_s"], ttl, 1, MAX_SESSION_TTL_S)
    if not vm_list.url.startswith(("http://", "https://")):
        yield Violation(
            ["vm_list", "url"],
            f"found {vm_list.url!r}; allowed: a URL that begins with http:// or "
            "https://",
        )
    yield from check_positive(["vm_list", "interval_s"], vm_list.interval_s)


def _check_shards(settings: "Settings") -> Iterator[Violation]:
    if not settings.shards:
        yield Violation(["shards"], "found no shard; allowed: one or more")
    yield from check_unique_names("shards", settings.shards)
    holders: dict[str, str] = {}
    for index, shard in enumerate(settings.shards):
        field_path = ["shards", index]
        yield from check_name([*field_path, "region"], shard.region)
        if not shard.zones:
            yield Violation(
                [*field_path, "zones"], "found no zone; allowed: one or more"
            )
        for place, zone in enumerate(shard.zones):
            yield from check_name([*field_path, "zones", place], zone)
            # Two shards with the same zone would place tasks on the same workers.
            holder = holders.setdefault(zone, f"shards[{index}]")
            if holder != f"shards[{index}]":
                yield Violation(
                    [*field_path, "zones", place],
                    f"found {zone!r}, a zone of {holder}; allowed: a zone of one shard",
                )


def _check_environments(settings: "Settings") -> Iterator[Violation]:
    yield from check_unique_names("environments", settings.environments)
    for index, environment in enumerate(settings.environments):
        field_path = ["environments", index]
        yield from check_name([*field_path, "application"], environment.application)
        if not environment.shards:
            yield Violation(
                [*field_path, "shards"], "found no shard; allowed: one or more"
            )
        for place, name in enumerate(environment.shards):
            known = [shard.name for shard in settings.shards]
            yield from check_reference([*field_path, "shards", place], name, known)
        yield from _check_one_region(field_path, settings, environment)


def _check_one_region(
    field_path: list, settings: "Settings", environment: "EnvironmentSettings"
) -> Iterator[Violation]:
    shards = [settings.shard(name) for name in environment.shards]
    regions = sorted({shard.region for shard in shards if shard is not None})
    if len(regions) > 1:
        yield Violation(
            [*field_path, "shards"],
            f"found shards of the regions {', '.join(regions)}; allowed: shards of "
            "one region",
        )


def _check_operators(settings: "Settings") -> Iterator[Violation]:
    yield from check_unique_names("operators", settings.operators)
    holders: dict[str, str] = {}
    for index, operator in enumerate(settings.operators):
        field_path = ["operators", index, "key_sha256"]
        yield from check_key_hash(field_path, operator.key_sha256)
        holder = holders.setdefault(operator.key_sha256, f"operators[{index}]")
        if holder != f"operators[{index}]":
            yield Violation(
                field_path, f"found the key of {holder}; allowed: a key of one operator"
            )


def _check_limits(limits: "LimitSettings") -> Iterator[Violation]:
    for field in limits.__struct_fields__:
        value = getattr(limits, field)
        if field in ZERO_ALLOWED:
            if not 0 <= value < math.inf:
                yield Violation(
                    ["limits", field], f"found {value}; allowed: 0 or more, finite"
                )
        else:
            yield from check_positive(["limits", field], value)
    # A worker stops its tasks if their lease expires between two reports.
    if limits.task_lease_s <= limits.report_interval_s:
        yield Violation(
            ["limits", "task_lease_s"],
            f"found {limits.task_lease_s}; allowed: above the report_interval_s of "
            f"{limits.report_interval_s}",
        )
    if limits.lease_horizon_s < limits.task_lease_s:
        yield Violation(
            ["limits", "lease_horizon_s"],
            f"found {limits.lease_horizon_s}; allowed: at least the task_lease_s of "
            f"{limits.task_lease_s}",
        )
