#!/bin/sh
# Checks the stand-ins and the cases. They are Python programs of the standard library, which need no build.
cd "$(dirname "$0")" || exit 2
for file in standins.py [1-5]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
