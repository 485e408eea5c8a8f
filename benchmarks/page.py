"""Generated tables of docs/CAPACITY.md."""

from collections.abc import Iterable
from pathlib import Path

from . import design_size as size
from .cell import make_document
from .design_size import Load, Model
from .roles import HEADER, role_rows

BEGIN = "<!-- begin: python -m benchmarks.capacity --write-page -->"
END = "<!-- end -->"
LOADS = (size.QUIET, size.AVERAGE, size.TWO_SHARDS)


def write(results: dict, path: Path) -> None:
    """Fill the marked section of the page.

    Raises:
        ValueError: If the page lacks the marks.
    """
    text = path.read_text()
    head, found, rest = text.partition(BEGIN)
    _, ended, tail = rest.partition(END)
    if not found or not ended:
        raise ValueError(f"{path}: the marks of the generated section are missing")
    path.write_text(f"{head}{BEGIN}\n\n{generated(results)}\n\n{END}{tail}")


def generated(results: dict) -> str:
    """Return the whole generated section."""
    model = Model(results)
    parts = [
        _run(results["run"]),
        "### Measured points",
        _points(results["series"]),
        "### Fitted slopes",
        slope_table(results),
        "### Encoded sizes (computed)",
        _table(["message", "bytes"], results["streams"].items()),
        "### Roles at the design size, 1/7 of the cell at the peak (computed)",
        _table(HEADER, role_rows(model, len(make_document(size.MEMBERS)))),
        "### One entry process at the design size (computed)",
        *_parts_tables(model),
        "### Against the budget per node (computed)",
        _budget_table(model),
        "### Store calls of the cell (computed)",
        _store_table(model),
        "### What reaches a budget when it grows alone (computed)",
        _table(
            ["what, budget", "size at one process"],
            [
                (name, f"{_format_number(at)} {unit}")
                for name, at, unit in model.limits()
            ],
        ),
        "### Rack, zone or region gone (computed)",
        _loss_table(model),
    ]
    return "\n\n".join(parts)


def slope_table(results: dict) -> str:
    """Return the fits as a table."""
    rows = [
        (
            f"`{name}`",
            _format_number(fit["intercept"]),
            _format_number(fit["slope"]),
            f"{fit['r2']:.3f}",
            fit["points"],
        )
        for name, fit in results["fits"].items()
    ]
    return _table(["fit", "intercept", "slope", "R²", "points"], rows)


def _run(run: dict) -> str:
    load = ", ".join(str(value) for value in run["load_average"])
    return (
        f"Run: `{run['command']} --seed {run['seed']}` at {run['at']}, "
        f"{run['seconds']} s, commit {run['commit']}, "
        f"Python {run['python']}, {run['cores']} cores shared with other test runs, "
        f"load average at the end {load}."
    )


def _points(series: dict[str, list[dict]]) -> str:
    rows = []
    for name, points in series.items():
        for point in points:
            windows = point["cpu_windows"]
            rate = point.get("changes_per_s")
            rows.append(
                (
                    name if rate is None else f"{name}, {rate:g} changes/s",
                    f"{point['x']:g}",
                    f"{point['cpu_ms_per_s']:.1f}",
                    f"{min(windows):.1f} to {max(windows):.1f}",
                    f"{point['rss_kib'] * size.KB_PER_KIB / 1000:.1f}",
                    f"{point['private_kib'] * size.KB_PER_KIB / 1000:.1f}",
                    f"{point['store_writes_per_s']:.1f}",
                    f"{point['store_reads_per_s']:.1f}",
                    _times(point),
                )
            )
    header = ["series", "size", "CPU ms/s", "windows", "resident MB", "private MB"]
    return _table([*header, "writes/s", "reads/s", "times p50 / p99 / max"], rows)


def _times(point: dict) -> str:
    found = [
        f"{name.removesuffix('_ms').replace('_', ' ')} "
        f"{value['p50']:g} / {value['p99']:g} / {value['max']:g} ms"
        for name, value in point.items()
        if isinstance(value, dict)
    ]
    return "; ".join(found)


def _parts_tables(model: Model) -> list[str]:
    return [
        _by_load("processor, ms/s", model.cpu),
        _by_load("resident, kB", model.memory_kb),
        _by_load("network, bytes/s", model.stream_bytes),
    ]


def _by_load(title: str, cost) -> str:
    costs = [cost(load) for load in LOADS]
    rows = [
        (name, *(_format_number(cost[name]) for cost in costs)) for name in costs[0]
    ]
    rows.append(("**sum**", *(f"**{_format_number(sum(c.values()))}**" for c in costs)))
    return _table([title, *(_describe(load) for load in LOADS)], rows)


def _describe(load: Load) -> str:
    return (
        f"{load.name}: {load.workers:.0f} workers, {load.running:.0f} tasks, "
        f"{load.starts:.2g} starts/s"
    )


def _budget_table(model: Model) -> str:
    rows = []
    for load in LOADS:
        for name, cost, budget, unit in _budgets(model):
            value = sum(cost(load).values())
            rows.append(_budget_row(load.name, name, value, budget, unit))
    for name, cost, budget, unit in _budgets(model):
        value = model.per_node(cost)
        rows.append(_budget_row("cell / 797 nodes", name, value, budget, unit))
    return _table(["load", "figure", "value", "budget", "ratio", "verdict"], rows)


def _budgets(model: Model) -> list[tuple]:
    return [
        ("processor", model.cpu, size.CPU_BUDGET_MS, "ms/s"),
        ("memory", model.memory_kb, size.MEMORY_BUDGET_KB, "kB"),
        ("network", model.stream_bytes, size.BYTES_BUDGET, "bytes/s"),
    ]


def _budget_row(load: str, name: str, value: float, budget: float, unit: str) -> tuple:
    return (
        load,
        name,
        f"{_format_number(value)} {unit}",
        f"{budget:,.0f} {unit}",
        f"{value / budget:.2f}",
        "exceeded" if value > budget else "met",
    )


def _store_table(model: Model) -> str:
    log, sessions = model.log_writes(), model.session_writes()
    changes = size.CHANGES_PER_DAY / size.DAY_S
    rows = [
        (
            "log writes at 55 starts/s",
            _format_number(log),
            "two a job (measured at 5 and 15 starts/s), at most 80",
        ),
        ("session renewals", _format_number(sessions), "7 processes, each 1.3 s"),
        ("document changes", _format_number(changes), "one transaction each"),
        ("**writes in all**", _format_number(log + sessions + changes), "stated: 100"),
        (
            "reads for document changes",
            _format_number(3 * changes),
            "three for each change",
        ),
        ("open watches (count)", size.WATCHES * size.PROCESSES, "10 a process"),
    ]
    return _table(["calls", "a second", "from"], rows)


def _loss_table(model: Model) -> str:
    zone = size.WORKERS / size.ZONES
    rows = []
    for name, workers in (
        ("a rack (8 workers)", size.WORKERS_PER_RACK),
        ("a zone", zone),
        ("a region (4 zones)", 4 * zone),
    ):
        lost = model.lost_tasks(workers)
        rows.append(
            (
                name,
                f"{lost['workers']:.0f}",
                f"{lost['tasks']:.0f}",
                f"{lost['kilobytes']:.0f}",
                f"{lost['groups']:.0f}",
            )
        )
    header = ["gone", "workers", "tasks to place again", "kB of records"]
    return _table([*header, "log groups at 512 KiB"], rows)


def _table(header: list[str], rows: Iterable) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join(f"| {' | '.join(str(cell) for cell in line)} |" for line in lines)


def _format_number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"
