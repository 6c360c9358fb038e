#!/bin/sh
# Checks that the stand-ins of cases 11 to 13 load; run it after the build of
# the deploy file. They are Python and use the deployed libraries alone.
set -eu
root=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
cd "$root"
export PYTHONPATH="$root:$root/platform:$root/target/deps"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import importlib

for name in (
    'tests.platform.standin',
    'tests.platform.support',
    'review.harness_3.deployment',
    'review.harness_3.reborn',
):
    importlib.import_module(name)
PYTHON
