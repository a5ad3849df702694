#!/usr/bin/env bash
# Fault matrix with separate processes: each fault is set while requests with and without
# idempotency keys are in progress; then a release note with jobs must come into force and the jobs
# must finish. Ends with "faults: N ok, N failed". ONLY="FAULT..." selects faults.
set -u
BUILD=${1:-build}
BASE=${BASE:-24000}
DOMAINS=(split zadar rijeka)
source "$(dirname "$0")/cluster.sh"
trap cluster_stop EXIT
RELEASE=0

# keys_run_twice PREFIX: the keys with the prefix that ran more than once, over all instances.
keys_run_twice() { runs_by_key "$1" 3 | awk -F: '{n[$1]+=$2} END {for (k in n) if (n[k] > 1) print k}'; }
# slot_overruns: how many requests instances got while all their slots were in use.
slot_overruns() { upstream_stats 3 | grep -o '"overruns":[0-9]*' | cut -d: -f2 | awk "{n += \$1} END {print n + 0}"; }
set_instance_fault() { http -X POST "http://$IP:$((BASE + 700 + 100 * $1 + $2))/faults?$3" >/dev/null; }
set_worker_fault() { http -X POST "http://$IP:$((BASE + 300 + 100 * $1 + $2))/faults?$3" >/dev/null; }

# Faults: NAME_on sets one, NAME_off clears it.
FAULTY_HOST=split-1 OTHER_HOST=zadar-1
kill_host_on() { kill -9 "${HOST_PID[$FAULTY_HOST]}"; }
kill_host_off() { host_start "$FAULTY_HOST"; wait_for 10 is_ready "$FAULTY_HOST"; }
freeze_host_on() { kill -STOP "${HOST_PID[$FAULTY_HOST]}"; }
freeze_host_off() { kill -CONT "${HOST_PID[$FAULTY_HOST]}"; }
log_down_on() { for d in "${DOMAINS[@]}"; do set_platform_fault "$d" log=down; done; }
log_down_off() { for d in "${DOMAINS[@]}"; do set_platform_fault "$d" log=up; done; }
log_lost_on() { for d in "${DOMAINS[@]}"; do set_platform_fault "$d" log=lost; done; }
log_lost_off() { log_down_off; }
log_slow_on() { for d in "${DOMAINS[@]}"; do set_platform_fault "$d" 'log=slow&ms=300'; done; }
log_slow_off() { log_down_off; }
domain_cut_on() { set_platform_fault split log=down; }
domain_cut_off() { set_platform_fault split log=up; }
silent_upstream_on() { set_instance_fault 0 0 mode=silent; }
silent_upstream_off() { set_instance_fault 0 0 mode=ok; }
slow_upstream_on() { set_instance_fault 1 0 'mode=slow&ms=600'; }
slow_upstream_off() { set_instance_fault 1 0 mode=ok; }
refusing_upstream_on() { set_instance_fault 2 0 mode=refuse; }
refusing_upstream_off() { set_instance_fault 2 0 mode=ok; }
frozen_upstreams_on() { kill -STOP "$UPSTREAMS_PID_2"; }
frozen_upstreams_off() { kill -CONT "$UPSTREAMS_PID_2"; }
frozen_worker_on() { set_worker_fault 0 0 frozen=1; }
frozen_worker_off() { set_worker_fault 0 0 frozen=0; }
failing_worker_on() { set_worker_fault 0 1 fail=1; }
failing_worker_off() { set_worker_fault 0 1 fail=0; }
# The bytes of the open connections to the first instance are dropped; new connections work.
silent_connections_on() { http -X POST "http://$IP:$((BASE + 951))/faults?mode=silent" >/dev/null; }
silent_connections_off() { http -X POST "http://$IP:$((BASE + 951))/faults?mode=pass" >/dev/null; }
set_peer_link() { http -X POST "http://$IP:$((BASE + 961))/faults?mode=$1" >/dev/null; }
peer_cut_on() { set_peer_link cut; }
peer_cut_off() { set_peer_link pass; }
calls_lost_on() { set_peer_link forth; }
calls_lost_off() { set_peer_link pass; }
answers_lost_on() { set_peer_link back; }
answers_lost_off() { set_peer_link pass; }
domain_out_on() { ctl "$OTHER_HOST" domain out rijeka >/dev/null; }
domain_out_off() { ctl "$OTHER_HOST" domain in rijeka >/dev/null; }
FAULTS="kill_host freeze_host log_down log_lost log_slow domain_cut silent_upstream slow_upstream refusing_upstream frozen_upstreams frozen_worker failing_worker domain_out silent_connections peer_cut calls_lost answers_lost"

# publish: publish the next release note, with two jobs; succeeds once it is in force. The caller
# repeats it, as an operator would.
publish() {
  local next=$((RELEASE + 1))
  printf 'release: %d\nchanges: %d\nauthor: ops\nadded:\n  jobs:\n    - {name: job-%d, team: t, cpu: 1, memory: 1GiB, tasks: 9, run_time: 1s}\n    - {name: once-%d, team: t, cpu: 1, memory: 1GiB, tasks: 3, run_time: 1s, at_most_once: true}\n' \
    "$next" "$RELEASE" "$next" "$next" >"$WORK/note.yaml"
  ctl "$OTHER_HOST" release publish "$WORK/note.yaml" >/dev/null 2>&1
  release_is "$OTHER_HOST" "$next"
}

# run_fault FAULT: requests under one fault, then a release note with jobs; checks each outcome.
run_fault() {
  local fault=$1 hosts plain keyed
  hosts="$(callers_of split-1),$(callers_of zadar-1),$(callers_of rijeka-1)"
  "$BUILD/tests/caller_load" "$hosts" /s/ticket/read 240 12 80 2000 - >"$WORK/plain.out" &
  local plain_pid=$!
  "$BUILD/tests/caller_load" "$hosts" /s/ticket/new 160 8 50 2000 "$fault" 2 >"$WORK/keyed.out" &
  local keyed_pid=$!
  sleep 0.7
  "${fault}_on"
  sleep 2.5
  "${fault}_off"
  wait "$plain_pid" "$keyed_pid"
  plain=$(cat "$WORK/plain.out") keyed=$(cat "$WORK/keyed.out")
  echo "        plain $plain"
  echo "        keyed $keyed"
  expect "$fault: no response belonged to another request or was partial" test "$(value_of wrong "$plain")$(value_of wrong "$keyed")" = 00
  expect "$fault: no request with a key ran twice" test -z "$(keys_run_twice "$fault")"
  expect "$fault: no instance got more concurrent requests than its slots" test "$(slot_overruns)" = 0
  expect "$fault: a release note is accepted afterwards" wait_for 12 publish
  RELEASE=$((RELEASE + 1))
  local host
  for host in "${HOSTS[@]}"; do wait_for 7 release_is "$host" "$RELEASE" || echo "not in force on $host"; done >"$WORK/late.out"
  expect "$fault: it is in force on every entry host" test ! -s "$WORK/late.out"
  expect "$fault: its jobs finish" wait_for 30 job_state_is "$OTHER_HOST" "job-$RELEASE" done
  expect "$fault: its at-most-once tasks finish" wait_for 30 job_state_is "$OTHER_HOST" "once-$RELEASE" done
}

LINKED=1 LEASE=2s HORIZON=3s cluster_start zlatar ticket 3 3 1 1 1
spawn link-upstream "$BUILD/tests/link_standin" "$IP:$((BASE + 950))" "$IP:$((BASE + 700))" "$IP:$((BASE + 951))"
http -X PUT -d "[{\"name\":\"split-u-1\",\"address\":\"$IP:$((BASE + 950))\"}]" "http://$IP:$((BASE + 1))/hosts/instances" >/dev/null
sleep 1
printf 'release: 1\nchanges: 0\nauthor: ops\nadded:\n  teams: [{name: t}]\n  services: [{name: ticket, team: t, cpu: 1, memory: 1GiB, instances: 6}]\n' >"$WORK/first.yaml"
ctl "$OTHER_HOST" release publish "$WORK/first.yaml" >/dev/null
RELEASE=1
for host in "${HOSTS[@]}"; do wait_for 7 release_is "$host" 1; done
for fault in ${ONLY:-$FAULTS}; do
  echo "Fault: $fault"
  run_fault "$fault"
done
echo "faults: $OK ok, $FAILED failed"
[ "$FAILED" -eq 0 ]
