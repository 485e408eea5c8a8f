"""Runs a local cell with the platform's stand-ins until interrupted."""

import signal
import sys

from .cluster import OPERATOR_KEY, running_cluster

ENTRIES_PER_DEPLOYMENT = 2
SIGNALS = {signal.SIGINT, signal.SIGTERM}


def main() -> int:
    """Start the cell, print its addresses and key, and stop it on a signal."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    with running_cluster("kerbihan", "andina") as cluster:
        for index in range(ENTRIES_PER_DEPLOYMENT):
            for deployment in cluster.deployments:
                cluster.start_entry(deployment, index)
        cluster.wait_ready()
        for entry in cluster.entries:
            print(f"{entry.process.name:16} {entry.region:10} {entry.url}")
        print(f"export FLAMINGOWAY_SERVER={cluster.entries[0].url}")
        print(f"export FLAMINGOWAY_KEY={OPERATOR_KEY}", flush=True)
        signal.sigwait(SIGNALS)
    return 0


if __name__ == "__main__":
    sys.exit(main())
