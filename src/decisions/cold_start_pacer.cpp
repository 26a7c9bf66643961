#include "ibiswell/decisions/cold_start_pacer.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration window = 1s;
/** Transit times vary: a start just outside the window may reach the server inside it. */
constexpr Duration windowMargin = 50ms;
constexpr double burstFraction = 0.1; // fraction of a second's starts that may start at once

} // namespace

void ColdStartPacer::dropOldStarts(TimePoint now)
{
    while (!m_starts.empty() && now - m_starts.front() > window + windowMargin)
        m_starts.pop_front();
}

bool ColdStartPacer::mayStart(TimePoint now)
{
    if (!isBounded())
        return true;
    dropOldStarts(now);
    return static_cast<double>(m_starts.size()) + 1 <= m_startsPerSecond && isWithinBurst(now);
}

bool ColdStartPacer::isWithinBurst(TimePoint now) const
{
    double burst = std::max(1.0, std::floor(m_startsPerSecond * burstFraction));
    auto count = static_cast<std::size_t>(burst);
    if (m_starts.size() < count)
        return true;
    return now - m_starts[m_starts.size() - count] >= fromSeconds(burst / m_startsPerSecond);
}

void ColdStartPacer::onStart(TimePoint now)
{
    dropOldStarts(now);
    m_starts.push_back(now);
}

} // namespace ibiswell
