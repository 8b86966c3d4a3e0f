#!/usr/bin/env bash
# Plays a day over several seeds with real nodes on loopback, and writes a report.
# The first argument is the day; the others go to the tool (--seeds N, --report FOLDER).
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --locked --package galenastream_node
exec cargo run --release --quiet --locked --package galenastream_standin --example experiment -- \
    --program target/release/galenastreamd "$@"
