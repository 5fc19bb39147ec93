#!/usr/bin/env bash
# Builds the stand-ins of the second review. They are Python with the standard library alone, so
# building them means checking that the interpreter on the path can compile them.
set -euo pipefail
cd "$(dirname "$0")"
for file in stage_2.py [0-9]*/case.py; do
    [ -f "$file" ] || continue
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
