#pragma once

#include "ibiswell/core/time.h"

#include <optional>

namespace ibiswell {

/**
 * Holds the starts of calls at a backend server to the rate that it states in its responses.
 *
 * Since all calls to the server pass its node, this bounds the whole fleet's rate without any
 * agreement between nodes. Starts are spaced evenly, except for a small burst, so that the bound
 * holds in each window and callers wait only briefly.
 */
class StatedRateLimit
{
public:
    /** @param startsPerSecond as stated; nothing: the server states no limit. */
    void setRate(std::optional<double> startsPerSecond);
    bool isBounded() const { return m_startsPerSecond.has_value(); }
    /** Starts per second while isBounded(). A few are allowed whatever is stated. */
    double rate() const { return *m_startsPerSecond; }

    bool mayStart(TimePoint now) const;
    void onStart(TimePoint now);

private:
    Duration interval() const;

    std::optional<double> m_startsPerSecond;
    TimePoint m_nextStart; ///< When the next start is due if starts follow at the rate.
};

} // namespace ibiswell
