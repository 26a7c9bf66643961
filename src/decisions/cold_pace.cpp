#include "ibiswell/decisions/cold_pace.h"

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration window = 1s;
/** Requests take their time to arrive; a start just outside of the window may arrive inside. */
constexpr Duration windowMargin = 50ms;

} // namespace

void ColdPace::forget(TimePoint now)
{
    while (!m_starts.empty() && now - m_starts.front() > window + windowMargin)
        m_starts.pop_front();
}

bool ColdPace::mayStart(TimePoint now)
{
    if (!isBounded())
        return true;
    forget(now);
    return static_cast<double>(m_starts.size()) + 1 <= m_startsPerSecond;
}

void ColdPace::onStart(TimePoint now)
{
    forget(now);
    m_starts.push_back(now);
}

} // namespace ibiswell
