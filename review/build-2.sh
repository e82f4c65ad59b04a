#!/bin/bash
# Builds what the scripts of the second review start besides the program of the deploy file: the
# project's stand-in of the platform, and the program in review/rig-2, which needs no library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --package jacinthfall-standin --bin jacinthfall-standin-platform
rustc --edition 2021 -O review/rig-2/main.rs -o target/release/review-rig-2
