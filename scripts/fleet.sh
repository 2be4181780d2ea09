# Functions that start a small fleet on loopback: stand-ins, entry and control processes.
# To be sourced. Uses BIN (folder of the programs), FLEET_DIR (logs and settings) and, if set, MORE_SETTINGS
# (lines of every node's settings, each ending with a comma).
#
#   fleet_start 3        platform, engines, plain service, and three nodes in three zones
#   fleet_publish DIR    publishes the service files below DIR
#   fleet_stop           ends every process that it started, and no other

# Every fleet uses the same addresses, so only one runs at a time on a machine.
exec 9> "${TMPDIR:-/tmp}/burdockreel-fleet.lock"
flock 9

PLATFORM=127.0.0.1:17000
declare -A PIDS

# start NAME COMMAND...: runs a command in the background; its log is FLEET_DIR/NAME.log.
start() {
    local name=$1
    shift
    "$@" > "$FLEET_DIR/$name.log" 2>&1 < /dev/null 9>&- &
    PIDS[$name]=$!
}

# stop NAME [SIGNAL]: ends a process and waits for it.
stop() {
    local pid=${PIDS[$1]}
    kill "-${2:-TERM}" "$pid" 2> /dev/null || true
    wait "$pid" 2> /dev/null || true
    unset "PIDS[$1]"
}

# wait_for SECONDS COMMAND...: repeats a command until it succeeds or the time is up.
wait_for() {
    local tries=$(($1 * 10))
    shift
    for _ in $(seq "$tries"); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "gave up waiting for: $*" >&2
    return 1
}

# Addresses of node N: for callers, and the status pages of its two processes.
caller() { echo "http://127.0.1.$1:17300"; }
entry_status() { echo "http://127.0.1.$1:17303"; }
control_status() { echo "http://127.0.1.$1:17304"; }

get() { curl -sf --max-time 5 "$@"; }

# wait_until_serving NODES: each node is ready and every published model is resident.
wait_until_serving() {
    local node
    for node in $(seq "$1"); do
        wait_for 20 get "$(entry_status "$node")/ready"
    done
    wait_for 30 models_resident "$1"
}

# models_resident NODES: each node routes to an engine for every model of first-steps.
models_resident() {
    local node status
    for node in $(seq "$1"); do
        status=$(get "$(entry_status "$node")/status") || return 1
        grep -q '"promo-writer@' <<< "$status" || return 1
        grep -q '"substitutions@' <<< "$status" || return 1
    done
}

# start_engine NAME PORT [OPTION...]
start_engine() {
    local name=$1 port=$2
    shift 2
    start "$name" "$BIN/standin-engine" --listen "127.0.0.1:$port" --name "$name" \
        --platform "$PLATFORM" --memory-mb 40000 "$@"
}

write_node_settings() {
    cat > "$FLEET_DIR/node-$1.json" << EOF
{
  // Node $1 of the fleet that scripts/fleet.sh starts. Every node has an address of its own; the
  // ports are the same on all of them.
  "name": "entry-$1",
  "availability_zone": "zone-$1",
  "address": "127.0.1.$1",
  "caller_port": 17300,
  "entry_peer_port": 17301,
  "control_peer_port": 17302,
  "entry_status_port": 17303,
  "control_status_port": 17304,
  "platform": "$PLATFORM",
  ${MORE_SETTINGS:-}
  "answer_lifetime_ms": ${ANSWER_LIFETIME_MS:-2000},
  "lease_time_ms": ${LEASE_TIME_MS:-3000},
  "seed": $1
}
EOF
}

start_entry() { start "entry-$1" "$BIN/burdock-entry" --settings "$FLEET_DIR/node-$1.json"; }
start_control() { start "control-$1" "$BIN/burdock-control" --settings "$FLEET_DIR/node-$1.json"; }

write_vm_list() {
    local nodes=$1 node
    {
        echo '['
        for node in $(seq "$nodes"); do
            echo "  {\"name\":\"entry-$node\",\"address\":\"127.0.1.$node\",\"port\":17300,\"group\":\"entry\",\"availability_zone\":\"zone-$node\",\"state\":\"${VM_STATE[entry-$node]:-live}\"},"
        done
        echo "  {\"name\":\"engine-1\",\"address\":\"127.0.0.1\",\"port\":17101,\"group\":\"model-pool\",\"availability_zone\":\"zone-1\",\"state\":\"${VM_STATE[engine-1]:-live}\"},"
        echo "  {\"name\":\"engine-2\",\"address\":\"127.0.0.1\",\"port\":17102,\"group\":\"model-pool\",\"availability_zone\":\"zone-2\",\"state\":\"${VM_STATE[engine-2]:-live}\"},"
        echo "  {\"name\":\"plain-1\",\"address\":\"127.0.0.1\",\"port\":17201,\"group\":\"order-app\",\"availability_zone\":\"zone-3\",\"state\":\"live\"}"
        echo ']'
    } > "$FLEET_DIR/vms.json"
}
declare -A VM_STATE

# fleet_start NODES [ENGINE-OPTION...]
fleet_start() {
    local nodes=$1 node
    shift
    write_vm_list "$nodes"
    start platform "$BIN/standin-platform" --listen "$PLATFORM" --vms "$FLEET_DIR/vms.json" \
        --loads-per-second 5 --load-ms 200
    start_engine engine-1 17101 "$@"
    start_engine engine-2 17102 --ignore-fencing "$@"
    start plain-1 "$BIN/standin-plain" --listen 127.0.0.1:17201 --name plain-1
    wait_for 10 get "http://$PLATFORM/counters"
    for node in $(seq "$nodes"); do
        write_node_settings "$node"
        start_control "$node"
        start_entry "$node"
    done
}

fleet_publish() { "$BIN/burdockctl" publish "$1" --platform "$PLATFORM"; }

fleet_stop() {
    local name
    for name in "${!PIDS[@]}"; do
        kill -CONT "${PIDS[$name]}" 2> /dev/null || true
        kill -KILL "${PIDS[$name]}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    PIDS=()
}

# fleet_end: for a script's EXIT trap. Stops the fleet; shows the end of each log after a failure.
fleet_end() {
    local status=$? name
    fleet_stop
    if [ "$status" -ne 0 ]; then
        for name in "$FLEET_DIR"/*.log; do
            printf '%s\n' "--- ${name##*/}"
            grep -v ' kind=' "$name" | tail -5
        done
    fi
    [ -n "${BURDOCK_FLEET_DIR:-}" ] || rm -rf "$FLEET_DIR"
    exit "$status"
}
