"""Loopback proxies between the entry processes of a site, in a process of their own.

Commands come as JSON lines on standard input. A new process gets a proxy for each
direction to each other one; their addresses are printed.
"""

import asyncio
import json
import sys
from contextlib import AsyncExitStack

from standins.proxy import Proxy


class Links:
    """Proxies by caller and target."""

    def __init__(self, stack):
        self.stack = stack
        self.targets, self.proxies = {}, {}

    async def add(self, name, address):
        """Open the proxies of a process and print their addresses."""
        pairs = [(other, name, address) for other in self.targets]
        pairs += [(name, other, target) for other, target in self.targets.items()]
        self.targets[name] = address
        rows = []
        for caller, target, there in pairs:
            proxy = self.proxies[caller, target] = Proxy(there)
            here = await self.stack.enter_async_context(proxy.listen())
            rows.append([caller, target, here])
        print(json.dumps({"name": name, "links": rows}), flush=True)

    def silence(self, names):
        """Silence the open connections that begin or end at processes."""
        for pair, proxy in self.proxies.items():
            if names & set(pair):
                proxy.silence()

    def cut(self, names, outward, inward):
        """Hold the bytes between a group and the rest, from and to the group."""
        for (caller, target), proxy in self.proxies.items():
            if (caller in names) == (target in names):
                continue
            held = (outward, inward) if caller in names else (inward, outward)
            proxy.hold(*held)

    async def run(self):
        reader = asyncio.StreamReader(limit=1 << 20)
        protocol = asyncio.StreamReaderProtocol(reader)
        await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
        while line := await reader.readline():
            command = json.loads(line)
            names = set(command.get("names", ()))
            if command["do"] == "add":
                await self.add(command["name"], command["address"])
            elif command["do"] == "silence":
                self.silence(names)
            else:
                self.cut(names, command["outward"], command["inward"])


async def main():
    async with AsyncExitStack() as stack:
        await Links(stack).run()


if __name__ == "__main__":
    asyncio.run(main())
