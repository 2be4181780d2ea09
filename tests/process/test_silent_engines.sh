#!/usr/bin/env bash
# The product's own interface before engines and a plain service that are sound, but fall silent for 0.5 to 2 s
# and go on. Nothing may be lost. By hand, for other seeds: BURDOCK_SEED=7 tests/process/test_silent_engines.sh build/bin
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
FLEET_DIR=${BURDOCK_FLEET_DIR:-$(mktemp -d)}
RANDOM=${BURDOCK_SEED:-1}
source scripts/fleet.sh
trap fleet_end EXIT

fleet_start 3 --token-us 20000
wait_for 10 fleet_publish examples/first-steps > /dev/null
wait_until_serving 3

python3 tests/process/traffic.py "${BURDOCK_SECONDS:-20}" ask 127.0.1.1:17300 127.0.1.2:17300 127.0.1.3:17300 \
    > "$FLEET_DIR/report.json" &
traffic=$!

silent=(engine-1 engine-2 plain-1)
while kill -0 "$traffic" 2> /dev/null; do
    name=${silent[RANDOM % 3]}
    pause=$((500 + RANDOM % 1500))
    kill -STOP "${PIDS[$name]}"
    sleep "$((pause / 1000)).$(printf %03d $((pause % 1000)))"
    kill -CONT "${PIDS[$name]}"
    # Beside a change of the configuration: every second silence or so.
    [ $((RANDOM % 2)) -eq 0 ] || fleet_publish examples/first-steps > /dev/null || true
    sleep "0.$((RANDOM % 9))"
done
wait "$traffic"

get http://127.0.0.1:17201/runs > "$FLEET_DIR/runs.json"
get http://127.0.0.1:17201/attempts > "$FLEET_DIR/attempts.json"
for port in 17101 17102; do get "http://127.0.0.1:$port/state" > "$FLEET_DIR/engine-$port.json"; done
python3 tests/process/judge.py --nothing-lost "$FLEET_DIR/report.json" "$FLEET_DIR/runs.json" \
    "$FLEET_DIR/attempts.json" "$FLEET_DIR"/engine-*.json
