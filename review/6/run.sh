#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption, and must pass.
TROUBLE=${TROUBLE:-1}
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/case.py"
