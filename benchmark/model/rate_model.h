#pragma once

#include "event_queue.h"

#include "ibiswell/core/random.h"
#include "ibiswell/decisions/rate_share.h"
#include "ibiswell/decisions/token_cache.h"

#include <deque>
#include <memory>
#include <vector>

namespace ibiswell::model {

/** Requests of one team that enter at several nodes and use a fleet-wide rate limit. */
struct RateScenario
{
    int nodes = 18;
    int zones = 4;
    int shares = 4;
    double ratePerSecond = 200;
    double burst = 200;
    double load = 0.9; ///< Request rate as a fraction of the rate limit.
    bool singleEntryNode = false; ///< Whether all requests enter at the same node.
    double messageLoss = 0; ///< Fraction of messages that are lost.
    Duration otherZoneLatency = std::chrono::microseconds(1500);
    Duration length = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

struct RateMeasurements
{
    std::uint64_t sent = 0;
    std::uint64_t centrallyAdmitted = 0; ///< Requests that a central token bucket would admit.
    std::uint64_t admitted = 0;
    /** Requests that were refused although the central bucket would admit them. */
    std::uint64_t wronglyRefused = 0;
    std::uint64_t messages = 0; ///< Datagrams sent between nodes.
    /**
     * Maximum of (admitted requests - rate * length) over all time intervals. It must not be
     * greater than the burst.
     */
    double largestExcess = 0;
    Duration longestWait {}; ///< Longest time that an admitted request waited for a token.
};

/**
 * Runs the real token caches and rate shares over a simulated network that has latency and loses
 * messages, in virtual time.
 */
RateMeasurements runRateModel(const RateScenario &scenario);

} // namespace ibiswell::model
