#!/usr/bin/env bash
# Runs every benchmark, one line for each measure: simulated decisions first, then requests over
# loopback.
set -u
BUILD=${1:-build}
SEED=${2:-1}
"$BUILD/bench/sched_bench" "$SEED"
"$BUILD/bench/route_bench" "$SEED"
"$BUILD/bench/horizon_bench"
"$BUILD/bench/workspaces_bench" 2>/dev/null
"$BUILD/bench/slopes_bench" | grep '^slope' | grep -E 'decision_ns|bytes_per_task' |
  sed -E "s/slope measure=([a-z_]+) workers=([0-9]+) value=([0-9.]+) unit=(.*)/bench measure=\1 user=khairat ours=\3 baseline=0 baseline_name=none_at_\2_workers unit=\4 seed=$SEED/"

# Requests through an entry host, against the same requests sent directly to the upstream.
BASE=${BASE:-26000}
DOMAINS=(split)
source "$(dirname "$0")/cluster.sh"
trap cluster_stop EXIT
WORK_MS=0 cluster_start zlatar ticket 2 12 1
printf 'release: 1\nchanges: 0\nauthor: ops\nadded:\n  teams: [{name: t}]\n  services: [{name: ticket, team: t, cpu: 1, memory: 1GiB, instances: 2}]\n' >"$WORK/note.yaml"
ctl split-1 release publish "$WORK/note.yaml" >/dev/null
wait_for 7 release_is split-1 1
value_of() { sed -n "s/.*\\b$1=\\([0-9.]*\\).*/\\1/p" <<<"$2"; }
instances=$(for i in $(seq 0 11); do echo -n "$IP:$((BASE + 700 + i)),"; done)
"$BUILD/tests/caller_load" "$(callers_of split-1)" /s/ticket/warm 2000 32 >/dev/null
direct=$("$BUILD/tests/caller_load" "${instances%,}" /read 40000 32)
through=$("$BUILD/tests/caller_load" "$(callers_of split-1)" /s/ticket/read 40000 32)
for measure in rate p50_ms p99_ms; do
  unit=ms
  [ "$measure" = rate ] && unit=1/s
  echo "bench measure=request_$measure user=zlatar ours=$(value_of "$measure" "$through") baseline=$(value_of "$measure" "$direct") baseline_name=straight_to_the_upstream unit=$unit seed=$SEED"
done
cluster_stop

# Time until a release note is in force on all hosts, time until an urgent job starts, and the cost
# of the control plane when idle: seven hosts and 66 workers, as the burial fund has them, with the
# default intervals of the settings.
DOMAINS=(sem-utara sem-tengah sem-selatan)
BASE=$((BASE + 1000))
HOSTS_EVERY=1s RENEW=1s SYNC=1s TAKEOVER=4s EVIDENCE=3s LEASE=6s HORIZON=60s cluster_start khairat ledger 22 2 3 2 2
wall_ms() { date +%s%3N; }
# Number of records in all streams so far.
log_records() {
  local stream total=0
  for stream in config keys domain.sem-utara domain.sem-tengah domain.sem-selatan; do
    total=$((total + $(http -D - -o /dev/null "http://$IP:$((BASE + 1))/streams/$stream/records?from=999999999&wait_ms=0" | tr -d '\r' | sed -n 's/^x-log-end: //p')))
  done
  echo "$total"
}
publish() {
  printf 'release: %d\nchanges: %d\nauthor: ops\nadded:\n  teams: [{name: t%d}]\n' "$1" $(($1 - 1)) "$1" >"$WORK/note.yaml"
  ctl "${HOSTS[$(($1 % 7))]}" release publish "$WORK/note.yaml" >/dev/null
}
worst=0
for n in 1 2 3 4 5 6 7 8 9 10; do
  begin=$(wall_ms)
  publish "$n"
  for host in "${HOSTS[@]}"; do wait_for 7 grep -q "release.in_force release=$n " "$WORK/$host.out"; done
  for host in "${HOSTS[@]}"; do
    at=$(date -d "$(sed -n "s/^time=\([^ ]*\) .*release.in_force release=$n .*/\1/p" "$WORK/$host.out")" +%s%3N)
    [ $((at - begin)) -gt "$worst" ] && worst=$((at - begin))
  done
done
echo "bench measure=release_in_force_worst_of_10 user=khairat ours=$worst baseline=7000 baseline_name=target unit=ms seed=$SEED"
worst=0
for n in 1 2 3 4 5 6 7 8 9 10; do
  printf 'name: urgent-%d\nteam: t1\ncpu: 1\nmemory: 1GiB\nrun_time: 1s\nurgent: true\n' "$n" >"$WORK/job.yaml"
  begin=$(wall_ms)
  ctl "${HOSTS[$((n % 7))]}" job submit "$WORK/job.yaml" >/dev/null
  sleep 2.5
  at=$(for i in 0 1 2; do for w in $(seq 0 21); do http "http://$IP:$((BASE + 300 + 100 * i + w))/starts"; done; done | sed -n "s/^\([0-9]*\) [^ ]* urgent-$n .*/\1/p" | head -1)
  [ $((${at:-9999999999999} - begin)) -gt "$worst" ] && worst=$((${at:-9999999999999} - begin))
done
echo "bench measure=urgent_start_worst_of_10 user=khairat ours=$worst baseline=2100 baseline_name=target unit=ms seed=$SEED"
for host in "${HOSTS[0]}" "${HOSTS[1]}"; do
  ticks=$(awk '{print $14 + $15}' "/proc/${HOST_PID[$host]}/stat")
  bytes=$(awk '/char/ {n += $2} END {print n}' "/proc/${HOST_PID[$host]}/io")
  appends=$(log_records)
  sleep 5
  spent=$(($(awk '{print $14 + $15}' "/proc/${HOST_PID[$host]}/stat") - ticks))
  bytes=$(($(awk '/char/ {n += $2} END {print n}' "/proc/${HOST_PID[$host]}/io") - bytes))
  appends=$(($(log_records) - appends))
  rss=$(awk '/VmRSS/ {print $2}' "/proc/${HOST_PID[$host]}/status")
  role=owner
  [ "$host" = "${HOSTS[1]}" ] && role=standby
  echo "bench measure=idle_processor_$role user=khairat ours=$(awk "BEGIN {print $spent / 5}") baseline=1.7 baseline_name=limit unit=percent seed=$SEED"
  echo "bench measure=idle_bytes_$role user=khairat ours=$(awk "BEGIN {print $bytes / 5000}") baseline=18 baseline_name=limit unit=KB/s seed=$SEED"
  echo "bench measure=idle_appends_$role user=khairat ours=$(awk "BEGIN {print $appends / 5}") baseline=300 baseline_name=several_hundred unit=1/s seed=$SEED"
  echo "bench measure=resident_$role user=khairat ours=$((rss / 1024)) baseline=32 baseline_name=limit unit=MB seed=$SEED"
done
