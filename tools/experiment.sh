#!/usr/bin/env bash
# Builds galenastreamd, runs a scenario with several seeds against nodes on loopback, and writes a
# report. DAY is the TOML file of the scenario, with its traffic, bursts and faults.
# Usage: tools/experiment.sh DAY [--seeds N] [--report FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --locked --package galenastream_node
exec cargo run --release --quiet --locked --package galenastream_standin --example experiment -- \
    --program target/release/galenastreamd "$@"
