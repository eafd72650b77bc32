#!/usr/bin/env bash
# Builds the stand-ins of the cases 7 to 10 into target/review-2. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/rig review/rig-2/main.rs
