#!/usr/bin/env bash
# The stand-ins are Python files that need the standard library alone; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PY'
from pathlib import Path

for path in sorted(Path().glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"{path} compiles")
PY
