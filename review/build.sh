#!/usr/bin/env bash
# Checks the stand-ins of the review scripts. They are Python programs without
# dependencies and need no build; the daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import pathlib
for name in [*pathlib.Path("review").rglob("*.py"),
             pathlib.Path("test/soak/store_standin.py")]:
    compile(name.read_text(), str(name), "exec")
PY
