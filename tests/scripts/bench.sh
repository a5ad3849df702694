#!/usr/bin/env bash
# Every measure, one line each: simulated decisions first, then requests over loopback.
set -u
BUILD=${1:-build}
SEED=${2:-1}
"$BUILD/tests/sched_bench" "$SEED"
"$BUILD/tests/route_bench" "$SEED"
"$BUILD/tests/slopes_bench" | grep '^slope' | grep -E 'decision_ns|bytes_per_task' |
  sed -E "s/slope measure=([a-z_]+) workers=([0-9]+) value=([0-9.]+) unit=(.*)/bench measure=\1 user=khairat ours=\3 baseline=0 baseline_name=none_at_\2_workers unit=\4 seed=$SEED/"

# A request through an entry host against the same request sent straight to the upstream.
BASE=${BASE:-26000}
DOMAINS=(split)
source "$(dirname "$0")/cluster.sh"
trap cluster_stop EXIT
WORK_MS=0 cluster_start zlatar ticket 2 12 1
printf 'release: 1\nchanges: 0\nauthor: ops\nadded:\n  teams: [{name: t}]\n  services: [{name: ticket, team: t, cpu: 1, memory: 1GiB, instances: 2}]\n' >"$WORK/note.yaml"
ctl split-1 release publish "$WORK/note.yaml" >/dev/null
wait_for 7 release_is split-1 1
number() { sed -n "s/.*\\b$1=\\([0-9.]*\\).*/\\1/p" <<<"$2"; }
instances=$(for i in $(seq 0 11); do echo -n "$IP:$((BASE + 700 + i)),"; done)
"$BUILD/tests/caller_load" "$(callers_of split-1)" /s/ticket/warm 2000 32 >/dev/null
direct=$("$BUILD/tests/caller_load" "${instances%,}" /read 40000 32)
through=$("$BUILD/tests/caller_load" "$(callers_of split-1)" /s/ticket/read 40000 32)
for measure in rate p50_ms p99_ms; do
  unit=ms
  [ "$measure" = rate ] && unit=1/s
  echo "bench measure=request_$measure user=zlatar ours=$(number "$measure" "$through") baseline=$(number "$measure" "$direct") baseline_name=straight_to_the_upstream unit=$unit seed=$SEED"
done
