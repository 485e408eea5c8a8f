"""Rows of the table of roles at the design size."""

from collections.abc import Iterator

from . import design_size as size
from .design_size import AVERAGE, Model

KEY_RETENTION_S = 600

HEADER = [
    "role",
    "state",
    "messages",
    "processor",
    "memory",
    "network",
    "store calls",
    "carried by",
]


def role_rows(model: Model, document_bytes: int) -> Iterator[tuple[str, ...]]:
    """Yield one row for each role of a process with 1/7 of the cell at the peak."""
    cpu, memory = model.cpu(AVERAGE), model.memory_kb(AVERAGE)
    yield _base(model, cpu, memory)
    yield _ingress(model)
    yield _shard_owner(model, cpu, memory)
    yield _key_owner(model)
    yield _follower(cpu, memory, document_bytes)
    yield _administration(model, cpu)


def _base(model: Model, cpu: dict, memory: dict) -> tuple[str, ...]:
    renewals = 1 / size.SESSION_RENEWAL_S
    return (
        "every process: session, process list, VM list, timers",
        "live processes, owners, VM list",
        "VM list poll each second (not modified: no body)",
        f"{cpu['base']:.1f} ms/s",
        f"{memory['base'] / 1000:.1f} MB",
        "not measured",
        f"{renewals:.2f} writes/s; {size.WATCHES} open watches",
        "`membership.py`, `session.py`, `vmlist.py`",
    )


def _ingress(model: Model) -> tuple[str, ...]:
    return (
        "ingress",
        "requests in flight, queues, target connections",
        "HTTP from callers, HTTP/1.1 to targets, one peer call for each job",
        f"{model.low_rate_cost('checks'):.1f} ms a check at 20/s, "
        f"{model.slope('cpu_ms_per_check'):.1f} ms fitted to 150/s; submission is in "
        "the shard owner's figure",
        "no growth measured with checks",
        "the bodies, twice; not measured",
        "none",
        "`checkrunner.py` admission, `target.py` kept connections",
    )


def _shard_owner(model: Model, cpu: dict, memory: dict) -> tuple[str, ...]:
    cost = cpu["workers"] + cpu["running tasks"] + cpu["jobs"]
    names = ("workers", "running tasks", "finished jobs of a day")
    held = sum(memory[name] for name in names) / 1000
    network = sum(model.stream_bytes(AVERAGE).values()) / 1000
    writes = model.log_writes() / size.PROCESSES
    return (
        "shard owner",
        "ledger of jobs, tasks and workers; one stream for each worker",
        "report each 5 s and at each start and end; a command with renewals after "
        "each report",
        f"{cost:.0f} ms/s",
        f"{held:.1f} MB",
        f"{network:.1f} kB/s",
        f"{writes:.1f} writes/s",
        "group commit (`commit.py`), worker links (`fleet.py`)",
    )


def _key_owner(model: Model) -> tuple[str, ...]:
    slope = model.slope("cpu_ms_per_keyed_check")
    extra = slope - model.slope("cpu_ms_per_check")
    keys = model.slope("kib_per_key") * size.KB_PER_KIB * KEY_RETENTION_S / 1000
    return (
        "key owner",
        "keys and outcomes of 10 minutes",
        "one peer call for each keyed check at another process (not measured)",
        f"{extra:+.2f} ms a keyed check above one without key",
        f"{keys:.2f} MB for each keyed check a second",
        "not measured",
        "none",
        "`keyed.py`, rendezvous hash over live processes",
    )


def _follower(cpu: dict, memory: dict, document_bytes: int) -> tuple[str, ...]:
    changes = size.CHANGES_PER_DAY / size.DAY_S
    return (
        "document follower",
        "newest document of each environment",
        "one watch event for each change, with the document",
        f"{cpu['documents']:.2f} ms/s",
        f"{memory['documents'] / 1000:.1f} MB",
        f"{document_bytes * changes / 1000:.2f} kB/s",
        "one watch; a read when it opens",
        "`follower.py`, store watch",
    )


def _administration(model: Model, cpu: dict) -> tuple[str, ...]:
    changes = size.CHANGES_PER_DAY / size.DAY_S / size.PROCESSES
    return (
        "administration",
        "none",
        "operator calls; a status call asks every process",
        f"{cpu['administration']:.2f} ms/s ({model.change_ms('administration'):.0f} ms "
        "a change)",
        "none kept",
        "small, not measured",
        f"{changes:.4f} writes/s, {3 * changes:.4f} reads/s",
        "`environments.py`, compare-and-swap",
    )
