#!/bin/sh
# Installs the packages that the build needs; without root, prints the command that does.
set -eu
packages="gcc make cmake pkg-config clang libclang-rt-14-dev clang-format clang-tidy \
libuv1-dev libh2o-dev libtirpc-dev rpcsvc-proto libyaml-dev libglib2.0-dev libcmocka-dev \
libjansson-dev libxxhash-dev libgsl-dev libssl-dev zlib1g-dev gnuplot-nox"
missing=""
for package in $packages; do
  dpkg-query -W -f='${db:Status-Abbrev}' "$package" 2>/dev/null | grep -q '^ii' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
if [ "$(id -u)" -ne 0 ]; then
  echo "missing packages; run: sudo apt-get install -y$missing" >&2
  exit 1
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
