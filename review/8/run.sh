#!/bin/sh
exec "$(dirname "$0")/../lib_2/run_case.sh" review.lib_2.crash_loop review/8
