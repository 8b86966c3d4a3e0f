#!/usr/bin/env bash
# Shows the main job on this machine: builds the program, starts a small deployment on loopback, and
# ends all of it. Exits with 0 only if every step held.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --locked --package galenastream_node
exec cargo run --quiet --locked --package galenastream_standin --example demo
