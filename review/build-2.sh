#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python programs that need the standard library alone
# (Python 3.11 or later), so that this only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for path in ["standins_2.py", *sorted(glob.glob("[6-9]/case.py") + glob.glob("10/case.py"))]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("checked", path)
PY
