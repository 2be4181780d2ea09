#!/usr/bin/env bash
# The settings that examples/make-nodes writes are good, and no two VMs share an address and port.
set -euo pipefail
cd "$(dirname "$0")/../.."

BIN=$1
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT

check_deployment() {
    local name=$1 nodes=$2 vms=$3 file
    examples/make-nodes "examples/$name/deployment.json" "$OUT/$name"
    for file in "$OUT/$name"/nodes/*.json; do
        "$BIN/burdock-entry" --settings "$file" --check
    done
    [ "$(ls "$OUT/$name/nodes" | wc -l)" = "$nodes" ]
    python3 - "$OUT/$name/vms.json" "$vms" << 'END'
import json, sys
vms = json.load(open(sys.argv[1], encoding="utf-8"))
assert len(vms) == int(sys.argv[2]), len(vms)
for keys in (("name",), ("address", "port")):
    assert len({tuple(vm[key] for key in keys) for vm in vms}) == len(vms), keys
END
}

check_deployment peachline 7 28
check_deployment lachance 8 24

# A bad file is refused with file, path and reason, and the exit code of the table.
bad=$OUT/peachline/nodes/entry-1.json
sed -i 's/"caller_port": [0-9]*/"caller_port": 0/' "$bad"
code=0
message=$("$BIN/burdock-control" --settings "$bad" --check 2>&1) || code=$?
[ "$code" = 78 ]
[ "$message" = "$bad: \$.caller_port: 0 is outside 1 to 65535" ]
