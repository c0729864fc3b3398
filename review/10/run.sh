#!/bin/bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec timeout --preserve-status --kill-after=10 108 python3 "$(dirname "$0")/case.py"
