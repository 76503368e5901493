#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, after the build of the deploy file. They use its libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/libhickoryknot_platform.a ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
mkdir -p review/bin
pids=()
for source in review/standin/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -DBOOST_ASIO_DISABLE_TIMERFD $(pkg-config --cflags spdlog) -Isrc -Iplatform \
        -Ireview/standin -c "$source" -o "review/bin/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ -o review/bin/review_standin review/bin/*.o target/libhickoryknot_platform.a target/libhickoryknot_app.a \
    target/libhickoryknot_core.a $(pkg-config --libs spdlog libxxhash) -lfmt -pthread
