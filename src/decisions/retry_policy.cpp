#include "ibiswell/decisions/retry_policy.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr double earnedByFirstAttempt = 0.1; // retries
constexpr double largestAllowance = 100; // retries
constexpr int mostSends = 6; // of one call, free choices included
constexpr Duration shortestTimeForRetry = 2ms;

} // namespace

void RetryPolicy::onFirstAttempt()
{
    m_allowance = std::min(largestAllowance, m_allowance + earnedByFirstAttempt);
}

RetryDecision RetryPolicy::decide(const FailedAttempt &attempt)
{
    const ErrorAnswer &answer = answerFor(attempt.refusal.kind);
    bool certainlyNotRun = attempt.refusal.execution == Execution::NotRun;
    if (answer.rechoice == Rechoice::Never)
        return GiveUp {"another target would answer the same"};
    if (!attempt.idempotent && !certainlyNotRun)
        return GiveUp {"not idempotent and may have run"};
    if (attempt.sends >= mostSends)
        return GiveUp {"too many targets tried"};
    if (attempt.timeLeft < shortestTimeForRetry)
        return GiveUp {"no time left"};
    if (answer.rechoice == Rechoice::Free && certainlyNotRun)
        return ChooseAgain {};
    if (attempt.retriesLeft <= 0)
        return GiveUp {"the call tree has no retry left"};
    if (m_allowance < 1)
        return GiveUp {"the node's retry allowance is spent"};
    m_allowance -= 1;
    return RetryCall {};
}

std::uint8_t retriesForCallBelow(std::uint8_t retriesLeft)
{
    return static_cast<std::uint8_t>((retriesLeft + 1) / 2);
}

} // namespace ibiswell
