#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the node: their stand-ins and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9; do
    source="review/$number/case.cpp"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/case-$number" "$source" \
        review/lib-2/harness.cpp
done
