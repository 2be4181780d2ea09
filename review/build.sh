#!/bin/sh
# Builds what the scripts need beyond the deploy file's build. Their stand-ins of the store, of replicas and of
# callers are Python (fleet.py) and need no build; this only checks that they can run.
set -e
cd "$(dirname "$0")"
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in fleet.py */scene.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
