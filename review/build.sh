#!/bin/bash
# Builds the stand-ins of the scripts in review/ into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Wextra -Ireview/harness "$source" \
    -o "target/review/case_$number" -pthread
done
