#include "ibiswell/decisions/retry_policy.h"

#include <doctest/doctest.h>

using namespace ibiswell;
using namespace std::chrono_literals;

namespace {

FailedAttempt makeAttempt(ErrorKind kind, Execution execution, bool idempotent)
{
    return {{kind, "", execution}, idempotent, 1, 1, 1s};
}

} // namespace

TEST_CASE("a request that may have run is never sent again unless it is idempotent")
{
    RetryPolicy policy;
    auto order = makeAttempt(ErrorKind::ConnectionLost, Execution::Unknown, false);
    CHECK(std::holds_alternative<GiveUp>(policy.decide(order)));
    auto lookup = makeAttempt(ErrorKind::ConnectionLost, Execution::Unknown, true);
    CHECK(std::holds_alternative<RetryCall>(policy.decide(lookup)));
}

TEST_CASE("choosing another target after a refusal for that target alone costs no retry")
{
    RetryPolicy policy;
    auto order = makeAttempt(ErrorKind::TargetLeaving, Execution::NotRun, false);
    order.remainingRetries = 0;
    CHECK(std::holds_alternative<ChooseOtherTarget>(policy.decide(order)));
}

TEST_CASE("a refusal by a leaving target further downstream does not permit another choice")
{
    // The call itself may have run, so a call that is not idempotent must not be sent again.
    RetryPolicy policy;
    auto order = makeAttempt(ErrorKind::TargetLeaving, Execution::Unknown, false);
    CHECK(std::holds_alternative<GiveUp>(policy.decide(order)));
}

TEST_CASE("a call is not retried without remaining time, budget or allowance")
{
    RetryPolicy policy;
    auto lookup = makeAttempt(ErrorKind::ConnectionLost, Execution::Unknown, true);
    auto late = lookup;
    late.remainingTime = 1ms;
    CHECK(std::holds_alternative<GiveUp>(policy.decide(late)));
    auto spent = lookup;
    spent.remainingRetries = 0;
    CHECK(std::holds_alternative<GiveUp>(policy.decide(spent)));
    int granted = 0;
    while (std::holds_alternative<RetryCall>(policy.decide(lookup)))
        ++granted;
    CHECK(granted == 25);
    for (int i = 0; i < 11; ++i)
        policy.onFirstAttempt();
    CHECK(std::holds_alternative<RetryCall>(policy.decide(lookup)));
}

TEST_CASE("a request reaches no more targets than its route allows")
{
    RetryPolicy policy;
    FailedAttempt lookup = makeAttempt(ErrorKind::ConnectionLost, Execution::Unknown, true);
    lookup.maximumTargets = 2;
    lookup.targetsReached = 1;
    CHECK(std::holds_alternative<RetryCall>(policy.decide(lookup)));
    lookup.targetsReached = 2;
    CHECK(std::holds_alternative<GiveUp>(policy.decide(lookup)));
}

TEST_CASE("the retries of one service do not spend the allowance of another")
{
    RetryPolicy policy({0.1, 2, 1});
    FailedAttempt lookup = makeAttempt(ErrorKind::ConnectionLost, Execution::Unknown, true);
    lookup.service = "stock";
    CHECK(std::holds_alternative<RetryCall>(policy.decide(lookup)));
    CHECK(std::holds_alternative<GiveUp>(policy.decide(lookup)));
    lookup.service = "ledger";
    CHECK(std::holds_alternative<RetryCall>(policy.decide(lookup)));
}

TEST_CASE("nodes stay within the fleet's retry budget without messages between them")
{
    // Load: 200 first attempts at each of 18 nodes, as in ten seconds; each fails and could be
    // retried.
    const FleetRetryBudget budget {0.2, 49};
    int firstAttempts = 0;
    int retries = 0;
    for (int node = 0; node < 18; ++node) {
        RetryPolicy policy(makeRetryAllowance(budget));
        for (int i = 0; i < 200; ++i) {
            policy.onFirstAttempt("stock");
            ++firstAttempts;
            FailedAttempt failed = makeAttempt(ErrorKind::ConnectionLost, Execution::Unknown, true);
            failed.service = "stock";
            retries += std::holds_alternative<RetryCall>(policy.decide(failed)) ? 1 : 0;
        }
    }
    CHECK(retries > 0);
    // Downstream calls of a retried call count too, at up to four levels, hence the quarter.
    CHECK(retries <= budget.ratio / 4 * firstAttempts + budget.slack);
}
