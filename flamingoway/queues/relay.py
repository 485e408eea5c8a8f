"""Calls to other processes by one that the store turns away.

Answers the load in which the platform's store refuses some machines and serves the
others: what callers ask of a refused machine is carried out by another one.
"""

import random
from collections.abc import Callable
from typing import Any

from ..errors import FlamingowayError, OutcomeUnknown, Refused
from ..peer import PeerClient, Request
from ..status import Code
from .decisions import DecisionLog
from .records import MemberRecord

# Processes that are tried; with more, most of the machines are cut off and a caller
# does better by coming back.
RELAY_ATTEMPTS = 3
# A process that reaches the store answers within a few of the store's answers.
RELAY_TIMEOUT_S = 0.5


class Relay:
    """Has requests carried out by other processes.

    Args:
        name: Name of this process.
        peers: Calls other processes.
        members: Returns the live processes by name.
        rng: Chooses the processes.
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
        """Return the reply of one process.

        Raises:
            Refused: It did not carry the request out.
            OutcomeUnknown: It may have carried the request out.
        """
        member = self._members().get(name)
        if member is None:
            raise Refused(f"{name} is not known", Code.OWNER_UNAVAILABLE)
        return await self._peers.call(
            member.peer_address, request, RELAY_TIMEOUT_S, type(request).reply
        )

    async def call(self, request: Request, strongest: bool = False) -> Any:
        """Return the reply of the first process that carries the request out.

        Args:
            request: What is asked.
            strongest: Whether processes with more processor time are asked first.

        Raises:
            Refused: No process carried it out.
            OutcomeUnknown: A process may have carried it out.
            FlamingowayError: As raised by the process that answered.
        """
        members = sorted(self._members().items())
        others = [member for name, member in members if name != self._name]
        self._rng.shuffle(others)
        if strongest:
            others.sort(key=lambda member: -member.power)
        lost = False
        for member in others[:RELAY_ATTEMPTS]:
            try:
                reply = await self._peers.call(
                    member.peer_address, request, RELAY_TIMEOUT_S, type(request).reply
                )
            except Refused as exc:
                self._note(request, member, exc)
                continue
            except OutcomeUnknown as exc:
                self._note(request, member, exc)
                if lost:
                    break
                lost = True
                continue
            self._note(request, member, None)
            return reply
        if lost:
            raise OutcomeUnknown("no process answered", Code.WRITE_UNRESOLVED)
        raise Refused("no process reaches the store", Code.STORE_UNAVAILABLE)

    def _note(
        self, request: Request, member: MemberRecord, error: FlamingowayError | None
    ) -> None:
        self._log.write(
            "relayed",
            request=type(request).__name__,
            job=getattr(request, "job_id", ""),
            by=member.name,
            outcome="done" if error is None else error.message,
        )
