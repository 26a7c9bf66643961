#pragma once

#include "ibiswell/core/request.h"
#include "ibiswell/core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace ibiswell {

/**
 * The calls that run at the local backend server, by call token. The backend server sends the token
 * back when it calls another service, and the context of that downstream call is taken from this
 * table. So a backend server can neither raise its priority nor gain retries or time.
 */
class CallTable
{
public:
    /** Records a call that starts; @p token is sent to the backend server with the request. */
    void start(TimePoint now, const std::string &token, const CallContext &context);

    /**
     * Starts a downstream call and moves a part of the call's remaining retries to it.
     *
     * @return the context of the downstream call; nothing when no call with @p token runs.
     */
    std::optional<CallContext> beginDownstream(TimePoint now, const std::string &token);

    /** Ends a downstream call and takes back the retries that it did not use. */
    void endDownstream(TimePoint now, const std::string &token, std::uint8_t remainingRetries,
                       double pathFraction);

    /** What a finished call reports about its downstream calls. */
    struct CallSummary
    {
        Duration downstreamWait {}; ///< Time with at least one downstream call in flight.
        double pathFraction = 1; ///< Lowest path fraction of the downstream calls.
        std::uint8_t remainingRetries = 0;
        int downstreamCalls = 0;
    };
    /** Ends the call with @p token; the summary is empty when no such call runs. */
    CallSummary end(TimePoint now, const std::string &token);

    std::size_t size() const { return m_calls.size(); }

private:
    struct RunningCall
    {
        CallContext context;
        TimePoint deadline;
        int downstreamInFlight = 0;
        TimePoint downstreamSince; ///< When downstreamInFlight last rose above 0.
        CallSummary summary;
    };

    std::unordered_map<std::string, RunningCall> m_calls; ///< By call token.
};

} // namespace ibiswell
