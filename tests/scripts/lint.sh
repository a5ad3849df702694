#!/bin/sh
# Checks the format of and lints every source file that is not generated: lint.sh [BUILD].
set -eu
build=${1:-build}
files=$(git ls-files '*.c' '*.h' | grep -v _xdr)
clang-format --dry-run -Werror $files
cmake -S . -B "$build" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
sources=$(git ls-files '*.c' | grep -v _xdr)
echo "$sources" | xargs -P "$(nproc)" -n 8 clang-tidy --quiet -p "$build" --warnings-as-errors='*'
echo "lint: clean"
