#!/usr/bin/env bash
# Several burdock-node processes before a store that comes back from an older copy: a fleet in which
# every node watches the store, and one in which most nodes follow others. By hand, for other seeds:
#   BURDOCK_ROUNDS=10 BURDOCK_SEED=7 tests/process/test_returned_store.sh build/bin
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
exec 9> "${TMPDIR:-/tmp}/burdockreel-returned-store.lock" # plays use the same addresses
flock 9
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT

for nodes in ${BURDOCK_NODES:-4 14}; do
    mkdir "$FOLDER/$nodes"
    python3 tests/process/returned_store.py "$BIN" "$FOLDER/$nodes" "$nodes" \
        "${BURDOCK_ROUNDS:-2}" "${BURDOCK_SEED:-1}" \
        || { grep -hv 'event=\(send\|done\|node\) ' "$FOLDER/$nodes"/n-*.log | sort | tail -200; exit 1; }
done
