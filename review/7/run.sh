#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")" || exit 2
directory=$PWD
root=$(cd ../.. && pwd)
[ -x "$root/target/review-2/rig" ] && [ -x "$root/target/release/camphorbeam" ] || exit 2
"$root/target/review-2/rig" account-name "$root" "$directory"
