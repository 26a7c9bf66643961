#include "ibiswell/decisions/retry_policy.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** When all targets of a service are full, further attempts only add load to their nodes. */
constexpr int maximumSendsToFullTargets = 2;
constexpr int maximumSends = 6; // of one call, including those that cost no retry
constexpr Duration minimumTimeForRetry = 2ms;
constexpr double headroomSmoothing = 0.3; // of each further statement
constexpr double minimumHeadroom = 0.4; // of the services downstream, for a retry
constexpr Duration statementLifetime = 5s;

/** Whether the backend server itself rejected the call without running it. */
bool isRejection(const Refusal &refusal)
{
    return refusal.kind == ErrorKind::BackendShed && refusal.execution == Execution::NotRun;
}

} // namespace

void RetryPolicy::SavedRetries::onFirstAttempt(TimePoint, double)
{
    available = std::min(limits.maximum, available + limits.retriesPerFirstAttempt);
}

bool RetryPolicy::SavedRetries::mayRetry(TimePoint) const
{
    return available >= 1;
}

void RetryPolicy::SavedRetries::onRetry(TimePoint)
{
    available -= 1;
}

RetryPolicy::RetryPolicy(RetryLimit limit)
    : m_limit(limit)
{
}

RetryPolicy::Service &RetryPolicy::serviceOf(const std::string &name)
{
    struct MakeLimit
    {
        ServiceLimit operator()(const RetryAllowance &allowance) const
        {
            return SavedRetries {allowance, allowance.initial};
        }
        ServiceLimit operator()(const FleetRetryBudget &budget) const
        {
            return RetryWindow(budget);
        }
    };
    auto found = m_services.find(name);
    if (found == m_services.end())
        found = m_services.emplace(name, Service {std::visit(MakeLimit {}, m_limit), 1, {}}).first;
    return found->second;
}

void RetryPolicy::onFirstAttempt(TimePoint now, const FirstAttempt &attempt)
{
    std::visit([&](auto &limit) { limit.onFirstAttempt(now, attempt.inheritedShare); },
               serviceOf(attempt.service).limit);
}

void RetryPolicy::onDownstreamHeadroom(TimePoint now, const std::string &service, double headroom)
{
    Service &known = serviceOf(service);
    known.downstreamHeadroom += headroomSmoothing * (headroom - known.downstreamHeadroom);
    known.headroomStatedAt = now;
}

double RetryPolicy::downstreamHeadroom(TimePoint now, const CallsPerRun &calls) const
{
    double least = 1;
    for (const auto &[name, service] : m_services) {
        const RetryWindow *window = std::get_if<RetryWindow>(&service.limit);
        if (!window || !calls.hasCalled(name))
            continue;
        double headroom = std::min(window->headroom(now), service.downstreamHeadroom);
        least = std::min(least, calls.weigh(now, name, headroom));
    }
    return least;
}

std::string_view RetryPolicy::reasonToGiveUp(const FailedAttempt &attempt)
{
    bool certainlyNotRun = attempt.refusal.execution == Execution::NotRun;
    if (responseFor(attempt.refusal.kind).rechoice == Rechoice::Never)
        return "another target would return the same error";
    if (!attempt.idempotent && !certainlyNotRun)
        return "not idempotent and may have run";
    if (attempt.sends >= maximumSends)
        return "maximum number of attempts reached";
    if (attempt.remainingTime < minimumTimeForRetry)
        return "not enough time remains";
    bool isTargetFull = attempt.refusal.kind == ErrorKind::QueueFull;
    if (isTargetFull && attempt.sends >= maximumSendsToFullTargets)
        return "the queues of the targets tried are full";
    return {};
}

RetryDecision RetryPolicy::decide(TimePoint now, const FailedAttempt &attempt)
{
    std::string_view reason = reasonToGiveUp(attempt);
    if (!reason.empty())
        return GiveUp {reason};
    bool mayReachAnotherTarget =
        attempt.maximumTargets == 0 || attempt.targetsReached < attempt.maximumTargets;
    if (!mayReachAnotherTarget && !isRejection(attempt.refusal))
        return GiveUp {"the route allows no further target"};
    bool certainlyNotRun = attempt.refusal.execution == Execution::NotRun;
    if (responseFor(attempt.refusal.kind).rechoice == Rechoice::Free && certainlyNotRun)
        return ChooseOtherTarget {};
    if (attempt.remainingRetries <= 0)
        return GiveUp {"the call tree has no retries left"};
    Service &service = serviceOf(attempt.service);
    bool mayRetry = std::visit([&](auto &limit) { return limit.mayRetry(now); }, service.limit);
    if (!mayRetry)
        return GiveUp {"the node's retry allowance is spent", true};
    // A statement is worth nothing once the window that it tells of has passed.
    bool isStated = now - service.headroomStatedAt < statementLifetime;
    if (isStated && service.downstreamHeadroom < minimumHeadroom)
        return GiveUp {"the retry budget of a service downstream is spent", true};
    std::visit([&](auto &limit) { limit.onRetry(now); }, service.limit);
    if (!mayReachAnotherTarget)
        return RetryAtSameTargets {};
    return RetryCall {};
}

std::uint8_t retriesForDownstreamCall(std::uint8_t remainingRetries)
{
    return static_cast<std::uint8_t>((remainingRetries + 1) / 2);
}

} // namespace ibiswell
