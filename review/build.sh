#!/bin/sh
# Builds what the scripts of this folder start. The stand-ins are Python
# files without dependencies, so they are only compiled as a check.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
    print("checked", path)
PY
