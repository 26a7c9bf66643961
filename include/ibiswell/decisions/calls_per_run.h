#pragma once

#include "ibiswell/core/time.h"
#include "ibiswell/decisions/decaying_counter.h"

#include <algorithm>
#include <map>
#include <string>

namespace ibiswell {

/**
 * Counts how many calls the local backend server makes to each service for each call that it runs.
 *
 * What a service downstream lacks concerns the upstream callers only as far as their calls reach
 * it: one in a hundred calls hardly matters.
 */
class CallsPerRun
{
public:
    /** The local backend server runs a call. */
    void onRun(TimePoint now) { m_runs.add(now, 1); }
    /** The local backend server makes a call to @p service. */
    void onCall(TimePoint now, const std::string &service)
    {
        m_calls.try_emplace(service, memory).first->second.add(now, 1);
    }
    bool hasCalled(const std::string &service) const { return m_calls.contains(service); }
    /**
     * Weighs a fraction that @p service states of itself: the fraction of the local backend
     * server's work that is possible, from 0 to 1.
     */
    double weigh(TimePoint now, const std::string &service, double fraction) const
    {
        auto found = m_calls.find(service);
        double calls = found == m_calls.end() ? 0 : found->second.value(now);
        double perRun = calls / std::max(1.0, m_runs.value(now));
        return 1 - (1 - fraction) * std::min(1.0, perRun);
    }

private:
    static constexpr Duration memory = std::chrono::seconds(5);

    DecayingCounter m_runs {memory};
    std::map<std::string, DecayingCounter, std::less<>> m_calls; ///< By service.
};

} // namespace ibiswell
