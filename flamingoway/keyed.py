"""Checks with an idempotency key: run once by the owner of the key.

The process that receives the check forwards it to the key's owner. An owner that
took over recently asks the previous owner, which returns the outcome or fences the
key, so that it never runs there. Without that reply, a key whose time stamp is
earlier than the takeover plus a margin gets the result "outcome unknown".

While the store cannot be reached, a process cannot know whether the others still
consider it live. It then also asks the process that would own the key without it. The
same holds for keys that were issued before it registered a new session.
"""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable

from .context import Context
from .core.idempotency import (
    OWNERSHIP_MARGIN_S,
    Key,
    KeyEntry,
    KeyTable,
    OwnerHistory,
    check_skew,
    parse_key,
)
from .core.idempotency import owner_of as rendezvous_owner
from .errors import BadRequest, FlamingowayError, OutcomeUnknown, Refused
from .messages import CheckReply, FenceKey, KeyedCheck, KeyState
from .peer import PeerClient, PeerServer
from .session import NEVER
from .status import Code

# Time reserved for the reply of a forwarded check to return.
FORWARD_MARGIN_S = 0.02
FENCE_TIMEOUT_S = 0.5
RETRY_AFTER_S = 0.5

RunCheck = Callable[[KeyedCheck, float], Awaitable[CheckReply]]


class KeyedChecks:
    """Runs the checks whose keys this process owns and forwards all others.

    Args:
        context: Settings and clocks of the process.
        membership: Holds the live processes.
        peers: Calls other processes.
        run_check: Runs a check ignoring its key; does not raise.
    """

    def __init__(
        self, context: Context, membership, peers: PeerClient, run_check: RunCheck
    ):
        self._context = context
        self._membership = membership
        self._peers = peers
        self._run_check = run_check
        self._process_id = context.settings.process_id
        self._table = KeyTable()
        self._histories: dict[str, OwnerHistory] = {}
        self._session_started_at = membership.session_started_at
        # Wall-clock time at which a new session was first seen.
        self._rejoined_at = float("-inf")
        self._tasks: set[asyncio.Task] = set()
        self.observe()

    def register(self, server: PeerServer) -> None:
        """Register handlers for the calls of other processes."""
        server.handle(KeyedCheck, self.serve)
        server.handle(FenceKey, self.fence)

    def observe(self) -> None:
        """Record the session and the current live processes of each environment."""
        wall = self._context.wall_clock()
        self._note_session(wall)
        for environment in self._context.settings.environments:
            history = self._histories.setdefault(
                environment.name, OwnerHistory(self._process_id)
            )
            history.observe(self.processes(environment.name), wall)

    def _note_session(self, wall: float) -> None:
        started_at = self._membership.session_started_at
        if started_at == self._session_started_at:
            return
        if self._session_started_at != NEVER:
            self._rejoined_at = wall
        self._session_started_at = started_at

    def processes(self, environment: str) -> set[str]:
        """Return the live processes of an environment's regions.

        A process that has not joined yet sees an empty set or one without itself.
        It must not consider itself an owner of keys from that time on.
        """
        settings = self._context.settings
        shards = settings.environment(environment).shards
        regions = {settings.shard(name).region for name in shards}
        return {
            name
            for name, info in self._membership.processes.items()
            if info.region in regions
        }

    async def run(self, request: KeyedCheck, deadline: float) -> CheckReply:
        """Run a check at the owner of its key.

        Raises:
            FlamingowayError: If the check was refused or its outcome is unknown.
        """
        key = parse_key(request.key)
        self.observe()
        owner = rendezvous_owner(
            key.text, self._histories[request.environment].processes
        )
        if owner == self._process_id:
            return await self._run_owned(request, key, deadline)
        info = self._membership.processes.get(owner or "")
        if info is None:
            raise Refused("no live owner of the key is known", Code.OWNER_UNAVAILABLE)
        return await self._forward(request, info.peer_address, deadline)

    async def serve(self, request: KeyedCheck) -> CheckReply:
        """Run a check that another process forwarded.

        Raises:
            Refused: ``OWNER_CHANGED`` if this process does not own the key.
        """
        key = parse_key(request.key)
        deadline = self._context.clock() + request.deadline_ms / 1000
        if self._context.settings.environment(request.environment) is None:
            raise Refused("no such environment", Code.NOT_FOUND)
        self.observe()
        processes = self._histories[request.environment].processes
        if rendezvous_owner(key.text, processes) != self._process_id:
            raise Refused(
                "another process owns the key",
                Code.OWNER_CHANGED,
                retry_after=RETRY_AFTER_S,
            )
        return await self._run_owned(request, key, deadline)

    async def fence(self, request: FenceKey) -> KeyState:
        """Return the outcome of a key to its new owner, or fence the key here.

        A fenced key is never run by this process.

        Raises:
            BadRequest: ``KEY_REUSED`` if the key was used with another body.
            OutcomeUnknown: If the outcome was dropped or the check still runs.
        """
        key = parse_key(request.key)
        self.observe()
        wall = self._context.wall_clock()
        history = self._histories.get(request.environment)
        owned_since = others_until = None
        if history is not None:
            owned_since = history.owned_since(key.text, request.new_owner)
            others_until = history.others_until(key.text, request.new_owner, wall)
        scope = (request.environment, request.member, key.text)
        entry = self._table.fence(scope, key.stamp, wall, request.incarnation)
        if entry.digest and entry.digest != request.digest:
            raise BadRequest("the key was used with another body", Code.KEY_REUSED)
        if entry.fenced_for == request.incarnation:
            return KeyState(owned_since or 0.0, None, others_until or 0.0)
        reply = await self._outcome(entry, request.timeout_ms / 1000)
        return KeyState(0.0, reply)

    async def _forward(
        self, request: KeyedCheck, address: str, deadline: float
    ) -> CheckReply:
        remaining_s = deadline - self._context.clock()
        remote_ms = int((remaining_s - FORWARD_MARGIN_S) * 1000)
        if remote_ms <= 0:
            raise Refused(
                "the deadline passed before the check was forwarded",
                Code.DEADLINE_PASSED,
            )
        forwarded = KeyedCheck(
            request.environment,
            request.member,
            request.kind,
            request.key,
            request.body,
            remote_ms,
            request.traceparent,
        )
        return await self._peers.call(address, forwarded, remaining_s, CheckReply)

    async def _run_owned(
        self, request: KeyedCheck, key: Key, deadline: float
    ) -> CheckReply:
        wall = self._context.wall_clock()
        check_skew(key, wall)
        scope = (request.environment, request.member, key.text)
        digest = _digest(request.kind, request.body)
        entry, is_new = self._table.begin(scope, digest, key.stamp, wall)
        if is_new:
            entry.context = asyncio.get_running_loop().create_future()
            task = asyncio.create_task(self._resolve(entry, request, key, deadline))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return await self._outcome(entry, deadline - self._context.clock())

    async def _outcome(self, entry: KeyEntry, timeout_s: float) -> CheckReply:
        """Return the outcome of a key; wait for it if the check still runs.

        Raises:
            OutcomeUnknown: ``KEY_AMBIGUOUS`` if the outcome was dropped,
                ``ANSWER_LATE`` if the check still runs after ``timeout_s``.
        """
        if entry.dropped:
            raise OutcomeUnknown(
                "the outcome of the key is no longer stored", Code.KEY_AMBIGUOUS
            )
        if entry.finished:
            return entry.outcome
        pending = entry.context
        done, _ = await asyncio.wait([pending], timeout=max(0.0, timeout_s))
        if not done:
            raise OutcomeUnknown("the check is still running", Code.ANSWER_LATE)
        return pending.result()

    async def _resolve(
        self, entry: KeyEntry, request: KeyedCheck, key: Key, deadline: float
    ) -> None:
        """Set the outcome of a new key: an earlier one, or run the check."""
        try:
            reply = await self._outcome_elsewhere(request, key, entry.digest)
            if reply is None:
                reply = await self._run_check(request, deadline)
        except FlamingowayError as exc:
            reply = CheckReply(int(exc.code), message=exc.message)
        except Exception:
            reply = CheckReply(int(Code.INTERNAL), message="internal error")
        code = Code(reply.code)
        if code.ran == "no" or code is Code.KEY_AMBIGUOUS:
            self._table.forget(entry)
        else:
            self._table.finish(entry, reply, len(reply.body))
        # Later duplicates find the outcome in the table, which can drop it when it
        # exceeds its memory limit; the future would keep it.
        outcome, entry.context = entry.context, None
        outcome.set_result(reply)

    async def _outcome_elsewhere(
        self, request: KeyedCheck, key: Key, digest: bytes
    ) -> CheckReply | None:
        """Return the outcome from another owner, or ``None`` if it has not run there.

        Raises:
            OutcomeUnknown: ``KEY_AMBIGUOUS`` if another owner may have run it.
        """
        history = self._histories[request.environment]
        owned_since = history.owned_since(key.text)
        if owned_since is None or key.stamp < owned_since + OWNERSHIP_MARGIN_S:
            reply = await self._query_and_fence(
                history.previous_owner(key.text), request, key
            )
            if reply is not None:
                return reply
        if not self._may_be_replaced(key):
            return None
        self.observe()
        next_owner = history.next_owner(key.text)
        if next_owner is None:
            self._check_others_left(history, key)
            return None
        return await self._query_and_fence(next_owner, request, key, False)

    def _check_others_left(self, history: OwnerHistory, key: Key) -> None:
        """Check that no process that has left can have run a key.

        Raises:
            OutcomeUnknown: ``KEY_AMBIGUOUS`` if one can.
        """
        until = history.others_live_until(self._context.wall_clock())
        if until is not None and key.stamp < until + OWNERSHIP_MARGIN_S:
            raise OutcomeUnknown(
                "a process that has left may have run the key", Code.KEY_AMBIGUOUS
            )

    def _may_be_replaced(self, key: Key) -> bool:
        """Tell whether another process may own the key, or may have owned it.

        The view of this process need not show it: the others drop a process without a
        session, while that process may see itself without interruption.
        """
        if not self._membership.store_up:
            return True
        return key.stamp < self._rejoined_at + OWNERSHIP_MARGIN_S

    async def _query_and_fence(
        self,
        process: str | None,
        request: KeyedCheck,
        key: Key,
        is_previous: bool = True,
    ) -> CheckReply | None:
        """Ask a process for the outcome of a key and fence the key there.

        Args:
            process: Id of the process; ``None`` if none is known.
            request: The check.
            key: The key of the check.
            is_previous: Whether the process owned the key before this one. The
                check must not run unless that owner shows that it has not run it.

        Returns:
            The outcome; ``None`` if the check has not run there.

        Raises:
            BadRequest: ``KEY_REUSED`` if the key was used with another body.
            OutcomeUnknown: ``KEY_AMBIGUOUS`` if the process may have run the check.
        """
        info = self._membership.processes.get(process or "")
        if info is None:
            raise OutcomeUnknown(
                "another owner of the key is not live", Code.KEY_AMBIGUOUS
            )
        fence_request = FenceKey(
            request.environment,
            request.member,
            key.text,
            _digest(request.kind, request.body),
            self._process_id,
            self._context.incarnation,
            int(FENCE_TIMEOUT_S * 1000),
        )
        try:
            state = await self._peers.call(
                info.peer_address, fence_request, FENCE_TIMEOUT_S, KeyState
            )
        except FlamingowayError as exc:
            if exc.code == Code.KEY_REUSED:
                raise
            raise OutcomeUnknown(
                "could not get the outcome of the key from another owner",
                Code.KEY_AMBIGUOUS,
            ) from None
        covered = (
            state.covered_since
            and state.covered_since + OWNERSHIP_MARGIN_S <= key.stamp
        )
        if is_previous and state.reply is None and not covered:
            raise OutcomeUnknown(
                "the key may have been issued before its previous owner took over",
                Code.KEY_AMBIGUOUS,
            )
        if state.reply is None and key.stamp < state.others_until + OWNERSHIP_MARGIN_S:
            raise OutcomeUnknown(
                "a third process may have run the key", Code.KEY_AMBIGUOUS
            )
        return state.reply


def _digest(kind: str, body: bytes) -> bytes:
    return hashlib.sha256(kind.encode() + b"\0" + body).digest()
