#!/usr/bin/env bash
# The operator's first manifest has the version 0. Exits with 1 if it is acknowledged and then doesn't come when it
# is read back, 0 if not, 2 if the case can't run. TROUBLE=0: the same manifest with the version 1.
cd "$(dirname "$0")" && exec python3 case.py
