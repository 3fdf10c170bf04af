#!/bin/sh
# Runs the case of one folder: review/run_case.sh N.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/src"
export PYTHONDONTWRITEBYTECODE=1
exec python3 "review/$1/case.py"
