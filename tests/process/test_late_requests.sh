#!/usr/bin/env bash
# A planned stop of a burdock-node while callers go on until its process is gone, with calls of up to 5.5 s.
set -euo pipefail
cd "$(dirname "$0")/../.."
export BURDOCK_NETWORK=${BURDOCK_NETWORK:-5}
exec 9> "${TMPDIR:-/tmp}/burdockreel-late-requests-$BURDOCK_NETWORK.lock" # plays use the same addresses
flock 9
FOLDER=$(mktemp -d)
trap 'rm -rf "$FOLDER"' EXIT
python3 tests/process/late_requests.py "$1" "$FOLDER" || { cat "$FOLDER"/n-0.log | tail -100; exit 1; }
