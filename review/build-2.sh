#!/bin/bash
# Builds the stand-ins of cases 6 to 10: they are Python files of the standard library,
# so that only their syntax is checked. The libraries of the entries are those that the
# build of deploy/system.toml puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")"
[ -d ../target/deps ] || { echo "target/deps is missing: build the deploy file first" >&2; exit 1; }
for file in shared2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
