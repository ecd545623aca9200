#!/usr/bin/env bash
# Build what the scripts start: the stand-ins need no build but that they can be read.
# They use the standard library alone; the hosts come from the build of the deploy file.
cd "$(dirname "$0")" || exit 1
for file in standins.py ./*/run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
