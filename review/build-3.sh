#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3, with the
# compiler that the deploy file lists and no further package.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/stand_ins_3/*.cc; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-3/$(basename "$source" .cc)"
done
