#!/usr/bin/env bash
# Starts a small deployment on loopback, sends requests through it, and shows what it decided.
#
# Two services in two availability zones: each target of "catalogue" calls "stock" through its own
# node. Usage: examples/deployment.sh BUILD_FOLDER [--keep]   (--keep: run until interrupted)
# Exit code: 0 when each step showed what it is there for, 1 with the step named otherwise.
set -euo pipefail
build=${1:?build folder}
keep=${2:-}
here=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() { # name, command...
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

target() { # number, service, zone, further options of the backend server...
    local n=$1 service=$2 zone=$3
    shift 3
    cat >"$work/node-$n.jsonc" <<SETTINGS
{
    "node": "$service-$n", "service": "$service", "zone": "$zone", // who and where it is
    "http_port": $((8100 + n)), "peer_port": $((9100 + n)),
    "backend": { "address": "127.0.0.1", "port": $((7100 + n)) },
    "platform": { "address": "127.0.0.1", "port": 7000 },
    "lease_ms": 60000,
}
SETTINGS
    start "backend-$n" "$build/backend_standin" --port $((7100 + n)) --name "$service-$n" \
        --node-port $((8100 + n)) "$@"
    start "node-$n" "$build/ibiswelld" --settings "$work/node-$n.jsonc"
}

start platform "$build/platform_standin" --port 7000
target 1 catalogue qld-east-a --call "GET /stock/tiles"
target 2 catalogue qld-east-b --call "GET /stock/tiles"
target 3 stock qld-east-a
target 4 stock qld-east-b

operator() { "$build/ibiswell" "$@"; }
show() { # pattern that the output must hold, command...
    local pattern=$1
    shift
    echo; echo "\$ $*"
    "$@" >"$work/output" 2>&1 || true
    cat "$work/output"
    grep -q -- "$pattern" "$work/output" && return
    echo "The output of \"$*\" does not hold \"$pattern\"." >&2
    exit 1
}
decisions() { # the last lines that a node wrote of its decisions; they are written in batches
    for _ in $(seq 50); do
        grep -q " decision " "$work/$1.log" && break
        sleep 0.1
    done
    grep " decision " "$work/$1.log" | tail -n 4
}

sleep 1
show "in force on 4 of 4 nodes" operator config apply "$here/policy.jsonc"
show "" operator key grant example-key --team nursing-homes
echo; echo "Waiting until the leases of the rate shares are taken ..."
for _ in $(seq 100); do
    curl -s -o "$work/probe" -H "x-ibiswell-key: example-key" \
        http://127.0.0.1:8101/catalogue/sheets/1 && grep -q '"server"' "$work/probe" && break
    sleep 0.2
done
show "" operator status
echo; echo "A whole answer, two calls deep, through the node of another service:"
show '"below":\["200 GET /stock/tiles"\]' curl -s -i -H "x-request-id: example-1" http://127.0.0.1:8103/catalogue/tiles
echo; echo "An order with its team's key:"
show '"team":"nursing-homes"' curl -s -X POST -H "x-ibiswell-key: example-key" -H "idempotency-key: order-7" \
    -H "x-ibiswell-attempt: 1" -H "x-request-id: example-2" http://127.0.0.1:8102/catalogue/orders
echo; echo "A refusal, and why:"
show '"error":"key-missing"' curl -s -i -H "x-request-id: example-3" http://127.0.0.1:8101/catalogue/sheets/a4
show "outcome=answered" operator explain example-1
show "key-missing" operator explain example-3
echo; echo "A key withdrawn while callers use it:"
show "" operator key withdraw example-key
show '"error":"key-rejected"' curl -s -H "x-ibiswell-key: example-key" http://127.0.0.1:8104/catalogue/sheets/a4
echo; echo "Decision lines of the first node:"
decisions node-1
if [ "$keep" = "--keep" ]; then
    echo; echo "Running; callers may use http://127.0.0.1:8101 to 8104. Interrupt to end."
    wait
fi
