#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-9 ] || { echo "not run: review/build-2.sh has not run"; exit 2; }
TROUBLE="${TROUBLE:-1}" exec target/review-2/case-9 review/9
