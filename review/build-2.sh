#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They need the standard library
# only, so nothing is compiled or installed.
cd "$(dirname "$0")" || exit 1
for file in harness_2.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
