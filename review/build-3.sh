#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
pids=()
for source in review/standin-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "target/review-3/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ -o target/review-3/reviewcell3 target/review-3/*.o -pthread
