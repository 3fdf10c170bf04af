#!/bin/sh
# Plays the case and writes record.txt beside this file; TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
exec "$(dirname "$0")/../lib_2/run_case.sh" review.lib_2.crash_loop review/8/record.txt
