#!/bin/bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption. Build the program of the deploy
# file and review/build-3.sh before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-15 ] || exit 2
exec target/review-3/case-15 review/15/record.txt
