#!/usr/bin/env bash
# Plays the case "refused" of review/_harness. Run the build of the deploy file and
# review/build.sh first. Exit status: 1 the rule was broken, 0 it held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness ] || exit 2
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out
timeout -k 5 100 target/review/harness refused review/2
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
