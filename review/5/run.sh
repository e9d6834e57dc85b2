#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt is broken, 0 if it holds, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
exec python3 "$(dirname "$0")/case.py"
