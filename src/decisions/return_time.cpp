#include "ibiswell/decisions/return_time.h"

#include <algorithm>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

/** Callers wait no longer than this part of their time left. */
constexpr double longestPart = 1.0 / 3;
constexpr Duration shortestWait = 20ms;
constexpr Duration usualSpread = 500ms;

} // namespace

Duration returnAfter(const Refusal &refusal, Duration remainingTime, Random &random)
{
    Duration longest = fromSeconds(std::max(0.0, inSeconds(remainingTime)) * longestPart);
    Duration spread = std::min(usualSpread, longest);
    Duration least = std::min(std::max(refusal.retryAfter, shortestWait), longest);
    return std::min(longest, least + fromSeconds(inSeconds(spread) * uniform(random)));
}

} // namespace ibiswell
