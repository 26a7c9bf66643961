#include "ibiswell/decisions/stated_rate_limit.h"

#include <algorithm>

namespace ibiswell {

namespace {

/** The end of a limit is learned from a response, so some calls must start under any limit. */
constexpr double minimumStartsPerSecond = 0.5;
constexpr double burstSeconds = 0.1; // the starts of this time may come at once

} // namespace

void StatedRateLimit::setRate(std::optional<double> startsPerSecond)
{
    if (startsPerSecond)
        startsPerSecond = std::max(*startsPerSecond, minimumStartsPerSecond);
    m_startsPerSecond = startsPerSecond;
}

Duration StatedRateLimit::interval() const
{
    return fromSeconds(1 / *m_startsPerSecond);
}

bool StatedRateLimit::mayStart(TimePoint now) const
{
    return !isBounded() || m_nextStart <= now + fromSeconds(burstSeconds);
}

void StatedRateLimit::onStart(TimePoint now)
{
    if (isBounded())
        m_nextStart = std::max(m_nextStart, now) + interval();
}

} // namespace ibiswell
