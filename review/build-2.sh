#!/usr/bin/env bash
# Prepares what the scripts of the second review start. Their stand-ins are
# Python 3 without further packages, in review/standin-2 and in the cases; none of
# the project's own stand-ins is started. The programs themselves come from the
# build of the deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in review/standin-2/world.py review/6/case.py review/8/case.py \
    review/9/case.py review/10/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
