#!/usr/bin/env bash
# Starts a small cell on loopback with stand-in workers and backend servers, sends one request of each kind, prints what became of
# each, and stops. With KEEP=1 the cell stays up until Ctrl-C. DATA names the data folder (default: ./data).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
data=${DATA:-data}
base=${PORT:-7401}
knot=$build/hickoryknot
standin=$build/tests/hickoryknot_standin
zones=(a b c)
mkdir -p "$data/log"
pids=()

stop_all() {
    trap - EXIT
    for ((i = ${#pids[@]} - 1; i >= 0; --i)); do kill -TERM "${pids[$i]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
}
trap stop_all EXIT
trap 'exit 130' INT TERM

hosts=""
entry=""
for i in 0 1 2; do
    hosts+="${hosts:+,}host-${zones[$i]}@${zones[$i]}=127.0.0.1:$((base + i))+disk"
    entry+="${entry:+,}127.0.0.1:$((base + i))"
done
for i in 0 1 2; do
    "$knot" serve --host-id "host-${zones[$i]}" --zone "${zones[$i]}" --listen "127.0.0.1:$((base + i))" --hosts "$hosts" \
        --data "$data/host-${zones[$i]}" 2>>"$data/log/host-${zones[$i]}.log" &
    pids+=($!)
done
for zone in "${zones[@]}"; do
    "$standin" worker --entry "$entry" --zone "$zone" --id "worker-$zone" --count 2 --accelerators 2 2>>"$data/log/worker-$zone.log" &
    pids+=($!)
    "$standin" server --entry "$entry" --zone "$zone" --id "server-$zone" --count 2 2>>"$data/log/server-$zone.log" &
    pids+=($!)
done
export HICKORYKNOT_ENTRY=$entry

# Waits until the cell has a leader, its hosts hold the table lease and all workers are known.
echo "waiting for the cell at $entry"
for attempt in $(seq 1 150); do
    ready=$("$knot" workers --json 2>/dev/null | grep -c '"state": "ready"' || true)
    servers=$("$knot" servers --json 2>/dev/null | grep -c '"state": "fresh"' || true)
    [ "$ready" = 6 ] && [ "$servers" = 6 ] && break
    if [ "$attempt" = 150 ]; then
        echo "the cell did not become ready; see $data/log" >&2
        exit 1
    fi
    sleep 0.2
done

say() { printf '\n$ hickoryknot %s\n' "$*"; }
run() { say "$@"; "$knot" "$@" || echo "(exit code $?)"; }
run hosts
run workers
run table set lookup priority=90 targetWaitMs=50 cutOff=keep
run table set night hours=always preemptible=yes
run request --row lookup --body "one part"
run request --row default --not-repeatable --body "one order"
for kind in service batch gang; do
    tasks=3
    command=run:500
    [ "$kind" = service ] && command=forever
    say "submit --kind $kind --tasks $tasks --command $command"
    id=$("$knot" submit --kind "$kind" --tasks "$tasks" --command "$command" --expected-run-ms 500 --json | sed -n 's/.*"answer": "\(.*\)".*/\1/p' || true)
    if [ -z "$id" ]; then continue; fi
    echo "accepted as $id"
    if [ "$kind" = service ]; then
        sleep 1
        run status "$id"
        run explain "$id"
        run cancel "$id"
    else
        run explain "$id"
    fi
    run wait "$id" --deadline-ms 15000
done
say "submit --kind batch --millicores 900000 (larger than any worker)"
"$knot" submit --kind batch --millicores 900000 --command run:1 || true
run report burn

if [ "${KEEP:-0}" = 1 ]; then
    printf '\nThe cell stays up; HICKORYKNOT_ENTRY=%s. Ctrl-C stops it.\n' "$entry"
    wait "${pids[0]}"
fi
