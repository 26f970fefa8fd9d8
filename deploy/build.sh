#!/bin/sh
# Installs the dependencies in the versions of constraints.txt to target/deps
# and compiles all sources, so that no process has to compile at its start.
set -eu
stamp=target/deps/.installed
requirements=target/requirements.txt
mkdir -p target
if [ ! -e "$stamp" ] || [ constraints.txt -nt "$stamp" ] \
    || [ pyproject.toml -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -c 'import tomllib
with open("pyproject.toml", "rb") as source:
    print("\n".join(tomllib.load(source)["project"]["dependencies"]))
' > "$requirements"
    python3 -m pip install --quiet --target target/deps \
        --constraint constraints.txt --requirement "$requirements"
    touch "$stamp"
fi
python3 -m compileall -q dandeliondrum target/deps || true
