#!/bin/bash
# Builds the stand-ins of the cases into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=gnu11 -O1 -g -Wall -D_GNU_SOURCE -Wno-format-truncation -Ireview/rig -pthread"
${CC:-cc} $flags -c -o target/review/rig.o review/rig/rig.c
for source in review/[1-5]/*.c; do
  case=$(basename "$(dirname "$source")")
  ${CC:-cc} $flags -o "target/review/case-$case" "$source" target/review/rig.o
done
