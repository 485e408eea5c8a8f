#!/bin/bash
# Builds the stand-ins of the scripts. They are plain Python of the standard library, so
# this only checks that they compile.
cd "$(dirname "$0")" && exec python3 - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
