"""Scaling slopes of one entry process, and the tables of docs/CAPACITY.md.

``python -m benchmarks.capacity`` starts stand-ins and entry processes, measures
them at several sizes, fits lines and saves the points. ``--write-page`` fills the
marked section of the page from the saved points instead of measuring.
"""

import argparse
import asyncio
import json
import os
import platform
import random
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Lock

from . import page, scenarios, streams
from .slopes import fits_of
from .windows import MeasurementPlan

ROOT = Path(__file__).resolve().parent.parent
RESULTS = ROOT / "benchmarks" / "results" / "capacity.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
# A window is as long as the report interval, so that each worker reports once in it.
PLAN = MeasurementPlan(settle_s=3.0, window_s=5.0, windows=3)
QUICK_PLAN = MeasurementPlan(settle_s=2.0, window_s=1.0, windows=2)
# Running the cells one after the other takes eleven minutes.
CONCURRENT_CELLS = 4
LONG_SCENARIOS = ("idle-790", "documents", "checks", "starts")

NamedScenario = tuple[str, Callable[[], scenarios.Series]]


def main(argv: list[str] | None = None) -> int:
    """Measure, or write the page; return the exit code."""
    options = parse_arguments(argv)
    if options.write_page:
        page.write(json.loads(options.results.read_text()), PAGE)
        return 0
    results = measure(options)
    options.results.parent.mkdir(parents=True, exist_ok=True)
    options.results.write_text(json.dumps(results, indent=1) + "\n")
    if options.json:
        print(json.dumps(results))
    else:
        print(page.slope_table(results))
    return 0


def measure(options: argparse.Namespace) -> dict:
    """Run all scenarios and return the points, fits and details of the run."""
    began = time.monotonic()
    runs = _named_scenarios(options.quick)
    random.Random(options.seed).shuffle(runs)
    runs.sort(key=lambda item: item[0] not in LONG_SCENARIOS)
    series: scenarios.Series = {}
    with ThreadPoolExecutor(CONCURRENT_CELLS) as pool:
        for scenario_series in pool.map(lambda item: _timed(*item), runs):
            for name, points in scenario_series.items():
                series.setdefault(name, []).extend(points)
    for points in series.values():
        points.sort(key=lambda point: point["x"])
    return {
        "run": _run_details(options, time.monotonic() - began),
        "series": series,
        "streams": streams.message_sizes(),
        "fits": fits_of(series),
    }


def _named_scenarios(quick: bool) -> list[NamedScenario]:
    sizes = scenarios.QUICK_SIZES if quick else scenarios.Sizes()
    plan = QUICK_PLAN if quick else PLAN
    start_lock = Lock()

    def named(name: str, scenario, *args) -> NamedScenario:
        return name, lambda: asyncio.run(scenario(*args, sizes, plan, start_lock))

    runs = [named(f"idle-{n}", scenarios.idle, n) for n in sizes.idle_workers]
    runs.append(named("starts", scenarios.starts))
    runs.append(named("checks", scenarios.checks))
    runs.append(named("documents", scenarios.documents))
    return runs


def _timed(name: str, run: Callable[[], scenarios.Series]) -> scenarios.Series:
    began = time.monotonic()
    series = run()
    print(f"{name}: {time.monotonic() - began:.0f} s", file=sys.stderr, flush=True)
    return series


def _run_details(options: argparse.Namespace, seconds: float) -> dict:
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    return {
        "command": "python -m benchmarks.capacity" + " --quick" * options.quick,
        "seed": options.seed,
        "commit": commit.stdout.strip(),
        "at": time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
        "seconds": round(seconds),
        "cores": os.cpu_count(),
        "load_average": [round(value, 1) for value in os.getloadavg()],
        "python": platform.python_version(),
    }


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--seed", type=int, default=1, help="order of the cells")
    parser.add_argument("--quick", action="store_true", help="small sizes, short")
    parser.add_argument("--write-page", action="store_true")
    parser.add_argument("--results", type=Path, default=RESULTS)
    return parser.parse_args(argv)


if __name__ == "__main__":
    sys.exit(main())
