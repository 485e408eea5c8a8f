"""Cell of several membership tasks on a fake clock, for the membership tests."""

import asyncio
import random
from contextlib import asynccontextmanager

from flamingoway.context import Context
from flamingoway.membership import Membership
from flamingoway.settings import parse_settings
from flamingoway.store.keys import Keys
from standins import kv
from standins.clock import FakeClock
from standins.memory import MemoryStore

SETTINGS = """
cell: test
process_id: {name}
region: {region}
zone: {region}-1
ip: 127.0.0.1
http_port: {port}
peer_port: {port}
store: {{endpoint: "127.0.0.1:1"}}
vm_list: {{url: "http://127.0.0.1:1"}}
shards:
- {{name: s, region: brittany, zones: [brittany-1]}}
environments: []
operators: []
"""
KEYS = Keys("test")


class Cell:
    """Several processes that share one store engine and one fake clock."""

    def __init__(self):
        self.clock = FakeClock()
        self.wall_offset = 0.0
        self.engine = kv.Engine(self.clock)
        self.stores = {}
        self.memberships = {}
        self.tasks = {}

    def start(self, name, region="brittany", incarnation=None):
        port = 1000 + sum(name.encode())
        settings = SETTINGS.format(name=name, region=region, port=port).encode()
        context = Context(
            parse_settings(settings),
            clock=self.clock,
            wall_clock=lambda: self.clock() + self.wall_offset,
            rng=random.Random(name),
            incarnation=incarnation or f"{name}-1",
        )
        store = self.stores[name] = MemoryStore(self.engine)
        membership = Membership(context, store, sleep=self.clock.sleep)
        self.memberships[name] = membership
        self.tasks[name] = asyncio.create_task(membership.run())
        return membership

    def kill(self, name):
        self.tasks.pop(name).cancel()

    def set_down(self, down):
        for store in self.stores.values():
            store.down = down

    async def owner(self):
        item = await MemoryStore(self.engine).get(KEYS.owner("s"))
        return item and item.value


@asynccontextmanager
async def cell():
    running = Cell()
    yield running
    tasks = list(running.tasks.values())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def run(body):
    async def main():
        async with cell() as running:
            await asyncio.wait_for(body(running), 20)

    asyncio.run(main())


def drain(queue, kind):
    events = []
    while not queue.empty():
        events.append(queue.get_nowait())
    return [event for event in events if isinstance(event, kind)]
