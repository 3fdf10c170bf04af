#!/bin/sh
# Checks that all stand-ins of the cases can be imported with the libraries that the
# build of the deploy file has installed. They are Python; nothing else is built.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/src"
export PYTHONDONTWRITEBYTECODE=1
exec python3 -c "
import review.lib.callers
import review.lib.deployment
import standins.platform_endpoint
import standins.platform_store
"
