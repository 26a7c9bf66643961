#!/usr/bin/env bash
# Counts instructions with callgrind and compares them with upper bounds for the planned fleet.
#
# The bounds assume that a core executes 2e9 instructions per second.
#   call:    the 99th percentile of added latency is 0.52 ms, a tenth of it for decisions:
#            104,000 instructions per call
#   control: 2.9% of a core, half of it for membership and leases: 29,000,000 instructions per
#            second
#   policy:  the other half of the 2.9%, at 34,000 changes per day (0.39/s): 73,000,000
#            instructions per change
# Usage: tests/counted_costs.sh PROGRAM
set -euo pipefail
program=${1:?program}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

count() { # arguments: kind of work, number of repetitions; prints the instructions of the run
    valgrind --tool=callgrind --callgrind-out-file="$work/out" "$program" "$1" "$2" >"$work/log" 2>&1 \
        || { cat "$work/log"; exit 1; }
    sed -n 's/.*Collected : //p' "$work/log"
}

failed=0
# The difference between two runs excludes the instructions for the set-up.
check() { # arguments: kind of work, few repetitions, many repetitions, bound per repetition
    local few many each
    few=$(count "$1" "$2")
    many=$(count "$1" "$3")
    each=$(((many - few) / ($3 - $2)))
    echo "$1: $each instructions per repetition, bound $4"
    [ "$each" -le "$4" ] || failed=1
}
check call 100 600 104000
check control 2 12 29000000
check policy 1 3 73000000
[ "$failed" -eq 0 ] && echo "counted costs: all within their bounds"
exit "$failed"
