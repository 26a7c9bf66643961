#include "ibiswell/decisions/retry_after.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** Callers wait no longer than this fraction of their remaining time. */
constexpr double maximumFraction = 1.0 / 3;
constexpr Duration minimumDelay = 20ms;
constexpr Duration defaultSpread = 500ms;

} // namespace

Duration computeRetryAfter(const Refusal &refusal, Duration remainingTime, Random &random)
{
    Duration maximum = fromSeconds(std::max(0.0, inSeconds(remainingTime)) * maximumFraction);
    Duration spread = std::min(defaultSpread, maximum);
    Duration minimum = std::min(std::max(refusal.retryAfter, minimumDelay), maximum);
    return std::min(maximum, minimum + fromSeconds(inSeconds(spread) * uniform(random)));
}

} // namespace ibiswell
