#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python modules of the standard
# library alone, so this only compiles them; it needs no network.
set -euo pipefail
cd "$(dirname "$0")"
for folder in lib2 6 7 8 9 10; do
    python3 -m compileall -q "$folder"
done
