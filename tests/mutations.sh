#!/usr/bin/env bash
# Breaks one mechanism after the other in a scratch copy and shows that its check then fails.
# Usage: tests/mutations.sh [PATTERN OF NAMES]      (takes some minutes; not part of CI)
set -uo pipefail
pattern=${1:-}
root=$(cd "$(dirname "$0")/.." && pwd)
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git -C "$root" ls-files -z | (cd "$root" && xargs -0 cp --parents -t "$scratch")
cd "$scratch"
cmake -S . -B build -G Ninja >/dev/null
ninja -C build unit_tests fuzz_tests >/dev/null || exit 1
export RC_PARAMS="seed=20261204 max_success=20000"
missed=0

# name, file, text to find, text in its place, test program, test cases
break_one() {
    [[ "$1" == *$pattern* ]] || return 0
    cp "$2" "$2.kept"
    python3 - "$2" "$3" "$4" <<'PYTHON'
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
if old not in text:
    sys.exit(f"{path}: the text to break is not there: {old}")
open(path, "w").write(text.replace(old, new, 1))
PYTHON
    if [ $? -ne 0 ]; then
        missed=$((missed + 1))
    elif ! ninja -C build "$5" >build.log 2>&1; then
        echo "does not build: $1"; tail -n 5 build.log; missed=$((missed + 1))
    elif timeout 120 "build/$5" -tc="$6" >run.log 2>&1; then
        echo "NOT NOTICED: $1"; missed=$((missed + 1))
    else
        echo "noticed: $1 [$5 -tc=\"$6\"]"
    fi
    mv "$2.kept" "$2"
    touch "$2"
}

d=src/decisions
break_one "grants do not count against the burst" $d/rate_share.cpp \
    "bucket.outstanding += tokensGranted;" "" fuzz_tests "*no interval admits*"
break_one "a new holder starts with a full bucket" $d/rate_share.cpp \
    "bucket.refilledAt = m_startsAt;" "bucket.tokens = policy.burst / shareCount;" fuzz_tests \
    "*no interval admits*"
break_one "a duplicate grant is taken twice" $d/token_cache.cpp "m_openRequests.erase(open);" \
    "" fuzz_tests "*no interval admits*"
break_one "an expired token batch is still spent" $d/token_cache.cpp \
    "team.batches.front().expiresAt <= now || " "" fuzz_tests "*no interval admits*"
break_one "a holder counts its lease from the response" $d/lease_manager.cpp \
    "TimePoint until = sentAt + scaled(m_duration, 1 - maximumClockDrift);" \
    "TimePoint until = sentAt + scaled(m_duration, 1.3);" fuzz_tests \
    "*at most one node holds*"
break_one "a lease is taken over before it expired" $d/lease_manager.cpp \
    "now - *lease.observedSince > takeoverDelay" \
    "now - *lease.observedSince > takeoverDelay / 2" fuzz_tests "*at most one node holds*"
break_one "a stale response makes a holder" $d/lease_manager.cpp "if (isLatest)" "" fuzz_tests \
    "*at most one node holds*"
break_one "an older policy is adopted" $d/policy_store.cpp \
    "if (document.version <= m_policy.version)" "if (document.version == 0)" \
    fuzz_tests "*never reverts*"
break_one "a racing operator's change is overwritten" src/policy/policy_change.cpp \
    "if (std::visit(OverwriteChecker {edit.entry}, change))" "if (false)" fuzz_tests \
    "*never reverts*"
break_one "a write with a lost response is not recognised" src/policy/stored_policy.cpp \
    "return std::find(changes.begin(), changes.end(), id) != changes.end();" \
    "return id.empty() && changes.empty();" unit_tests "*response was lost finds*"
break_one "a new owner of a key grants an attempt that may have run" $d/key_registry.cpp \
    "!claim.firstAttempt && now - ownedSince < retentionTime" "false" fuzz_tests \
    "*runs at most once*"
break_one "an unknown outcome frees the key" $d/key_registry.cpp \
    "if (refusal->execution == Execution::NotRun)" "if (true)" fuzz_tests "*runs at most once*"
break_one "a retry that is passed on is not taken from the budget" $d/call_table.cpp \
    "call.summary.remainingRetries - context.remainingRetries" "call.summary.remainingRetries" \
    fuzz_tests "*never sends more retries*"
break_one "an order that may have run is sent again" $d/retry_policy.cpp \
    "if (!attempt.idempotent && !certainlyNotRun)" "if (false)" unit_tests "*never sent again*"
break_one "calls start above the limit" $d/target_admission.cpp \
    "inFlight() < limit() && m_queue.size() == 0" "m_queue.size() == 0" fuzz_tests \
    "*gets exactly one decision*"
break_one "expired calls are not removed from the queue" $d/fair_queue.cpp \
    "if (it->second.deadline <= now)" "if (false)" fuzz_tests "*gets exactly one decision*"
break_one "a cold start is not noticed" $d/concurrency_limit.cpp \
    "if (noteRecent(slow || !completed))" "if (false)" unit_tests "*cold start*"
break_one "the key stays in the request" $d/entry_admission.cpp \
    "removeKey(admitted.request, key);" "" unit_tests "*goes no further*"
break_one "a target in a zone out of service is still chosen" $d/router.cpp \
    "query.isZoneOut && query.isZoneOut(target.member.zone)" "false" unit_tests "*zone*"
break_one "the path's fraction is not asked at the first target" $d/target_admission.cpp \
    "if (!isAdmitted(context, arrival.downstreamFraction))" "if (false)" unit_tests \
    "*before any work*"
break_one "teams are not held to their share" $d/demand_shares.cpp \
    "double due = left * claim.demand->weight / weights;" "double due = left;" \
    unit_tests "*goodput at ten times*"
break_one "a suspicion is not refuted" $d/membership.cpp \
    "m_self.incarnation = update.incarnation + 1;" "" unit_tests "*refutes*"
break_one "trailing bytes after a message are accepted" src/wire/codec.cpp \
    "if (buffer.isAtEnd())" "if (true)" unit_tests "*truncated at any length*"

echo "mutations that were not noticed: $missed"
exit $((missed > 0))
