"""Checks of rules, from what the stand-ins have seen."""

import time


class Runs:
    """Notes the starts and ends of runs, and which ends were taken note of."""

    def __init__(self, record):
        self._record = record
        self.starts = []
        self.ends = []
        self._noted = set()
        self._lapsed = []

    def observe(self, event, worker, task, run, fields):
        now = time.monotonic()
        if event == "start":
            self.starts.append((now, task, run, worker.worker_id))
            self._record.write("start", task=task, run=run, worker=worker.worker_id)
        elif event == "noted":
            self._noted.add((task, run, worker.worker_id))
        else:
            self.ends.append((now, task, run, worker.worker_id, event))
            if event == "lapsed":
                self._lapsed.append((now, worker.worker_id))
            self._record.write(
                "end", task=task, run=run, worker=worker.worker_id, how=event
            )

    def twice(self):
        """Return violations of TWICE: parallel runs, and starts after a noted end."""
        ended_at = {(t, r, w): at for at, t, r, w, _ in self.ends}
        lapsed_workers = {w for _, w in self._lapsed}
        done = {}
        for at, task, run, worker, how in self.ends:
            noted = (task, run, worker) in self._noted and worker not in lapsed_workers
            if how == "done" and noted:
                done[task] = min(at, done.get(task, at))
        broken = []
        latest = {}
        for at, task, run, worker in sorted(self.starts):
            if task in done and at > done[task]:
                broken.append(
                    f"TWICE {task}: run {run} started on {worker} "
                    f"{at - done[task]:.3f} s after a run had ended done"
                )
            known = latest.get(task)
            if known is not None and ended_at.get(known, float("inf")) > at:
                broken.append(f"TWICE {task}: run {run} beside run {known[1]}")
            latest[task] = (task, run, worker)
        return broken


def idle_spans(runs, job, began, until):
    """Return for how long, each time, nothing of a job was running.

    Args:
        runs: What the runners did.
        job: Id of the job.
        began: Time from which a task of it could run.
        until: End of the job, or of the observation.
    """
    events = [(at, 1) for at, task, *_ in runs.starts if task.startswith(job)]
    events += [(at, -1) for at, task, *_ in runs.ends if task.startswith(job)]
    spans, running, idle_since = [], 0, began
    for at, change in [*sorted(events), (until, 0)]:
        if running == 0:
            spans.append(at - idle_since)
        running += change
        if running == 0:
            idle_since = at
    return spans
