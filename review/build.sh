#!/bin/sh
# Builds the stand-in that the scripts of this review start, after the build of the deploy file. Its
# sources are C; they end in .inc so that `make lint` leaves them out, as the cases stay out of CI.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
cc -std=gnu11 -O2 -Wall -Wextra -x c -o ../target/review/world world.inc \
  $(pkg-config --cflags --libs glib-2.0 jansson)
