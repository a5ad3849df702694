#!/usr/bin/env bash
# Regenerates the costs by size in docs/capacity/, with plots: capacity.sh [BUILD].
set -eu
BUILD=${1:-build}
out=docs/capacity
mkdir -p "$out"
"$BUILD/bench/slopes_bench" | tee "$out/slopes.txt"
for measure in decision_ns idle_cpu bytes_per_task snapshot recovery log_bytes_per_start; do
  unit=$(sed -n "s/^fit measure=$measure .*unit=//p" "$out/slopes.txt")
  sed -n "s/^slope measure=$measure workers=\([0-9]*\) value=\([0-9.]*\) .*/\1 \2/p" "$out/slopes.txt" >"$BUILD/$measure.dat"
  gnuplot -e "set terminal svg size 480,300; set output '$out/$measure.svg'; set xlabel 'workers in a failure domain'; set ylabel '$unit'; set key off; set yrange [0:*]; plot '$BUILD/$measure.dat' with linespoints pt 7"
done
