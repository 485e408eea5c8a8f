"""Checks with an idempotency key: run once by the owner of the key.

The process that receives the check forwards it to the key's owner. An owner that
has taken over recently asks the owner before it, which tells the outcome or
promises never to run the key. Without that answer, a key stamped before the
takeover plus a margin gets "outcome unknown".

While the store cannot be reached, a process cannot know whether the others still
count it as live. It then asks the process that would own the key without it.
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
from .core.idempotency import owner_of as rendezvous
from .errors import BadRequest, FlamingowayError, OutcomeUnknown, Refused
from .messages import CheckReply, FenceKey, KeyedCheck, KeyState
from .peer import PeerClient, PeerServer
from .status import Code

# Time that a forwarded check needs on its way back.
FORWARD_MARGIN_S = 0.02
FENCE_TIMEOUT_S = 0.5
RETRY_AFTER_S = 0.5

RunCheck = Callable[[KeyedCheck, float], Awaitable[CheckReply]]


class KeyedChecks:
    """Forwards checks to the owners of their keys and serves the own ones.

    Args:
        context: Settings and clocks of the process.
        membership: Gives the live processes.
        peers: Calls other processes.
        run_check: Runs a check without regard to its key; does not raise.
    """

    def __init__(
        self, context: Context, membership, peers: PeerClient, run_check: RunCheck
    ):
        self._context = context
        self._membership = membership
        self._peers = peers
        self._run_check = run_check
        self._own = context.settings.process_id
        self._table = KeyTable()
        self._histories: dict[str, OwnerHistory] = {}
        self._running: set[asyncio.Task] = set()
        self.observe()

    def register(self, server: PeerServer) -> None:
        """Serve the calls of other processes."""
        server.handle(KeyedCheck, self.serve)
        server.handle(FenceKey, self.fence)

    def observe(self) -> None:
        """Note the live processes as they are now."""
        wall = self._context.wall()
        for environment in self._context.settings.environments:
            history = self._histories.setdefault(
                environment.name, OwnerHistory(self._own)
            )
            history.observe(self.processes(environment.name), wall)

    def processes(self, environment: str) -> set[str]:
        """Return the live processes of an environment's regions.

        A process that has not joined the others sees an empty set or one without
        itself. It must not count as an owner of keys from that time on.
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
            FlamingowayError: With the code of the refusal or the unknown outcome.
        """
        key = parse_key(request.key)
        self.observe()
        owner = rendezvous(key.text, self._histories[request.environment].processes)
        if owner == self._own:
            return await self._serve_own(request, key, deadline)
        info = self._membership.processes.get(owner or "")
        if info is None:
            raise Refused("the key's owner is not known", Code.OWNER_UNAVAILABLE)
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
        if rendezvous(key.text, processes) != self._own:
            raise Refused(
                "the key belongs to another process",
                Code.OWNER_CHANGED,
                retry_after=RETRY_AFTER_S,
            )
        return await self._serve_own(request, key, deadline)

    async def fence(self, request: FenceKey) -> KeyState:
        """Tell a new owner what is known of a key, and never run it from now on."""
        key = parse_key(request.key)
        history = self._histories.get(request.environment)
        since = None
        if history is not None:
            since = history.owned_since(key.text, request.new_owner)
        scope = (request.environment, request.member, key.text)
        wall = self._context.wall()
        entry = self._table.fence(scope, key.stamp, wall, request.incarnation)
        if entry.digest and entry.digest != request.digest:
            raise BadRequest("the key was used with another body", Code.KEY_REUSED)
        if entry.fenced_for == request.incarnation:
            return KeyState(since if since is not None else 0.0)
        reply = await self._outcome(entry, request.timeout_ms / 1000)
        return KeyState(0.0, reply)

    async def _forward(
        self, request: KeyedCheck, address: str, deadline: float
    ) -> CheckReply:
        left = deadline - self._context.clock()
        remote_ms = int((left - FORWARD_MARGIN_S) * 1000)
        if remote_ms <= 0:
            raise Refused("the deadline passed", Code.DEADLINE_PASSED)
        forwarded = KeyedCheck(
            request.environment,
            request.member,
            request.kind,
            request.key,
            request.body,
            remote_ms,
            request.traceparent,
        )
        return await self._peers.call(address, forwarded, left, CheckReply)

    async def _serve_own(
        self, request: KeyedCheck, key: Key, deadline: float
    ) -> CheckReply:
        wall = self._context.wall()
        check_skew(key, wall)
        scope = (request.environment, request.member, key.text)
        digest = _digest(request.kind, request.body)
        entry, new = self._table.begin(scope, digest, key.stamp, wall)
        if new:
            entry.context = asyncio.get_running_loop().create_future()
            task = asyncio.create_task(self._resolve(entry, request, key, deadline))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        return await self._outcome(entry, deadline - self._context.clock())

    async def _outcome(self, entry: KeyEntry, timeout_s: float) -> CheckReply:
        """Wait for the outcome of a key that is running or has ended."""
        if entry.dropped:
            raise OutcomeUnknown("the outcome is not kept", Code.KEY_AMBIGUOUS)
        if entry.finished:
            return entry.outcome
        running = entry.context
        done, _ = await asyncio.wait([running], timeout=max(0.0, timeout_s))
        if not done:
            raise OutcomeUnknown("the check still runs", Code.ANSWER_LATE)
        return running.result()

    async def _resolve(
        self, entry: KeyEntry, request: KeyedCheck, key: Key, deadline: float
    ) -> None:
        """Find or produce the outcome of a new key."""
        try:
            reply = await self._former_outcome(request, key, entry.digest)
            if reply is None:
                reply = await self._run_check(request, deadline)
        except FlamingowayError as exc:
            reply = CheckReply(int(exc.code), message=exc.message)
        except Exception:
            reply = CheckReply(int(Code.INTERNAL), message="internal fault")
        code = Code(reply.code)
        if code.ran == "no" or code is Code.KEY_AMBIGUOUS:
            self._table.forget(entry)
        else:
            self._table.finish(entry, reply, len(reply.body))
        # A duplicate that comes later finds the outcome in the table, where it can
        # be dropped when memory is short.
        waiting, entry.context = entry.context, None
        waiting.set_result(reply)

    async def _former_outcome(
        self, request: KeyedCheck, key: Key, digest: bytes
    ) -> CheckReply | None:
        """Return an earlier owner's outcome, or ``None`` if there cannot be one.

        Raises:
            OutcomeUnknown: ``KEY_AMBIGUOUS`` if an earlier owner may have run it.
        """
        history = self._histories[request.environment]
        since = history.owned_since(key.text)
        if since is None or key.stamp < since + OWNERSHIP_MARGIN_S:
            reply = await self._ask(history.previous_owner(key.text), request, key)
            if reply is not None:
                return reply
        if not self._membership.store_up:
            reply = await self._ask(history.next_owner(key.text), request, key, False)
        else:
            reply = None
        return reply

    async def _ask(
        self, process: str | None, request: KeyedCheck, key: Key, former: bool = True
    ) -> CheckReply | None:
        """Ask a process for the outcome of a key and fence the key there."""
        info = self._membership.processes.get(process or "")
        if info is None and not former:
            return None
        if info is None:
            raise OutcomeUnknown("the key's owner is gone", Code.KEY_AMBIGUOUS)
        question = FenceKey(
            request.environment,
            request.member,
            key.text,
            _digest(request.kind, request.body),
            self._own,
            self._context.incarnation,
            int(FENCE_TIMEOUT_S * 1000),
        )
        try:
            state = await self._peers.call(
                info.peer_address, question, FENCE_TIMEOUT_S, KeyState
            )
        except FlamingowayError as exc:
            if exc.code == Code.KEY_REUSED:
                raise
            raise OutcomeUnknown(
                "the key's former owner does not answer", Code.KEY_AMBIGUOUS
            ) from None
        covered = (
            state.covered_since
            and state.covered_since + OWNERSHIP_MARGIN_S <= key.stamp
        )
        if former and state.reply is None and not covered:
            raise OutcomeUnknown("the key is older than its owner", Code.KEY_AMBIGUOUS)
        return state.reply


def _digest(kind: str, body: bytes) -> bytes:
    return hashlib.sha256(kind.encode() + b"\0" + body).digest()
