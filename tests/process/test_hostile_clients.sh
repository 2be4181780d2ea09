#!/usr/bin/env bash
# Clients that break the limits before one burdock-node with small limits: it must live, stay within its
# memory and descriptors, and go on answering. Usage: test_hostile_clients.sh BIN PLAY; by hand, with a larger
# crowd: CROWD=4 tests/process/test_hostile_clients.sh build/bin trailers
set -euo pipefail
cd "$(dirname "$0")/../.."
export BURDOCK_NETWORK=${BURDOCK_NETWORK:-6}
exec 9> "${TMPDIR:-/tmp}/burdockreel-hostile-clients.lock" # plays use the same addresses
flock 9
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
python3 tests/process/hostile_clients.py node "$1" "$FOLDER" "$2" || { tail -20 "$FOLDER/n-0.log"; exit 1; }
