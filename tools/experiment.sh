#!/usr/bin/env bash
# Builds galenastreamd, runs a day (a TOML file with traffic, bursts and faults) against nodes on
# loopback with several seeds, and writes a report.
# Usage: tools/experiment.sh DAY [--seeds N] [--report FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --locked --package galenastream_node
exec cargo run --release --quiet --locked --package galenastream_standin --example experiment -- \
    --program target/release/galenastreamd "$@"
