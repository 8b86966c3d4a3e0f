#!/usr/bin/env bash
# Measures traffic through nodes against baselines in the same run, with the release build.
# Usage: tools/measure-traffic.sh path|overload|faults [--seconds S]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --quiet --package galenastream_node --package galenastream_ctl
cargo build --release --locked --quiet --package galenastream_standin --examples
exec target/release/examples/measure_traffic "$@"
