#!/bin/sh
# Builds the stand-ins of review/4 to review/8. All are Python modules that use the
# libraries which the deploy file's build has placed under target/deps.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build of the deploy file first" >&2; exit 2; }
PYTHONPATH=target/deps:src:. python3 -c "
import review.lib_2.endpoint, review.lib_2.fleet, standins.platform_store"
