"""Runs checks of all environments: owns the targets and the keyed checks."""

import asyncio

from .checkrunner import CheckCall, CheckRunner
from .context import Context
from .core.routing import target_pickers
from .errors import BadRequest, FlamingowayError
from .keyed import KeyedChecks
from .messages import CheckReply, KeyedCheck
from .peer import PeerClient, PeerServer
from .settings import EnvironmentSettings
from .status import Code
from .targetset import TargetSet

# A target that shuts down must get no new checks later than 3 s after the first sign
# of it; the VM list is read once a second.
REFRESH_INTERVAL_S = 0.5
DEFAULT_PICKER = "borrowing"


class Checks:
    """Runs the checks of all environments; owns the connections to the targets.

    Args:
        context: Settings and clocks of the process.
        follower: Returns the document in effect for an environment.
        vm_list: Holds the VMs, of which the targets are selected.
        membership: Holds the live entry processes.
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
        self._runners: dict[str, CheckRunner] = {}
        self._loaded = False
        for environment in context.settings.environments:
            chosen = target_pickers.get(picker)(context.settings.zone, context.rng)
            targets = TargetSet(chosen, context.clock)
            self._runners[environment.name] = CheckRunner(
                context, environment.name, targets
            )
        self.refresh()

    @property
    def loaded(self) -> bool:
        """Whether a VM list that is not empty has been read."""
        return self._loaded

    @property
    def target_counts(self) -> dict[str, int]:
        """Numbers of known and available targets over all environments."""
        return _sum_counts(runner.targets.counts for runner in self._runners.values())

    @property
    def check_counts(self) -> dict[str, int]:
        """Sums of the runners' counts: checks waiting, in flight, and limits."""
        return _sum_counts(runner.counts for runner in self._runners.values())

    def register(self, server: PeerServer) -> None:
        """Register handlers for checks that other processes forward."""
        self._keyed.register(server)

    async def serve(self) -> None:
        """Refresh targets and live processes periodically until cancelled."""
        try:
            while True:
                await asyncio.sleep(REFRESH_INTERVAL_S)
                self.refresh()
        finally:
            for runner in self._runners.values():
                runner.targets.close()

    def refresh(self) -> None:
        """Apply the current VM list and set of live processes."""
        self._keyed.observe()
        self._loaded = bool(self._vm_list.vms)
        for environment in self._context.settings.environments:
            runner = self._runners[environment.name]
            processes = self._keyed.processes(environment.name)
            processes.add(self._context.settings.process_id)
            runner.process_count = len(processes)
            runner.targets.update(
                self._vms(environment), self._context.settings.process_id, processes
            )
            runner.targets.sweep()
            runner.refresh()

    async def run(
        self,
        environment: str,
        member: str,
        kind: str,
        body: bytes,
        deadline: float,
        key: str = "",
        traceparent: str = "",
        client_disconnected: asyncio.Future | None = None,
    ) -> CheckReply:
        """Run a check and return the complete answer or an error reply.

        Args:
            environment: Name of the environment.
            member: Name of the member.
            kind: Name of the check kind in the document.
            body: Body of the request, sent to the target unchanged.
            deadline: Time on the context's monotonic clock, in seconds.
            key: Idempotency key, or empty.
            traceparent: Trace header for the target.
            client_disconnected: Done when the client closes the connection. A check
                without a key that still waits is then not started.
        """
        try:
            call = self._call(environment, member, kind, body, deadline, traceparent)
            if not key:
                call.client_disconnected = client_disconnected
                return await self._runners[environment].run(call)
            request = KeyedCheck(environment, member, kind, key, body, 0, traceparent)
            return await self._keyed.run(request, deadline)
        except FlamingowayError as exc:
            return _error_reply(exc)

    async def _run_keyed(self, request: KeyedCheck, deadline: float) -> CheckReply:
        """Run a check whose key this process owns."""
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
        if active is None or environment not in self._runners:
            raise BadRequest(f"no environment {environment!r}", Code.NOT_FOUND)
        check_kind = active.document.check_kind(kind)
        if check_kind is None:
            raise BadRequest(f"no check kind {kind!r}", Code.UNKNOWN_KIND)
        member_model = active.document.member(member)
        if member_model is None:
            raise BadRequest(
                "the environment's document has no such member", Code.FORBIDDEN
            )
        return CheckCall(member_model, check_kind, body, deadline, traceparent)

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


def _error_reply(exc: FlamingowayError) -> CheckReply:
    retry_after = exc.details.get("retry_after", 0.0)
    return CheckReply(int(exc.code), message=exc.message, retry_after=retry_after)


def _sum_counts(counts) -> dict[str, int]:
    total: dict[str, int] = {}
    for counters in counts:
        for name, value in counters.items():
            total[name] = total.get(name, 0) + value
    return total
