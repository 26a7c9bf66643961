#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace ibiswell {

/**
 * The calls that run at the local backend server, by the call token that the backend server
 * hands back when it calls another service. A backend server can neither raise its priority nor
 * gain retries or time: all of it comes from this table.
 */
class CallTable
{
public:
    /** Notes a call that starts; @p token is given to the backend server with the request. */
    void start(TimePoint now, const std::string &token, const CallContext &context);

    /** The context of a call below, with its part of the retries; nothing when not running. */
    std::optional<CallContext> beginBelow(TimePoint now, const std::string &token);

    /** A call below ended. */
    void endBelow(TimePoint now, const std::string &token, std::uint8_t remainingRetries,
                  double pathFraction);

    struct Ended
    {
        Duration waitedBelow {}; ///< Time in which at least one call below was under way.
        double pathFraction = 1; ///< The smallest of the calls below.
        std::uint8_t remainingRetries = 0;
        int callsBelow = 0;
    };
    Ended end(TimePoint now, const std::string &token);

    std::size_t size() const { return m_calls.size(); }

private:
    struct RunningCall
    {
        CallContext context;
        TimePoint deadline;
        int below = 0; ///< Calls below under way.
        TimePoint belowSince;
        Ended ended;
    };

    std::unordered_map<std::string, RunningCall> m_calls;
};

} // namespace ibiswell
