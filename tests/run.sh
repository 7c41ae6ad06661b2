#!/bin/bash
# Usage: tests/run.sh BUILD_DIRECTORY PROGRAM...
# Runs cmocka test programs and ends with the line "N passed, N failed". A failing test that is listed
# in KNOWN-RED.txt (one "PROGRAM:TEST ..." per line) is printed, but does not count as failed.
# Exit status: 0 if at least one test passed and none failed.
set -u
program_timeout_s=120
build=$1
shift
export SGR_BUILD="$build"
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
passed=0
failed=0
known_red=0

is_known_red () {
  [ -f KNOWN-RED.txt ] && grep -q "^$1[[:space:]]" KNOWN-RED.txt
}

for program in "$@"; do
  name=$(basename "$program")
  log="$logs/$name"
  timeout "$program_timeout_s" "$program" >"$log" 2>&1
  status=$?
  program_passed=$(grep -c '^\[       OK \]' "$log")
  # The summary of cmocka lists failed tests again, after a line with their number.
  failed_tests=$(grep '^\[  FAILED  \] [A-Za-z_]' "$log" | sed 's/^\[  FAILED  \] //' | sort -u | grep -v 'test(s)')
  passed=$((passed + program_passed))
  program_failed=0
  for test in $failed_tests; do
    if is_known_red "$name:$test"; then
      echo "known red: $name:$test"
      known_red=$((known_red + 1))
    else
      echo "FAILED $name:$test"
      failed=$((failed + 1))
    fi
    program_failed=$((program_failed + 1))
  done
  if [ "$status" -ne 0 ] && [ "$program_failed" -eq 0 ]; then
    echo "FAILED $name: exit status $status, but no failed test was reported"
    failed=$((failed + 1))
    program_failed=1
  fi
  [ "$program_failed" -gt 0 ] && tail -n 60 "$log"
  echo "$name: $program_passed passed, $program_failed failed"
done
[ "$known_red" -gt 0 ] && echo "$known_red known red, see KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
