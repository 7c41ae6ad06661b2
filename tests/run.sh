#!/bin/bash
# Runs the cmocka programs given after the build folder and closes with "N passed, N failed".
# A test listed in KNOWN-RED.txt ("PROGRAM:TEST ...", one a line) is run and printed, but not counted.
set -u
build=$1
shift
export SGR_BUILD="$build"
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
passed=0
failed=0
known=0

is_known_red () {
  [ -f KNOWN-RED.txt ] && grep -q "^$1[[:space:]]" KNOWN-RED.txt
}

for program in "$@"; do
  name=$(basename "$program")
  log="$logs/$name"
  timeout 120 "$program" >"$log" 2>&1
  status=$?
  ok=$(grep -c '^\[       OK \]' "$log")
  bad=$(grep '^\[  FAILED  \] [A-Za-z_]' "$log" | sed 's/^\[  FAILED  \] //' | sort -u | grep -v 'test(s)')
  passed=$((passed + ok))
  count=0
  for test in $bad; do
    if is_known_red "$name:$test"; then
      echo "known red: $name:$test"
      known=$((known + 1))
    else
      echo "FAILED $name:$test"
      failed=$((failed + 1))
    fi
    count=$((count + 1))
  done
  if [ "$status" -ne 0 ] && [ "$count" -eq 0 ]; then
    echo "FAILED $name: exit status $status without a report"
    failed=$((failed + 1))
    count=1
  fi
  [ "$count" -gt 0 ] && tail -n 60 "$log"
  echo "$name: $ok passed, $count failed"
done
[ "$known" -gt 0 ] && echo "$known known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
