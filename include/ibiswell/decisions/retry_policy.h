#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace ibiswell {

/** The retries that all nodes together may send to a service. */
struct FleetRetryBudget
{
    double ratio = 0.2; ///< Retries for each first attempt.
    double slack = 0; ///< Retries beyond the ratio in each window of the budget.
};

/** The call ends with its refusal. */
struct GiveUp
{
    std::string_view reason;
};

/** Choose another target at no cost; the first one refused only for itself and ran nothing. */
struct ChooseOtherTarget
{
};

/** Send the call again, at the cost of one retry of the call tree's budget. */
struct RetryCall
{
    Duration wait {}; ///< How long to wait before.
};

using RetryDecision = std::variant<GiveUp, ChooseOtherTarget, RetryCall>;

/** A call that ended in a refusal, as its node sees it. */
struct FailedAttempt
{
    Refusal refusal;
    bool idempotent = false;
    int sends = 1; ///< Attempts made so far, including those that cost no retry.
    int remainingRetries = 0; ///< The part of the call tree's budget that this call still has.
    Duration remainingTime {};
    std::string service {};
    int targetsReached = 0; ///< Backend servers that received the request, or may have.
    int maximumTargets = 0; ///< The route's limit on targetsReached; 0: no limit.
};

/** Limits of a node's own retries, for each service. */
struct RetryAllowance
{
    double retriesPerFirstAttempt = 0.1; ///< Retries earned by each first attempt.
    double maximum = 100; ///< Retries that may be saved up.
    double initial = 25; ///< Retries available at the start.
};

/** A node's part of the fleet's budget; the budget holds without messages between nodes. */
RetryAllowance makeRetryAllowance(const FleetRetryBudget &budget);

/**
 * Decides whether a node sends a call again.
 *
 * Two bounds apply. The call tree's budget is conserved: each call gets a part of it and returns
 * what it did not spend, so the whole tree never sends more retries than its budget, however deep
 * it is. The node's own allowance is proportional to its first attempts, so that in a fleet-wide
 * outage not every call tree spends its whole budget. A call that is not idempotent is sent again
 * only when it certainly did not run.
 */
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryAllowance allowance = {});

    /** Records a first attempt at @p service, which earns a fraction of a retry for it. */
    void onFirstAttempt(const std::string &service = {});
    RetryDecision decide(const FailedAttempt &attempt);

private:
    double &allowanceOf(const std::string &service);

    RetryAllowance m_allowanceLimits;
    std::map<std::string, double, std::less<>> m_allowances; ///< Remaining retries, by service.
};

/**
 * The part of a call's remaining retries that its next downstream call gets; the rest is for the
 * downstream calls that may follow.
 */
std::uint8_t retriesForDownstreamCall(std::uint8_t remainingRetries);

} // namespace ibiswell
