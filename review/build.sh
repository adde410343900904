#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript for
# Node.js and Python and need no build; this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
  [ -f "$file" ] || continue
  node --check "$file"
done
for file in [0-9]*/*.py; do
  [ -f "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
