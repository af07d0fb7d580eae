#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library only, so this
# checks that the interpreter can compile them.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
PY
