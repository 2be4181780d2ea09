#!/bin/sh
# See claim.txt. TROUBLE=0: without the late order and the kill.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 scene.py
