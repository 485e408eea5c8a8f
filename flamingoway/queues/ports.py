"""Ports of the queues to workers and the advice service."""

from typing import Protocol

from .model import Advice, RunOrder, StartReply, WorkerEntry, WorkerReport


class WorkerSilent(Exception):
    """No answer came in time; the call may still take effect."""


class OrderRefused(Exception):
    """A worker refused a look.

    Args:
        reply: Why.
    """

    def __init__(self, reply: StartReply):
        super().__init__(reply.value)
        self.reply = reply


class Workers(Protocol):
    """Orders to workers."""

    async def start(self, worker: WorkerEntry, order: RunOrder) -> StartReply:
        """Order a worker to start one run."""

    async def stop(
        self, worker: WorkerEntry, task_id: str, number: int, token: int
    ) -> bool:
        """Order a worker to stop one run; return whether it took the order."""

    async def look(
        self,
        worker: WorkerEntry,
        token: int,
        acknowledged: int,
        lease_ms: int,
        wait_s: float,
    ) -> WorkerReport:
        """Renew a worker's lease and return what it runs and what has ended."""


class AdviceService(Protocol):
    """Knows which workers a queue's policy allows to run a step."""

    async def ask(self, step_id: str, workers: list[str], timeout_s: float) -> Advice:
        """Return a ticket for each of the workers that may run a step."""
