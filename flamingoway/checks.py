"""Runs checks: chooses a target, sends the check and returns the whole answer."""

import asyncio
import uuid
from dataclasses import dataclass

from .context import Context
from .core.routing import TargetLoad, slot_share, target_pickers
from .document import CheckKind
from .errors import FlamingowayError, Refused
from .messages import CheckReply
from .status import Code
from .target import TargetPool, TargetRequest

REFRESH_INTERVAL_S = 0.5
DEFAULT_PICKER = "two_choices"


@dataclass(slots=True, eq=False)
class _Target:
    load: TargetLoad
    pool: TargetPool


class Checks:
    """Owns the connections to the targets of all environments.

    Args:
        context: Settings and clocks of the process.
        follower: Gives the document in effect of an environment.
        vm_list: Gives the targets.
        membership: Gives the live entry processes.
    """

    def __init__(self, context: Context, follower, vm_list, membership):
        self._context = context
        self._follower = follower
        self._vm_list = vm_list
        self._membership = membership
        self._targets: dict[str, dict[str, _Target]] = {}
        self._pickers = {
            environment.name: target_pickers.get(DEFAULT_PICKER)(
                context.settings.zone, context.rng
            )
            for environment in context.settings.environments
        }
        self.refresh()

    async def serve(self) -> None:
        """Follow the VM list and the live processes until cancelled."""
        try:
            while True:
                await asyncio.sleep(REFRESH_INTERVAL_S)
                self.refresh()
        finally:
            self._close()

    def refresh(self) -> None:
        """Take over the targets and live processes as they are now."""
        for environment in self._context.settings.environments:
            old = self._targets.get(environment.name, {})
            new = {}
            for vm in self._vms(environment):
                new[vm.id] = old.get(vm.id) or self._open(vm)
                new[vm.id].load.share = self._share(vm)
                new[vm.id].pool.sweep()
            for target_id in old.keys() - new.keys():
                old[target_id].pool.close()
            self._targets[environment.name] = new

    async def run(
        self,
        environment: str,
        member: str,
        kind: str,
        body: bytes,
        deadline: float,
        key: str = "",
        traceparent: str = "",
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
        """
        try:
            found = self._kind(environment, kind)
            return await self._send(environment, found, body, deadline, traceparent)
        except FlamingowayError as exc:
            return CheckReply(int(exc.code), message=exc.message)

    async def _send(
        self,
        environment: str,
        kind: CheckKind,
        body: bytes,
        deadline: float,
        traceparent: str,
    ) -> CheckReply:
        target = self._pick(environment)
        request = TargetRequest(
            path=kind.path,
            body=body,
            request_id=uuid.UUID(int=self._context.rng.getrandbits(128)).hex,
            timeout_s=deadline - self._context.clock(),
            traceparent=traceparent,
            idempotent=kind.idempotent,
            max_answer_bytes=self._context.settings.limits.answer_bytes,
        )
        target.load.in_flight += 1
        try:
            answer = await target.pool.send(request)
        finally:
            target.load.in_flight -= 1
        return CheckReply(int(Code.OK), answer.status, answer.content_type, answer.body)

    def _kind(self, environment: str, name: str) -> CheckKind:
        active = self._follower.current(environment)
        if active is None:
            raise Refused(f"no environment {environment!r}", Code.NOT_FOUND)
        kind = active.document.check_kind(name)
        if kind is None:
            raise Refused(f"no check kind {name!r}", Code.UNKNOWN_KIND)
        return kind

    def _pick(self, environment: str) -> _Target:
        targets = self._targets[environment]
        load = self._pickers[environment].pick([t.load for t in targets.values()])
        if load is None:
            raise Refused("no target has a free slot", Code.NO_TARGET)
        return targets[load.target_id]

    def _vms(self, environment) -> list:
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

    def _open(self, vm) -> _Target:
        load = TargetLoad(vm.id, vm.zone, 0)
        pool = TargetPool(vm.ip, vm.port, vm.connections, self._context.clock)
        return _Target(load, pool)

    def _share(self, vm) -> int:
        own = self._context.settings
        processes = {own.process_id}
        processes.update(
            info.process_id
            for info in self._membership.processes.values()
            if info.region == own.region
        )
        return slot_share(vm.id, vm.slots, own.process_id, processes)

    def _close(self) -> None:
        for targets in self._targets.values():
            for target in targets.values():
                target.pool.close()
