#include "ibiswell/decisions/cold_start_pacer.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration window = 1s;
/** Requests take their time to arrive; a start just outside of the window may arrive inside. */
constexpr Duration windowMargin = 50ms;
constexpr double burstPart = 0.1; // of a second's starts, that may come at once

} // namespace

void ColdStartPacer::forget(TimePoint now)
{
    while (!m_starts.empty() && now - m_starts.front() > window + windowMargin)
        m_starts.pop_front();
}

bool ColdStartPacer::mayStart(TimePoint now)
{
    if (!isBounded())
        return true;
    forget(now);
    return static_cast<double>(m_starts.size()) + 1 <= m_startsPerSecond && isSpread(now);
}

bool ColdStartPacer::isSpread(TimePoint now) const
{
    double together = std::max(1.0, std::floor(m_startsPerSecond * burstPart));
    auto count = static_cast<std::size_t>(together);
    if (m_starts.size() < count)
        return true;
    return now - m_starts[m_starts.size() - count] >= fromSeconds(together / m_startsPerSecond);
}

void ColdStartPacer::onStart(TimePoint now)
{
    forget(now);
    m_starts.push_back(now);
}

} // namespace ibiswell
