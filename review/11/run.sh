#!/bin/sh
# Plays the case once. TROUBLE=0 plays it without the disruption, TROUBLE=crash with the
# crash of the server alone.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
stand="$root/target/review-3/stuck"
daemon="$root/target/pimentoshored"
if [ ! -x "$stand" ] || [ ! -x "$daemon" ]; then
	echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2
	exit 2
fi
case "${TROUBLE:-1}" in
0) disruption="-lost=false -crash=false" ;;
crash) disruption="-lost=false" ;;
*) disruption="" ;;
esac
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
# shellcheck disable=SC2086 # the flags are separate words
timeout 118 "$stand" -case open -program "$daemon" -dir "$dir" -record "$here/record.txt" $disruption
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
