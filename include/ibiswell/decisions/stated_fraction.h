#pragma once

#include "ibiswell/core/time.h"

#include <algorithm>
#include <cmath>

namespace ibiswell {

/**
 * A fraction that responses of another node state. Statements come only with responses, and there
 * are fewer of them the lower the fraction is; so a statement binds less the older it is, and a
 * node that lets hardly anything pass still learns that the cause is over.
 */
class StatedFraction
{
public:
    void state(TimePoint now, double fraction)
    {
        double current = value(now);
        m_value = current + smoothing * (fraction - current);
        m_isStated = true;
        m_statedAt = now;
    }
    /** Whether the last statement is recent enough to stand for the present. */
    bool isFresh(TimePoint now) const { return m_isStated && now - m_statedAt < freshTime; }
    /** 1 before the first statement and long after the last. */
    double value(TimePoint now) const
    {
        double doublings = inSeconds(now - m_statedAt) / inSeconds(doublingTime);
        return std::min(1.0, m_value * std::exp2(doublings));
    }

private:
    static constexpr double smoothing = 0.7; // of each further statement
    static constexpr Duration freshTime = std::chrono::seconds(1);
    static constexpr Duration doublingTime = std::chrono::milliseconds(1500);

    double m_value = 1;
    bool m_isStated = false;
    TimePoint m_statedAt;
};

} // namespace ibiswell
