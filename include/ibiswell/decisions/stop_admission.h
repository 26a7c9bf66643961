#pragma once

#include "ibiswell/core/time.h"

#include <map>
#include <optional>
#include <string>

namespace ibiswell {

/**
 * Decides which requests a node still takes during its planned stop.
 *
 * Callers learn of a stop after a while, and the local backend server goes on making calls, so that
 * requests arrive during the stop. A request that is sent on and then cut at the end of the stop
 * has an unknown outcome; one that is refused has certainly not run.
 *
 * A request whose deadline is within the stop is always taken, since it ends in time whatever it
 * does. While callers cannot know of the stop yet, a request is also taken if requests of its route
 * usually end in time: refusing all of them would turn away nearly everything for the sake of the
 * few that take unusually long.
 */
class StopAdmission
{
public:
    /** Records how long a request took, from its arrival to its response. */
    void onResponse(const std::string &route, Duration latency);

    /** The planned stop begins; all requests must have ended at @p end. */
    void begin(TimePoint now, TimePoint end);

    /** @param remainingTime time until the request's deadline, by which it ends in any case. */
    bool admits(TimePoint now, const std::string &route, Duration remainingTime) const;

private:
    struct Latency
    {
        Duration mean {};
        Duration deviation {};
    };

    struct Stop
    {
        TimePoint begin;
        TimePoint end;
    };

    Duration usualLatency(const std::string &route, Duration longest) const;

    std::map<std::string, Latency, std::less<>> m_latencies; ///< By route.
    std::optional<Stop> m_stop; ///< Nothing: no stop is in progress.
};

} // namespace ibiswell
