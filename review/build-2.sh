#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 with their stand-ins, beside the build of the deploy file:
# build-review-2/case-N from review/N/case.cpp.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/case-$number" "$source"
done
