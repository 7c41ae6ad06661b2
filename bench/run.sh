#!/bin/bash
# Runs each bench program given after the build folder and prints its table.
set -u
export SGR_BUILD="$1"
shift
status=0
for program in "$@"; do
  echo "== $(basename "$program")"
  timeout 300 "$program" || { echo "$(basename "$program"): exit status $?"; status=1; }
done
exit $status
