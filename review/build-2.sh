#!/bin/sh
# Prepares what the cases 6 to 10 start besides the program of the deploy file: their stand-ins are
# Python files that need nothing but the standard library of Python 3.11. Works without a network.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "Python 3.11 or later is needed" >&2
    exit 1
}
for file in fleet2.py [0-9]*/*.py; do
    case $file in
    [1-5]/*) continue ;; # of the earlier review
    esac
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
