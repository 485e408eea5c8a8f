"""Small fakes that several tests use."""

import asyncio

import msgspec

from flamingoway.errors import StoreOutcomeUnknown, StoreUnavailable
from flamingoway.settings import parse_settings
from flamingoway.store import (
    Delete,
    KeyValue,
    Put,
    RangeResult,
    TxnResult,
    WatchBatch,
    WatchEvent,
)

SETTINGS = b"""
cell: demo
process_id: entry-1
region: brittany
zone: bzh-1
ip: 127.0.0.1
http_port: 18080
peer_port: 18081
store: {endpoint: "127.0.0.1:12379"}
vm_list: {url: "http://127.0.0.1:18090/vms"}
shards:
  - {name: brittany, region: brittany, zones: [bzh-1, bzh-2, bzh-3]}
environments:
  - {name: trial, application: planner, stage: trial, shards: [brittany]}
  - {name: production, application: planner, stage: production, shards: [brittany]}
operators:
  # The keys are key-ana and key-bel.
  - name: ana
    key_sha256: 7dd5e9f4e15dded96a10bf38303577c3b35a9dc8a71751dadb1efc8c2abaae61
  - name: bel
    key_sha256: f64f46458552b4db33a99ada964f597129bd7e74d269bd77fd2b0e3c1dc9c81d
"""


def make_settings(**changes):
    """Return settings with some top-level fields replaced."""
    return msgspec.structs.replace(parse_settings(SETTINGS), **changes)


def make_document(weight=1.0, *more_members, comment=""):
    """Return the bytes of a small valid document."""
    lines = [f"# {comment}", "application: planner", "members:"]
    for index, name in enumerate(("brest", *more_members)):
        key_hash = f"{index:064x}"
        lines.append(f"  - {{name: {name}, key_sha256: ['{key_hash}'],")
        lines.append(f"     weight: {weight}}}")
    return "\n".join(lines).encode()


class FakeStore:
    """A store in memory whose next calls fail as scripted.

    Attributes:
        faults: One entry is taken by each transaction: ``lost`` (applied, the
            answer is lost), ``dropped`` (not applied, the answer is lost),
            ``down`` (known not to be applied) or ``ok``.
        down: Whether every call fails.
        watched: Set while there is a watch.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.faults = []
        self.down = False
        self.before_txn = []
        self.watched = asyncio.Event()
        self._watchers = []

    async def get(self, key):
        self._require_up()
        return self.items.get(key)

    async def range(self, prefix, start="", limit=0):
        self._require_up()
        keys = sorted(k for k in self.items if k.startswith(prefix) and k >= start)
        items = [self.items[k] for k in (keys[:limit] if limit else keys)]
        return RangeResult(items, self.revision)

    async def txn(self, compares, operations, read_on_failure=None):
        self._require_up()
        if self.before_txn:
            await self.before_txn.pop(0)()
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "down":
            raise StoreUnavailable("scripted")
        if fault == "dropped":
            raise StoreOutcomeUnknown("scripted")
        result = self._apply(compares, operations, read_on_failure or [])
        if fault == "lost":
            raise StoreOutcomeUnknown("scripted")
        return result

    async def watch(self, prefix, start_revision):
        queue = asyncio.Queue()
        self._watchers.append(queue)
        self.watched.set()
        while True:
            batch = await queue.get()
            if batch is None:
                raise StoreUnavailable("the watch broke")
            yield batch

    def break_watches(self):
        for queue in self._watchers:
            queue.put_nowait(None)
        self._watchers.clear()
        self.watched.clear()

    def _require_up(self):
        if self.down:
            raise StoreUnavailable("scripted outage")

    def _apply(self, compares, operations, reads):
        for compare in compares:
            item = self.items.get(compare.key)
            found = getattr(item, compare.target) if item else 0
            if found != compare.expected:
                found = {k: self.items[k] for k in reads if k in self.items}
                return TxnResult(False, self.revision, found)
        self.revision += 1
        events = [self._operate(operation) for operation in operations]
        for queue in self._watchers:
            queue.put_nowait(WatchBatch(self.revision, events))
        return TxnResult(True, self.revision)

    def _operate(self, operation):
        if isinstance(operation, Delete):
            self.items.pop(operation.key, None)
            return WatchEvent(operation.key, None)
        assert isinstance(operation, Put)
        old = self.items.get(operation.key)
        created = old.create_revision if old else self.revision
        item = KeyValue(operation.key, operation.value, created, self.revision)
        self.items[operation.key] = item
        return WatchEvent(operation.key, item)
