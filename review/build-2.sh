#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2. Needs
# the compiler and libjsoncpp-dev of the deploy file's packages.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/main.cc; do
  [[ -f $source ]] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra "$source" \
    -o "target/review-2/case-$number" -ljsoncpp -pthread
done
