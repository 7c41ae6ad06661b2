#!/bin/bash
# Builds the stand-ins and the programs of the cases 11 to 15 under target/review-3/. Needs gcc and
# jansson, which the build of the deploy file needs, too.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for n in 11 12 13 14 15; do
  if [ -f "review/$n/case.c" ]; then
    gcc -O2 -g -std=gnu11 -Wall -Wextra -pthread -Ireview/rig-3 -o "target/review-3/case-$n" \
      "review/$n/case.c" review/rig-3/rig.c -ljansson
  fi
done
