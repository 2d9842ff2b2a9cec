#!/usr/bin/env bash
# Prepares the stand-ins of the cases: they are Python 3.11 without further
# packages, so that this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    { echo "python3 is older than 3.11" >&2; exit 2; }
for file in standin/*.py [0-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
