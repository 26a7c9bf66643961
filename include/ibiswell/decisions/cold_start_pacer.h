#pragma once

#include "ibiswell/core/time.h"

#include <deque>

namespace ibiswell {

/**
 * Paces the calls that start at a cold backend server: at most a given number in each sliding
 * window of one second, spread over the window. Without the spreading, all of them would start at
 * once, and callers would then find an idle server that starts nothing until the window has passed.
 * With it, callers wait only briefly.
 *
 * Starts are recorded even while the rate is not limited, so that a server that turns cold does not
 * get a full second's worth on top of the calls that it has just started.
 */
class ColdStartPacer
{
public:
    /** @param startsPerSecond 0: no limit. */
    void setRate(double startsPerSecond) { m_startsPerSecond = startsPerSecond; }
    bool isBounded() const { return m_startsPerSecond > 0; }
    double rate() const { return m_startsPerSecond; }

    bool mayStart(TimePoint now);
    void onStart(TimePoint now);

private:
    void dropOldStarts(TimePoint now);
    bool isWithinBurst(TimePoint now) const;

    double m_startsPerSecond = 0;
    std::deque<TimePoint> m_starts; ///< Starts within the window.
};

} // namespace ibiswell
