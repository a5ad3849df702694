#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CC:-gcc} -O1 -Wall -Wno-format-truncation -Wno-restrict -o target/review-2/sim-2 -x c review/sim-2.inc -x none -ljansson
