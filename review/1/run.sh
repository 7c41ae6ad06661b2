#!/bin/bash
# Runs the case. TROUBLE=0 does the same without the disruption.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
TROUBLE=${TROUBLE:-1}
cd "$(dirname "$0")/../.." || exit 2
[ -x target/siskingraded-platform ] && [ -x target/review/case-1 ] || exit 2
disruption=on
[ "$TROUBLE" = 0 ] && disruption=off
timeout -k 2 110 target/review/case-1 review/1/record.txt "$disruption"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
