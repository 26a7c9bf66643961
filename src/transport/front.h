#pragma once

#include "asio.h"
#include "call_dispatcher.h"
#include "http_server.h"
#include "key_service.h"
#include "node_state.h"
#include "rate_service.h"
#include "status_page.h"

#include "ibiswell/decisions/call_table.h"
#include "ibiswell/decisions/downstream_saturation.h"
#include "ibiswell/decisions/entry_admission.h"
#include "ibiswell/decisions/entry_throttle.h"
#include "ibiswell/decisions/inherited_retries.h"
#include "ibiswell/decisions/stop_admission.h"
#include "ibiswell/kernel/kernel.h"
#include "ibiswell/transport/decision_log.h"
#include "ibiswell/transport/metrics.h"

namespace ibiswell {

/**
 * The HTTP front: serves requests of callers and of the local backend server, and operators'
 * requests under "/-/".
 */
class Front
{
public:
    /**
     * Looks up "node", "dialect", "policy", "entry", "calls", "call-path", "decisions", "metrics",
     * "rates", "body-buffers", "stop-admission" and, where registered, "broken-calls",
     * "inherited-retries", "throttle", "keys" and "status".
     */
    Front(Kernel &kernel, asio::io_context &context);

    bool listen(const Endpoint &endpoint) { return m_server.listen(endpoint); }
    /** Keeps serving, but closes each connection after its next response. */
    void drain() { m_server.drain(); }
    void stop() { m_server.stop(); }
    /** Cancels the requests in progress; each is answered, as one that may have run. */
    void endRequests();
    std::size_t connectionCount() const { return m_server.connectionCount(); }
    const std::optional<Error> &lastError() const { return m_server.lastError(); }

private:
    class DepartureGuard;

    Task<HttpResponse> handle(HttpRequest request, const CallerConnection &caller);
    Task<HttpResponse> handleCaller(HttpRequest request, const CallerConnection &caller);
    Task<HttpResponse> handleDownstream(HttpRequest request, std::string token,
                                        const CallerConnection &caller);
    Task<CallOutcome> runAdmitted(AdmittedRequest admitted, const CallerConnection &caller);
    /**
     * Returns the outcome of @p running, or a refusal when endRequests() cancels it or when it
     * fails by an exception.
     */
    Task<CallOutcome> runUntilEnd(Task<CallOutcome> running);
    /** Why a request that arrives during a planned stop is refused; nothing when it is taken. */
    std::optional<Refusal> refuseDuringStop(TimePoint now, const AdmittedRequest &admitted) const;
    /**
     * Reports to the entry throttle or to DownstreamSaturation whether a saturated service made the
     * request fail.
     */
    void recordSaturation(const AdmittedRequest &admitted, const std::string &saturatedService);
    /**
     * Converts the outcome to the HTTP response and records it in the metrics and the decision
     * log.
     * @param admitted null when the request was refused before it was admitted.
     */
    HttpResponse finish(const std::string &requestId, const AdmittedRequest *admitted,
                        TimePoint start, CallOutcome outcome);
    /** Logs a response as one decision line, where the steps of requests are not recorded. */
    void recordResponse(const std::string &requestId, const AdmittedRequest &admitted,
                        const CallOutcome &outcome, const HttpResponse &response, Duration latency);

    NodeState &m_node;
    const Dialect &m_dialect;
    PolicyStore &m_policy;
    EntryAdmission &m_entry;
    CallTable &m_calls;
    CallDispatcher &m_dispatcher;
    RateService &m_rates;
    /** Null where downstream calls carry a call token. */
    DownstreamSaturation *m_downstreamSaturation;
    /** Null where downstream calls carry a call token. */
    const InheritedRetries *m_inheritedRetries;
    EntryThrottle *m_throttle; ///< Null where downstream calls carry a call token.
    KeyService *m_keys; ///< Null where callers have no idempotency keys.
    StopAdmission &m_stopAdmission;
    DecisionLog &m_decisions;
    Metrics &m_metrics;
    StatusPage *m_status; ///< Null where operators are served by another front.
    bool m_requestsEnded = false; ///< endRequests() was called.
    HttpServer m_server;
};

} // namespace ibiswell
