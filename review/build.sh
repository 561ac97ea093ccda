#!/bin/sh
# Builds the stand-ins of the cases. They are plain modules of Node.js without dependencies, so that there is
# nothing to compile; their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]*/*.mjs; do
  node --check "$file"
done
