#!/bin/bash
# Usage: bench/run.sh BUILD_FOLDER PROGRAM...
# Runs the programs one after the other, each for at most 300 s. Exit status: 1 if one of them fails.
set -u
export SGR_BUILD="$1"
shift
status=0
for program in "$@"; do
  echo "== $(basename "$program")"
  timeout 300 "$program" || { echo "$(basename "$program"): exit status $?"; status=1; }
done
exit $status
