#!/bin/sh
# Runs one case: run_case.sh MODULE RECORD, the path of record.txt. Ends within 120 s.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:src:. exec timeout 118 python3 -m "$1" "$2"
