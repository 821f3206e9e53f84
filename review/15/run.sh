#!/bin/sh
# See claim.txt. TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=review/lib-3/bin/frozen_keeper
[ -x "$program" ] && [ -x target/pimentoferry/cli/pimentoferry ] || exit 2
timeout 110 "$program" review/15/record.txt
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
