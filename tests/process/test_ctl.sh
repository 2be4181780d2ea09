#!/usr/bin/env bash
# burdockctl against a real fleet on loopback: bad files, publishing, a lost answer, clashes, lagging
# nodes, an outage of the platform, explaining and draining.
set -euo pipefail
cd "$(dirname "$0")/../.."

BIN=$1
FLEET_DIR=$(mktemp -d)
source scripts/fleet.sh
trap 'fleet_stop; rm -rf "$FLEET_DIR"' EXIT
CTL=("$BIN/burdockctl" --platform "$PLATFORM")
checks=0

fail() {
    echo "FAILED: $1" >&2
    cat "$FLEET_DIR/out" >&2
    exit 1
}

# expect CODE TEXT COMMAND...: the command ends with the exit code and prints the text.
expect() {
    local code=$1 text=$2 seen=0
    shift 2
    "$@" > "$FLEET_DIR/out" 2>&1 || seen=$?
    [ "$seen" -eq "$code" ] || fail "exit code $seen in place of $code: $*"
    grep -qF -- "$text" "$FLEET_DIR/out" || fail "no '$text' from: $*"
    checks=$((checks + 1))
}

# published_revision: the revision that the Object API holds.
published_revision() { get "http://$PLATFORM/objects/config%2Fhead" | grep -o '^{"revision":[0-9]*' | cut -d: -f2; }

set_faults() { get -X PUT "http://$PLATFORM/faults" -d "$1" > /dev/null; }

# write_order_app TIMEOUT-MS: a version of the order-app service.
write_order_app() {
    cat > "$FLEET_DIR/files/order-app/burdock.json" << END
{ "service": "order-app",
  "routes": [ { "class": "fast", "method": "GET", "path": "/stock", "timeout_ms": $1 },
              "at-most-once POST /orders" ] }
END
}

if get "http://$PLATFORM/counters" > /dev/null; then
    echo "FAILED: another fleet uses the ports of this test" >&2
    exit 1
fi
mkdir "$FLEET_DIR/files"
cp -r examples/first-steps/* "$FLEET_DIR/files"
files=$FLEET_DIR/files

# ---- Without a fleet ----------------------------------------------------------------------------

expect 0 "publish" "${CTL[@]}" --help
expect 64 "" "${CTL[@]}"
expect 64 "subcommand is required" "${CTL[@]}" no-such
expect 64 "'host:1' is not IP:PORT" "$BIN/burdockctl" status --platform host:1
expect 64 "folder or --remove" "${CTL[@]}" publish
expect 0 "good: 2 services with 2 models" "${CTL[@]}" check "$files"
expect 0 "not run" "${CTL[@]}" explain 305
expect 69 "error 501" "${CTL[@]}" status
expect 69 "error 501" "${CTL[@]}" publish "$files"

# ---- Publishing ---------------------------------------------------------------------------------

fleet_start 3
wait_for 10 get "$(entry_status 3)/live"
expect 0 "service order-app: added" "${CTL[@]}" publish "$files" --operator ann
grep -q "published revision 1" "$FLEET_DIR/out" || fail "revision 1"
grep -q "in force on 3 of 3 nodes" "$FLEET_DIR/out" || fail "in force"
expect 0 "nothing to publish: revision 1" "${CTL[@]}" publish "$files" --operator ann

write_order_app 700
expect 0 "timeout_ms 10000 -> 700" "${CTL[@]}" check "$files" --published
[ "$(published_revision)" = 1 ] || fail "check wrote something"
expect 0 "published revision 2" "${CTL[@]}" publish "$files" --operator ben

# Bad input: refused with file, path and reason; what runs stays.
for bad in '{"service": "order-app"' '{"service": "order-app"}' '{"service": "x", "routes": 3}' \
    '{"service": "order-app", "routes": ["fast GET /"], "rout": 1}' \
    '{"service": "other", "upstreams": "model-pool", "routes": ["fast GET /"]}'; do
    echo "$bad" > "$files/order-app/burdock.json"
    expect 78 "order-app/burdock.json: \$" "${CTL[@]}" publish "$files"
done
rm -r "$files/order-app"
cat > "$files/burdock.json" << 'END'
{ "service": "copycat", "routes": ["fast GET /"], "models": [ { "name": "promo-writer", "memory_mb": 1 } ] }
END
expect 78 "the model promo-writer is also published by" "${CTL[@]}" publish "$files/burdock.json"
expect 65 "no service ghost is published" "${CTL[@]}" publish --remove ghost
rm "$files/burdock.json"
[ "$(published_revision)" = 2 ] || fail "a bad file changed the configuration"

# A lost answer: the change is published once, and the operator hears of it.
mkdir "$files/order-app"
write_order_app 800
set_faults '{"lose_write_answers": true}'
expect 0 "published revision 3" "${CTL[@]}" publish "$files" --operator ann
set_faults '{}'
[ "$(published_revision)" = 3 ] || fail "a lost answer published twice"

# A clash: the same service changed since the operator looked.
write_order_app 900
expect 75 "ann published services/order-app as revision 3" \
    "${CTL[@]}" publish "$files" --operator ben --base 2
[ "$(published_revision)" = 3 ] || fail "a clash changed the configuration"

# Operators racing: every publish of another service gets a revision of its own.
pids=()
for number in 1 2 3 4; do
    mkdir -p "$FLEET_DIR/race/$number"
    echo "{ \"service\": \"race-$number\", \"routes\": [\"fast GET /\"] }" \
        > "$FLEET_DIR/race/$number/burdock.json"
    "${CTL[@]}" publish "$FLEET_DIR/race/$number" --wait 0 > "$FLEET_DIR/race/$number.out" 2>&1 &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid" || fail "a racing publish failed"; done
[ "$(published_revision)" = 7 ] || fail "four racing publishes made $(published_revision)"
[ "$(cat "$FLEET_DIR"/race/*.out | grep '^published' | sort -u | wc -l)" = 4 ] || fail "race"
expect 0 "published revision 8" "${CTL[@]}" publish --remove race-1 --remove race-2

# ---- In force -----------------------------------------------------------------------------------

kill -STOP "${PIDS[entry-2]}"
write_order_app 1000
expect 75 "entry-2 entry does not answer" "${CTL[@]}" --timeout-ms 200 publish "$files" --wait 2
grep -q "error 602" "$FLEET_DIR/out" || fail "code 602"
kill -CONT "${PIDS[entry-2]}"
in_force() {
    "${CTL[@]}" status > "$FLEET_DIR/status"
    grep -q "revision 9 is in force on 3 of 3 nodes" "$FLEET_DIR/status"
}
wait_for 10 in_force || fail "status after the node came back"
expect 0 '"in_force":3' "${CTL[@]}" --json status
python3 -c 'import json,sys; s=json.load(sys.stdin); assert s["ok"] and len(s["nodes"]) == 3 and not s["lagging"]' \
    < "$FLEET_DIR/out" || fail "status as JSON"
expect 0 "places models" "${CTL[@]}" status

set_faults '{"outage": true}'
expect 69 "error 501" "${CTL[@]}" publish "$files"
expect 0 "revision 9 is in force on 1 of 1 nodes" "${CTL[@]}" status --node 127.0.1.1:17303
set_faults '{}'

# ---- Explaining and draining --------------------------------------------------------------------

expect 0 "promo-writer" "${CTL[@]}" explain promo-writer
expect 0 "no kept decision mentions" "${CTL[@]}" explain never-heard-of
expect 69 "the VM list has no" "${CTL[@]}" drain never-heard-of
expect 0 "engine-2 gets no new work from revision 10" "${CTL[@]}" drain engine-2 --operator ann
# upstream_state NODE NAME STATE: how a node sees an upstream.
upstream_state() {
    get "$(entry_status "$1")/status" > "$FLEET_DIR/status"
    python3 -c 'import json,sys
rows = json.load(open(sys.argv[1]))["upstreams"]
sys.exit({row["name"]: row["state"] for row in rows}.get(sys.argv[2]) != sys.argv[3])' \
        "$FLEET_DIR/status" "$2" "$3"
}
for node in 1 2 3; do
    wait_for 5 upstream_state "$node" engine-2 leaving || fail "engine-2 does not leave on node $node"
done
expect 0 "drained already" "${CTL[@]}" drain engine-2
expect 0 "engine-2 takes new work from revision 11" "${CTL[@]}" drain engine-2 --undo
for node in 1 2 3; do
    wait_for 5 upstream_state "$node" engine-2 reachable || fail "engine-2 is not back on node $node"
done
expect 0 "entry-3 has stopped" "${CTL[@]}" drain entry-3 --wait 30

echo "burdockctl: $checks commands checked"
