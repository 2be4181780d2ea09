#!/usr/bin/env bash
# Prepares what the cases of review 3 need beyond the build of deploy/system.toml. Their stand-ins are
# Python programs of the standard library, so that this only checks that they compile. No network.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "the cases need Python 3.11"
CHECK
for file in fleet3.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
