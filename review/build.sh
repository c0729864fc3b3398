#!/bin/sh
# The stand-ins are plain Python and need no build; this checks that they compile.
cd "$(dirname "$0")" && for file in common/*.py ?/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
