#!/usr/bin/env bash
# Checks that the stand-ins of review/11 to review/15 can run. They are Python
# programs of the standard library, so nothing is built.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/standins.py 1?/case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
CHECK
