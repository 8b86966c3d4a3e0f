#!/usr/bin/env bash
# Checks the stand-ins and the cases. They are Python with its standard library alone, so nothing has
# to be built beside the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - platform_standins.py */case.py <<'PYTHON'
import ast, sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
