"""Shared fakes of the owner's tests."""

import asyncio
import random

from flamingoway.context import Context, boot_time
from flamingoway.settings import parse_settings

SETTINGS = b"""
cell: test
process_id: p1
region: r
zone: z1
ip: 127.0.0.1
http_port: 1
peer_port: 2
store: {endpoint: "127.0.0.1:1"}
vm_list: {url: "http://127.0.0.1:1/vms", interval_s: 0.05}
shards:
  - {name: s, region: r, zones: [z1, z2]}
environments:
  - {name: e, application: app, stage: trial, shards: [s]}
operators: []
"""


def make_context(clock=boot_time, wall=lambda: 1000.0, **changes) -> Context:
    """Return a context with fixed settings, seed and the given clock."""
    settings = parse_settings(SETTINGS)
    context = Context(settings, clock=clock, wall=wall, rng=random.Random(1))
    for name, value in changes.items():
        setattr(context, name, value)
    return context


async def until(condition, timeout_s=10.0):
    """Wait for a condition that other tasks bring about."""
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(0.001)
