#!/usr/bin/env bash
# Measures how long keys are unavailable after losses, moves and drains, with the release build.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --workspace --bins --examples --locked
cargo test --release --locked -p galenastream_node --test unavailable_time -- \
  --ignored --nocapture --test-threads=1
