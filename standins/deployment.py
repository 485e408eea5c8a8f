"""Deployments of the users at today's sizes, and the VM list that follows."""

from pathlib import Path

from flamingoway import yamlio
from flamingoway.errors import BadSettings
from flamingoway.settings import ValidatedModel

EXAMPLES = Path(__file__).parent.parent / "examples"


class TargetFleet(ValidatedModel):
    """The identical targets of a deployment."""

    count: int
    slots: int
    connections: int


class WorkerFleet(ValidatedModel):
    """The identical workers of a deployment."""

    count: int
    per_rack: int
    cores: int
    memory_mb: int
    accelerators: int = 0


class Deployment(ValidatedModel):
    """One deployment.

    Attributes:
        zone_delay_ms: One-way network delay between zones.
        client_delay_ms: One-way network delay from clients.
        entries: Number of entry VMs.
    """

    name: str
    application: str
    region: str
    zones: list[str]
    zone_delay_ms: float
    client_delay_ms: float
    entries: int
    targets: TargetFleet
    workers: WorkerFleet


def load_deployment(name: str) -> Deployment:
    """Read the example deployment called ``name``.

    Raises:
        BadSettings: If the file is invalid.
    """
    path = EXAMPLES / "deployments" / f"{name}.yaml"
    return yamlio.decode(path.read_bytes(), Deployment, BadSettings, path.name)


def worker_vms(deployment: Deployment, first_port: int) -> list[dict]:
    """Return the VM list entries of the workers, on consecutive ports."""
    fleet = deployment.workers
    vms = []
    for index in range(fleet.count):
        rack = index // fleet.per_rack
        zone = deployment.zones[rack % len(deployment.zones)]
        vms.append(
            {
                "id": f"{deployment.name}-worker-{index}",
                "role": "worker",
                "ip": "127.0.0.1",
                "port": first_port + index,
                "region": deployment.region,
                "zone": zone,
                "rack": f"{zone}-rack-{rack}",
                "state": "live",
                "cores": fleet.cores,
                "memory_mb": fleet.memory_mb,
                "accelerators": fleet.accelerators,
                "application": deployment.application,
            }
        )
    return vms


def target_vms(deployment: Deployment, first_port: int) -> list[dict]:
    """Return the VM list entries of the targets, on consecutive ports."""
    fleet = deployment.targets
    vms = []
    for index in range(fleet.count):
        zone = deployment.zones[index % len(deployment.zones)]
        vms.append(
            {
                "id": f"{deployment.name}-target-{index}",
                "role": "target",
                "ip": "127.0.0.1",
                "port": first_port + index,
                "region": deployment.region,
                "zone": zone,
                "rack": f"{zone}-rack-t",
                "state": "live",
                "slots": fleet.slots,
                "connections": fleet.connections,
                "application": deployment.application,
            }
        )
    return vms
