#!/bin/bash
# Usage: tests/lint.sh PREPROCESSOR_FLAGS FILE.c...
# Runs cppcheck and clang-tidy on C files. PREPROCESSOR_FLAGS is one argument in
# which spaces separate the flags; they are passed to clang-tidy.
set -u
flags=$1
shift
cppcheck --quiet --std=c11 --enable=warning,portability --inline-suppr --error-exitcode=1 \
  -j "$(nproc)" --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
  --max-configs=1 -Ilibsiskingrade "$@" || exit 1
# The flags are passed as $0 of the inner shell, which splits them into words.
printf '%s\n' "$@" | xargs -P "$(nproc)" -n 2 sh -c \
  'flags=$0; clang-tidy --quiet "$@" -- -std=gnu11 $flags 2>/dev/null' "$flags"
