#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15. They are Python files that use the libraries of
# the entries, which the build of deploy/system.toml puts into target/deps: they are
# parsed for a check of their syntax, and the libraries are imported once.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: build the deploy file first" >&2; exit 1; }
for file in review/shared3/*.py review/1[1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
PYTHONPATH=target/deps python3 -c 'import aiohttp, msgspec'
