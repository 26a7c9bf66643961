#pragma once

#include "asio.h"
#include "http_client.h"
#include "node_state.h"

#include "ibiswell/core/dialect.h"
#include "ibiswell/decisions/call_table.h"
#include "ibiswell/decisions/downstream_capacity.h"
#include "ibiswell/decisions/downstream_saturation.h"
#include "ibiswell/decisions/inherited_retries.h"
#include "ibiswell/decisions/path_table.h"
#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/retry_policy.h"
#include "ibiswell/decisions/target_admission.h"
#include "ibiswell/decisions/target_gate.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/decision_log.h"

#include <unordered_map>

namespace ibiswell {

/** Runs calls at the local backend server as the target admission decides. */
class TargetService
{
public:
    /**
     * Looks up "node", "dialect", "policy", "admission", "paths", "calls", "decisions", "log",
     * "body-buffers", "retries" and, where registered, "target-gate", "broken-calls",
     * "downstream-capacity" and "inherited-retries".
     */
    TargetService(Kernel &kernel, asio::io_context &context);

    /**
     * Runs one call to its end, unless @p caller leaves before it is sent to the backend server.
     * Cancelling it cancels the work there.
     */
    Task<ResponseMessage> run(CallMessage call, const CallerConnection &caller);

    /** Refuses calls whose deadline passes while they wait; runs until the node stops. */
    Task<void> expireWaitingCalls();

    /**
     * Queries the health of the backend server. Returns false when it drains or refuses the
     * connection; when it does not respond in time, it counts as ready.
     */
    Task<bool> isBackendReady();

    int inFlight() const { return m_admission.inFlight(); }

    /** Resumes the waiting calls that the admission started or refused. */
    void apply(const std::vector<AdmissionEffect> &effects);

private:
    struct WaitingCall
    {
        asio::steady_timer timer;
        std::optional<AdmissionEffect> decision;
    };
    class SlotGuard;

    /** Refuses a call that must not reach the admission; nullopt when it may. */
    std::optional<Refusal> refuseEarly(const CallMessage &call) const;
    /** Waits for the decision on a queued call; returns nullopt when the call got a slot. */
    Task<std::optional<Refusal>> awaitSlot(Ticket ticket);
    /** Sends the call to the backend server; sets @p summary when the call has ended there. */
    Task<CallResult> callBackend(CallMessage &call, const CallerConnection &caller, SlotGuard &slot,
                                 CallTable::CallSummary &summary);
    /**
     * The saturated service that made the backend server fail, or empty; records for the
     * downstream capacity how the call ended.
     */
    std::string recordDownstreamEnd(const CallResult &result, TimePoint startedAt);
    HttpRequest makeBackendRequest(CallMessage &call, const std::string &token) const;
    ResponseMessage makeResponse(const CallMessage &call, CallResult result,
                                 const CallTable::CallSummary &summary) const;
    /** Applies what the backend server states about itself in a response. */
    void applyStatement(const HttpResponse &response);
    /** Converts the backend server's response to a call result by the rules of the dialect. */
    CallResult interpret(CallResult result);

    asio::io_context &m_context;
    NodeState &m_node;
    const Dialect &m_dialect;
    PolicyStore &m_policy;
    TargetAdmission &m_admission;
    PathTable &m_paths;
    CallTable &m_calls;
    const RetryPolicy &m_retries;
    TargetGate *m_gate; ///< Null where backend servers send no reports.
    /** Null where downstream calls carry a call token. */
    const DownstreamSaturation *m_downstreamSaturation;
    DownstreamCapacity *m_downstreamCapacity; ///< Null where downstream calls carry a call token.
    InheritedRetries *m_inheritedRetries; ///< Null where downstream calls carry a call token.
    DecisionLog &m_decisions;
    Log &m_log;
    HttpClient m_backend;
    std::unordered_map<Ticket, WaitingCall> m_waitingCalls;
};

} // namespace ibiswell
