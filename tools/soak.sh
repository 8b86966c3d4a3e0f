#!/usr/bin/env bash
# Builds galenastreamd and runs the fault soak with random scenarios on loopback. Prints the
# violations of each seed, and keeps the logs of a seed that fails.
# Usage: tools/soak.sh [--kind faults|ownership|crashes] [--first N] [--seeds N] [--max-vms N] [--jobs N] [--regressions FILE]
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --locked --package galenastream_node
exec cargo run --quiet --locked --package galenastream_standin --example soak -- \
    --program target/debug/galenastreamd "$@"
