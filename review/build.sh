#!/bin/sh
# Builds the stand-in that the scripts of this review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review
cc -std=gnu11 -O2 -Wall -Wextra -o ../target/review/world world.c \
  $(pkg-config --cflags --libs glib-2.0 jansson)
