#!/bin/sh
# Builds the stand-ins and drivers of the review's cases. Needs no network: they use the standard library alone.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR="$PWD/target" cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml
