#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 "$here/case.py"
