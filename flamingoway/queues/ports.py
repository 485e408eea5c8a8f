"""Interfaces of the queues to workers and the advice service."""

from typing import Protocol

from .model import Advice, RunOrder, StartReply, WorkerEntry, WorkerReport


class NoReply(Exception):
    """No answer came in time; the call may still take effect."""


class PollRefused(Exception):
    """A worker refused a poll.

    Args:
        reply: Reason for the refusal.
    """

    def __init__(self, reply: StartReply):
        super().__init__(reply.value)
        self.reply = reply


class WorkerClient(Protocol):
    """Client for the workers."""

    async def start(self, worker: WorkerEntry, order: RunOrder) -> StartReply:
        """Order a worker to start one run and return its reply."""

    async def stop(
        self, worker: WorkerEntry, task_id: str, number: int, token: int
    ) -> bool:
        """Order a worker to stop one run; return whether it accepted the order."""

    async def poll(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int,
        lease_ms: int,
        wait_s: float,
    ) -> WorkerReport:
        """Poll a worker and renew its lease; return its running and ended runs.

        Raises:
            PollRefused: The worker refused the poll.
            NoReply: No valid answer came in time.
        """


class AdviceService(Protocol):
    """Service that decides which workers may run a step under a queue's policy."""

    async def ask(self, step_id: str, workers: list[str], timeout_s: float) -> Advice:
        """Return a ticket for each of the named workers that may run a step.

        Raises:
            NoReply: No valid answer came in time.
        """
