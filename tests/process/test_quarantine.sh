#!/usr/bin/env bash
# A request that crashes each engine that runs it is sent again and again through every node, then
# different requests that share such instructions. They must get their final answer after a bounded
# number of engines, and other requests must still be served.
set -euo pipefail
cd "$(dirname "$0")/../.."
BIN=$1
FLEET_DIR=${BURDOCK_FLEET_DIR:-$(mktemp -d)}
source scripts/fleet.sh
trap fleet_end EXIT

MAX_CRASHES=4 # three engines, and one that a run already under way may cost
crashes=0

restart_dead_engines() {
    local number
    for number in 1 2; do
        # A process that crashes has closed its sockets some time before it is gone.
        get "http://127.0.0.1:1710$number/state" > /dev/null && continue
        wait "${PIDS[engine-$number]}" || true
        crashes=$((crashes + 1))
        start_engine "engine-$number" "1710$number" --crash-on POISON
        # One that is still starting would count as dead at the next look, and never end.
        wait_for 30 get "http://127.0.0.1:1710$number/state"
    done
}

ask() { # ask NODE TEXT: prints the answer
    curl -s --max-time 20 "$(caller "$1")/model-pool/v1/chat/completions" -d "{
        \"model\": \"promo-writer\", \"max_tokens\": 4,
        \"messages\": [{\"role\": \"user\", \"content\": \"$2\"}]}"
}

fleet_start 3 --crash-on POISON
wait_for 10 fleet_publish examples/first-steps > /dev/null
wait_until_serving 3

# send_until_refused COMMAND: calls "COMMAND NODE TRY" until the answer is final.
send_until_refused() {
    local final="" try answer
    crashes=0
    for try in 1 2 3 4 5 6 7 8; do
        answer=$("$1" $((try % 3 + 1)) "$try")
        echo "try $try: $answer"
        restart_dead_engines
        wait_until_serving 3
        grep -q '"code":304' <<< "$answer" && final=yes && break
    done
    echo "engines crashed: $crashes"
    [ -n "$final" ] || { echo "broken: no final answer"; exit 1; }
    [ "$crashes" -ge 1 ] || { echo "broken: nothing crashed, the run shows nothing"; exit 1; }
    [ "$crashes" -le "$MAX_CRASHES" ] || { echo "broken: more than $MAX_CRASHES engines"; exit 1; }
}

same_request() { ask "$1" "POISON in the order book"; }

# No two alike but for their instructions.
shared_instructions() {
    curl -s --max-time 20 "$(caller "$1")/model-pool/v1/chat/completions" -d "{
        \"model\": \"promo-writer\", \"max_tokens\": 4, \"messages\": [
            {\"role\": \"system\", \"content\": \"POISON handbook\"},
            {\"role\": \"user\", \"content\": \"question $2\"}]}"
}

send_until_refused same_request
send_until_refused shared_instructions
ask 1 "a plain question" > "$FLEET_DIR/innocent.json"
grep -q '"content"' "$FLEET_DIR/innocent.json" && exit 0
echo "broken: others are not served: $(cat "$FLEET_DIR/innocent.json")"
exit 1
