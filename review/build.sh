#!/bin/sh
# The stand-ins of the scripts are plain JavaScript without dependencies: they are only checked here.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs */run.mjs; do
  node --check "$file" || exit 1
done
