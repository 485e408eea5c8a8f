"""Stand-in of the platform's lagging list of VMs.

Run as ``python -m standins.vmlist --port 7500 --file vms.json --lag-s 2``.
``GET /vms`` answers with ``ETag``; ``PUT /vms`` replaces the list, which becomes
visible after the lag.
"""

import argparse
import asyncio
import json
import signal

import tornado.web


class VmState:
    """The visible list; changes become visible after ``lag_s`` seconds."""

    def __init__(self, vms: list[dict], lag_s: float):
        self._lag_s = lag_s
        self._version = 1
        self._vms = vms

    @property
    def etag(self) -> str:
        """Entity tag of the visible list."""
        return f'"{self._version}"'

    def body(self) -> bytes:
        """Return the visible list as JSON."""
        return json.dumps({"version": self._version, "vms": self._vms}).encode()

    def change(self, vms: list[dict]) -> None:
        """Replace the list after the lag."""
        asyncio.get_running_loop().call_later(self._lag_s, self._make_visible, vms)

    def _make_visible(self, vms: list[dict]) -> None:
        self._version += 1
        self._vms = vms


class VmsHandler(tornado.web.RequestHandler):
    """Serves ``/vms``."""

    def initialize(self, state: VmState) -> None:
        """Set the state that all requests share; see tornado's ``RequestHandler``."""
        self._state = state

    def get(self) -> None:
        """Return the list, or 304 if the client's copy is current."""
        self.set_header("ETag", self._state.etag)
        if self.request.headers.get("If-None-Match") == self._state.etag:
            self.set_status(304)
            return
        self.set_header("Content-Type", "application/json")
        self.finish(self._state.body())

    def put(self) -> None:
        """Replace the list by that of ``{"vms": [...]}``, after the lag."""
        self._state.change(json.loads(self.request.body)["vms"])
        self.set_status(202)


def make_application(state: VmState) -> tornado.web.Application:
    """Return the HTTP application."""
    return tornado.web.Application([("/vms", VmsHandler, {"state": state})])


async def serve(args: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    application = make_application(VmState(args.vms, args.lag_s))
    server = application.listen(args.port, "127.0.0.1")
    await stop.wait()
    server.stop()


def read_vms(path: str) -> list[dict]:
    """Read VMs from a JSON file: a list, or an object with a field ``vms``."""
    with open(path, "rb") as file:
        loaded = json.load(file)
    return loaded["vms"] if isinstance(loaded, dict) else loaded


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Stand-in of the list of VMs")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--file", dest="vms", type=read_vms, required=True)
    parser.add_argument("--lag-s", type=float, default=2.0)
    return parser.parse_args(argv)


if __name__ == "__main__":
    asyncio.run(serve(parse_arguments()))
