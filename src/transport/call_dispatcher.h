#pragma once

#include "asio.h"
#include "node_state.h"
#include "peer_connection_pool.h"

#include "ibiswell/decisions/entry_admission.h"
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
    double pathFraction = 1;
    std::uint8_t remainingRetries = 0;
    std::string target {}; ///< Node of the last target; empty when no target was found.
    int sends = 0;
    std::string
        saturatedService {}; ///< The saturated service that failed the call; empty if none did.
};

/** Sends a call to a target and, within the retry budgets, to another one when that fails. */
class CallDispatcher
{
public:
    /**
     * Looks up "node", "policy", "router", "paths", "retries", "peer-links", "target",
     * "decisions" and "metrics".
     */
    explicit CallDispatcher(Kernel &kernel);

    Task<CallOutcome> dispatch(AdmittedRequest entered);

private:
    struct Attempt;
    class SendGuard;

    std::optional<RouteChoice> choose(Attempt &attempt);
    Task<ResponseMessage> send(Attempt &attempt, const RouteChoice &choice);
    /**
     * Decides whether the call is sent again after @p refusal. Before a resend, it completes after
     * the wait that the retry policy asks for.
     */
    Task<bool> prepareRetry(Attempt &attempt, const RouteChoice &choice, const Refusal &refusal);

    NodeState &m_node;
    PolicyStore &m_policy;
    Router &m_router;
    PathTable &m_paths;
    RetryPolicy &m_retries;
    PeerConnectionPool &m_links;
    TargetService &m_target;
    DecisionLog &m_decisions;
    Metrics &m_metrics;
};

} // namespace ibiswell
