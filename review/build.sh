#!/usr/bin/env bash
# Builds the stand-ins of the cases. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  [[ -f $source ]] || continue
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "bin/case-${source%%/*}" "$source"
done
