#pragma once

#include "ibiswell/core/random.h"
#include "ibiswell/core/time.h"

namespace ibiswell {

/**
 * How long to wait before a store that failed is asked again: doubled with each failure, spread
 * at random so that nodes do not come back together, and bounded so that news is not late.
 */
class StoreBackoff
{
public:
    static constexpr Duration first = std::chrono::milliseconds(100);
    /** Under half of the time in which a change must be in force. */
    static constexpr Duration longest = std::chrono::milliseconds(800);

    void onSuccess() { m_next = first; }

    Duration onFailure(Random &random)
    {
        Duration wait = fromSeconds(inSeconds(m_next) * (0.5 + 0.5 * uniform(random)));
        m_next = std::min<Duration>(2 * m_next, longest);
        return wait;
    }

private:
    Duration m_next = first;
};

} // namespace ibiswell
