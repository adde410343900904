#!/usr/bin/env bash
# Builds what the scripts of review/11 to 15 start besides the program itself:
# their stand-ins are plain JavaScript in review/lib-3 and run as they are, so
# they are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file"
done
test -f target/hickorywharf.cjs
