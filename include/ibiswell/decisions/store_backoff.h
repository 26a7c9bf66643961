#pragma once

#include "ibiswell/core/random.h"
#include "ibiswell/core/time.h"

namespace ibiswell {

/**
 * Exponential backoff between failed requests to a store. The delay doubles with each failure, is
 * randomised so that nodes do not retry at the same time, and is bounded so that changes are still
 * seen in time.
 */
class StoreBackoff
{
public:
    static constexpr Duration initialDelay = std::chrono::milliseconds(100);
    /** Less than half of the time within which a change must be in force. */
    static constexpr Duration maximumDelay = std::chrono::milliseconds(800);

    void onSuccess() { m_nextDelay = initialDelay; }

    /** Returns how long to wait before the next attempt. */
    Duration onFailure(Random &random)
    {
        Duration delay = fromSeconds(inSeconds(m_nextDelay) * (0.5 + 0.5 * uniform(random)));
        m_nextDelay = std::min<Duration>(2 * m_nextDelay, maximumDelay);
        return delay;
    }

private:
    Duration m_nextDelay = initialDelay;
};

} // namespace ibiswell
