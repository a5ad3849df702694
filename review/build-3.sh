#!/bin/sh
# Builds the stand-ins of review/11 and later, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
# shellcheck disable=SC2046
${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -o target/review-3/cases-3 -x c review/cases-3.inc \
  review/world-3.inc $(pkg-config --cflags --libs jansson) -lpthread
