#pragma once

#include "ibiswell/core/time.h"
#include "ibiswell/decisions/admitted_fraction.h"
#include "ibiswell/decisions/calls_per_run.h"
#include "ibiswell/decisions/stated_fraction.h"

#include <map>
#include <string>

namespace ibiswell {

/**
 * Learns which fraction of the demand for the local backend server the services downstream of it
 * can complete.
 *
 * It answers a deep service that cannot take all calls while an entry node sees too few requests to
 * learn that alone: with hundreds of entry nodes each sees a few a second. The node whose backend
 * server calls the deep service sees many more outcomes. Its responses state the fraction, each
 * node upstream passes the least on in its own, and the entry nodes admit no more (EntryThrottle).
 */
class DownstreamCapacity
{
public:
    /** The local backend server runs a call. */
    void onRun(TimePoint now) { m_callsPerRun.onRun(now); }
    /** The local backend server makes a call to @p service. */
    void onCall(TimePoint now, const std::string &service) { m_callsPerRun.onCall(now, service); }
    /** A call of the local backend server was refused, whether it is sent again or not. */
    void onRefusedCall(TimePoint now) { m_own.onSignOfFailure(now); }
    const CallsPerRun &callsPerRun() const { return m_callsPerRun; }
    /**
     * A call that the local backend server ran has ended.
     * @param lackedCapacity it failed while a service that it calls had no capacity for a call.
     */
    void onEnd(TimePoint now, bool lackedCapacity);
    /** A response of @p service stated the fraction that is possible there. */
    void onStatement(TimePoint now, const std::string &service, double fraction);

    /** The fraction for the local backend server, from 0 to 1. */
    double fraction(TimePoint now) const;

private:
    /** Where no call is refused any more, the fraction rises fast. */
    static constexpr double admittedWhenCalm = 3;

    CallsPerRun m_callsPerRun;
    AdmittedFraction m_own {
        admittedWhenCalm}; ///< By the calls that the local backend server makes itself.
    std::map<std::string, StatedFraction, std::less<>> m_statements; ///< By service.
};

} // namespace ibiswell
