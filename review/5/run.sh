#!/usr/bin/env bash
# Exits with 1 if the rule was broken; TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}" exec "$(dirname "$0")/../common/run.sh" 5
