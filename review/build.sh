#!/bin/sh
# The stand-ins use the Python standard library only; this compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q kit ./*/case.py
