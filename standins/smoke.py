"""Smoke test of the single file: ``--version``, one request, no second process."""

import subprocess
import sys
from pathlib import Path

from .cluster import request, running_cluster


def main(program: str) -> int:
    """Return 0 if the built program at path ``program`` works."""
    command = (sys.executable, str(Path(program).resolve()))
    version = subprocess.run(
        [*command, "--version"], capture_output=True, text=True, check=True
    )
    print(version.stdout.strip())
    with running_cluster("kerbihan") as cluster:
        cluster.program = command
        entry = cluster.start_entry(cluster.deployments[0], 0)
        cluster.wait_ready()
        answer = request("GET", f"{entry.url}/healthz")
        pid = entry.process.popen.pid
        children = Path(f"/proc/{pid}/task/{pid}/children").read_text().split()
    print(f"healthz: {answer.status}, child processes: {len(children)}")
    return 0 if answer.status == 200 and not children else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
