#!/bin/sh
# Builds the stand-ins of the cases with the compiler alone: no package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/rig/main.rs -o target/review/rig
