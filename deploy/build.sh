#!/usr/bin/env bash
# Puts the programs and what they need into target/deps, compiled; writes nothing else. The
# programs run from there, since a start that has to compile them takes twice as long.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/deps/requirements.stamp
if ! cmp -s requirements-runtime.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps -r requirements-runtime.txt
    cp requirements-runtime.txt "$stamp"
fi
rm -rf target/deps/chivetrack
cp -r chivetrack target/deps/chivetrack
find target/deps/chivetrack -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q -j 0 target/deps >/dev/null
