#!/bin/sh
# Plays this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/camphorbeam ] && [ -x target/review/rig ] || exit 2
exec target/review/rig spread review/5
