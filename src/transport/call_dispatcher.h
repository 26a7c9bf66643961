#pragma once

#include "asio.h"
#include "caller_connection.h"
#include "node_state.h"
#include "peer_connection_pool.h"

#include "ibiswell/decisions/downstream_capacity.h"
#include "ibiswell/decisions/entry_admission.h"
#include "ibiswell/decisions/entry_throttle.h"
#include "ibiswell/decisions/path_table.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/retry_policy.h"
#include "ibiswell/decisions/router.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/decision_log.h"
#include "ibiswell/transport/metrics.h"

namespace ibiswell {

class TargetService;

/** The result of a call, with the values that are returned to its upstream caller. */
struct CallOutcome
{
    CallResult result;
    double pathFraction = 1; ///< Lowest path fraction of the responses.
    std::uint8_t remainingRetries = 0; ///< Retries given to the call that it did not use.
    std::string target {}; ///< Node of the last target; empty when no target was found.
    int sends = 0; ///< Number of times that the call was sent to a target.
    /** The saturated service that made the call fail; empty if none did. */
    std::string saturatedService {};
};

/** Sends a call to a target and, within the retry budgets, to another one when that fails. */
class CallDispatcher
{
public:
    /**
     * Looks up "node", "policy", "router", "paths", "retries", "peer-links", "target",
     * "decisions", "metrics" and, where registered, "downstream-capacity" and "throttle".
     */
    explicit CallDispatcher(Kernel &kernel);

    /**
     * Sends a call until a target responds, no further target is found or no retry is allowed;
     * returns the last result. Nothing is sent once @p caller has left.
     */
    Task<CallOutcome> dispatch(AdmittedRequest admitted, const CallerConnection &caller);

private:
    struct CallState;
    class SendGuard;

    std::optional<RouteChoice> choose(CallState &state);
    /** Applies what a response states of its target and of the services downstream of it. */
    void applyLoad(const CallState &state, const std::string &node, const LoadReport &load,
                   bool failed);
    /** Logs a choice that is not told by the record of the response. */
    void recordChoice(const CallState &state, const std::optional<RouteChoice> &choice);
    Task<ResponseMessage> send(CallState &state, const RouteChoice &choice,
                               const CallerConnection &caller);
    /**
     * Decides whether the call is sent again after @p refusal, and waits before a resend as long as
     * the retry policy requires.
     */
    Task<bool> prepareRetry(CallState &state, const RouteChoice &choice, const Refusal &refusal);

    NodeState &m_node;
    PolicyStore &m_policy;
    Router &m_router;
    PathTable &m_paths;
    RetryPolicy &m_retries;
    PeerConnectionPool &m_connections;
    TargetService &m_target;
    DownstreamCapacity *m_downstreamCapacity; ///< Null where downstream calls carry a call token.
    EntryThrottle *m_throttle; ///< Null where downstream calls carry a call token.
    DecisionLog &m_decisions;
    Metrics &m_metrics;
};

} // namespace ibiswell
