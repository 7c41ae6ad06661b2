#!/bin/bash
# Runs clang-tidy and cppcheck on the given C files; the first argument holds the preprocessor flags.
set -u
flags=$1
shift
cppcheck --quiet --std=c11 --enable=warning,portability --inline-suppr --error-exitcode=1 \
  -j "$(nproc)" --suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
  --max-configs=1 -Ilibsiskingrade "$@" || exit 1
printf '%s\n' "$@" | xargs -P "$(nproc)" -n 2 sh -c \
  'flags=$0; clang-tidy --quiet "$@" -- -std=gnu11 $flags 2>/dev/null' "$flags"
