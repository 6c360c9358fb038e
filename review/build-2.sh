#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start. The daemons come from the
# build of the deploy file. The stand-ins are Python modules that use the same
# libraries, so it is enough that these are there and that the modules load.
cd "$(dirname "$0")/.." || exit 2
if [ ! -d target/deps ]; then
    echo "target/deps is missing: run the build of deploy/system.toml first" >&2
    exit 2
fi
PYTHONPATH="target/deps:." exec python3 -c '
import review.harness_2.deployment
import review.harness_2.engine_links
import tests.platform.standin
'
