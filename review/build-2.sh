#!/bin/sh
# Builds what the cases 6 and later start beside the program itself: their stand-ins and checks, one program of the
# standard library alone. It needs no network. Run it after the build of deploy/balancer.toml.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/rig-2"
CARGO_TARGET_DIR="$root/target" cargo build --release --offline --locked
