#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs them on their seeds: a fixed count with a fixed seed (the default,
# for CI), or for so many seconds with --seconds N, from where the corpus found is kept apart.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FUZZ_BUILD:-build-fuzz}
cmake -S . -B "$build" -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo -DHEATHFLOW_TESTS=OFF \
  -DHEATHFLOW_FUZZ=ON >/dev/null
cmake --build "$build" -j"$(nproc)" --target heathflow_bolt_fuzz >/dev/null
found=$(mktemp -d)
trap 'rm -rf "$found"' EXIT
limits=(-runs=150000 -seed=1)
if [[ ${1:-} == --seconds ]]; then limits=(-max_total_time="$2" -seed="${SEED:-$$}"); fi
"$build/heathflow_bolt_fuzz" -max_len=4096 -timeout=10 -rss_limit_mb=2048 -print_final_stats=1 "${limits[@]}" \
  "$found" fuzz/corpus/bolt 2>&1 | tail -${LINES_SHOWN:-8}
