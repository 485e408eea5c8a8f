"""Runs checks of all environments: owns the targets and the keyed checks."""

import asyncio

from .context import Context
from .core.routing import target_pickers
from .errors import BadRequest, FlamingowayError
from .keyed import KeyedChecks
from .lane import CheckCall, Lane
from .messages import CheckReply, KeyedCheck
from .peer import PeerClient, PeerServer
from .settings import EnvironmentSettings
from .status import Code
from .targetset import TargetSet

# A leaving target must get no new work 3 s after the first sign; the VM list is
# read each second.
REFRESH_INTERVAL_S = 0.5
DEFAULT_PICKER = "borrowing"


class Checks:
    """Runs checks; owns the connections to the targets.

    Args:
        context: Settings and clocks of the process.
        follower: Gives the document in effect of an environment.
        vm_list: Gives the targets.
        membership: Gives the live entry processes.
        peers: Calls other entry processes, for checks with a key.
        picker: Name in the registry of target pickers.
    """

    def __init__(
        self,
        context: Context,
        follower,
        vm_list,
        membership,
        peers: PeerClient,
        picker: str = DEFAULT_PICKER,
    ):
        self._context = context
        self._follower = follower
        self._vm_list = vm_list
        self._keyed = KeyedChecks(context, membership, peers, self._run_keyed)
        self._lanes: dict[str, Lane] = {}
        self._loaded = False
        for environment in context.settings.environments:
            chosen = target_pickers.get(picker)(context.settings.zone, context.rng)
            targets = TargetSet(chosen, context.clock)
            self._lanes[environment.name] = Lane(context, environment.name, targets)
        self.refresh()

    @property
    def loaded(self) -> bool:
        """Whether the targets of the VM list have been taken over."""
        return self._loaded

    @property
    def target_counts(self) -> dict[str, int]:
        """Targets known and available, over all environments."""
        return _sum(lane.targets.counts for lane in self._lanes.values())

    @property
    def check_counts(self) -> dict[str, int]:
        """Checks waiting and in flight, over all environments."""
        return _sum(lane.counts for lane in self._lanes.values())

    def register(self, server: PeerServer) -> None:
        """Serve checks that other processes forward."""
        self._keyed.register(server)

    async def serve(self) -> None:
        """Follow the VM list and the live processes until cancelled."""
        try:
            while True:
                await asyncio.sleep(REFRESH_INTERVAL_S)
                self.refresh()
        finally:
            for lane in self._lanes.values():
                lane.targets.close()

    def refresh(self) -> None:
        """Take over the targets and live processes as they are now."""
        self._keyed.observe()
        self._loaded = bool(self._vm_list.vms)
        for environment in self._context.settings.environments:
            lane = self._lanes[environment.name]
            processes = self._keyed.processes(environment.name)
            processes.add(self._context.settings.process_id)
            lane.process_count = len(processes)
            lane.targets.update(
                self._vms(environment), self._context.settings.process_id, processes
            )
            lane.targets.sweep()
            lane.refresh()

    async def run(
        self,
        environment: str,
        member: str,
        kind: str,
        body: bytes,
        deadline: float,
        key: str = "",
        traceparent: str = "",
        caller_left: asyncio.Future | None = None,
    ) -> CheckReply:
        """Run a check and return the whole answer or the refusal.

        Args:
            environment: Name of the environment.
            member: Name of the member.
            kind: Name of the check kind in the document.
            body: Body of the request; passes through.
            deadline: On the clock of the context, in seconds.
            key: Idempotency key, or empty.
            traceparent: Trace header for the target.
            caller_left: Once it is done, a check without a key that still waits is
                not started.
        """
        try:
            call = self._call(environment, member, kind, body, deadline, traceparent)
            if not key:
                call.caller_left = caller_left
                return await self._lanes[environment].run(call)
            request = KeyedCheck(environment, member, kind, key, body, 0, traceparent)
            return await self._keyed.run(request, deadline)
        except FlamingowayError as exc:
            return _reply(exc)

    async def _run_keyed(self, request: KeyedCheck, deadline: float) -> CheckReply:
        """Run a check whose key belongs to this process."""
        return await self.run(
            request.environment,
            request.member,
            request.kind,
            request.body,
            deadline,
            traceparent=request.traceparent,
        )

    def _call(
        self,
        environment: str,
        member: str,
        kind: str,
        body: bytes,
        deadline: float,
        traceparent: str,
    ) -> CheckCall:
        active = self._follower.current(environment)
        if active is None or environment not in self._lanes:
            raise BadRequest(f"no environment {environment!r}", Code.NOT_FOUND)
        found = active.document.check_kind(kind)
        if found is None:
            raise BadRequest(f"no check kind {kind!r}", Code.UNKNOWN_KIND)
        known = active.document.member(member)
        if known is None:
            raise BadRequest("the document has no such member", Code.FORBIDDEN)
        return CheckCall(known, found, body, deadline, traceparent)

    def _vms(self, environment: EnvironmentSettings) -> list:
        settings = self._context.settings
        regions = {settings.shard(name).region for name in environment.shards}
        return [
            vm
            for vm in self._vm_list.vms.values()
            if vm.role == "target"
            and vm.state == "live"
            and vm.region in regions
            and vm.application == environment.application
        ]


def _reply(exc: FlamingowayError) -> CheckReply:
    retry_after = exc.details.get("retry_after", 0.0)
    return CheckReply(int(exc.code), message=exc.message, retry_after=retry_after)


def _sum(counts) -> dict[str, int]:
    total: dict[str, int] = {}
    for one in counts:
        for name, value in one.items():
            total[name] = total.get(name, 0) + value
    return total
