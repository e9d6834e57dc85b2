#!/bin/sh
# Checks what the scripts of review/6 to 10 start beside the daemon: stand-ins in
# Python, of review/lib-2 and test/soak, which need no build.
set -e
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
for file in review/lib-2/*.py review/[6-9]/case.py review/10/case.py \
  test/soak/executor_standin.py test/soak/store_standin.py \
  test/soak/tcp_proxy.py test/soak/soak.py; do
  [ ! -f "$file" ] || python3 -c \
    'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
