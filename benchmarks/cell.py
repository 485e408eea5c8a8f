"""One cell for the capacity benchmark: any number of workers, entry processes."""

import hashlib
import math
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from threading import Lock

import msgspec
import yaml

from standins.client import Operator
from standins.cluster import Cluster, Entry, read_ledger, wait_until
from standins.deployment import Deployment, load_deployment

WORKERS_PER_PROCESS = 100
REGION = "brittany"
APPLICATION = "kerbihan-planner"
TRIAL = "kerbihan-trial"
PRODUCTION = "kerbihan-production"
START_TIMEOUT_S = 60.0


class CapacityCell(Cluster):
    """A cluster with worker stand-ins spread over several processes.

    Only the first deployment has targets.
    """

    def start_platform(self, vm_lag_s: float = 0.5) -> None:
        """Start store, VM list, workers and the targets of one deployment."""
        self._start_store()
        vms = self._start_targets(self.deployments[0])
        for deployment in self.deployments:
            vms += self._start_workers(deployment)
        self._start_vmlist(vms, vm_lag_s)

    def add_entry(self, index: int) -> Entry:
        """Start an entry process that knows one shard with all workers."""
        deployment = self.deployments[0]
        shards = [{"name": REGION, "region": REGION, "zones": deployment.zones}]
        environments = [
            {
                "name": name,
                "application": APPLICATION,
                "stage": name.rpartition("-")[2],
                "shards": [REGION],
            }
            for name in (TRIAL, PRODUCTION)
        ]
        return self.start_entry(
            deployment, index, shards=shards, environments=environments
        )

    def starts(self) -> list[dict]:
        """Return the task starts in the ledgers of all workers."""
        return [
            entry
            for deployment in self.deployments
            for entry in read_ledger(self.worker_ledger(deployment))
            if entry["event"] == "start"
        ]

    def start_count(self) -> int:
        """Return the number of task starts, without decoding the ledgers."""
        paths = [self.worker_ledger(d) for d in self.deployments]
        return sum(p.read_bytes().count(b'"event": "start"') for p in paths)

    def owner(self) -> Entry:
        """Return the entry process that owns the shard, once its workers are attached.

        Raises:
            TimeoutError: If no process owns it or workers stay unattached.
        """
        wanted = sum(deployment.workers.count for deployment in self.deployments)
        found: list[Entry] = []

        def find_owner() -> bool:
            status = Operator(self.entries[0].url).status()
            for process in status.get("processes", []):
                shard = process.get("shards", {}).get(REGION)
                if shard and shard.get("workers", 0) == wanted:
                    name = process["process_id"]
                    found.extend(e for e in self.entries if e.process.name == name)
            return bool(found)

        wait_until(find_owner, START_TIMEOUT_S, f"{wanted} workers attached")
        return found[0]


def make_deployments(workers: int) -> list[Deployment]:
    """Return deployments that together have ``workers`` workers."""
    base = load_deployment("kerbihan")
    parts = math.ceil(workers / WORKERS_PER_PROCESS)
    found = []
    for index in range(parts):
        count = workers // parts + (index < workers % parts)
        size = msgspec.structs.replace(base.workers, count=count)
        name = f"kerbihan-{index}"
        found.append(msgspec.structs.replace(base, name=name, workers=size))
    return found


@contextmanager
def running_cell(
    workers: int, entries: int, start_lock: Lock
) -> Iterator[CapacityCell]:
    """Start a cell; stop all of it at the end.

    Args:
        workers: Number of workers.
        entries: Number of entry processes.
        start_lock: Held while free ports are searched, because two cells that
            start at once would choose the same ones.
    """
    with tempfile.TemporaryDirectory(prefix="flamingoway-") as directory:
        cell = CapacityCell(Path(directory), make_deployments(workers))
        try:
            with start_lock:
                cell.start_platform()
                for index in range(entries):
                    cell.add_entry(index)
            yield cell
        except BaseException:
            cell.print_logs()
            raise
        finally:
            cell.stop()


def make_document(members: int, revision: int = 0) -> bytes:
    """Return a document; ``revision`` makes its bytes differ."""
    member_entries = [
        {
            "name": f"member-{index}",
            "key_sha256": [hashlib.sha256(f"key-member-{index}".encode()).hexdigest()],
            "weight": 1.0 + (revision % 100) / 100,
            "quota": {"cores": 100_000, "memory_mb": 100_000_000},
            "check_rate": 1000,
        }
        for index in range(members)
    ]
    kinds = [
        {
            "name": name,
            "policy": "batch",
            "resources": {"cores": cores, "memory_mb": 1024},
            "max_tasks": 1000,
            "run_time_s": 30,
        }
        for name, cores in (("small", 1), ("whole", 16))
    ]
    check = {"name": "slot-check", "path": "/slot-check", "timeout_s": 2.0}
    document = {
        "application": APPLICATION,
        "members": member_entries,
        "checks": [check],
        "jobs": kinds,
    }
    return yaml.safe_dump(document, sort_keys=False).encode()


def change_document(entry: Entry, document: bytes) -> int:
    """Accept a document into the trial environment; return its version."""
    answer = Operator(entry.url).try_document(TRIAL, document)
    if answer.status != 200:
        raise RuntimeError(f"the document is not accepted: {answer.body}")
    return answer.body["version"]


def promote_document(cell: CapacityCell, members: int = 4) -> None:
    """Bring a document into effect in production."""
    entry = cell.entries[0]
    operator = Operator(entry.url)
    tried = operator.try_document(TRIAL, make_document(members))
    promoted = operator.promote(TRIAL, PRODUCTION, tried.body["digest"])
    if promoted.status != 200:
        raise RuntimeError(f"the document is not promoted: {promoted.body}")
    wait_until(
        lambda: versions(entry).get(PRODUCTION) == [promoted.body["version"]],
        START_TIMEOUT_S,
        "document in effect",
    )


def versions(entry: Entry) -> dict[str, list[int]]:
    """Return the different versions in effect, by environment, over all processes."""
    found: dict[str, set[int]] = {}
    for process in Operator(entry.url).status().get("processes", []):
        for environment, version in process.get("documents", {}).items():
            found.setdefault(environment, set()).add(version)
    return {environment: sorted(numbers) for environment, numbers in found.items()}
