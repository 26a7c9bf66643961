#pragma once

#include "ibiswell/core/error.h"
#include "ibiswell/core/time.h"

#include <string>

namespace ibiswell {

/**
 * Whether an error indicates that a service had no capacity for a call. Calls that a backend server
 * itself refuses or loses do not count: that happens at any load. If their retries exhaust the
 * retry budget, however, each call gets more of them when there are fewer (GiveUp::isBudgetSpent).
 */
bool indicatesSaturation(ErrorKind kind);

/**
 * Remembers the last downstream call of the local backend server that a saturated service did not
 * serve. These calls do not state which request caused them, so a failed request is attributed to
 * the saturated service if such a call ended while the request ran.
 */
class DownstreamSaturation
{
public:
    /**
     * A call of the local backend server to the service @p called found @p saturated, the same one
     * or one downstream of it, saturated.
     */
    void onSaturated(TimePoint now, const std::string &called, const std::string &saturated);
    /** The service last found saturated, if that was at or after @p start; empty otherwise. */
    const std::string &saturatedServiceSince(TimePoint start) const;
    /** Whether a service that the local backend server calls itself was, at or after @p start. */
    bool wasCalledServiceSaturatedSince(TimePoint start) const;

private:
    TimePoint m_lastSaturatedAt;
    TimePoint m_calledServiceSaturatedAt;
    std::string m_lastSaturatedService;
};

} // namespace ibiswell
