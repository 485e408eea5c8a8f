"""Key-value service stand-in: ``python -m standins.store --port N``.

Serves the etcd v3 subset on 127.0.0.1. With ``--control-port`` an HTTP port sets
faults at run time: ``POST /faults`` with any of ``slow_s``, ``down``, ``drop``,
``drop_mode`` and ``break_watches`` as JSON; ``GET /counts`` returns the counters.
"""

import argparse
import asyncio
import json
import signal
from dataclasses import asdict

import tornado.httpserver
import tornado.web

from .etcd_server import READS_PER_SECOND, WRITES_PER_SECOND, EtcdServer, Limits

FAULT_TYPES = {"slow_s": (int, float), "down": bool, "drop": int, "drop_mode": str}
DROP_MODES = ("error", "hang")


class FaultsHandler(tornado.web.RequestHandler):
    """Reads and sets faults."""

    def initialize(self, server: EtcdServer) -> None:
        """Set the server; see tornado's ``RequestHandler``."""
        self._server = server

    def get(self) -> None:
        """Return the faults in force."""
        self.write(asdict(self._server.faults))

    def post(self) -> None:
        """Set the faults given in the body; return all faults in force."""
        try:
            apply_faults(self._server, json.loads(self.request.body))
        except ValueError as exc:
            raise tornado.web.HTTPError(400, str(exc)) from None
        self.get()


class CountsHandler(tornado.web.RequestHandler):
    """Reads the counters."""

    def initialize(self, server: EtcdServer) -> None:
        """Set the server; see tornado's ``RequestHandler``."""
        self._server = server

    def get(self) -> None:
        """Return the counters."""
        self.write(self._server.counts.to_json())


def apply_faults(server: EtcdServer, wanted: dict) -> None:
    """Set faults by name.

    Raises:
        ValueError: If a name, type or value is not allowed; nothing is set.
    """
    if not isinstance(wanted, dict):
        raise ValueError("faults: expected a JSON object")
    wanted = dict(wanted)
    break_watches = wanted.pop("break_watches", False)
    for name, value in wanted.items():
        if name not in FAULT_TYPES or not isinstance(value, FAULT_TYPES[name]):
            raise ValueError(f"unknown fault or wrong type: {name}={value!r}")
    if wanted.get("drop_mode", "error") not in DROP_MODES:
        raise ValueError(f"drop_mode: must be one of {', '.join(DROP_MODES)}")
    for name, value in wanted.items():
        setattr(server.faults, name, value)
    if break_watches or wanted.get("down"):
        server.break_watches()


def control_app(server: EtcdServer) -> tornado.web.Application:
    """Return the application of the control port."""
    arguments = {"server": server}
    return tornado.web.Application(
        [
            (r"/faults", FaultsHandler, arguments),
            (r"/counts", CountsHandler, arguments),
        ]
    )


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM or SIGINT."""
    limits = Limits(options.writes, options.reads, options.delay_ms / 1000)
    server = EtcdServer(limits)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with server.listen(options.port) as port:
        if options.control_port is not None:
            http = tornado.httpserver.HTTPServer(control_app(server))
            http.listen(options.control_port, "127.0.0.1")
        print(f"store listens on 127.0.0.1:{port}", flush=True)
        await stop.wait()


def parse(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--control-port", type=int)
    parser.add_argument("--writes", type=int, default=WRITES_PER_SECOND)
    parser.add_argument("--reads", type=int, default=READS_PER_SECOND)
    parser.add_argument("--delay-ms", type=float, default=0.0)
    return parser.parse_args(arguments)


if __name__ == "__main__":
    asyncio.run(serve(parse()))
