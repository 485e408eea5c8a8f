"""State of one simulated worker machine, without input or output.

The worker checks capacity, leases, epochs and duplicates itself, so that a delayed
or repeated command of a fenced owner has no effect.
"""

import json
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from flamingoway.model import Resources
from flamingoway.proto import worker_pb2 as pb

DEFAULT_RUN_MS = 100
MAX_SENT_REPORTS = 256
Key = tuple[str, int]


class StaleEpoch(Exception):
    """The stream was replaced, or its epoch is below the highest one seen."""


@dataclass(slots=True)
class SimulatedTask:
    """A running task.

    Attributes:
        done_ms: Run time completed up to ``since``.
        rate: Progress per millisecond; below 1 while throttled.
        lease_until: End of the lease on the worker's clock, in seconds.
    """

    shard: str
    key: Key
    resources: Resources
    resumable: bool
    run_ms: float
    fail: bool
    result: bytes
    since: float
    lease_until: float
    done_ms: float = 0.0
    rate: float = 1.0

    def progress(self, now: float) -> float:
        """Return the run time completed at ``now``, in milliseconds."""
        return self.done_ms + (now - self.since) * 1000 * self.rate

    def ends_at(self) -> float | None:
        """Return when the task ends by itself; ``None`` if it never does."""
        if self.run_ms < 0 or self.rate <= 0:
            return None
        return self.since + (self.run_ms - self.done_ms) / self.rate / 1000


@dataclass(slots=True)
class Stream:
    """The stream of one attached owner.

    Attributes:
        replaced_by: Epoch of the stream that replaced this one; 0 if none has.
        command_seq: Highest sequence number of the commands received.
        refused: Refused starts to report: the attempt and a ``RefusedStart`` reason.
        changed: Whether a report should be sent without waiting for the interval.
    """

    shard: str
    epoch: int
    replaced_by: int = 0
    command_seq: int = 0
    changed: bool = True
    refused: list[tuple[Key, int]] = field(default_factory=list)


class WorkerState:
    """Admission rules and simulated tasks of one worker.

    Args:
        worker_id: Name of the worker.
        capacity: Total resources of the worker.
        clock: Monotonic clock, in seconds.
        record: Called with a dict for each start, refusal and end of a task.
        fail_all: Whether every task fails.
    """

    def __init__(
        self,
        worker_id: str,
        capacity: Resources,
        clock: Callable[[], float],
        record: Callable[[dict[str, Any]], None] = lambda entry: None,
        fail_all: bool = False,
    ):
        self.worker_id = worker_id
        self.capacity = capacity
        self.draining = False
        self._clock = clock
        self._record = record
        self._fail_all = fail_all
        self._report_seq = 0
        self._sent_at: OrderedDict[int, float] = OrderedDict()
        self._epochs: dict[str, int] = {}
        self._streams: dict[str, Stream] = {}
        self._running: dict[str, SimulatedTask] = {}
        self._last_attempts: dict[str, int] = {}
        self._finished: dict[Key, tuple[str, pb.FinishedTask]] = {}

    @property
    def running(self) -> list[Key]:
        """Running attempts."""
        return [task.key for task in self._running.values()]

    @property
    def used(self) -> Resources:
        """Resources that running tasks hold."""
        return sum((t.resources for t in self._running.values()), Resources())

    @property
    def finished(self) -> list[Key]:
        """Finished attempts whose results the owner has not acknowledged."""
        return list(self._finished)

    def attach(self, shard: str, epoch: int) -> Stream:
        """Open the stream of an owner, replacing the previous one of its shard.

        Raises:
            StaleEpoch: If a higher epoch has been seen.
        """
        if epoch < self._epochs.get(shard, 0):
            raise StaleEpoch(f"epoch {epoch} is below {self._epochs[shard]}")
        previous = self._streams.get(shard)
        if previous is not None:
            previous.replaced_by = epoch
        self._epochs[shard] = epoch
        self._streams[shard] = Stream(shard, epoch)
        return self._streams[shard]

    def on_command(self, stream: Stream, command: pb.Command) -> None:
        """Execute a command.

        Raises:
            StaleEpoch: If another stream has replaced this one, or the epoch of the
                command is below the highest one seen.
        """
        if stream.replaced_by or command.epoch < self._epochs.get(stream.shard, 0):
            raise StaleEpoch("another stream has replaced this one")
        self.advance()
        stream.command_seq = max(stream.command_seq, command.seq)
        lease_until = self._lease_until(command)
        for start in command.starts:
            self._start(stream, start, lease_until)
        self._renew(command, lease_until)
        for ref in command.stops:
            self._end_attempt(ref, pb.FinishedTask.STOPPED)
        for ref in command.checkpoints:
            self._checkpoint(ref)
        for throttle in command.throttles:
            self._throttle(throttle)
        for ref in command.acked_results:
            self._finished.pop((ref.task_id, ref.attempt), None)

    def report(self, stream: Stream) -> pb.Report:
        """Return the next report for ``stream``; it counts as sent now."""
        self.advance()
        self._report_seq += 1
        self._sent_at[self._report_seq] = self._clock()
        while len(self._sent_at) > MAX_SENT_REPORTS:
            self._sent_at.popitem(last=False)
        running = [t for t in self._running.values() if t.shard == stream.shard]
        report = pb.Report(
            seq=self._report_seq,
            epoch=self._epochs[stream.shard],
            worker_id=self.worker_id,
            capacity=_resources_to_pb(self.capacity),
            running=[_task_ref(task.key) for task in running],
            finished=[f for s, f in self._finished.values() if s == stream.shard],
            refused=[
                pb.RefusedStart(task=_task_ref(key), reason=reason)
                for key, reason in stream.refused
            ],
            usage=[
                pb.TaskUsage(task=_task_ref(t.key), used=_resources_to_pb(t.resources))
                for t in running
            ],
            command_seq=stream.command_seq,
        )
        stream.refused.clear()
        stream.changed = False
        return report

    def advance(self) -> None:
        """End the tasks whose run time has completed or whose lease has expired."""
        now = self._clock()
        for task in list(self._running.values()):
            ends_at = task.ends_at()
            if ends_at is not None and ends_at <= min(now, task.lease_until):
                outcome = "FAILED" if task.fail else "SUCCEEDED"
                self._finish(task, pb.FinishedTask.Outcome.Value(outcome))
            elif task.lease_until <= now:
                lapsed = pb.FinishedTask.LEASE_LAPSED
                ended = pb.FinishedTask.CHECKPOINTED if task.resumable else lapsed
                self._finish(task, ended)

    def next_event(self) -> float | None:
        """Return when the next task or lease ends, on the worker's clock."""
        times = []
        for task in self._running.values():
            times.append(task.lease_until)
            ends_at = task.ends_at()
            if ends_at is not None:
                times.append(ends_at)
        return min(times, default=None)

    def _lease_until(self, command: pb.Command) -> float:
        sent_at = self._sent_at.get(command.ack_seq)
        if sent_at is None:
            return float("-inf")
        return sent_at + command.lease_ms / 1000

    def _start(self, stream: Stream, start: pb.StartTask, lease_until: float) -> None:
        key = (start.task_id, start.attempt)
        reason = self._refusal_reason(start, lease_until)
        if reason is not None:
            stream.refused.append((key, reason))
            stream.changed = True
            self._record({"event": "refused", "task_id": key[0], "attempt": key[1]})
            return
        params = _params(start.params)
        task = SimulatedTask(
            shard=stream.shard,
            key=key,
            resources=_resources_from_pb(start.resources),
            resumable=start.resumable,
            run_ms=float(params.get("run_ms", DEFAULT_RUN_MS)),
            fail=self._fail_all or bool(params.get("fail", False)),
            result=json.dumps(params.get("result", {})).encode(),
            since=self._clock(),
            lease_until=lease_until,
            done_ms=float(_params(start.checkpoint).get("done_ms", 0.0)),
        )
        self._running[key[0]] = task
        self._last_attempts[key[0]] = key[1]
        stream.changed = True
        self._record({"event": "start", "task_id": key[0], "attempt": key[1]})

    def _refusal_reason(self, start: pb.StartTask, lease_until: float) -> int | None:
        if lease_until <= self._clock():
            return pb.RefusedStart.EXPIRED
        if start.task_id in self._running:
            return pb.RefusedStart.DUPLICATE
        if start.attempt <= self._last_attempts.get(start.task_id, 0):
            return pb.RefusedStart.DUPLICATE
        if self.draining:
            return pb.RefusedStart.DRAINING
        if not (self.used + _resources_from_pb(start.resources)).fits_in(self.capacity):
            return pb.RefusedStart.CAPACITY
        return None

    def _renew(self, command: pb.Command, lease_until: float) -> None:
        for ref in command.renewals:
            task = self._find(ref)
            if task is not None:
                task.lease_until = max(task.lease_until, lease_until)

    def _find(self, ref: pb.TaskRef) -> SimulatedTask | None:
        task = self._running.get(ref.task_id)
        if task is None or task.key[1] != ref.attempt:
            return None
        return task

    def _end_attempt(self, ref: pb.TaskRef, outcome: int) -> None:
        task = self._find(ref)
        if task is not None:
            self._finish(task, outcome)

    def _checkpoint(self, ref: pb.TaskRef) -> None:
        task = self._find(ref)
        if task is None:
            return
        checkpointed = pb.FinishedTask.CHECKPOINTED
        self._finish(task, checkpointed if task.resumable else pb.FinishedTask.STOPPED)

    def _throttle(self, throttle: pb.Throttle) -> None:
        task = self._find(throttle.task)
        if task is None or not task.resources.cores_milli:
            return
        now = self._clock()
        task.done_ms = task.progress(now)
        task.since = now
        task.rate = min(1.0, throttle.cores_milli / task.resources.cores_milli)

    def _finish(self, task: SimulatedTask, outcome: int) -> None:
        del self._running[task.key[0]]
        result = b""
        if outcome == pb.FinishedTask.SUCCEEDED:
            result = task.result
        if outcome == pb.FinishedTask.CHECKPOINTED:
            result = json.dumps({"done_ms": task.progress(self._clock())}).encode()
        failed = outcome == pb.FinishedTask.FAILED
        self._finished[task.key] = (
            task.shard,
            pb.FinishedTask(
                task=_task_ref(task.key),
                outcome=outcome,
                result=result,
                error="simulated failure" if failed else "",
            ),
        )
        name = pb.FinishedTask.Outcome.Name(outcome).lower()
        self._record(
            {
                "event": "end",
                "task_id": task.key[0],
                "attempt": task.key[1],
                "outcome": name,
            }
        )
        if task.shard in self._streams:
            self._streams[task.shard].changed = True


def _params(data: bytes) -> dict[str, Any]:
    try:
        params = json.loads(data or b"{}")
    except ValueError:
        return {}
    return params if isinstance(params, dict) else {}


def _task_ref(key: Key) -> pb.TaskRef:
    return pb.TaskRef(task_id=key[0], attempt=key[1])


def _resources_to_pb(amount: Resources) -> pb.Resources:
    return pb.Resources(
        cores_milli=amount.cores_milli,
        memory_mb=amount.memory_mb,
        accelerators=amount.accelerators,
    )


def _resources_from_pb(message: pb.Resources) -> Resources:
    return Resources(message.cores_milli, message.memory_mb, message.accelerators)
