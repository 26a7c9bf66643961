#pragma once

#include "ibiswell/core/time.h"
#include "ibiswell/decisions/decaying_counter.h"

namespace ibiswell {

/**
 * The fraction of a demand that is admitted, which follows the outcomes of what was admitted: it
 * falls while much of it fails and rises while it succeeds.
 *
 * The change is proportional to the outcomes, without a threshold, so that random deviations cancel
 * out.
 */
class AdmittedFraction
{
public:
    /**
     * @param admittedWhenCalm admitted for each that succeeds once several have and there was no
     *                         sign of a failure for a while: the cause is then over.
     */
    explicit AdmittedFraction(double admittedWhenCalm = 1.5)
        : m_admittedWhenCalm(admittedWhenCalm)
    {
    }

    void onSuccess(TimePoint now);
    void onFailure(TimePoint now);
    /** A sign that the cause is not over, although what was admitted may still succeed. */
    void onSignOfFailure(TimePoint now) { m_lastSignAt = now; }
    /** Adjusts the fraction, if it is time to. */
    void adjust(TimePoint now);

    double value() const { return m_value; }
    TimePoint lastFailureAt() const { return m_lastFailureAt; }

private:
    static constexpr Duration decayTime = std::chrono::milliseconds(400); // of the outcomes

    double m_admittedWhenCalm;
    DecayingCounter m_succeeded {decayTime};
    DecayingCounter m_failed {decayTime};
    int m_successesInARow = 0;
    double m_value = 1;
    TimePoint m_adjustedAt;
    TimePoint m_lastFailureAt;
    TimePoint m_lastSignAt; ///< Of a failure.
};

} // namespace ibiswell
