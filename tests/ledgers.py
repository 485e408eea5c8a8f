"""Checks on the ledgers that the stand-ins write during a run."""

from collections import defaultdict

# All processes of a machine share its monotonic clock and each stand-in writes its
# entries in order, so the comparison needs no tolerance.


def overlapping_attempts(entries: list[dict]) -> list[str]:
    """Return descriptions of attempts of one task that ran at the same time."""
    running: dict[str, dict[tuple, dict]] = defaultdict(dict)
    overlaps = []
    for entry in sorted(entries, key=lambda e: e["monotonic"]):
        task = entry.get("task_id")
        key = (entry.get("attempt"), entry.get("worker"))
        if entry["event"] == "start":
            if running[task]:
                overlaps.append(
                    f"{task} started as {key} while {list(running[task])} ran"
                )
            running[task][key] = entry
        elif entry["event"] == "end":
            running[task].pop(key, None)
    return overlaps


def started_tasks(entries: list[dict]) -> set[str]:
    """Return the ids of all tasks that were started."""
    return {entry["task_id"] for entry in entries if entry["event"] == "start"}


def repeated_requests(entries: list[dict]) -> list[str]:
    """Return the ids of checks that ran more than once."""
    counts: dict[str, int] = defaultdict(int)
    for entry in entries:
        counts[entry["id"]] += 1
    return [request_id for request_id, count in counts.items() if count > 1]
