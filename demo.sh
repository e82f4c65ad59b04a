#!/usr/bin/env bash
# Builds everything and runs the demo: stand-ins of the platform and of 40 leafs,
# three nodes in three availability zones, all as processes of their own.
#
# With `--keep` the site keeps running until Enter is pressed, for trying things out.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --workspace
exec cargo run --quiet -p jacinthfall-testkit --example demo -- "$@"
