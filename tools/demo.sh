#!/usr/bin/env bash
# Builds galenastreamd and runs the demo on loopback: starts a small deployment, checks that a few
# keys have one owner each and that an order runs once, crashes a target, and waits until one of its
# keys is served again. Exits with 0 only if every step succeeds.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --locked --package galenastream_node
exec cargo run --quiet --locked --package galenastream_standin --example demo
