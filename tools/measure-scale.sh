#!/usr/bin/env bash
# Measures what control costs real nodes without traffic. The argument is the number of VMs.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --locked --package galenastream_node --package galenastream_ctl
cargo build --release --locked --package galenastream_standin --examples
exec cargo run --release --quiet --locked --package galenastream_standin --example measure_scale -- "$@"
