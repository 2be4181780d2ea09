#!/usr/bin/env bash
# Several burdock-node processes before replicas that end on a part of a prompt. By hand, other seeds:
#   BURDOCK_SEEDS="7 8 9" tests/process/test_poisoned_parts.sh build/bin
# BURDOCK_SILENCE: seconds after which the part comes again.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
export BURDOCK_NETWORK=${BURDOCK_NETWORK:-3}
exec 9> "${TMPDIR:-/tmp}/burdockreel-poisoned-parts-$BURDOCK_NETWORK.lock" # plays use the same addresses
flock 9
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT

for seed in ${BURDOCK_SEEDS:-2 6}; do
    mkdir "$FOLDER/$seed"
    python3 tests/process/poisoned_parts.py "$BIN" "$FOLDER/$seed" "${BURDOCK_NODES:-5}" "$seed" \
        "${BURDOCK_SILENCE:-0}" \
        || { grep -hv 'event=\(send\|done\|node\) ' "$FOLDER/$seed"/n-*.log | sort | tail -200; exit 1; }
done
