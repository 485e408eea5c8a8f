"""Owner of one shard: takes over, commits, runs the workers, and steps down."""

import asyncio
from collections.abc import Callable, Collection, Mapping

from absl import logging

from .commit import GroupCommitter, LogPosition
from .context import Context
from .controller import ShardController
from .core.effects import Reply
from .core.ledger import Ledger
from .core.scheduler import Scheduler
from .epochguard import EpochGuard
from .errors import (
    Fenced,
    FlamingowayError,
    Refused,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from .feeds import Feeds
from .fleet import Fleet
from .follower import Follower
from .membership import Membership
from .model import JobSpec
from .ownership import Acquisition
from .peer import PeerClient
from .predecessor import FormerOwners
from .snapshot import load
from .snapshotter import Snapshotter
from .status import Code
from .store import Store
from .store.keys import Keys
from .vmlist import VmList
from .worker import WORKER_LINKS, LinkEvent

# Longest wait between two scheduling passes when no event arrives.
MAX_IDLE_S = 1.0
LOAD_RETRY_S = 0.3
# Longest wait for a commit before the caller is told that it is unresolved.
WRITE_DEADLINE_S = 3.0
STOP_FLUSH_TIMEOUT_S = 10.0
# If the release fails, the lease of the owner key expires soon after anyway.
RELEASE_TIMEOUT_S = 2.0
FAILURE_PAUSE_S = 1.0


class _StopRequested(Exception):
    """Raised within the task group of an owner to end it after a planned stop."""


class ShardOwner:
    """Runs one shard from its acquisition until a stop or a newer owner.

    Args:
        context: Settings and clocks.
        store: Holds log and snapshot.
        membership: Reports other owners and releases the shard.
        follower: Provides the environment documents.
        vms: Provides the VM list with the workers.
        peers: Calls former owners.
        acquired: Result of the acquisition.
        deposed: For each shard, the highest epoch for which a newer owner asked
            this process to give up the shard.
        make_link: Creates the link to a worker; the gRPC adapter if ``None``.
    """

    def __init__(
        self,
        context: Context,
        store: Store,
        membership: Membership,
        follower: Follower,
        vms: VmList,
        peers: PeerClient,
        acquired: Acquisition,
        deposed: Mapping[str, int] | None = None,
        make_link: Callable | None = None,
    ):
        self._context = context
        self._store = store
        self._membership = membership
        self._follower = follower
        self._vms = vms
        self._acquired = acquired
        self._deposed = deposed if deposed is not None else {}
        self._make_link = make_link or WORKER_LINKS.get("grpc")
        self._keys = Keys(context.settings.cell)
        self._taken_over_at = context.clock()
        self._guard = EpochGuard(context, store, membership, acquired)
        self._former_owners = FormerOwners(
            context,
            peers,
            acquired.owner,
            self._taken_over_at,
            lambda: vms.departed_entry_addresses,
        )
        self._events: asyncio.Queue[LinkEvent] = asyncio.Queue()
        self._position: LogPosition | None = None
        self._snapshotter: Snapshotter | None = None
        self._fleet: Fleet | None = None
        self._controller: ShardController | None = None
        self._confirmation_lock = asyncio.Lock()
        self._confirmations_begun = 0
        self._last_confirmation = 0
        self._stop_requested = asyncio.Event()
        self._ended = asyncio.Event()
        self._relinquished = False

    @property
    def shard(self) -> str:
        """Name of the shard."""
        return self._acquired.owner.shard

    @property
    def epoch(self) -> int:
        """Epoch of this owner."""
        return self._acquired.owner.epoch

    @property
    def ready(self) -> bool:
        """Whether the shard is loaded and has not been given up."""
        return self._controller is not None and not self._relinquished

    @property
    def ended(self) -> bool:
        """Whether the shard has been given up."""
        return self._relinquished

    @property
    def scheduler(self) -> Scheduler:
        """Scheduler of the shard; callers must not modify it.

        Raises:
            Refused: If the shard is not loaded or has been given up.
        """
        return self._require_controller().scheduler

    @property
    def status(self) -> dict[str, int]:
        """Epoch and counts for the status report of this process."""
        if not self.ready:
            return {"epoch": self.epoch, "workers": 0, "queued": 0, "running": 0}
        ledger = self.scheduler.ledger
        running = sum(ledger.placed_count(w) for w in ledger.workers_with_tasks())
        return {
            "epoch": self.epoch,
            "workers": self._fleet.attached_count,
            "queued": self.scheduler.queued,
            "running": running,
        }

    async def run(self) -> None:
        """Own the shard until stopped, cancelled or fenced.

        Raises:
            Fenced: If another process owns the shard.
        """
        fenced = False
        try:
            await self._take_over()
            await self._run_tasks()
        except _StopRequested:
            pass
        except Fenced:
            fenced = True
            raise
        except FlamingowayError:
            raise
        except Exception as exc:
            logging.exception("shard %s: the owner failed", self.shard)
            await asyncio.sleep(FAILURE_PAUSE_S)
            raise FlamingowayError(f"shard {self.shard}: {exc!r}") from exc
        finally:
            await self._step_down(release=not fenced)

    async def stop(self) -> None:
        """Commit pending decisions, give up the shard and wait until ``run`` ends."""
        if self._controller is not None:
            self._controller.stopping = True
            self._controller.collect()
            try:
                async with asyncio.timeout(STOP_FLUSH_TIMEOUT_S):
                    await self._controller.committer.flush()
            except TimeoutError:
                logging.warning(
                    "shard %s: stopping with uncommitted decisions", self.shard
                )
        self._stop_requested.set()
        await self._ended.wait()

    async def depose(self) -> None:
        """Give up the shard to a newer owner.

        Nothing more is sent to workers once this returns.
        """
        self._relinquish()
        self._stop_requested.set()
        if self._fleet is not None:
            await self._fleet.close()

    async def submit(self, spec: JobSpec) -> Reply:
        """Submit a job and wait up to ``WRITE_DEADLINE_S`` for the commit.

        Raises:
            Refused: If the job was not accepted and will not run.
        """
        future = self._require_controller().submit(spec)
        return await self._wait_for_reply(future, spec.job_id)

    async def cancel(self, job_id: str, environment: str, member: str) -> Reply:
        """Cancel a job and wait up to ``WRITE_DEADLINE_S`` for the commit.

        Raises:
            Refused: If nothing was changed.
        """
        future = self._require_controller().cancel(job_id, environment, member)
        return await self._wait_for_reply(future, job_id)

    async def confirm_ownership(self) -> None:
        """Check that no other process has taken the shard; give it up otherwise.

        Calls that wait at the same time share one read of the store, which begins after
        all of them.

        Raises:
            Refused: If the shard has another owner, or if the store does not confirm
                within ``WRITE_DEADLINE_S`` that it has none.
        """
        begun_before = self._confirmations_begun
        try:
            async with asyncio.timeout(WRITE_DEADLINE_S), self._confirmation_lock:
                if self._last_confirmation <= begun_before:
                    self._confirmations_begun += 1
                    await self._guard.confirm()
                    self._last_confirmation = self._confirmations_begun
        except Fenced:
            await self.depose()
        except (StoreUnavailable, StoreOutcomeUnknown, TimeoutError):
            raise Refused(
                "the store cannot be reached", Code.STORE_UNAVAILABLE, retry_after=1
            ) from None
        self._require_controller()

    async def wait_until_durable(self, job_ids: Collection[str]) -> None:
        """Wait until all decisions about some jobs are durable.

        Raises:
            Refused: If they are not durable within ``WRITE_DEADLINE_S``, or if the
                shard is not loaded or has been given up.
        """
        controller = self._require_controller()
        if controller.are_durable(job_ids):
            return
        reply = await self._wait_for_reply(controller.barrier(), "")
        if reply.code != Code.OK:
            raise Refused(
                "the state of the job is not durable yet",
                Code.STORE_UNAVAILABLE,
                retry_after=1,
            )

    def _require_controller(self) -> ShardController:
        if self._relinquished:
            raise Refused(
                "the shard has another owner", Code.OWNER_CHANGED, retry_after=1
            )
        if self._controller is None:
            raise Refused(
                "the owner is taking over the shard",
                Code.OWNER_UNAVAILABLE,
                retry_after=1,
            )
        return self._controller

    async def _wait_for_reply(
        self, future: asyncio.Future[Reply], job_id: str
    ) -> Reply:
        try:
            async with asyncio.timeout(WRITE_DEADLINE_S):
                reply = await asyncio.shield(future)
        except TimeoutError:
            message = "the commit is not confirmed yet; ask for the job by its id"
            return Reply(future, Code.WRITE_UNRESOLVED, job_id, message)
        if reply.code == Code.OWNER_CHANGED:
            raise Refused(reply.message, Code.OWNER_CHANGED, retry_after=1)
        return reply

    async def _take_over(self) -> None:
        loaded = await self._load()
        ledger = Ledger.restore(loaded.snapshot) if loaded.snapshot else Ledger()
        ledger.apply_all(loaded.records)
        self._position = LogPosition(
            self.shard,
            self.epoch,
            self._acquired.epoch_revision,
            loaded.next_seq,
            loaded.groups,
            loaded.log_bytes,
            loaded.generation,
        )
        if self._deposed.get(self.shard, 0) > self.epoch or self._relinquished:
            raise Fenced(f"shard {self.shard}: deposed by a newer owner")
        self._create_controller(ledger)
        logging.info(
            "shard %s: took over at epoch %d with %d jobs",
            self.shard,
            self.epoch,
            len(ledger.jobs),
        )

    async def _load(self):
        while True:
            try:
                await self._guard.confirm()
                # An older document than the former owner's would start services again
                # that a newer one has ended.
                await self._follower.refresh()
                return await load(self._store, self._keys, self.shard)
            except (StoreUnavailable, StoreOutcomeUnknown) as exc:
                logging.warning(
                    "shard %s: loading failed, retrying: %s", self.shard, exc.message
                )
                await asyncio.sleep(LOAD_RETRY_S)

    def _create_controller(self, ledger: Ledger) -> None:
        context = self._context
        scheduler = Scheduler(self.shard, context.rng, ledger)
        self._fleet = Fleet(
            context,
            self.shard,
            self.epoch,
            self._events,
            self._make_link,
            self._guard.may_grant_leases,
            self._guard.may_start,
            self._taken_over_at,
        )
        self._guard.on_confirmed = self._fleet.send_withheld
        self._controller = ShardController(
            context,
            scheduler,
            self._fleet,
            lambda done: GroupCommitter(
                context, self._store, self._position, done, self._guard.note_confirmed
            ),
            lambda: self._former_owners.deposed_at,
            lambda: self._membership.store_up,
        )
        self._snapshotter = Snapshotter(
            self._store, self._keys, self._position, self._controller.committer
        )

    async def _run_tasks(self) -> None:
        feeds = Feeds(
            self._context, self.shard, self._controller, self._vms, self._follower
        )
        loops = [
            self._controller.committer.run,
            self._handle_events,
            feeds.check_workers,
            feeds.follow_vms,
            feeds.follow_documents,
            # Comes after the feeds, so that the first scheduling pass sees the workers
            # and documents that are known already.
            self._run_scheduling,
            self._guard.follow_owners,
            self._guard.run,
            self._former_owners.run,
            self._snapshotter.run,
            self._wait_for_stop,
        ]
        try:
            async with asyncio.TaskGroup() as group:
                for loop in loops:
                    group.create_task(loop())
        except BaseExceptionGroup as failed:
            raise failed.exceptions[0] from None

    async def _handle_events(self) -> None:
        while True:
            self._controller.on_link_event(await self._events.get())

    async def _run_scheduling(self) -> None:
        controller = self._controller
        while True:
            controller.wake.clear()
            controller.decide()
            self._snapshotter.take_if_due(controller.scheduler.ledger.snapshot)
            await _wait_for_event(controller.wake, self._idle_s())

    def _idle_s(self) -> float:
        """Return how long to wait for an event before the next scheduling pass."""
        now = self._context.clock()
        wakeup = self._controller.scheduler.next_wakeup(now)
        # While placing is not allowed the scheduler is not called, and its next wake-up
        # may stay due; waiting for that time would be a busy loop.
        if wakeup is None or not self._controller.can_place:
            return MAX_IDLE_S
        return min(wakeup - now, MAX_IDLE_S)

    async def _wait_for_stop(self) -> None:
        await self._stop_requested.wait()
        raise _StopRequested

    def _relinquish(self) -> None:
        self._relinquished = True
        if self._controller is not None:
            self._controller.relinquish()

    async def _step_down(self, release: bool) -> None:
        self._relinquish()
        try:
            if self._fleet is not None:
                await self._fleet.close()
            if release:
                async with asyncio.timeout(RELEASE_TIMEOUT_S):
                    await self._membership.release(self._acquired.owner)
        except (StoreUnavailable, StoreOutcomeUnknown, TimeoutError) as exc:
            logging.warning("shard %s: release failed: %r", self.shard, exc)
        finally:
            self._ended.set()


async def _wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    if timeout_s <= 0:
        await asyncio.sleep(0)
        return
    # asyncio.wait_for of Python 3.11 drops a cancellation that arrives together with
    # the event, and the owner's tasks would then never end.
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        pass
