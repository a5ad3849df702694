#!/bin/sh
# Generates the XDR code of the three .x files; the result is committed.
set -eu
cd "$(dirname "$0")/../.."
for base in state/records rpc/peer jobs/jobs; do
  dir=$(dirname "$base") name=$(basename "$base")
  ( cd "$dir"
    rm -f "${name}_xdr.c" "${name}_xdr.h"
    rpcgen -h -o "${name}_xdr.h" "$name.x"
    rpcgen -c -o "${name}_xdr.c" "$name.x"
    sed -i "s/#include \"$name.h\"/#include \"${name}_xdr.h\"/" "${name}_xdr.c" )
done
