"""Forwarding of requests to other entry processes.

Covers partial outages in which the platform's store rejects some machines and serves
the others: requests that arrive at a rejected machine are forwarded to another one.
"""

import random
from collections.abc import Callable
from typing import Any

from ..errors import FlamingowayError, OutcomeUnknown, Refused
from ..peer import PeerClient, Request
from ..status import Code
from .decisions import DecisionLog
from .records import ProcessRecord

# If this many processes cannot reach the store, most machines are cut off, and the
# caller should retry later.
RELAY_ATTEMPTS = 3
# A process that reaches the store needs only a few round trips to it to answer.
RELAY_TIMEOUT_S = 0.5


class Relay:
    """Forwards requests to other processes.

    Args:
        name: Name of this process.
        peers: Calls other processes.
        processes: Returns the live processes by name.
        rng: Shuffles the processes, to spread the load.
        log: Decision log.
    """

    def __init__(
        self,
        name: str,
        peers: PeerClient,
        processes: Callable[[], dict[str, ProcessRecord]],
        rng: random.Random,
        log: DecisionLog,
    ):
        self._name = name
        self._peers = peers
        self._processes = processes
        self._rng = rng
        self._log = log

    async def call_process(self, name: str, request: Request) -> Any:
        """Return the reply of the process ``name``.

        Raises:
            Refused: It did not carry out the request.
            OutcomeUnknown: It may have carried out the request.
        """
        process = self._processes().get(name)
        if process is None:
            raise Refused(f"process {name} is not registered", Code.OWNER_UNAVAILABLE)
        return await self._peers.call(
            process.peer_address, request, RELAY_TIMEOUT_S, type(request).reply
        )

    async def call_any(
        self,
        request: Request,
        most_power_first: bool = False,
        is_answer: Callable[[FlamingowayError], bool] = lambda error: True,
    ) -> Any:
        """Return the reply of the first process that carries out the request.

        Gives up after ``RELAY_ATTEMPTS`` processes or two unknown outcomes.

        Args:
            request: The request.
            most_power_first: Whether to try processes with more processor time first.
            is_answer: Whether an error that is neither a refusal nor an unknown outcome
                answers the request; if not, it counts as a refusal.

        Raises:
            Refused: No process carried out the request.
            OutcomeUnknown: A process may have carried out the request.
            FlamingowayError: As raised by the process that answered.
        """
        processes = sorted(self._processes().items())
        others = [process for name, process in processes if name != self._name]
        self._rng.shuffle(others)
        if most_power_first:
            others.sort(key=lambda process: -process.power)
        unanswered = False
        for process in others[:RELAY_ATTEMPTS]:
            try:
                reply = await self._peers.call(
                    process.peer_address, request, RELAY_TIMEOUT_S, type(request).reply
                )
            except Refused as exc:
                self._log_outcome(request, process, exc)
                continue
            except OutcomeUnknown as exc:
                self._log_outcome(request, process, exc)
                if unanswered:
                    break
                unanswered = True
                continue
            except FlamingowayError as exc:
                self._log_outcome(request, process, exc)
                if is_answer(exc):
                    raise
                continue
            self._log_outcome(request, process, None)
            return reply
        if unanswered:
            raise OutcomeUnknown("no other process answered", Code.WRITE_UNRESOLVED)
        raise Refused("no other process reaches the store", Code.STORE_UNAVAILABLE)

    def _log_outcome(
        self, request: Request, process: ProcessRecord, error: FlamingowayError | None
    ) -> None:
        self._log.write(
            "relayed",
            request=type(request).__name__,
            job=getattr(request, "job_id", ""),
            by=process.name,
            outcome="done" if error is None else error.message,
        )
