#!/usr/bin/env bash
# Checks that all that the scripts of cases 11 to 15 start can be imported with
# the build of the deploy file; nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/rig3"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PY'
import endivespindle.standins.users_platform
import engine
import fleet
import memory
import plain
import preempting
PY
