"""Guards against commands on the operators' page that do not work."""

import os
import re
import subprocess
import sys
from pathlib import Path

from standins.cluster import OPERATOR_KEY, running_cluster

ROOT = Path(__file__).parent.parent
BLOCK = re.compile(r"^```console(?: exit=(\d+))?\n(.*?)^```", re.M | re.S)
PREAMBLE = 'set -e\nflamingoway() { "$PYTHON" -m flamingoway "$@"; }\n'


def run_block(script: str, server: str) -> subprocess.CompletedProcess:
    environment = os.environ | {
        "PYTHON": sys.executable,
        "FLAMINGOWAY_SERVER": server,
        "FLAMINGOWAY_KEY": OPERATOR_KEY,
    }
    return subprocess.run(
        ["bash", "-c", PREAMBLE + script],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_the_commands_of_the_operators_page():
    blocks = BLOCK.findall((ROOT / "docs" / "operators.md").read_text())
    assert len(blocks) >= 6
    with running_cluster("kerbihan") as cluster:
        for index in range(2):
            cluster.start_entry(cluster.deployments[0], index)
        cluster.wait_ready()
        for exit_code, script in blocks:
            done = run_block(script, cluster.entries[0].url)
            assert done.returncode == int(exit_code or 0), script + done.stderr
