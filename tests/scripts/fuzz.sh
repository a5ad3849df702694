#!/usr/bin/env bash
# Runs libFuzzer on every target: fuzz.sh BUILD RUNS SEED. The planner gets RUNS / 100 + 1 inputs.
set -euo pipefail
BUILD=$1 RUNS=$2 SEED=$3
for target in base/schema state/batch settings/note rpc/frame route/router platform/wire sched/planner; do
  runs=$RUNS
  [ "$target" = sched/planner ] && runs=$((RUNS / 100 + 1))
  echo "fuzz: $target, $runs inputs, seed $SEED"
  "$BUILD/${target}_fuzz" -runs="$runs" -seed="$SEED" -max_len=600 -len_control=0 -print_final_stats=0 2>&1 | tail -2
done
