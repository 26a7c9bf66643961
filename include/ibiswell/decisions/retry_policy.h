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

/** What all nodes together may send to a service beyond the first attempts. */
struct FleetRetryBudget
{
    double ratio = 0.2; ///< Retries for each first attempt.
    double slack = 0; ///< Retries in each window besides.
};

/** The call ends with its refusal. */
struct GiveUp
{
    std::string_view reason;
};

/** Choose another target; the first one refused for itself alone and ran nothing. */
struct ChooseAgain
{
};

/** Send again, paid from the call tree's budget. */
struct RetryCall
{
    Duration wait {};
};

using RetryDecision = std::variant<GiveUp, ChooseAgain, RetryCall>;

/** A call that ended in a refusal, as its node sees it. */
struct FailedAttempt
{
    Refusal refusal;
    bool idempotent = false;
    int sends = 1; ///< Attempts made so far, free choices included.
    int remainingRetries = 0; ///< Of the call tree, for this call.
    Duration remainingTime {};
    std::string service {};
    int targetsReached = 0; ///< Backend servers that got the request, or may have got it.
    int maximumTargets = 0; ///< Of the route; 0: not bounded.
};

/** A node's own allowance of retries for each service. */
struct RetryAllowance
{
    double earnedByFirstAttempt = 0.1; ///< Retries.
    double largest = 100; ///< Retries that may be saved up.
    double atStart = 25; ///< Retries.
};

/** A node's part of the fleet's budget, safe without any message between nodes. */
RetryAllowance retryAllowance(const FleetRetryBudget &budget);

/**
 * Decides whether a node sends a call again.
 *
 * Two bounds hold at once. The call tree's budget is conserved: it is handed down and comes back
 * unspent, so the tree never sends more than its budget allows, however deep it is. The node's own
 * allowance is a share of its first attempts, so that a fleet-wide fault does not turn every
 * budget into load. A call that is not idempotent is sent again only when it certainly did not
 * run.
 */
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryAllowance allowance = {});

    /** Notes a first attempt at @p service, which earns a part of a retry there. */
    void onFirstAttempt(const std::string &service = {});
    RetryDecision decide(const FailedAttempt &attempt);

private:
    double &allowanceOf(const std::string &service);

    RetryAllowance m_terms;
    std::map<std::string, double, std::less<>> m_allowances; ///< Retries left, by service.
};

/** Divides a call's remaining retries between the call below and those that may follow. */
std::uint8_t retriesForCallBelow(std::uint8_t remainingRetries);

} // namespace ibiswell
