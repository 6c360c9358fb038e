#!/usr/bin/env bash
# Checks that the stand-ins of the scripts load; they need no build of their own
# beside the one of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
PYTHONPATH="$root/target/deps:$root:$root/platform:$root/review" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import common.stage'
