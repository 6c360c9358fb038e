#!/usr/bin/env bash
# Runs the script of a case: run.sh FOLDER. Exits with 1 if the rule was broken.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root" || exit 2
export PYTHONPATH="$root/target/deps:$root:$root/platform:$root/review" TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
exec timeout -k 5 118 python3 "$root/review/$1/case.py"
