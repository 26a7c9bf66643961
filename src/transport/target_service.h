#pragma once

#include "asio.h"
#include "http_client.h"
#include "node_state.h"

#include "ibiswell/core/dialect.h"
#include "ibiswell/decisions/broken_calls.h"
#include "ibiswell/decisions/call_table.h"
#include "ibiswell/decisions/path_table.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/target_admission.h"
#include "ibiswell/decisions/target_gate.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/decision_log.h"

#include <unordered_map>

namespace ibiswell {

/** Runs calls at the local backend server, as the admission decides. */
class TargetService
{
public:
    /**
     * Looks up "node", "dialect", "policy", "admission", "paths", "calls", "decisions" and, where
     * they are, "target-gate" and "broken-calls".
     */
    TargetService(Kernel &kernel, asio::io_context &context);

    /** Runs one call to its end. When cancelled, the work at the backend server is cancelled. */
    Task<AnswerMessage> run(CallMessage call);

    /** Refuses calls whose deadline passed while they waited; runs until the node stops. */
    Task<void> expireWaitingCalls();

    /** Asks the backend server whether it takes work. */
    Task<bool> isBackendReady();

    int inFlight() const { return m_admission.inFlight(); }

    /** Carries out what the admission decided outside of run(). */
    void apply(const std::vector<AdmissionEffect> &effects);

private:
    struct Waiter
    {
        asio::steady_timer timer;
        std::optional<AdmissionEffect> verdict;
    };
    class SlotGuard;

    std::optional<Refusal> refuseEarly(const CallMessage &call) const;
    Task<std::optional<Refusal>> awaitSlot(Ticket ticket);
    Task<CallResult> work(CallMessage &call, SlotGuard &slot, CallTable::Ended &ended);
    /** The service whose lack of room made the backend server fail, or empty. */
    std::string saturatedDownstreamService(const CallResult &result, TimePoint startedAt) const;
    HttpRequest backendRequest(CallMessage &call, const std::string &token) const;
    AnswerMessage answer(const CallMessage &call, CallResult result,
                         const CallTable::Ended &ended) const;
    /** What the backend server's answer means, in the words of the dialect. */
    CallResult interpret(CallResult result);

    asio::io_context &m_context;
    NodeState &m_node;
    const Dialect &m_dialect;
    PolicyStore &m_policy;
    TargetAdmission &m_admission;
    PathTable &m_paths;
    CallTable &m_calls;
    TargetGate *m_gate; ///< Null where backend servers do not report of themselves.
    const BrokenCalls *m_brokenCalls; ///< Null where calls below carry their call's token.
    DecisionLog &m_decisions;
    HttpClient m_backend;
    std::unordered_map<Ticket, Waiter> m_waiters;
};

} // namespace ibiswell
