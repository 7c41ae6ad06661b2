#!/bin/bash
# Fuzzes the parsers with libFuzzer if clang has its runtime, else with the random mutations of
# fuzz_driver.c, compiled by gcc with its address and undefined behavior sanitizers.
# With libFuzzer, each fuzz target runs for FUZZ_SECONDS. With fuzz_driver.c, it runs with FUZZ_RUNS
# inputs and fails after ten times FUZZ_SECONDS. FUZZ_MODE=driver selects fuzz_driver.c in any case.
set -eu -o pipefail
cd "$(dirname "$0")/.."
seconds=${FUZZ_SECONDS:-20}
runs=${FUZZ_RUNS:-200000}
out=build-fuzz
mkdir -p "$out"
flags="-std=gnu11 -O1 -g -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -Ilibsiskingrade -Iplatform -pthread"
libs="-lh2o-evloop -lhttp_parser -lssl -lcrypto -lprotobuf-c -lcyaml -lyaml -ljansson -lxxhash -lsodium -lm"
library=$(ls libsiskingrade/*.c platform/*.c | grep -v platform/main.c)

echo 'int LLVMFuzzerTestOneInput (const unsigned char *b, unsigned long n) { return 0; }' >"$out/probe.c"
if [ "${FUZZ_MODE:-}" != driver ] && command -v clang >/dev/null \
  && clang -fsanitize=fuzzer,address "$out/probe.c" -o "$out/probe" 2>/dev/null; then
  mode=libfuzzer
else
  mode=driver
fi
echo "fuzz: $mode"
for target in frame settings platform; do
  if [ "$mode" = libfuzzer ]; then
    # shellcheck disable=SC2086
    clang $flags -fsanitize=fuzzer,address "fuzz/fuzz_$target.c" $library -o "$out/fuzz_$target" $libs
    mkdir -p "$out/corpus-$target"
    "$out/fuzz_$target" -max_total_time="$seconds" -seed=1 -print_final_stats=1 \
      -artifact_prefix="$out/" "$out/corpus-$target" "fuzz/corpus/$target" 2>&1 | tail -n 4
  else
    # shellcheck disable=SC2086
    gcc $flags -fsanitize=address,undefined -fno-sanitize-recover=all "fuzz/fuzz_$target.c" \
      fuzz/fuzz_driver.c $library -o "$out/fuzz_$target" $libs
    timeout $((seconds * 10)) "$out/fuzz_$target" "fuzz/corpus/$target" "$runs"
  fi
  echo "fuzz: $target done"
done
