#!/usr/bin/env bash
# Clients that break the limits before one burdock-entry with small limits: it must live, stay within its memory
# and descriptors, and go on answering. Usage: test_hostile_entry.sh BIN PLAY; by hand, with a larger crowd:
# CROWD=4 tests/process/test_hostile_entry.sh build/bin trailers
set -euo pipefail
cd "$(dirname "$0")/../.."

BIN=$1
FLEET_DIR=$(mktemp -d)
MORE_SETTINGS='"max_header_bytes": 8192, "max_body_bytes": 1048576, "max_request_memory_mb": 12,
  "max_open_requests": 200, "header_timeout_ms": 60000, "body_timeout_ms": 60000,'
source scripts/fleet.sh
trap fleet_end EXIT

fleet_start 1
fleet_publish examples/first-steps
wait_for 20 get "$(entry_status 1)/ready"
wait_for 20 get "$(caller 1)/order-app/stock"
address=$(caller 1)
python3 tests/process/hostile_clients.py entry "${address#http://}" "${PIDS[entry-1]}" "$2"
