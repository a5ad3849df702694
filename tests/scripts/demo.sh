#!/usr/bin/env bash
# The whole path as separate processes on loopback: three failure domains, seven entry hosts,
# stand-ins for the platform, workers and upstreams. Ends with "demo: N ok, N failed".
set -u
BUILD=${1:-build}
BASE=${BASE:-22000}
DOMAINS=(sem-utara sem-tengah sem-selatan)
source "$(dirname "$0")/cluster.sh"
trap cluster_stop EXIT

in_force_everywhere() { local h; for h in "${LIVE[@]}"; do wait_for 7 release_is "$h" "$1" || return 1; done; }
each_ran_once() {
  local runs
  runs=$(runs_of "$1" 4)
  [ "$(wc -l <<<"$runs")" -eq "$2" ] && ! grep -qv ':1$' <<<"$runs" && [ "$(cut -d: -f1 <<<"$runs" | uniq -d | wc -l)" -eq 0 ]
}
all_owned_by_living() { ctl "${HOSTS[1]}" report --output json | grep -q '"missing": \[\]'; }
starts_in() {
  local i port
  i=$(domain_index "$1")
  for port in $(seq $((BASE + 300 + 100 * i)) $((BASE + 303 + 100 * i))); do http "http://$IP:$port/starts"; done | grep -v done: | wc -l
}
balanced() { ctl "$1" report --output json | grep -q '"missing": \[\]' && ! http "http://$(operators_of "$1")/v1/report" | grep -q '"balanced":false'; }

echo "Starting three failure domains, seven entry hosts and the stand-ins."
cluster_start khairat ledger 4 4 3 2 2
LIVE=("${HOSTS[@]}")
FIRST=${HOSTS[0]}
expect "all entry hosts are ready" all_owned

echo "Release notes."
expect "check finds nothing in the example note" "$BUILD/cli/ibisvane" check examples/khairat-release-1.yaml
expect "publish release 1" ctl "$FIRST" release publish examples/khairat-release-1.yaml
expect "release 1 is in force on every entry host" in_force_everywhere 1
printf 'release: 2\nchanges: 1\nauthor: a\nadded:\n  teams: [{name: one}]\n' >"$WORK/a.yaml"
printf 'release: 2\nchanges: 1\nauthor: b\nadded:\n  teams: [{name: two}]\n' >"$WORK/b.yaml"
ctl "${HOSTS[1]}" release publish "$WORK/a.yaml" >/dev/null 2>&1 & A=$!
ctl "${HOSTS[4]}" release publish "$WORK/b.yaml" >/dev/null 2>&1 & B=$!
wait $A; A=$?
wait $B; B=$?
expect "of two racing operators exactly one wins (exit codes $A and $B)" test $((A + B)) -eq 2
expect "release 2 is in force on every entry host" in_force_everywhere 2
printf 'release: 3\nchanges: 2\nauthor: c\nadded:\n  jobs: [{name: x, team: khairat, cpu: 999, memory: 1GiB, run_time: 1s}]\n' >"$WORK/c.yaml"
ctl "$FIRST" release publish "$WORK/c.yaml" >/dev/null 2>&1
expect "a job larger than any host is refused" test $? -eq 1

echo "Requests."
LINE=$("$BUILD/tests/caller_load" "$(callers_of "${HOSTS[0]}"),$(callers_of "${HOSTS[3]}"),$(callers_of "${HOSTS[5]}")" /s/ledger/read 1500 24)
echo "        $LINE"
expect "every caller got the whole answer to its own request" test "$(number ok "$LINE")" = 1500
LINE=$("$BUILD/tests/caller_load" "$(callers_of "${HOSTS[0]}"),$(callers_of "${HOSTS[3]}")" /s/ledger/pay 300 12 0 3000 pay)
echo "        $LINE"
expect "every keyed request was answered" test "$(number ok "$LINE")" = 300
expect "every key ran exactly once" each_ran_once pay 300
CODE=$(http -o /dev/null -w '%{http_code}' "http://$(callers_of "$FIRST")/s/nothing/x")
expect "an unknown service is refused as not run" test "$CODE" = 404

echo "An entry host is killed in the middle of payouts; callers resend to another."
"$BUILD/tests/caller_load" "$(callers_of "${HOSTS[0]}"),$(callers_of "${HOSTS[1]}")" /s/ledger/payout 400 12 250 3000 payout 8 >"$WORK/payout.out" &
LOAD=$!
sleep 0.6
kill -9 "${HOST_PID[$FIRST]}"
wait "$LOAD"
LINE=$(cat "$WORK/payout.out")
echo "        $LINE"
LIVE=("${HOSTS[@]:1}")
expect "no request lost: results and truthful 'may have run' add up" test $(($(number ok "$LINE") + $(number may_have_run "$LINE"))) -eq 400
expect "no answer was another request's" test "$(number wrong "$LINE")" = 0
RUNS=$(runs_of payout 4)
expect "no payout ran twice" test -z "$(grep -v ':1$' <<<"$RUNS")$(cut -d: -f1 <<<"$RUNS" | uniq -d)"
expect "the failure domain of the dead host has a new owner" wait_for 10 bash -c "$BUILD/cli/ibisvane --server $(operators_of "${HOSTS[1]}") status | grep -E 'domain sem-utara .*owner sem-utara-[23]'"

echo "Jobs."
expect "dues-posting finishes" wait_for 40 job_is "${HOSTS[1]}" dues-posting done
expect "benefit-payout finishes" wait_for 40 job_is "${HOSTS[1]}" benefit-payout done
expect "submit a job" ctl "${HOSTS[1]}" job submit examples/khairat-job.yaml
expect "audit-2026 finishes" wait_for 30 job_is "${HOSTS[5]}" audit-2026 done

echo "A failure domain is taken out and brought back."
expect "take sem-tengah out" ctl "${HOSTS[1]}" domain out sem-tengah
sleep 5
BEFORE=$(starts_in sem-tengah)
expect "its work has moved away" wait_for 10 bash -c "$BUILD/cli/ibisvane --server $(operators_of "${HOSTS[3]}") status | grep -E 'domain sem-tengah .*tasks 0'"
expect "nothing started there after five seconds" test "$(starts_in sem-tengah)" = "$BEFORE"
expect "bring sem-tengah in" ctl "${HOSTS[1]}" domain in sem-tengah

echo "A failure domain loses the platform but not its peers."
platform_fault sem-selatan log=down
printf 'release: 3\nchanges: 2\nauthor: c\nadded:\n  teams: [{name: three}]\n' >"$WORK/d.yaml"
expect "publish release 3" ctl "${HOSTS[1]}" release publish "$WORK/d.yaml"
expect "release 3 is in force everywhere, also there" in_force_everywhere 3
platform_fault sem-selatan log=up

echo "An upstream leaves; the host list says so late."
http -X POST "http://$IP:$((BASE + 1))/lag?ms=1000" >/dev/null
"$BUILD/tests/caller_load" "$(callers_of "${HOSTS[1]}")" /s/ledger/read 900 12 150 3000 >"$WORK/upstream.out" &
LOAD=$!
sleep 0.5
http -X POST "http://$IP:$((BASE + 700))/leave" >/dev/null
sleep 3
ran() { http "http://$IP:$((BASE + 700))/stats" | sed 's/.*"ran":\([0-9]*\).*/\1/'; }
AFTER=$(ran)
wait "$LOAD"
LINE=$(cat "$WORK/upstream.out")
echo "        $LINE"
expect "it got nothing new three seconds after it began to leave" test "$(ran)" = "$AFTER"
expect "and no caller noticed" test "$(number ok "$LINE")" = 900

echo "Every entry host is replaced at once."
for HOST in "${LIVE[@]}"; do kill -9 "${HOST_PID[$HOST]}"; done
for HOST in "${LIVE[@]}"; do wait "${HOST_PID[$HOST]}" 2>/dev/null; done
for HOST in "${LIVE[@]}"; do host_start "$HOST"; done
expect "the new hosts are ready from the log alone" wait_for 15 is_ready "${LIVE[0]}"
expect "release 3 is still in force everywhere" in_force_everywhere 3
expect "finished jobs are still finished" wait_for 5 job_is "${HOSTS[1]}" audit-2026 done
LINE=$("$BUILD/tests/caller_load" "$(callers_of "${HOSTS[1]}")" /s/ledger/pay 300 12 0 3000 pay)
echo "        $LINE"
RUNS=$(runs_of pay 4)
expect "payments sent again after the replacement did not run again" test -z "$(grep -v ':1$' <<<"$RUNS")$(cut -d: -f1 <<<"$RUNS" | uniq -d)"
wait_for 10 all_owned_by_living

echo "A planned stop."
LEAVER=${HOSTS[6]}
"$BUILD/tests/caller_load" "$(callers_of "$LEAVER")" /s/ledger/read 150 20 150 3000 >"$WORK/leave.out" &
LOAD=$!
sleep 0.5
kill -TERM "${HOST_PID[$LEAVER]}"
wait "${HOST_PID[$LEAVER]}"
expect "the host that leaves stops with exit code 0" test $? -eq 0
wait "$LOAD"
LINE=$(cat "$WORK/leave.out")
echo "        $LINE"
expect "no request in progress was cut off" test "$(number may_have_run "$LINE")" = 0

echo "Host time."
sleep 2
ctl "${HOSTS[1]}" report
expect "host time adds up on every host" balanced "${HOSTS[1]}"

STARTED=("${PIDS[@]}")
cluster_stop
LEFT=0
for pid in "${STARTED[@]}"; do kill -0 "$pid" 2>/dev/null && LEFT=$((LEFT + 1)); done
expect "no process is left behind" test "$LEFT" -eq 0
echo "demo: $OK ok, $FAILED failed"
[ "$FAILED" -eq 0 ]
