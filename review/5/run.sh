#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
case_folder="review/$(basename "$PWD")"
cd ../.. || exit 2
export TROUBLE="${TROUBLE:-1}" PYTHONPATH=".:target/deps"
exec python3 "$case_folder/case.py"
