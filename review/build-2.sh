#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are scripts for the interpreter of
# .venv and need nothing else: each is compiled once to see that this interpreter can run it. Nothing is written.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/{6,7,8,9,10}/*.py; do
    test -e "$file" || continue
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
