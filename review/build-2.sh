#!/usr/bin/env bash
# Builds the stand-in of the cases 6 to 10.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread -o build-review-2/review_standin_2 review/standin-2/*.cpp
