#pragma once

#include "ibiswell/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ibiswell {

/** Priority classes in descending order of importance. Less important classes are shed first. */
enum class PriorityClass : std::uint8_t { Critical, Important, Normal, Bulk };

inline constexpr std::size_t priorityClassCount = 4;

std::string_view toString(PriorityClass priority);

/** The class named @p name, or nothing if there is none. */
std::optional<PriorityClass> priorityFromString(std::string_view name);

/**
 * The context that is propagated along a call tree. It contains the team instead of the tenant
 * key: nodes never pass on the key.
 */
struct CallContext
{
    std::string requestId;
    std::string team; ///< Empty on open routes.
    PriorityClass priority = PriorityClass::Normal;
    /**
     * Random number in [0, 1), drawn once for the whole call tree. A node admits a request if the
     * draw is less than the admitted fraction. All nodes thus shed the same requests, and no work
     * done elsewhere in the tree is wasted.
     */
    double admissionDraw = 0;
    /**
     * The lowest fraction that has admitted this call so far. An admitted call represents
     * 1/fraction calls of the original demand.
     */
    double admittedFraction = 1;
    Duration remainingTime {}; ///< Time until the deadline when the message was sent.
    std::uint8_t depth = 0; ///< Number of hops from the entry node.
    std::uint8_t attempt = 1; ///< 1 for the first attempt.
    std::uint8_t remainingRetries = 0; ///< Part of the call tree's retry budget given to this call.
    std::string callerService {}; ///< Service of the VM on which the call originated.
    /**
     * The call belongs to a call tree whose context is not known. Refusing it would waste work
     * that its upstream callers have done, so it is refused only if the queue is full.
     */
    bool unsheddable = false;
    /** The probability that the call is a retry or belongs to a retry of a call upstream. */
    double inheritedRetryShare = 0;
};

/** Load of a target, sent by its node with each response. */
struct LoadReport
{
    /**
     * Fraction of this team's requests of this class that the target and everything downstream of
     * it admit.
     */
    double pathFraction = 1;
    std::uint32_t inFlight = 0; ///< Calls that the backend server is executing.
    std::uint32_t queued = 0; ///< Calls that wait for a slot.
    std::uint32_t limit = 1; ///< Current adaptive concurrency limit.
    Duration serviceTime {}; ///< Typical time for which a call holds a slot.
    /** The fraction of the demand for the target that services downstream of it can complete. */
    double completableFraction = 1;
    /** The part left of the retry budgets of the services downstream of the target. */
    double retryHeadroom = 1;
};

} // namespace ibiswell
