#pragma once

#include "ibiswell/core/time.h"
#include "ibiswell/decisions/decaying_counter.h"

namespace ibiswell {

/**
 * Estimates which part of the local backend server's downstream calls belongs to retries.
 *
 * It answers a retry that multiplies: the downstream calls of a retried call are retries too at the
 * services that they reach. Where these calls do not state which call made them, the part of the
 * recent calls to the backend server that were retries, or belonged to one, stands for it.
 */
class InheritedRetries
{
public:
    /** Records a call to the backend server; @p share is 1 for a retry. */
    void onCall(TimePoint now, double share);
    /** The part of downstream calls that belong to retries, from 0 to 1. */
    double share(TimePoint now) const;

private:
    /** About the time for which a call runs and makes downstream calls. */
    static constexpr Duration decayTime = std::chrono::milliseconds(500);

    DecayingCounter m_calls {decayTime};
    DecayingCounter m_retries {decayTime};
};

} // namespace ibiswell
