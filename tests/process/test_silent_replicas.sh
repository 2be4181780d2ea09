#!/usr/bin/env bash
# Several burdock-node processes before sound replicas that fall silent for 0.5 to 2 s and go on, while the
# configuration changes, nodes reload and nodes are stopped as planned. By hand, for other seeds:
#   BURDOCK_SEEDS="1 2 3" BURDOCK_SECONDS=20 tests/process/test_silent_replicas.sh build/bin
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
export BURDOCK_NETWORK=${BURDOCK_NETWORK:-4}
exec 9> "${TMPDIR:-/tmp}/burdockreel-silent-replicas-$BURDOCK_NETWORK.lock" # plays use the same addresses
flock 9
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT

for seed in ${BURDOCK_SEEDS:-1 4}; do
    mkdir "$FOLDER/$seed"
    python3 tests/process/silent_replicas.py "$BIN" "$FOLDER/$seed" "${BURDOCK_NODES:-3}" "$seed" \
        "${BURDOCK_SECONDS:-12}" "${BURDOCK_CALLERS:-60}" \
        || { [ -n "${BURDOCK_KEEP:-}" ] && cp -r "$FOLDER/$seed" "$BURDOCK_KEEP"; exit 1; }
done
