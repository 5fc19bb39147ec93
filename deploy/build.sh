#!/usr/bin/env bash
# Puts what the programs need into target/deps and compiles all of it. Writes nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=target/deps/requirements.stamp
if ! cmp -s requirements-runtime.txt "$stamp"; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps -r requirements-runtime.txt
    cp requirements-runtime.txt "$stamp"
fi
python3 -m compileall -q -j 0 target/deps chivetrack >/dev/null
