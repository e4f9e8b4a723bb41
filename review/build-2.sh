#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. It needs a C++20 compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/test.cpp; do
  [[ -f $source ]] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -I review/common-2 -o "build-review-2/case-$number" "$source" &
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
exit "$failed"
