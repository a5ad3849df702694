#!/bin/sh
# run-3.sh CASE FOLDER [CPU]: starts the stand-ins and three entry hosts with the command and the
# settings of the deploy folder, and ends all of them. Exit status: that of the scenario.
set -u
case=$1
folder=$2
cpu=${3:-0.25}
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pids=""
cleanup() {
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
cd "$root" || exit 2
[ -x target/daemon/ibisvaned ] && [ -x target/review-3/cases-3 ] || exit 2
# An address of its own for each run, so that ports are free.
net="127.$((80 + $$ % 100)).$(($$ / 100 % 250))"
i=1
hosts=""
for zone in zone-1 zone-2 zone-3; do
  # What the platform fills in; sections without a value are left out.
  sed -e '/{{#Advice}}/,/{{\/Advice}}/d' -e '/{{#Bounds.StrictRevoke}}/,/{{\/Bounds.StrictRevoke}}/d' \
    -e '/{{[#/]Bounds.FarFactor}}/d' -e 's/far_factor: {{.}}/far_factor: 2/' \
    -e "s/{{Node}}/front-$zone-1/; s/{{Zone}}/$zone/; s/{{Ip}}/$net.$i/g" \
    -e 's/{{PortRange.0}}/7720/; s/{{PortRange.1}}/7721/' -e "s/{{platform.Address}}/$net.$((199 + i)):8169/" \
    -e "s/{{Listen.Front}}/$net.$i:8161/; s/{{Listen.Ready}}/$net.$i:8167/" \
    -e "s/{{platform.MinTtlMs}}/1000/; s/{{Limits.CpuShare}}/$cpu/; s/{{Bounds.HoldMaxMs}}/10000/" \
    -e 's/{{Bounds.EvacuateMs}}/5000/; s/{{Bounds.ContactMs}}/3000/; s/{{HeartbeatMs}}/1100/' \
    -e 's/{{Bounds.HarmMs}}/4000/; s/{{Bounds.status_s}}/120/' \
    deploy/settings.yaml >"$work/$i.yaml"
  if grep -q '{{' "$work/$i.yaml"; then
    echo "run-3.sh: unknown placeholder in deploy/settings.yaml" >&2
    exit 2
  fi
  hosts="$hosts $net.$i 8161"
  i=$((i + 1))
done
# shellcheck disable=SC2086
target/review-3/cases-3 "$case" "$net" 8169 $((20000 + $$ % 10000)) "${RECORD:-$folder/record.txt}" $hosts &
world=$!
pids=$world
sleep 0.5
for i in 1 2 3; do
  target/daemon/ibisvaned --config "$work/$i.yaml" >"$work/$i.log" 2>&1 &
  pids="$pids $!"
done
wait "$world"
code=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
