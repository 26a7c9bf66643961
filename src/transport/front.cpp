#include "front.h"

#include "ibiswell/decisions/retry_after.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

constexpr std::string_view operatorPrefix = "/-/";
/** Assumed remaining time of a request that was refused before its deadline was read. */
constexpr Duration defaultRemainingTime = std::chrono::seconds(1);

/** The limits of the policy, or those of the settings when the policy has none. */
CallerLimits limitsFrom(const NodeSettings &settings, const PolicyStore &policy)
{
    if (policy.policy().limits)
        return *policy.policy().limits;
    CallerLimits limits;
    limits.headerBytes = settings.headerBytes;
    limits.bodyBytes = settings.bodyBytes;
    limits.slowClientTimeout = settings.slowClientTimeout;
    return limits;
}

} // namespace

/** Records a caller that leaves before its response. */
class Front::DepartureGuard
{
public:
    DepartureGuard(Front &front, const std::string &requestId, const std::string &service,
                   TimePoint start)
        : m_front(front)
        , m_requestId(requestId)
        , m_service(service)
        , m_start(start)
    {
    }
    DepartureGuard(const DepartureGuard &) = delete;
    DepartureGuard &operator=(const DepartureGuard &) = delete;
    ~DepartureGuard()
    {
        if (!m_ended)
            m_front.m_decisions.record(
                m_requestId, "leave",
                {{"service", m_service},
                 {"ms", fmt::format("{:.1f}", inSeconds(steadyNow() - m_start) * 1000)}});
    }
    void markEnded() { m_ended = true; }

private:
    Front &m_front;
    const std::string &m_requestId;
    const std::string &m_service;
    TimePoint m_start;
    bool m_ended = false;
};

Front::Front(Kernel &kernel, asio::io_context &context)
    : m_node(kernel.get<NodeState>("node"))
    , m_dialect(kernel.get<Dialect>("dialect"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_entry(kernel.get<EntryAdmission>("entry"))
    , m_calls(kernel.get<CallTable>("calls"))
    , m_dispatcher(kernel.get<CallDispatcher>("call-path"))
    , m_rates(kernel.get<RateService>("rates"))
    , m_downstreamSaturation(kernel.find<DownstreamSaturation>("broken-calls"))
    , m_inheritedRetries(kernel.find<InheritedRetries>("inherited-retries"))
    , m_throttle(kernel.find<EntryThrottle>("throttle"))
    , m_keys(kernel.find<KeyService>("keys"))
    , m_stopAdmission(kernel.get<StopAdmission>("stop-admission"))
    , m_decisions(kernel.get<DecisionLog>("decisions"))
    , m_metrics(kernel.get<Metrics>("metrics"))
    , m_status(kernel.find<StatusPage>("status"))
    , m_server(
          context, [this] { return limitsFrom(m_node.settings, m_policy); },
          [this](HttpRequest request, const CallerConnection &caller) {
              return handle(std::move(request), caller);
          },
          HttpServerOptions {m_node.settings.maximumConnections,
                             m_node.settings.concurrentRequestsPerConnection,
                             &kernel.get<BufferBudget>("body-buffers")})
{
}

Task<HttpResponse> Front::handle(HttpRequest request, const CallerConnection &caller)
{
    if (m_status && request.path.starts_with(operatorPrefix))
        co_return m_status->handle(request);
    std::string token;
    if (!m_dialect.names.callToken.empty())
        token = request.header(m_dialect.names.callToken);
    if (!token.empty())
        co_return co_await handleDownstream(std::move(request), std::move(token), caller);
    co_return co_await handleCaller(std::move(request), caller);
}

Task<HttpResponse> Front::handleCaller(HttpRequest request, const CallerConnection &caller)
{
    TimePoint start = steadyNow();
    std::string requestId {request.header(m_dialect.names.requestId)};
    if (requestId.empty())
        requestId = m_node.makeId();
    EntryDecision decision = m_entry.admit(start, std::move(request), requestId, m_node.random);
    if (Refusal *refusal = std::get_if<Refusal>(&decision))
        co_return finish(requestId, nullptr, start, CallOutcome {std::move(*refusal)});
    AdmittedRequest admitted = std::move(std::get<AdmittedRequest>(decision));
    if (std::optional<Refusal> refusal = refuseDuringStop(start, admitted))
        co_return finish(requestId, &admitted, start, CallOutcome {std::move(*refusal)});
    DepartureGuard departure(*this, requestId, admitted.service, start);
    auto running = runAdmitted(admitted, caller);
    CallOutcome outcome = co_await runUntilEnd(std::move(running));
    departure.markEnded();
    recordSaturation(admitted, outcome.saturatedService);
    co_return finish(requestId, &admitted, start, std::move(outcome));
}

std::optional<Refusal> Front::refuseDuringStop(TimePoint now, const AdmittedRequest &admitted) const
{
    if (m_stopAdmission.admits(now, admitted.route.name, admitted.context.remainingTime))
        return std::nullopt;
    return Refusal {ErrorKind::NodeStopping, "the node stops before the request would end",
                    Execution::NotRun};
}

void Front::endRequests()
{
    m_requestsEnded = true;
    m_server.cancelRequests();
}

Task<CallOutcome> Front::runUntilEnd(Task<CallOutcome> running)
{
    std::string reason;
    try {
        co_return co_await std::move(running);
    } catch (const boost::system::system_error &error) {
        bool isCancelled = error.code() == asio::error::operation_aborted;
        if (isCancelled && !m_requestsEnded)
            throw; // the caller has left
        reason = isCancelled ? "the node stopped before the request ended" : error.what();
    } catch (const std::exception &error) {
        reason = fmt::format("internal error: {}", error.what());
    }
    co_return CallOutcome {
        Refusal {ErrorKind::OutcomeUnknown, std::move(reason), Execution::Unknown}};
}

void Front::recordSaturation(const AdmittedRequest &admitted, const std::string &saturatedService)
{
    if (!m_throttle)
        return;
    TimePoint now = steadyNow();
    // A target that refuses a request sent directly to it has counted the request already and
    // divides its capacity itself.
    bool targetSaturated = saturatedService == admitted.service;
    if (admitted.context.depth == 0 && !targetSaturated)
        m_throttle->onEnd(now, {admitted.route.name, saturatedService});
    if (admitted.context.depth > 0 && !saturatedService.empty())
        m_downstreamSaturation->onSaturated(now, admitted.service, saturatedService);
}

/**
 * Acquires a rate token and, when the request must run at most once, claims its idempotency key
 * before it is dispatched.
 */
Task<CallOutcome> Front::runAdmitted(AdmittedRequest admitted, const CallerConnection &caller)
{
    admitted.context.callerService = m_node.settings.service;
    if (m_inheritedRetries && admitted.context.depth > 0)
        admitted.context.inheritedRetryShare = m_inheritedRetries->share(steadyNow());
    if (!admitted.route.open) {
        std::optional<Refusal> refusal = co_await m_rates.acquireToken(admitted.context.team);
        if (refusal)
            co_return CallOutcome {std::move(*refusal)};
    }
    bool needsClaim = m_keys && !admitted.route.idempotent && !admitted.idempotencyKey.empty();
    if (!needsClaim)
        co_return co_await m_dispatcher.dispatch(std::move(admitted), caller);
    KeyClaimResponse claimResponse = co_await m_keys->claim(admitted);
    if (KeyDone *done = std::get_if<KeyDone>(&claimResponse.decision))
        co_return CallOutcome {std::move(done->response)};
    if (Refusal *refusal = std::get_if<Refusal>(&claimResponse.decision))
        co_return CallOutcome {std::move(*refusal)};
    CallOutcome outcome = co_await m_dispatcher.dispatch(admitted, caller);
    m_keys->settle(admitted, outcome.result);
    co_return outcome;
}

Task<HttpResponse> Front::handleDownstream(HttpRequest request, std::string token,
                                           const CallerConnection &caller)
{
    TimePoint start = steadyNow();
    std::optional<CallContext> inherited = m_calls.beginDownstream(start, token);
    if (!inherited) {
        Refusal refusal {ErrorKind::Cancelled, "the call that made this downstream call has ended",
                         Execution::NotRun};
        co_return finish(m_node.makeId(), nullptr, start, CallOutcome {std::move(refusal)});
    }
    struct DownstreamGuard
    {
        CallTable &calls;
        std::string token;
        std::uint8_t remainingRetries = 0;
        double pathFraction = 1;
        ~DownstreamGuard()
        {
            calls.endDownstream(steadyNow(), token, remainingRetries, pathFraction);
        }
    } guard {m_calls, token, inherited->remainingRetries};
    std::string requestId = inherited->requestId;
    EntryDecision decision = m_entry.admitDownstream(std::move(request), std::move(*inherited));
    if (Refusal *refusal = std::get_if<Refusal>(&decision))
        co_return finish(requestId, nullptr, start, CallOutcome {std::move(*refusal)});
    AdmittedRequest admitted = std::move(std::get<AdmittedRequest>(decision));
    if (std::optional<Refusal> refusal = refuseDuringStop(start, admitted))
        co_return finish(requestId, &admitted, start, CallOutcome {std::move(*refusal)});
    auto running = m_dispatcher.dispatch(admitted, caller);
    CallOutcome outcome = co_await runUntilEnd(std::move(running));
    guard.remainingRetries = outcome.remainingRetries;
    guard.pathFraction = outcome.pathFraction;
    co_return finish(requestId, &admitted, start, std::move(outcome));
}

void Front::recordResponse(const std::string &requestId, const AdmittedRequest &admitted,
                           const CallOutcome &outcome, const HttpResponse &response,
                           Duration latency)
{
    m_decisions.record(requestId, "answer",
                       {{"team", admitted.context.team},
                        {"class", std::string(toString(admitted.context.priority))},
                        {"route", admitted.route.name},
                        {"version", fmt::to_string(m_policy.version())},
                        {"service", admitted.service},
                        {"target", outcome.target},
                        {"sends", fmt::to_string(outcome.sends)},
                        {"status", fmt::to_string(response.status)},
                        {"ms", fmt::format("{:.1f}", inSeconds(latency) * 1000)}});
}

HttpResponse Front::finish(const std::string &requestId, const AdmittedRequest *admitted,
                           TimePoint start, CallOutcome outcome)
{
    CallResult &result = outcome.result;
    std::string team = admitted ? admitted->context.team : "";
    PriorityClass priority = admitted ? admitted->context.priority : PriorityClass::Normal;
    if (HttpResponse *response = std::get_if<HttpResponse>(&result)) {
        if (admitted)
            m_stopAdmission.onResponse(admitted->route.name, steadyNow() - start);
        m_metrics.recordResponse(admitted ? admitted->route.name : "", team, priority,
                                 steadyNow() - start);
        if (!m_decisions.recordsEachStep())
            recordResponse(requestId, *admitted, outcome, *response, steadyNow() - start);
        if (!response->hasHeader(m_dialect.names.requestId))
            response->headers.push_back({m_dialect.names.requestId, requestId});
        return std::move(*response);
    }
    Refusal &refusal = std::get<Refusal>(result);
    Duration remainingTime = admitted ? admitted->context.remainingTime : defaultRemainingTime;
    if (refusal.execution == Execution::NotRun)
        refusal.retryAfter =
            computeRetryAfter(refusal, remainingTime - (steadyNow() - start), m_node.random);
    m_metrics.recordRefusal(refusal.kind, team, priority);
    m_decisions.record(requestId, "refuse",
                       {{"team", team},
                        {"class", std::string(toString(priority))},
                        {"error", std::string(responseFor(refusal.kind).name)},
                        {"execution", std::string(toString(refusal.execution))},
                        {"route", admitted ? admitted->route.name : ""},
                        {"version", fmt::to_string(m_policy.version())},
                        {"target", outcome.target},
                        {"sends", fmt::to_string(outcome.sends)},
                        {"ms", fmt::format("{:.1f}", inSeconds(steadyNow() - start) * 1000)},
                        {"reason", refusal.detail}});
    return m_dialect.writeRefusal(m_dialect.names, requestId, refusal);
}

} // namespace ibiswell
