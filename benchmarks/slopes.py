"""Fits of the measured series."""

from dataclasses import asdict

from .fits import Fit, fit_line

CPU, RSS = "cpu_ms_per_s", "rss_kib"
WRITES, READS = "store_writes_per_s", "store_reads_per_s"

# Name of the fit: series, field of x, field of y.
FITS = {
    "cpu_ms_per_worker": ("idle", "x", CPU),
    "kib_per_worker": ("idle", "x", RSS),
    "writes_per_worker": ("idle", "x", WRITES),
    "cpu_ms_per_running_task": ("running", "x", CPU),
    "kib_per_running_task": ("running", "x", RSS),
    "cpu_ms_per_job": ("starts", "x", CPU),
    "writes_per_job": ("starts", "x", WRITES),
    "kib_per_finished_job": ("starts", "finished_jobs", RSS),
    "cpu_ms_per_queued_job": ("queued", "x", CPU),
    "kib_per_queued_job": ("queued", "x", RSS),
    "cpu_ms_per_check": ("checks", "x", CPU),
    "cpu_ms_per_keyed_check": ("keyed_checks", "x", CPU),
    "kib_per_key": ("keyed_checks", "sent_in_all", RSS),
    "kib_per_member": ("document_follower", "x", RSS),
}


def fits_of(series: dict[str, list[dict]]) -> dict[str, dict]:
    """Return every fit whose series has at least three points."""
    found = {}
    for name, (source, x, y) in FITS.items():
        points = [p for p in series.get(source, []) if x in p]
        if len(points) >= 3:
            fit = fit_line([p[x] for p in points], [p[y] for p in points])
            found[name] = asdict(fit)
    for role in ("administration", "follower", "owner"):
        points = series.get(f"document_{role}", [])
        if points:
            found[f"cpu_ms_per_change_{role}"] = asdict(_change_cost(points))
    return found


def _change_cost(points: list[dict]) -> Fit:
    """Fit the processor time of one change against the members of the document."""
    quiet = {p["x"]: p[CPU] for p in points if not p["changes_per_s"]}
    busy = [p for p in points if p["changes_per_s"]]
    costs = [(p[CPU] - quiet[p["x"]]) / p["changes_per_s"] for p in busy]
    return fit_line([p["x"] for p in busy], costs)
