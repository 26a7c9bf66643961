#pragma once

#include "ibiswell/core/time.h"

#include <deque>

namespace ibiswell {

/**
 * Holds the starts at a cold backend server to what it bears: in each sliding second at most so
 * many, spread over it, so that callers find a short wait and not an idle server that takes nothing
 * until its second is over. Starts are counted at all times, so that a server that turns cold is
 * not given a second's worth on top of what it just got.
 */
class ColdStartPacer
{
public:
    /** @param startsPerSecond zero: not bounded. */
    void setRate(double startsPerSecond) { m_startsPerSecond = startsPerSecond; }
    bool isBounded() const { return m_startsPerSecond > 0; }
    double rate() const { return m_startsPerSecond; }

    bool mayStart(TimePoint now);
    void onStart(TimePoint now);

private:
    void forget(TimePoint now);
    bool isSpread(TimePoint now) const;

    double m_startsPerSecond = 0;
    std::deque<TimePoint> m_starts; ///< Of the last second.
};

} // namespace ibiswell
