"""Excerpts of the decision logs of many processes."""

import math
import re
from dataclasses import dataclass, field
from pathlib import Path

from ..errors import BadRequest
from ..output import views
from ..status import Code
from .result import Result

# Warnings, and changes of what the process knows of the store and of the leader.
NOTABLE_EVENTS = frozenset(
    {
        "advice missing",
        "cancelled job started",
        "election unresolved",
        "end notice failed",
        "entry skipped",
        "error contained",
        "history lost",
        "job announcement failed",
        "job write failed",
        "job write rejected",
        "job write unresolved",
        "leader changed",
        "leader deposed",
        "leader elected",
        "leader query failed",
        "leader resigned",
        "leadership left to expire",
        "leadership taken",
        "orders allowed",
        "orders suspended",
        "poll refused",
        "reload refused",
        "session expired",
        "start sent late",
        "started",
        "stopped",
        "stopping",
        "store reachable again",
        "store unreachable",
        "takeover waits for the store",
        "worker silent",
    }
)
AT = re.compile(r'"at":([0-9.]+)')
EVENT = re.compile(r'"event":"([^"]+)"')
PROCESS = re.compile(r'"process":"([^"]+)"')


@dataclass(slots=True)
class _ProcessLog:
    """Lines of one process.

    Attributes:
        naming: Lines that name the job.
        notable: Warnings and changes.
    """

    process: str
    naming: list[str] = field(default_factory=list)
    notable: list[str] = field(default_factory=list)


def excerpt_logs(
    folder: str, *, job: str, lines: int = 5, width: int = 200, span: float = 10.0
) -> Result:
    """Show what the processes wrote about a job, and their warnings.

    Args:
        folder: Folder with one log file for each process.
        job: Id of the job.
        lines: Lines of each process; those that name the job come first.
        width: Characters of each line.
        span: Seconds before the first and after the last line that names the job in
            which warnings are shown.

    Examples:
        flamingoway logs excerpt /var/log/flamingoway --job 19e77f529a0006c5
    """
    path = Path(folder)
    if not path.is_dir():
        raise BadRequest(
            f"folder: found {folder!r}, which is not a folder; "
            "allowed: a folder with one log file for each process",
            Code.USAGE,
            field="folder",
        )
    logs = [_read(file, job) for file in sorted(path.iterdir()) if file.is_file()]
    times = [_time(line) for log in logs for line in log.naming] or [0.0, math.inf]
    begin, end = min(times) - span, max(times) + span
    excerpts = {}
    for log in logs:
        notable = [line for line in log.notable if begin <= _time(line) <= end]
        if chosen := (log.naming + notable)[:lines]:
            excerpts[log.process] = [line[:width] for line in chosen]
    answer = {
        "code": int(Code.OK),
        "name": Code.OK.name,
        "message": _as_text(excerpts) or f"no line names {job}, and no warning",
        "job": job,
        "processes": excerpts,
    }
    return Result(answer, views.as_message)


def _read(path: Path, job: str) -> _ProcessLog:
    log = _ProcessLog(path.stem)
    with path.open(errors="replace") as file:
        for text in file:
            line = text.rstrip("\n")
            event = EVENT.search(line)
            if event is None or AT.search(line) is None:
                continue
            if found := PROCESS.search(line):
                log.process = found[1]
            if job in line:
                log.naming.append(line)
            elif event[1] in NOTABLE_EVENTS:
                log.notable.append(line)
    return log


def _time(line: str) -> float:
    return float(AT.search(line)[1])


def _as_text(excerpts: dict[str, list[str]]) -> str:
    sections = [
        f"== Log of {process} (lines that name the job, then warnings and changes)\n"
        + "\n".join(lines)
        for process, lines in excerpts.items()
    ]
    return "\n\n".join(sections)
