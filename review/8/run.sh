#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: the same
# without the disruption. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
sim=target/review-2/sim-2
daemon=target/daemon/ibisvaned
[ -x "$sim" ] && [ -x "$daemon" ] || exit 2
dir=$(mktemp -d) || exit 2
trap 'rm -rf "$dir"' EXIT
timeout -k 2 116 "$sim" rack-lasting "$daemon" "$dir" "${RECORD:-review/8/record.txt}"
code=$?
[ $code -le 1 ] || code=2
exit $code
