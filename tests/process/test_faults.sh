#!/usr/bin/env bash
# Kills, freezes and restarts entry and control processes and turns the platform's faults on while
# orders, lookups and streams flow. The plain service's own count of runs is the judge.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
FLEET_DIR=${BURDOCK_FLEET_DIR:-$(mktemp -d)}
source scripts/fleet.sh
trap fleet_end EXIT

faults() { curl -sf -X PUT "http://$PLATFORM/faults" -d "$1"; }

fleet_start 3 --token-us 20000
wait_for 10 fleet_publish examples/first-steps > /dev/null
wait_until_serving 3

python3 tests/process/traffic.py 36 random 127.0.1.1:17300 127.0.1.2:17300 127.0.1.3:17300 \
    > "$FLEET_DIR/report.json" &
traffic=$!

sleep 2;  echo "kill entry-2";                stop entry-2 KILL
sleep 2;  echo "restart entry-2";             start_entry 2
sleep 2;  echo "freeze entry-3";              kill -STOP "${PIDS[entry-3]}"
sleep 8;  echo "resume entry-3";              kill -CONT "${PIDS[entry-3]}"
sleep 1;  echo "kill every control process";  for n in 1 2 3; do stop control-$n KILL; done
sleep 1;  echo "restart control";             for n in 1 2 3; do start_control $n; done
sleep 1;  echo "lose the answers of writes";  faults '{"lose_write_answers":true}'
sleep 2;  echo "platform outage";             faults '{"outage":true}'
sleep 3;  echo "slow platform";               faults '{"delay_ms":300}'
sleep 2;  echo "platform well again";         faults '{}'
sleep 1;  echo "kill entry-1";                stop entry-1 KILL
sleep 1;  echo "restart entry-1";             start_entry 1
wait "$traffic"

get http://127.0.0.1:17201/runs > "$FLEET_DIR/runs.json"
get http://127.0.0.1:17201/attempts > "$FLEET_DIR/attempts.json"
for port in 17101 17102; do get "http://127.0.0.1:$port/state" > "$FLEET_DIR/engine-$port.json"; done
python3 tests/process/judge.py "$FLEET_DIR/report.json" "$FLEET_DIR/runs.json" \
    "$FLEET_DIR/attempts.json" "$FLEET_DIR"/engine-*.json
