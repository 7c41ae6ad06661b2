#!/bin/sh
# Builds the stand-ins and scripts of the second review into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[6-9]/case.c review/10/case.c; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  ${CC:-gcc} -std=gnu11 -O2 -g -Wall -D_GNU_SOURCE -pthread -o "target/review-2/case-$number" \
    "$source" review/rig-2/rig.c -ljansson
done
