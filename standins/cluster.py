"""Starts stand-ins and entry processes for demonstrations and process tests."""

import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import yaml

from .deployment import EXAMPLES, Deployment, load_deployment, target_vms, worker_vms

HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0
POLL_S = 0.05
LOG_TAIL_CHARS = 4000
OPERATOR_KEY = "key-operator"
FIRST_PORT = 20_000
LAST_PORT = 32_000
# With two groups, one can be stopped while the other serves.
TARGET_GROUPS = 2


@dataclass(slots=True)
class Answer:
    """An HTTP answer with a JSON body."""

    status: int
    body: dict


def free_ports(count: int) -> int:
    """Return the first of ``count`` consecutive free TCP ports on loopback.

    The range lies below the ephemeral ports that the system gives to outgoing
    connections. Candidates are tried in random order: the ports stay free until a
    process listens there, and a concurrent test run must not pick the same ones.

    Raises:
        OSError: If no such ports are free.
    """
    starts = range(FIRST_PORT, LAST_PORT - count, count)
    for first in random.sample(starts, len(starts)):
        if all(_is_free(first + index) for index in range(count)):
            return first
    raise OSError("not enough consecutive free ports in the search range")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def request(
    method: str,
    url: str,
    body: dict | bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """Send one HTTP request; return the JSON response for any status."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    call = urllib.request.Request(url, data=data, method=method)
    for name, value in (headers or {}).items():
        call.add_header(name, value)
    if isinstance(body, dict):
        call.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(call, timeout=timeout_s) as answer:
            return Answer(answer.status, _decode(answer.read()))
    except urllib.error.HTTPError as exc:
        return Answer(exc.code, _decode(exc.read()))


def _decode(data: bytes) -> dict:
    try:
        return json.loads(data)
    except ValueError:
        return {"text": data.decode(errors="replace")}


def wait_until(condition, timeout_s: float, what: str) -> None:
    """Poll ``condition`` until it is true.

    Raises:
        TimeoutError: After ``timeout_s`` seconds; the message includes ``what``.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(POLL_S)
    raise TimeoutError(f"timed out after {timeout_s} s: {what}")


@dataclass(slots=True)
class Process:
    """One started process and its log file."""

    name: str
    popen: subprocess.Popen
    log: Path

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.popen.poll() is None

    def send(self, number: int) -> None:
        """Send a signal."""
        self.popen.send_signal(number)

    def stop(self) -> int:
        """Terminate the process and return its exit code."""
        if self.alive:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
        try:
            return self.popen.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()


@dataclass(slots=True)
class Entry:
    """An entry process with its addresses."""

    process: Process
    settings: Path
    http_port: int
    region: str

    @property
    def url(self) -> str:
        """Base URL of the HTTP API."""
        return f"http://{HOST}:{self.http_port}"

    @property
    def ready(self) -> bool:
        """Whether the process answers its readiness check with 200."""
        try:
            return request("GET", f"{self.url}/readyz", timeout_s=1).status == 200
        except OSError:
            return False


@dataclass(slots=True)
class TargetGroup:
    """Targets on consecutive ports that one process serves."""

    deployment: Deployment
    port: int
    count: int
    process: Process | None = None

    @property
    def ports(self) -> range:
        """Ports of the targets."""
        return range(self.port, self.port + self.count)


@dataclass(slots=True)
class Cluster:
    """Stand-ins and entry processes of one cell on this machine."""

    directory: Path
    deployments: list[Deployment]
    store_port: int = 0
    control_port: int = 0
    vmlist_port: int = 0
    program: tuple[str, ...] = (sys.executable, "-m", "flamingoway")
    processes: list[Process] = field(default_factory=list)
    entries: list[Entry] = field(default_factory=list)
    target_groups: list[TargetGroup] = field(default_factory=list)

    @property
    def vms_url(self) -> str:
        """URL of the VM list."""
        return f"http://{HOST}:{self.vmlist_port}/vms"

    def spawn(self, name: str, *args: str) -> Process:
        """Start ``python -m ...`` with its output in a log file."""
        return self._start(name, (sys.executable, "-m", *args))

    def _start(self, name: str, command: tuple[str, ...]) -> Process:
        log = self.directory / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                cwd=Path(__file__).parent.parent,
            )
        process = Process(name, popen, log)
        self.processes.append(process)
        return process

    def start_platform(self, vm_lag_s: float = 0.5) -> None:
        """Start store, VM list, workers and targets."""
        self._start_store()
        vms = []
        for deployment in self.deployments:
            vms += self._start_workers(deployment)
            vms += self._start_targets(deployment)
        self._start_vmlist(vms, vm_lag_s)

    def _start_store(self) -> None:
        self.store_port = free_ports(2)
        self.control_port = self.store_port + 1
        self.spawn(
            "store",
            "standins.store",
            f"--port={self.store_port}",
            f"--control-port={self.control_port}",
        )
        self._wait_port(self.store_port)

    def _start_workers(self, deployment: Deployment) -> list[dict]:
        fleet = deployment.workers
        port = free_ports(fleet.count)
        self.spawn(
            f"{deployment.name}-workers",
            "standins.worker",
            f"--port={port}",
            f"--count={fleet.count}",
            f"--id={deployment.name}-worker",
            f"--cores={fleet.cores}",
            f"--memory-mb={fleet.memory_mb}",
            f"--ledger={self.worker_ledger(deployment)}",
        )
        self._wait_port(port + fleet.count - 1)
        return worker_vms(deployment, port)

    def _start_targets(self, deployment: Deployment) -> list[dict]:
        fleet = deployment.targets
        port = free_ports(fleet.count)
        group_size = fleet.count // TARGET_GROUPS
        for index in range(TARGET_GROUPS):
            group = TargetGroup(deployment, port + index * group_size, group_size)
            self.target_groups.append(group)
            self.start_targets(group)
        return target_vms(deployment, port)

    def start_targets(self, group: "TargetGroup") -> None:
        """Start the targets of a group, or start them again after a stop."""
        fleet = group.deployment.targets
        group.process = self.spawn(
            f"{group.deployment.name}-targets-{group.port}",
            "standins.target",
            f"--port={group.port}",
            f"--count={group.count}",
            f"--slots={fleet.slots}",
            f"--connections={fleet.connections}",
            f"--ledger={self.target_ledger(group.deployment)}",
        )
        self._wait_port(group.port + group.count - 1)

    def set_state(self, group: "TargetGroup", state: str) -> None:
        """Set the state of a group's targets in the VM list, visible after its lag."""
        vms = request("GET", self.vms_url).body["vms"]
        for vm in vms:
            if vm["port"] in group.ports and vm["role"] == "target":
                vm["state"] = state
        request("PUT", self.vms_url, {"vms": vms})

    def _start_vmlist(self, vms: list[dict], lag_s: float) -> None:
        path = self.directory / "vms.json"
        path.write_text(json.dumps({"version": 1, "vms": vms}))
        self.vmlist_port = free_ports(1)
        self.spawn(
            "vmlist",
            "standins.vmlist",
            f"--port={self.vmlist_port}",
            f"--file={path}",
            f"--lag-s={lag_s}",
        )
        self._wait_port(self.vmlist_port)

    def worker_ledger(self, deployment: Deployment) -> Path:
        """Ledger file of the deployment's workers."""
        return self.directory / f"{deployment.name}-workers.jsonl"

    def target_ledger(self, deployment: Deployment) -> Path:
        """Ledger file of the deployment's targets."""
        return self.directory / f"{deployment.name}-targets.jsonl"

    def start_entry(self, deployment: Deployment, index: int, **overrides) -> Entry:
        """Start one entry process of a deployment's region.

        Args:
            deployment: Deployment that sets its region and zone.
            index: Index among the deployment's entry VMs; selects the zone.
            **overrides: Top-level settings to replace.
        """
        port = free_ports(2)
        settings = self._settings(deployment, index, port)
        settings.update(overrides)
        name = settings["process_id"]
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        process = self._serve(name, path)
        self._wait_port(port, process)
        entry = Entry(process, path, port, deployment.region)
        self.entries.append(entry)
        return entry

    def restart_entry(self, entry: Entry) -> None:
        """Start a stopped entry process again at the same addresses."""
        name = entry.process.name
        entry.process = self._serve(name, entry.settings)

    def _serve(self, name: str, settings: Path) -> Process:
        return self._start(name, (*self.program, "serve", f"--settings={settings}"))

    def _settings(self, deployment: Deployment, index: int, port: int) -> dict:
        settings = yaml.safe_load((EXAMPLES / "settings" / "node.yaml").read_text())
        zone = deployment.zones[index % len(deployment.zones)]
        settings.update(
            process_id=f"entry-{zone}-{index}",
            region=deployment.region,
            zone=zone,
            http_port=port,
            peer_port=port + 1,
        )
        settings["store"]["endpoint"] = f"{HOST}:{self.store_port}"
        settings["vm_list"]["url"] = self.vms_url
        return settings

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until every running entry process is ready."""
        for entry in self.entries:
            if entry.process.alive:
                wait_until(lambda e=entry: e.ready, timeout_s, f"{entry.url} ready")

    def store_control(self, **faults) -> dict:
        """Set faults of the store and return its counters."""
        url = f"http://{HOST}:{self.control_port}/"
        if faults:
            request("POST", f"{url}faults", faults)
        return request("GET", f"{url}counts").body

    def print_logs(self) -> None:
        """Print the end of each entry process's log to standard error."""
        for entry in self.entries:
            state = "running" if entry.process.alive else "exited"
            print(f"--- {entry.process.name} ({state})", file=sys.stderr)
            print(entry.process.log.read_text()[-LOG_TAIL_CHARS:], file=sys.stderr)

    def stop(self) -> dict[str, int]:
        """Stop all processes, entry processes first; return exit codes by name."""
        codes = {}
        for process in reversed(self.processes):
            codes[process.name] = process.stop()
        return codes

    def _wait_port(self, port: int, process: Process | None = None) -> None:
        def listening() -> bool:
            if process is not None and not process.alive:
                raise RuntimeError(
                    f"{process.name} exited before listening: {process.log.read_text()}"
                )
            with socket.socket() as probe:
                return probe.connect_ex((HOST, port)) == 0

        wait_until(listening, START_TIMEOUT_S, f"port {port} listening")


@contextmanager
def running_cluster(*names: str, vm_lag_s: float = 0.5) -> Iterator[Cluster]:
    """Run the platform stand-ins for the named deployments until the block ends."""
    with tempfile.TemporaryDirectory(prefix="flamingoway-") as directory:
        deployments = [load_deployment(name) for name in names]
        cluster = Cluster(Path(directory), deployments)
        try:
            cluster.start_platform(vm_lag_s)
            yield cluster
        except BaseException:
            cluster.print_logs()
            raise
        finally:
            cluster.stop()


def read_ledger(path: Path) -> list[dict]:
    """Return the entries of a stand-in's ledger."""
    if not path.exists():
        return []
    return [json.loads(line) for line in path.read_text().splitlines() if line]
