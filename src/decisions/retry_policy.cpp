#include "ibiswell/decisions/retry_policy.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** The calls that a retried request makes count as retries too, at each level below. */
constexpr double ownPartOfRatio = 0.25;
constexpr double reserveWithSlack = 2; // retries that a node may save up
/** When all targets of a service are full, further choices only add load to their nodes. */
constexpr int mostSendsToFullTargets = 2;
constexpr int mostSends = 6; // of one call, free choices included
constexpr Duration shortestTimeForRetry = 2ms;

} // namespace

RetryAllowance retryAllowance(const FleetRetryBudget &budget)
{
    RetryAllowance allowance;
    allowance.earnedByFirstAttempt = budget.ratio * ownPartOfRatio;
    allowance.largest = budget.slack > 0 ? reserveWithSlack : 1;
    allowance.atStart = 1;
    return allowance;
}

RetryPolicy::RetryPolicy(RetryAllowance allowance)
    : m_terms(allowance)
{
}

double &RetryPolicy::allowanceOf(const std::string &service)
{
    return m_allowances.try_emplace(service, m_terms.atStart).first->second;
}

void RetryPolicy::onFirstAttempt(const std::string &service)
{
    double &allowance = allowanceOf(service);
    allowance = std::min(m_terms.largest, allowance + m_terms.earnedByFirstAttempt);
}

RetryDecision RetryPolicy::decide(const FailedAttempt &attempt)
{
    const ErrorResponse &answer = responseFor(attempt.refusal.kind);
    bool certainlyNotRun = attempt.refusal.execution == Execution::NotRun;
    if (answer.rechoice == Rechoice::Never)
        return GiveUp {"another target would answer the same"};
    if (!attempt.idempotent && !certainlyNotRun)
        return GiveUp {"not idempotent and may have run"};
    if (attempt.sends >= mostSends)
        return GiveUp {"too many targets tried"};
    if (attempt.remainingTime < shortestTimeForRetry)
        return GiveUp {"no time left"};
    bool mayReachMore =
        attempt.maximumTargets == 0 || attempt.targetsReached < attempt.maximumTargets;
    if (!mayReachMore)
        return GiveUp {"the route allows no further target"};
    bool full = attempt.refusal.kind == ErrorKind::QueueFull;
    if (full && attempt.sends >= mostSendsToFullTargets)
        return GiveUp {"the targets tried are full"};
    if (answer.rechoice == Rechoice::Free && certainlyNotRun)
        return ChooseAgain {};
    if (attempt.remainingRetries <= 0)
        return GiveUp {"the call tree has no retry left"};
    double &allowance = allowanceOf(attempt.service);
    if (allowance < 1)
        return GiveUp {"the node's retry allowance is spent"};
    allowance -= 1;
    return RetryCall {};
}

std::uint8_t retriesForCallBelow(std::uint8_t remainingRetries)
{
    return static_cast<std::uint8_t>((remainingRetries + 1) / 2);
}

} // namespace ibiswell
