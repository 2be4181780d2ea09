#!/usr/bin/env bash
# Stops one node after the other as planned (SIGTERM) and starts the first again while callers follow
# the address answers. Nothing may be lost: every call is served by the first address it goes to.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
FLEET_DIR=${BURDOCK_FLEET_DIR:-$(mktemp -d)}
source scripts/fleet.sh
trap fleet_end EXIT

process_ended() { ! kill -0 "${PIDS[$1]}" 2> /dev/null; }

fleet_start 3 --token-us 20000
wait_for 10 fleet_publish examples/first-steps > /dev/null
wait_until_serving 3

python3 tests/process/traffic.py 62 ask 127.0.1.1:17300 127.0.1.2:17300 127.0.1.3:17300 \
    > "$FLEET_DIR/report.json" &
traffic=$!

sleep 2;  echo "stop entry-1 and control-1 as planned"
kill -TERM "${PIDS[entry-1]}" "${PIDS[control-1]}"
wait_for 40 process_ended entry-1
echo "entry-1 has ended; start it again"
start_entry 1
start_control 1
sleep 2;  echo "stop entry-2 and control-2 as planned"
kill -TERM "${PIDS[entry-2]}" "${PIDS[control-2]}"
wait_for 40 process_ended entry-2
wait "$traffic"

get http://127.0.0.1:17201/runs > "$FLEET_DIR/runs.json"
get http://127.0.0.1:17201/attempts > "$FLEET_DIR/attempts.json"
for port in 17101 17102; do get "http://127.0.0.1:$port/state" > "$FLEET_DIR/engine-$port.json"; done
python3 tests/process/judge.py --nothing-lost "$FLEET_DIR/report.json" "$FLEET_DIR/runs.json" \
    "$FLEET_DIR/attempts.json" "$FLEET_DIR"/engine-*.json
