#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the program of
# the deploy file. Their stand-ins are plain JavaScript, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/run.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
