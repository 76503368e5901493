#!/usr/bin/env bash
# Measures the short path and idle cost of a cell of three hosts with 50 workers and 50 backend servers on loopback. Prints one figure a line.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
base=${PORT:-7601}
seconds=${SECONDS_PER_RUN:-10}
data=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$data"
}
trap stop_all EXIT

zones=(a b c)
hosts="" entry=""
for i in 0 1 2; do
    hosts+="${hosts:+,}h${zones[$i]}@${zones[$i]}=127.0.0.1:$((base + i))+disk"
    entry+="${entry:+,}127.0.0.1:$((base + i))"
done
for i in 0 1 2; do
    "$build/hickoryknot" serve --host-id "h${zones[$i]}" --zone "${zones[$i]}" --listen "127.0.0.1:$((base + i))" --hosts "$hosts" \
        --data "$data/h${zones[$i]}" --seed $((i + 1)) 2>"$data/h${zones[$i]}.log" &
    pids+=($!)
done
for i in 0 1 2; do
    count=$((i == 0 ? 18 : 16))
    "$build/tests/hickoryknot_standin" worker --entry "$entry" --zone "${zones[$i]}" --id "w${zones[$i]}" --count $count --per-rack 8 >/dev/null 2>&1 &
    pids+=($!)
    "$build/tests/hickoryknot_standin" server --entry "$entry" --zone "${zones[$i]}" --id "s${zones[$i]}" --count $count --work-ms 5 >/dev/null 2>&1 &
    pids+=($!)
done
echo "machine $(nproc) processors, $(sed -n 's/^model name.*: //p' /proc/cpuinfo | head -1); commit $(git rev-parse --short HEAD); load $(cut -d' ' -f1 /proc/loadavg)"

# Time for elections, for the waits of new granters and for all announcements.
sleep 8
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ { print $2 }' "/proc/$1/status"; }
before=()
for i in 0 1 2; do before+=("$(ticks "${pids[$i]}")"); done
sleep 20
for i in 0 1 2; do
    used=$(($(ticks "${pids[$i]}") - before[i]))
    echo "idle host ${zones[$i]}: cpu $(awk -v u=$used -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "%.2f", 100 * u / hz / 20 }')% of a core, resident $(resident "${pids[$i]}") KiB, threads $(ls "/proc/${pids[$i]}/task" | wc -l)"
done

"$build/hickoryknot" load --entry "127.0.0.1:$base" --rate 1000 --seconds "$seconds" --connections 64 --row default --seed 1 | grep -v ' 0$' | sed 's/^/one host, 1000 requests\/s: /'
"$build/hickoryknot" load --entry "$entry" --rate 5000 --seconds "$seconds" --connections 192 --row default --seed 2 | grep -v ' 0$' | sed 's/^/three hosts, 5000 requests\/s: /'
for i in 0 1 2; do echo "after load host ${zones[$i]}: resident $(resident "${pids[$i]}") KiB"; done
