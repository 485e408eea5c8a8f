"""Settings, documents and a scripted store for tests of documents."""

import msgspec

from flamingoway.settings import parse_settings
from standins.memory import MemoryStore

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


class ScriptedStore(MemoryStore):
    """An in-memory store whose next transactions fail as scripted.

    Attributes:
        faults: Each transaction consumes one entry: ``lost`` (applied, but the
            response is lost), ``dropped`` (not applied, and no response) or
            ``down`` (known not to be applied).
        before_txn: Coroutine functions; each transaction first runs the next one.
        before_watch: Coroutine functions; each watch first runs the next one.
    """

    def __init__(self):
        super().__init__()
        self.faults = []
        self.before_txn = []
        self.before_watch = []

    async def txn(self, compares, operations, read_on_failure=None):
        if self.before_txn:
            await self.before_txn.pop(0)()
        fault_actions = {
            "lost": self.drop_answers,
            "dropped": self.drop_requests,
            "down": self.fail_next,
        }
        if self.faults:
            fault_actions[self.faults.pop(0)]()
        return await super().txn(compares, operations, read_on_failure)

    async def watch(self, prefix, start_revision):
        if self.before_watch:
            await self.before_watch.pop(0)()
        async for batch in super().watch(prefix, start_revision):
            yield batch
