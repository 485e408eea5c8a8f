"""Sends orders to workers, with bounds on the calls in flight.

One job may have thousands of tasks that start or are cancelled together. Each call uses
a descriptor of this process and one of the few connections that a worker accepts.
"""

from collections import deque
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field

from .runs import (
    MAX_CALLS_IN_FLIGHT,
    MAX_CALLS_PER_WORKER,
    StartRun,
    StopRun,
    WorkerState,
)


@dataclass(slots=True)
class _Backlog:
    """Orders to one worker.

    Attributes:
        unfinished_stops: Task ids and run numbers of the stops that wait or are in
            flight.
    """

    stops: deque[StopRun] = field(default_factory=deque)
    starts: deque[StartRun] = field(default_factory=deque)
    unfinished_stops: set[tuple[str, int]] = field(default_factory=set)
    in_flight: int = 0

    @property
    def sendable(self) -> bool:
        """Whether an order waits that the limit for one worker allows."""
        return bool(self.stops or self.starts) and (
            self.in_flight < MAX_CALLS_PER_WORKER
        )

    def take(self) -> StartRun | StopRun:
        """Remove and return the next order; stops go before starts."""
        return (self.stops or self.starts).popleft()


class OrderSender:
    """Sends orders, to each worker in turn, as calls become free.

    Args:
        send: Sends one order and processes its reply; decides again whether the order
            may still be sent, as it may have waited.
        spawn: Runs a coroutine as a task.
    """

    def __init__(
        self,
        send: Callable[[StartRun | StopRun], Awaitable[None]],
        spawn: Callable[[Coroutine], None],
    ):
        self._send = send
        self._spawn = spawn
        self._backlogs: dict[str, _Backlog] = {}
        # Workers with sendable orders, the one that waits longest first.
        self._sendable: dict[str, _Backlog] = {}
        self._in_flight = 0
        self._closed = False

    @property
    def in_flight(self) -> int:
        """Number of calls in flight."""
        return self._in_flight

    def start(self, order: StartRun) -> None:
        """Send an order to start a run once a call is free."""
        self._backlog(order.run.worker).starts.append(order)
        self._dispatch(order.run.worker.entry.worker_id)

    def stop(self, order: StopRun) -> None:
        """Send an order to stop a run, unless the same order is not finished yet."""
        backlog = self._backlog(order.worker)
        key = order.task_id, order.number
        if key not in backlog.unfinished_stops:
            backlog.unfinished_stops.add(key)
            backlog.stops.append(order)
            self._dispatch(order.worker.entry.worker_id)

    def close(self) -> None:
        """Drop the orders that have not been sent."""
        self._closed = True
        self._backlogs.clear()
        self._sendable.clear()

    def _backlog(self, worker: WorkerState) -> _Backlog:
        return self._backlogs.setdefault(worker.entry.worker_id, _Backlog())

    def _dispatch(self, worker_id: str) -> None:
        """Send orders after those of one worker, or its calls, have changed."""
        if self._closed:
            return
        self._note_sendable(worker_id)
        while self._sendable and self._in_flight < MAX_CALLS_IN_FLIGHT:
            worker_id = next(iter(self._sendable))
            backlog = self._sendable.pop(worker_id)
            backlog.in_flight += 1
            self._in_flight += 1
            self._spawn(self._call(worker_id, backlog, backlog.take()))
            self._note_sendable(worker_id)

    def _note_sendable(self, worker_id: str) -> None:
        backlog = self._backlogs[worker_id]
        if backlog.sendable:
            self._sendable.setdefault(worker_id, backlog)

    async def _call(
        self, worker_id: str, backlog: _Backlog, order: StartRun | StopRun
    ) -> None:
        try:
            await self._send(order)
        finally:
            backlog.in_flight -= 1
            self._in_flight -= 1
            if isinstance(order, StopRun):
                backlog.unfinished_stops.discard((order.task_id, order.number))
            self._dispatch(worker_id)
            if not (backlog.in_flight or backlog.stops or backlog.starts):
                self._backlogs.pop(worker_id, None)
