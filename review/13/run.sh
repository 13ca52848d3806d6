#!/usr/bin/env bash
# The operator takes the only tenant away. Exits with 1 if requests with its key still run, 0 if not, 2 if
# the case can't run. TROUBLE=0: the same, but the tenant stays.
cd "$(dirname "$0")" && exec python3 case.py
