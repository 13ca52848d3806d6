#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are all Python scripts
# (harness3.py and the case.py beside each run.sh) and need no build; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys, tomllib  # tomllib: Python 3.11, as on Debian 12
for path in ["harness3.py", *sorted(glob.glob("1[1-5]/*.py"))]:
    ast.parse(open(path, encoding="utf-8").read(), path)
print("stand-ins can be read")
CHECK
