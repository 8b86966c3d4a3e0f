#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# Writes record.txt beside this file: what was sent, answered and run.
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py"
