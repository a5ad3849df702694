#!/bin/sh
# Usage: exit_codes.sh IBISVANE IBISVANED
# Checks the documented exit codes in the cases that need no running host.
ibisvane=$1 ibisvaned=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0
expect() {
  want=$1
  shift
  "$@" >"$work/out" 2>&1
  got=$?
  [ "$got" = "$want" ] && return
  echo "exit code $got instead of $want: $*"
  cat "$work/out"
  failed=1
}
printf 'release: 3\nchanges: 1\nauthor: a\n' >"$work/note.yaml"
printf 'host: a\nlisten: 5\n' >"$work/settings.yaml"
expect 0 "$ibisvane" --help
expect 0 "$ibisvane" --version
expect 64 "$ibisvane"
expect 64 "$ibisvane" release burn
expect 64 "$ibisvane" --output xml status
expect 64 "$ibisvane" --server nowhere status
expect 1 "$ibisvane" check "$work/note.yaml"
expect 1 "$ibisvane" check "$work/settings.yaml"
expect 1 "$ibisvane" check "$work/missing.yaml"
expect 2 "$ibisvane" trace 00000000000000aa </dev/null
expect 3 "$ibisvane" --server 127.0.0.1:1 status
expect 3 "$ibisvane" --server 127.0.0.1:1 domain out x
expect 0 "$ibisvaned" --help
expect 64 "$ibisvaned"
expect 1 "$ibisvaned" --config "$work/settings.yaml"
exit $failed
