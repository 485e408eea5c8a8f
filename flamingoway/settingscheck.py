"""Checks of settings beyond their types: references, duplicates and amounts."""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

from .mistakes import (
    MAX_PORT,
    Mistake,
    bad_address,
    bad_ip,
    bad_key_hash,
    bad_name,
    bad_names,
    not_positive,
    outside,
    unknown,
)

if TYPE_CHECKING:
    from .settings import EnvironmentSettings, LimitSettings, Settings

MAX_SESSION_TTL_S = 60
# Limits that may be 0; all others must be above it.
ZERO_ALLOWED = ("clock_drift", "drain_notice_s", "grace_s")


def find_mistakes(settings: "Settings") -> Iterator[Mistake]:
    """Yield the mistakes of settings whose types are right."""
    yield from _process(settings)
    yield from _store(settings)
    yield from _shards(settings)
    yield from _environments(settings)
    yield from _operators(settings)
    for index, address in enumerate(settings.peers):
        yield from bad_address(["peers", index], address)
    yield from _limits(settings.limits)
    yield from outside(["trace", "sample_ratio"], settings.trace.sample_ratio, 0.0, 1.0)


def _process(settings: "Settings") -> Iterator[Mistake]:
    for field in ("cell", "process_id", "region", "zone"):
        yield from bad_name([field], getattr(settings, field))
    yield from bad_ip(["ip"], settings.ip)
    for field in ("http_port", "peer_port"):
        yield from outside([field], getattr(settings, field), 1, MAX_PORT)
    # A region may have entry processes only; then no shard names its zones.
    own = [shard for shard in settings.shards if shard.region == settings.region]
    zones = [zone for shard in own for zone in shard.zones]
    if zones:
        yield from unknown(["zone"], settings.zone, zones)


def _store(settings: "Settings") -> Iterator[Mistake]:
    store, vm_list = settings.store, settings.vm_list
    yield from bad_address(["store", "endpoint"], store.endpoint)
    yield from not_positive(["store", "timeout_s"], store.timeout_s)
    ttl = store.session_ttl_s
    yield from outside(["store", "session_ttl_s"], ttl, 1, MAX_SESSION_TTL_S)
    if not vm_list.url.startswith(("http://", "https://")):
        yield Mistake(
            ["vm_list", "url"],
            f"found {vm_list.url!r}; allowed: a URL that begins with http:// or "
            "https://",
        )
    yield from not_positive(["vm_list", "interval_s"], vm_list.interval_s)


def _shards(settings: "Settings") -> Iterator[Mistake]:
    if not settings.shards:
        yield Mistake(["shards"], "found no shard; allowed: one or more")
    yield from bad_names("shards", settings.shards)
    holders: dict[str, str] = {}
    for index, shard in enumerate(settings.shards):
        steps = ["shards", index]
        yield from bad_name([*steps, "region"], shard.region)
        if not shard.zones:
            yield Mistake([*steps, "zones"], "found no zone; allowed: one or more")
        for place, zone in enumerate(shard.zones):
            yield from bad_name([*steps, "zones", place], zone)
            # Two owners would place tasks on the same workers.
            holder = holders.setdefault(zone, f"shards[{index}]")
            if holder != f"shards[{index}]":
                yield Mistake(
                    [*steps, "zones", place],
                    f"found {zone!r}, a zone of {holder}; allowed: a zone of one shard",
                )


def _environments(settings: "Settings") -> Iterator[Mistake]:
    yield from bad_names("environments", settings.environments)
    for index, environment in enumerate(settings.environments):
        steps = ["environments", index]
        yield from bad_name([*steps, "application"], environment.application)
        if not environment.shards:
            yield Mistake([*steps, "shards"], "found no shard; allowed: one or more")
        for place, name in enumerate(environment.shards):
            known = [shard.name for shard in settings.shards]
            yield from unknown([*steps, "shards", place], name, known)
        yield from _regions(steps, settings, environment)


def _regions(
    steps: list, settings: "Settings", environment: "EnvironmentSettings"
) -> Iterator[Mistake]:
    shards = [settings.shard(name) for name in environment.shards]
    regions = sorted({shard.region for shard in shards if shard is not None})
    if len(regions) > 1:
        yield Mistake(
            [*steps, "shards"],
            f"found shards of the regions {', '.join(regions)}; allowed: shards of "
            "one region",
        )


def _operators(settings: "Settings") -> Iterator[Mistake]:
    yield from bad_names("operators", settings.operators)
    holders: dict[str, str] = {}
    for index, operator in enumerate(settings.operators):
        steps = ["operators", index, "key_sha256"]
        yield from bad_key_hash(steps, operator.key_sha256)
        holder = holders.setdefault(operator.key_sha256, f"operators[{index}]")
        if holder != f"operators[{index}]":
            yield Mistake(
                steps, f"found the key of {holder}; allowed: a key of one operator"
            )


def _limits(limits: "LimitSettings") -> Iterator[Mistake]:
    for field in limits.__struct_fields__:
        value = getattr(limits, field)
        if field in ZERO_ALLOWED:
            if not 0 <= value < math.inf:
                yield Mistake(
                    ["limits", field], f"found {value}; allowed: 0 or more, finite"
                )
        else:
            yield from not_positive(["limits", field], value)
    # A worker whose lease lapses between two reports stops its tasks.
    if limits.task_lease_s <= limits.report_interval_s:
        yield Mistake(
            ["limits", "task_lease_s"],
            f"found {limits.task_lease_s}; allowed: above the report_interval_s of "
            f"{limits.report_interval_s}",
        )
    if limits.lease_horizon_s < limits.task_lease_s:
        yield Mistake(
            ["limits", "lease_horizon_s"],
            f"found {limits.lease_horizon_s}; allowed: at least the task_lease_s of "
            f"{limits.task_lease_s}",
        )
