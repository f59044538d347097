#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python:
# the build compiles them and imports them with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
  echo "target/deps is missing: run the build of deploy/system.toml first" >&2
  exit 1
fi
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q endivespindle/standins review/rig
for play in review/[0-9]*/play.py; do
  python3 -m compileall -q "$play"
done
python3 -c "import review.rig.cases, review.rig.fleet"
echo "stand-ins are built"
