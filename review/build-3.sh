#!/usr/bin/env bash
# Builds what the scripts of review 3 start besides the node: the project's stand-in of the
# platform's store, and the stand-ins and clients in review/rig-3, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release -p jacinthfall-standin --bin jacinthfall-standin-platform
mkdir -p target/review-3
for name in slow_reader directory; do
    rustc --edition 2024 -O "review/rig-3/$name.rs" -o "target/review-3/$name"
done
