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
from .records import MemberRecord

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
        members: Returns the live processes by name.
        rng: Shuffles the processes, to spread the load.
        log: Decision log.
    """

    def __init__(
        self,
        name: str,
        peers: PeerClient,
        members: Callable[[], dict[str, MemberRecord]],
        rng: random.Random,
        log: DecisionLog,
    ):
        self._name = name
        self._peers = peers
        self._members = members
        self._rng = rng
        self._log = log

    async def ask(self, name: str, request: Request) -> Any:
        """Return the reply of the process ``name``.

        Raises:
            Refused: It did not carry out the request.
            OutcomeUnknown: It may have carried out the request.
        """
        member = self._members().get(name)
        if member is None:
            raise Refused(f"process {name} is not registered", Code.OWNER_UNAVAILABLE)
        return await self._peers.call(
            member.peer_address, request, RELAY_TIMEOUT_S, type(request).reply
        )

    async def call(self, request: Request, strongest: bool = False) -> Any:
        """Return the reply of the first process that carries out the request.

        Gives up after ``RELAY_ATTEMPTS`` processes or two unknown outcomes.

        Args:
            request: The request.
            strongest: Whether processes with more processor time are tried first.

        Raises:
            Refused: No process carried out the request.
            OutcomeUnknown: A process may have carried out the request.
            FlamingowayError: As raised by the process that answered.
        """
        members = sorted(self._members().items())
        others = [member for name, member in members if name != self._name]
        self._rng.shuffle(others)
        if strongest:
            others.sort(key=lambda member: -member.power)
        unanswered = False
        for member in others[:RELAY_ATTEMPTS]:
            try:
                reply = await self._peers.call(
                    member.peer_address, request, RELAY_TIMEOUT_S, type(request).reply
                )
            except Refused as exc:
                self._log_outcome(request, member, exc)
                continue
            except OutcomeUnknown as exc:
                self._log_outcome(request, member, exc)
                if unanswered:
                    break
                unanswered = True
                continue
            self._log_outcome(request, member, None)
            return reply
        if unanswered:
            raise OutcomeUnknown("no other process answered", Code.WRITE_UNRESOLVED)
        raise Refused("no other process reaches the store", Code.STORE_UNAVAILABLE)

    def _log_outcome(
        self, request: Request, member: MemberRecord, error: FlamingowayError | None
    ) -> None:
        self._log.write(
            "relayed",
            request=type(request).__name__,
            job=getattr(request, "job_id", ""),
            by=member.name,
            outcome="done" if error is None else error.message,
        )
