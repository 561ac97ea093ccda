#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain modules without dependencies; this checks that they can be loaded.
set -e
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [6-9]/play.mjs 10/play.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
