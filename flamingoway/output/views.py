"""Renders responses of the HTTP API as text."""

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import msgspec

from .table import render_fields, render_table

Answer = dict[str, Any]
View = Callable[[Answer], str]


def as_json(answer: Answer) -> str:
    """Return the whole response as indented JSON."""
    encoded = msgspec.json.encode(answer, enc_hook=str)
    return msgspec.json.format(encoded, indent=2).decode()


def as_message(answer: Answer) -> str:
    """Return the message of a response."""
    return answer.get("message") or answer.get("name", "")


def as_validated(answer: Answer) -> str:
    """Return the result of a validation with the changes the document would make."""
    lines = [f"valid, digest {answer['digest']}"]
    if answer["version_in_effect"]:
        lines.append(f"changes to version {answer['version_in_effect']}:")
        lines.append(as_changes(answer))
    return "\n".join(lines)


def as_accepted(answer: Answer) -> str:
    """Return the environment, version and digest of an accepted document."""
    return (
        f"{answer['environment']} is now at version {answer['version']}, "
        f"digest {answer['digest']}"
    )


def as_environment(answer: Answer) -> str:
    """Return a version of a document with its metadata."""
    names = ("environment", "application", "stage", "version", "digest", "operator")
    fields = {name: answer[name] for name in names if name in answer}
    if answer.get("accepted_at"):
        fields["accepted at"] = format_time(answer["accepted_at"])
    text = render_fields(fields)
    document = answer.get("document", "")
    return f"{text}\n\n{document}".rstrip("\n")


def as_history(answer: Answer) -> str:
    """Return the versions of an environment, newest first."""
    rows = [
        (
            entry["version"],
            format_time(entry["accepted_at"]),
            entry["operator"],
            entry["source"],
            entry["digest"],
        )
        for entry in answer["history"]
    ]
    return render_table(("version", "accepted at", "operator", "from", "digest"), rows)


def as_changes(answer: Answer) -> str:
    """Return the differences between two documents, one per line."""
    return "\n".join(answer["changed"]) or "no difference but comments and layout"


def as_submitted(answer: Answer) -> str:
    """Return the id of a submitted job."""
    return f"{answer['name'].lower().replace('_', ' ')}: job {answer['job_id']}"


def as_job(answer: Answer) -> str:
    """Return one job with its tasks and results."""
    job = answer.get("job", answer)
    fields = _job_fields(job)
    text = render_fields(fields)
    rows = [
        (task, state, _result_text(job.get("results", {}).get(task)))
        for task, state in sorted(job.get("tasks", {}).items())
    ]
    return f"{text}\n\n{render_table(('task', 'state', 'result'), rows)}"


def as_jobs(answer: Answer) -> str:
    """Return a list of jobs."""
    rows = [tuple(_job_fields(job).values()) for job in answer["jobs"]]
    headers = ("job", "kind", "state", "code", "accepted at", "ended at", "reason")
    return render_table(headers, rows)


def as_reasons(answer: Answer) -> str:
    """Return why a job is waiting, one reason per line."""
    return "\n".join(answer["reasons"]) or "the job is not waiting"


def as_status(answer: Answer) -> str:
    """Return the processes, shards and documents of the cell."""
    parts = (_processes(answer), _shards(answer), _documents(answer))
    return f"cell {answer['cell']}\n\n" + "\n\n".join(parts)


def format_time(seconds: float) -> str:
    """Return a Unix time in seconds as UTC text; ``-`` for 0."""
    if not seconds:
        return "-"
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def _job_fields(job: Answer) -> Answer:
    return {
        "job": job["job_id"],
        "kind": job["kind"],
        "state": job["state"],
        "code": job.get("code") or None,
        "accepted at": format_time(job.get("accepted_at", 0)),
        "ended at": format_time(job.get("ended_at", 0)),
        "reason": job.get("reason", ""),
    }


def _result_text(result: Any) -> str | None:
    return None if result is None else msgspec.json.encode(result).decode()


def _processes(answer: Answer) -> str:
    rows = [
        (
            row["process_id"],
            row["zone"],
            row["http_address"],
            row["reachable"],
            row.get("ready"),
            row.get("store_up"),
            ", ".join(sorted(row.get("shards", {}))),
        )
        for row in answer["processes"]
    ]
    headers = ("process", "zone", "address", "reachable", "ready", "store", "owns")
    return render_table(headers, rows)


def _shards(answer: Answer) -> str:
    counts = ("epoch", "workers", "queued", "running")
    rows = [
        (name, state["owner"], *(state.get(count) for count in counts))
        for name, state in sorted(answer["shards"].items())
    ]
    return render_table(("shard", "owner", *counts), rows)


def _documents(answer: Answer) -> str:
    rows = [
        (name, versions["highest"], versions["lowest"] == versions["highest"])
        for name, versions in sorted(answer["documents"].items())
    ]
    return render_table(("environment", "version", "everywhere"), rows)
