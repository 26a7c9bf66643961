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

/** How a call ended, with what goes back to the call above it. */
struct CallOutcome
{
    CallResult result;
    double pathFraction = 1;
    std::uint8_t retriesLeft = 0;
    std::string target {}; ///< Node of the last target; empty when none was found.
    int sends = 0;
    std::string shortService {}; ///< Whose lack of room broke the call; empty: none did.
};

/** Brings a call to a target and, within the budgets, to another one when that fails. */
class CallPath
{
public:
    /**
     * Looks up "node", "policy", "router", "paths", "retries", "peer-links", "target",
     * "decisions" and "metrics".
     */
    explicit CallPath(Kernel &kernel);

    Task<CallOutcome> run(Entered entered);

private:
    struct Attempt;
    class SendGuard;

    std::optional<RouteChoice> choose(Attempt &attempt);
    Task<AnswerMessage> send(Attempt &attempt, const RouteChoice &choice);
    /** Whether the call is sent again. */
    Task<bool> retry(Attempt &attempt, const RouteChoice &choice, const Refusal &refusal);

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
