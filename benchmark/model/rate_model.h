#pragma once

#include "event_queue.h"

#include "ibiswell/core/random.h"
#include "ibiswell/decisions/rate_share.h"
#include "ibiswell/decisions/token_purse.h"

#include <deque>
#include <memory>
#include <vector>

namespace ibiswell::model {

/** Requests of one team that enter at several nodes. */
struct RateScenario
{
    int nodes = 18;
    int zones = 4;
    int shares = 4;
    double ratePerSecond = 200;
    double burst = 200;
    double load = 0.9; ///< Of the rate.
    bool singleEntryNode = false; ///< All requests enter at one node.
    double messageLoss = 0; ///< Fraction.
    Duration otherZoneLatency = std::chrono::microseconds(1500);
    Duration length = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

struct RateMeasurements
{
    std::uint64_t sent = 0;
    std::uint64_t centrallyAdmitted = 0; ///< What one bucket for the fleet would admit.
    std::uint64_t admitted = 0;
    std::uint64_t wronglyRefused =
        0; ///< Refused although one bucket for the fleet would admit them.
    std::uint64_t messages = 0; ///< Datagrams between nodes.
    double largestExcess =
        0; ///< Largest admitted - rate * length over all intervals; at most burst.
    Duration longestWait {};
};

/** Runs the real purses and shares over a lossy network with latency, in virtual time. */
RateMeasurements runRateModel(const RateScenario &scenario);

} // namespace ibiswell::model
