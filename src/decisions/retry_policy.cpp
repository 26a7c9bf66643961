#include "ibiswell/decisions/retry_policy.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** The downstream calls of a retried call count as retries too, at each level of the tree. */
constexpr double nodeFractionOfRatio = 0.25;
constexpr double savedRetriesWithSlack = 2; // that a node may save up, for a budget with slack
/** When all targets of a service are full, further attempts only add load to their nodes. */
constexpr int maximumSendsToFullTargets = 2;
constexpr int maximumSends = 6; // of one call, including those that cost no retry
constexpr Duration minimumTimeForRetry = 2ms;

} // namespace

RetryAllowance makeRetryAllowance(const FleetRetryBudget &budget)
{
    RetryAllowance allowance;
    allowance.retriesPerFirstAttempt = budget.ratio * nodeFractionOfRatio;
    allowance.maximum = budget.slack > 0 ? savedRetriesWithSlack : 1;
    allowance.initial = 1;
    return allowance;
}

RetryPolicy::RetryPolicy(RetryAllowance allowance)
    : m_allowanceLimits(allowance)
{
}

double &RetryPolicy::allowanceOf(const std::string &service)
{
    return m_allowances.try_emplace(service, m_allowanceLimits.initial).first->second;
}

void RetryPolicy::onFirstAttempt(const std::string &service)
{
    double &allowance = allowanceOf(service);
    allowance =
        std::min(m_allowanceLimits.maximum, allowance + m_allowanceLimits.retriesPerFirstAttempt);
}

RetryDecision RetryPolicy::decide(const FailedAttempt &attempt)
{
    const ErrorResponse &response = responseFor(attempt.refusal.kind);
    bool certainlyNotRun = attempt.refusal.execution == Execution::NotRun;
    if (response.rechoice == Rechoice::Never)
        return GiveUp {"another target would return the same error"};
    if (!attempt.idempotent && !certainlyNotRun)
        return GiveUp {"not idempotent and may have run"};
    if (attempt.sends >= maximumSends)
        return GiveUp {"maximum number of attempts reached"};
    if (attempt.remainingTime < minimumTimeForRetry)
        return GiveUp {"not enough time remains"};
    bool mayReachAnotherTarget =
        attempt.maximumTargets == 0 || attempt.targetsReached < attempt.maximumTargets;
    if (!mayReachAnotherTarget)
        return GiveUp {"the route allows no further target"};
    bool isTargetFull = attempt.refusal.kind == ErrorKind::QueueFull;
    if (isTargetFull && attempt.sends >= maximumSendsToFullTargets)
        return GiveUp {"the queues of the targets tried are full"};
    if (response.rechoice == Rechoice::Free && certainlyNotRun)
        return ChooseOtherTarget {};
    if (attempt.remainingRetries <= 0)
        return GiveUp {"the call tree has no retries left"};
    double &allowance = allowanceOf(attempt.service);
    if (allowance < 1)
        return GiveUp {"the node's retry allowance is spent"};
    allowance -= 1;
    return RetryCall {};
}

std::uint8_t retriesForDownstreamCall(std::uint8_t remainingRetries)
{
    return static_cast<std::uint8_t>((remainingRetries + 1) / 2);
}

} // namespace ibiswell
