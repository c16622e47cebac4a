#!/bin/bash
# Prepares the stand-ins of cases 6 to 10. They are plain Node.js modules without dependencies: nothing is compiled, each is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in *-2.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
