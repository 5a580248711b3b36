#!/bin/sh
# The stand-ins are Python and need nothing but the standard library, so there is
# nothing to compile; this checks that each file can be read by this Python.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.py review/[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
