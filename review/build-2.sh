#!/bin/sh
# Compiles the stand-ins that the scripts of the second review start. They are written in
# Python and use only what the build of the deploy file puts under target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:$PWD" PYTHONPYCACHEPREFIX="target/review" \
    python3 -c "import standins.kv, standins.platform, review.deployment"
