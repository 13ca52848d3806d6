#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python scripts and need nothing else.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import glob

for path in ["standins.py"] + glob.glob("*/*.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
