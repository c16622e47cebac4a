#!/usr/bin/env bash
# Checks the stand-ins and the scripts of the cases; they are plain JavaScript and need no compilation.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do node --check "$file"; done
