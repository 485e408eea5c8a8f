"""Checks of the stand-ins' ledgers that hold for every run."""

from collections import defaultdict

# Two processes of this machine stamp the same clock; entries of one stand-in are
# in order, so that no tolerance is needed.


def overlapping_attempts(entries: list[dict]) -> list[str]:
    """Return descriptions of attempts of one task that ran at the same time."""
    running: dict[str, dict[tuple, dict]] = defaultdict(dict)
    found = []
    for entry in sorted(entries, key=lambda e: e["monotonic"]):
        task = entry.get("task_id")
        key = (entry.get("attempt"), entry.get("worker"))
        if entry["event"] == "start":
            if running[task]:
                found.append(f"{task} started as {key} while {list(running[task])} ran")
            running[task][key] = entry
        elif entry["event"] == "end":
            running[task].pop(key, None)
    return found


def started_tasks(entries: list[dict]) -> set[str]:
    """Return the ids of all tasks that were started."""
    return {entry["task_id"] for entry in entries if entry["event"] == "start"}


def repeated_requests(entries: list[dict]) -> list[str]:
    """Return the ids of checks that ran more than once."""
    counts: dict[str, int] = defaultdict(int)
    for entry in entries:
        counts[entry["id"]] += 1
    return [request_id for request_id, count in counts.items() if count > 1]
