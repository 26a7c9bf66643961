#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/messages.h"
#include "ibiswell/core/time.h"
#include "ibiswell/decisions/calls_per_run.h"
#include "ibiswell/decisions/retry_window.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>

namespace ibiswell {

/** The call ends with its refusal. */
struct GiveUp
{
    std::string_view reason;
    bool isBudgetSpent = false; ///< A call with a retry left to it would have been sent again.
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

/**
 * Send the call again to one of the targets that have rejected it, at the same cost: the route
 * allows no further target, and a target that rejects a part of its calls may take the next one.
 */
struct RetryAtSameTargets
{
};

using RetryDecision = std::variant<GiveUp, ChooseOtherTarget, RetryCall, RetryAtSameTargets>;

/** A call that is sent for the first time. */
struct FirstAttempt
{
    std::string service {};
    /** The probability that the call belongs to a retry of a call upstream. */
    double inheritedShare = 0;
};

/** A call that ended in a refusal, as its node sees it. */
struct FailedAttempt
{
    Refusal refusal;
    bool idempotent = false;
    int sends = 1; ///< Attempts made so far, including those that cost no retry.
    int remainingRetries = 0; ///< The part of the call tree's budget that this call still has.
    Duration remainingTime {};
    std::string service {};
    /** Different backend servers that received the request, or may have. */
    int targetsReached = 0;
    int maximumTargets = 0; ///< The route's limit on targetsReached; 0: no limit.
};

/** Limits of a node's own retries for each service, without a budget for the fleet. */
struct RetryAllowance
{
    double retriesPerFirstAttempt = 0.1; ///< Retries earned by each first attempt.
    double maximum = 100; ///< Retries that may be saved up.
    double initial = 25; ///< Retries available at the start.
};

/** What bounds a node's retries besides the call tree's budget. */
using RetryLimit = std::variant<RetryAllowance, FleetRetryBudget>;

/**
 * Decides whether a node sends a call again.
 *
 * Two bounds apply. The call tree's budget is conserved: each call gets a part of it and returns
 * what it did not spend, so the whole tree never sends more retries than its budget, however deep
 * it is. The node's own limit is proportional to its first attempts, so that in a fleet-wide
 * outage not every call tree spends its whole budget. With a budget for the fleet, a retry also
 * needs headroom in the budgets of all services downstream of its target: its downstream calls
 * count as retries there. A call that is not idempotent is sent again
 * only when it certainly did not run.
 */
class RetryPolicy
{
public:
    explicit RetryPolicy(RetryLimit limit = RetryAllowance {});

    /** Records a first attempt, which earns a fraction of a retry for its service. */
    void onFirstAttempt(TimePoint now, const FirstAttempt &attempt = {});
    /** Records the headroom of the services downstream of @p service that a response stated. */
    void onDownstreamHeadroom(TimePoint now, const std::string &service, double headroom);
    RetryDecision decide(TimePoint now, const FailedAttempt &attempt);
    /**
     * The part that is left of the retry budgets of the services downstream of the local backend
     * server, from 0 to 1: the least of them, where a service weighs as much as a call to the
     * backend server has calls to it. 1 without a budget for the fleet.
     */
    double downstreamHeadroom(TimePoint now, const CallsPerRun &calls) const;

private:
    /** The retries left to a node with a RetryAllowance. */
    struct SavedRetries
    {
        RetryAllowance limits;
        double available;

        void onFirstAttempt(TimePoint now, double inheritedShare);
        bool mayRetry(TimePoint now) const;
        void onRetry(TimePoint now);
    };
    using ServiceLimit = std::variant<SavedRetries, RetryWindow>;
    struct Service
    {
        ServiceLimit limit;
        double downstreamHeadroom = 1; ///< As the last responses stated.
        TimePoint headroomStatedAt;
    };

    /** The reason to give up whatever the budgets have left; empty if there is none. */
    static std::string_view reasonToGiveUp(const FailedAttempt &attempt);
    Service &serviceOf(const std::string &name);

    RetryLimit m_limit;
    std::map<std::string, Service, std::less<>> m_services; ///< By name.
};

/**
 * The part of a call's remaining retries that its next downstream call gets; the rest is for the
 * downstream calls that may follow.
 */
std::uint8_t retriesForDownstreamCall(std::uint8_t remainingRetries);

} // namespace ibiswell
