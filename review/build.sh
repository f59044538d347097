#!/usr/bin/env bash
# Compiles the stand-ins and cases; Python needs no more. Run after the build of
# the deploy file, whose target/deps holds the libraries.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=".:target/deps" PYTHONDONTWRITEBYTECODE=1
for file in review/support/*.py review/[0-9]*/case.py endivespindle/standins/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
python3 -c "import review.support.fleet"
