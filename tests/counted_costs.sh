#!/usr/bin/env bash
# Counts instructions under callgrind and holds them against bounds from the stated size.
#
# A core is taken as 2e9 instructions a second.
#   call:    0.52 ms added for 99 in 100, a tenth of it for decisions: 104,000 instructions a call
#   control: 2.9% of a core, half of it for membership and leases: 29,000,000 a second
#   policy:  the other half at 34,000 changes a day (0.39/s): 73,000,000 a change
# Usage: tests/counted_costs.sh PROGRAM
set -euo pipefail
program=${1:?program}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

count() { # kind, number of times: instructions of the whole run
    valgrind --tool=callgrind --callgrind-out-file="$work/out" "$program" "$1" "$2" >"$work/log" 2>&1 \
        || { cat "$work/log"; exit 1; }
    sed -n 's/.*Collected : //p' "$work/log"
}

failed=0
check() { # kind, few, many, bound for one
    local few many each
    few=$(count "$1" "$2")
    many=$(count "$1" "$3")
    each=$(((many - few) / ($3 - $2)))
    echo "$1: $each instructions each, bound $4"
    [ "$each" -le "$4" ] || failed=1
}
check call 100 600 104000
check control 2 12 29000000
check policy 1 3 73000000
[ "$failed" -eq 0 ] && echo "counted costs: within their bounds"
exit "$failed"
