#pragma once

#include "ibiswell/core/time.h"

#include <cmath>

namespace ibiswell {

/** A count of recent events: each loses weight exponentially as it ages. */
class DecayingCounter
{
public:
    /** @param decayTime time in which the weight of an event falls to 1/e. */
    explicit DecayingCounter(Duration decayTime)
        : m_decayTime(decayTime)
    {
    }

    void add(TimePoint now, double amount)
    {
        m_value = value(now) + amount;
        m_updatedAt = now;
    }
    double value(TimePoint now) const
    {
        return m_value * std::exp(-inSeconds(now - m_updatedAt) / inSeconds(m_decayTime));
    }

private:
    Duration m_decayTime;
    double m_value = 0;
    TimePoint m_updatedAt;
};

} // namespace ibiswell
