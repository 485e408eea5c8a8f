"""Checks of the guarantees on the record of a soak test at site size.

``python -m tests.site_checks FOLDER`` checks a kept record again.
"""

import json
import sys
from bisect import bisect_right
from collections import Counter, defaultdict
from pathlib import Path

# Time limits of the site, in seconds.
CONTACT_S = 4.0
ACK_S = 6.0
CANCEL_S = 4.0
STOP_S = 0.4
VISIBLE_S = 3.0
SCHEDULING_MARGIN_S = 0.25
TOKENS_PER_EPOCH = 100_000


class Play:
    """Index of a record.

    Attributes:
        asked: First submission of each job; ``codes`` holds its answers.
        cancels: By job: time and status of the first acknowledgement, first attempt.
        starts: Start events with the end of the run and its outcome.
    """

    def __init__(self, rows):
        self.rows = sorted(rows, key=lambda row: row["t"])
        self.asked, self.codes, self.faults = {}, defaultdict(list), []
        self.cancel_sent, self.cancel_acked, self.shown = {}, {}, defaultdict(list)
        self.starts, self.done_seen, self.leaders = [], defaultdict(list), {}
        self.done, self.last_t = defaultdict(list), self.rows[-1]["t"]
        open_runs = {}
        for row in self.rows:
            self._add(row, row["ev"], open_runs)

    def _add(self, row, event, open_runs):
        job = row.get("job")
        if event == "submit":
            self.asked.setdefault(job, row)
        elif event == "submitted":
            self.codes[job].append((row["status"], row["t"], row["sent"]))
        elif event == "cancel":
            self.cancel_sent.setdefault(job, row["t"])
        elif event == "cancelled" and (
            row["status"] // 100 == 2 or row["status"] == 410
        ):
            self.cancel_acked.setdefault(job, (row["t"], row["status"]))
        elif event == "state":
            self.shown[job].append(row)
        elif event == "leader":
            self.leaders.setdefault(row["epoch"], row["name"])
        elif event == "fault":
            self.faults.append(row)
        elif event == "start":
            run = row | {"end": float("inf"), "how": ""}
            self.starts.append(run)
            open_runs[row["w"], row["task"], row["run"]] = run
        elif event == "end":
            run = open_runs.pop((row["w"], row["task"], row["run"]))
            run.update(end=row["t"], how=row["how"])
            if row["how"] == "done":
                self.done[row["task"]].append(row["t"])
        elif event == "seen" and row["how"] == "done":
            self.done_seen[row["task"]].append(row["t"])

    def disturbed(self, first, last, machine=None):
        """Return the faults in a time span.

        Args:
            first: Begin of the span, in seconds.
            last: End of the span.
            machine: Only those of this machine and of the store.
        """
        return [
            fault["kind"]
            for fault in self.faults
            if fault["begin"] < last
            and fault["t"] > first
            and (
                not fault["benign"]
                if machine is None
                else machine in fault["on"] or "core" in fault["on"]
            )
        ]

    def cancelled_at(self, job):
        """Return when a job counts as cancelled, with the status; ``None`` if not."""
        acked = self.cancel_acked.get(job)
        sent = self.cancel_sent.get(job)
        if sent is None or (acked and acked[0] < sent + ACK_S):
            return acked
        if not self.disturbed(sent - CONTACT_S, sent + ACK_S):
            return sent + ACK_S, 0
        return acked

    def starter(self, run):
        """Return the process that ordered a run, by its fencing token."""
        return self.leaders.get(run["token"] // TOKENS_PER_EPOCH, "?")


def check(rows):
    """Return violations and, separately, cases that a disturbance excuses."""
    play = Play(rows)
    broken, excused = [], []
    for run in play.starts:
        check_unasked(play, run, broken)
        check_cancelled(play, run, broken, excused)
        check_order(play, run, broken)
        check_gang(play, run, broken, excused)
    check_twice(play, broken)
    check_jobs(play, broken)
    return broken, excused


def describe(play, form, run, **fields):
    keep = ("t", "task", "run", "w", "token", "received", "end", "how")
    row = {"form": form} | {k: run[k] for k in keep if run.get(k) is not None}
    row["leader"] = play.starter(run)
    job = run["task"].split(".")[0]
    row |= {"cancel_sent": play.cancel_sent.get(job)}
    row |= {"cancel_acked": play.cancel_acked.get(job), "codes": play.codes.get(job)}
    return row | fields


def check_unasked(play, run, broken):
    job_id, _, rest = run["task"].partition(".")
    job = play.asked.get(job_id)
    if job is None or job["t"] > run["t"]:
        broken.append(describe(play, "UNASKED unknown job", run))
        return
    occurrence, step, index = map(int, rest.split("."))
    steps = json.loads(job["spec"])["steps"]
    if occurrence or step >= len(steps) or index >= steps[step]["count"]:
        broken.append(describe(play, "UNASKED unknown task", run))
        return
    if run["spec"] != job["spec"]:
        broken.append(describe(play, "UNASKED other spec", run, spec=run["spec"]))
    if run["ckpt"]:
        owner, number, _ = run["ckpt"].split("~")
        is_gang = steps[step].get("gang")
        if is_gang:
            owner = owner.rpartition(".")[0] + f".{index}"
        if owner != run["task"] or int(number) >= run["run"]:
            broken.append(
                describe(play, "UNASKED other checkpoint", run, ckpt=run["ckpt"])
            )
    if steps[step].get("gang"):
        key = (job_id, step, run["run"])
        known = play.__dict__.setdefault("gang_ckpts", {}).setdefault(key, run["ckpt"])
        if known != run["ckpt"]:
            broken.append(describe(play, "GANG checkpoints differ", run, other=known))


def check_cancelled(play, run, broken, excused):
    job_id = run["task"].split(".")[0]
    at, _ = play.cancelled_at(job_id) or (None, 0)
    if at is None:
        return
    ordered = run["received"] or run["t"]
    until = min(run["end"], play.last_t)
    if ordered > at + CANCEL_S:
        starter = play.starter(run)
        why = play.disturbed(ordered - CONTACT_S, ordered, starter)
        row = describe(play, "UNASKED start after cancel", run, after=ordered - at)
        (excused if why else broken).append(row | {"why": why})
    late = run["t"] + CONTACT_S if run["received"] else 0.0
    # Every calm stretch of the bound has to end the run; it begins at the latest of
    # the acknowledgement and the ends of disturbances.
    points = [max(at + CANCEL_S, late)]
    points += [f["t"] + CONTACT_S + CANCEL_S for f in play.faults if not f["benign"]]
    first = None
    for point in sorted(points):
        point = max(point, at + CANCEL_S, late) + STOP_S
        if not run["t"] + STOP_S < point < until - SCHEDULING_MARGIN_S:
            continue
        why = play.disturbed(point - CONTACT_S, point)
        row = describe(play, "UNASKED runs on", run, over=until - point, why=why)
        if not why:
            broken.append(row)
            return
        first = first or row
    excused.extend([first] if first else [])


def check_order(play, run, broken):
    job_id, _, rest = run["task"].partition(".")
    job = play.asked.get(job_id)
    step = int(rest.split(".")[1])
    steps = json.loads(job["spec"])["steps"] if job else []
    if step >= len(steps):
        return
    for before in steps[step].get("after", ()):
        names = [f"{job_id}.0.{before}.{i}" for i in range(steps[before]["count"])]
        first = [min(play.done[n], default=float("inf")) for n in names]
        first = [min(first)] if steps[before].get("gang") else first
        if any(t > run["t"] for t in first):
            broken.append(describe(play, "ORDER", run))


def check_gang(play, run, broken, excused):
    if run["how"] != "alone":
        return
    job_id = run["task"].split(".")[0]
    if play.cancel_sent.get(job_id, float("inf")) < run["end"]:
        return
    # An end "alone" follows from the loss of an order 4 s before.
    why = play.disturbed(run["t"] - CONTACT_S - 1, run["end"])
    row = describe(play, "GANG alone", run, why=why)
    (excused if why else broken).append(row)


def check_twice(play, broken):
    by_task = defaultdict(list)
    for run in play.starts:
        by_task[run["task"]].append(run)
    for task, runs in by_task.items():
        until = None
        for run in sorted(runs, key=lambda r: r["t"]):
            if until is not None and run["t"] < until["end"]:
                broken.append(describe(play, "TWICE", run, other=until["run"]))
            until = max((r for r in (until, run) if r), key=lambda r: r["end"])
            seen = sorted(play.done_seen[task])
            if bisect_right(seen, run["t"] - 1.0):
                broken.append(describe(play, "TWICE after done", run, seen=seen[0]))


def check_jobs(play, broken):
    started = {run["task"].split(".")[0] for run in play.starts}
    for job_id, job in play.asked.items():
        codes = [code for code, *_ in play.codes[job_id]]
        accepted = [t for code, t, _ in play.codes[job_id] if code == 200]
        if job_id in started and codes and set(codes) <= {429, 503, 404, 400}:
            broken.append({"form": "REFUSED", "job": job_id, "codes": codes})
        if not (accepted and job.get("stays", True)) or job_id in play.cancel_sent:
            continue
        states = play.shown[job_id]
        gone = [s for s in states if s["status"] == 410]
        if gone and gone[-1]["t"] > accepted[0] + VISIBLE_S:
            broken.append({"form": "LOST 410", "job": job_id, "t": gone[-1]["t"]})
        final = states[-1]["state"] if states else ""
        if final != "completed" and not (final == "failed" and may_fail(job)):
            row = {"form": "LOST", "job": job_id, "path": job["path"]}
            broken.append(row | {"shown": final, "accepted": accepted[0]})


def may_fail(job):
    steps = json.loads(job["spec"])["steps"]
    return any(step.get("bad") or step.get("errors") for step in steps)


def counts(rows):
    """Return the number of cases by form."""
    return dict(Counter(row["form"] for row in rows))


def load(folder):
    lines = (folder / "record.jsonl").read_text().splitlines()
    lines += (folder / "workers.jsonl").read_text().splitlines()
    rows = [json.loads(line) for line in lines]
    for log in sorted(folder.glob("e*.log")):
        for line in log.read_text(errors="replace").splitlines():
            if '"leader elected"' in line:
                row = json.loads(line)
                rows.append({"t": 0, "ev": "leader"} | row | {"name": row["leader"]})
    return rows


if __name__ == "__main__":
    for found in check(load(Path(sys.argv[1])))[0]:
        print(json.dumps(found))
