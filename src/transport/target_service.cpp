#include "target_service.h"

#include "ibiswell/core/decimal.h"
#include "ibiswell/decisions/entry_admission.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration expiryInterval = 10ms;
constexpr Duration healthTimeout = 1s;
constexpr int statusServerError = 500; // this status and above: the backend server failed
constexpr int statusUnavailable = 503;
constexpr int statusTooManyRequests = 429;
constexpr int statusMisdirected = 421;

Refusal notRun(ErrorKind kind, std::string detail)
{
    return {kind, std::move(detail), Execution::NotRun};
}

PathKey downstreamPathKey(const CallMessage &call)
{
    return {downstreamPathName(call.route), call.context.team, call.context.priority};
}

/** Whether another server than the expected one received the request. */
bool isMisdirected(const HeaderNames &names, const HttpResponse &response)
{
    return !names.expectedInstance.empty() && response.status == statusMisdirected;
}

/** Whether the backend server states that it did not run the request. */
bool isNotExecuted(const HeaderNames &names, const HttpResponse &response)
{
    return !names.notExecuted.empty() && response.hasHeader(names.notExecuted);
}

/** @param dialect Must live as long as the options. */
HttpClientOptions optionsFor(const Dialect &dialect, BufferBudget &bodies)
{
    HttpClientOptions options;
    options.bodies = &bodies;
    options.echoedField = dialect.responsesEchoRequestId ? dialect.names.requestId : "";
    options.preserveHost = std::holds_alternative<HostAndPrefix>(dialect.routeNaming);
    options.allowUnframedResponses = options.preserveHost;
    options.statesNotRun = [&names = dialect.names](const HttpResponse &head) {
        return isMisdirected(names, head) || isNotExecuted(names, head);
    };
    return options;
}

bool isCancelled(const CallResult &result)
{
    const Refusal *refusal = std::get_if<Refusal>(&result);
    return refusal && refusal->kind == ErrorKind::Cancelled;
}

WorkOutcome outcomeOf(const CallResult &result)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    if (!response) {
        bool shed = std::get<Refusal>(result).kind == ErrorKind::BackendShed;
        return shed ? WorkOutcome::Shed : WorkOutcome::Failed;
    }
    bool shed = response->status == statusUnavailable || response->status == statusTooManyRequests;
    return shed ? WorkOutcome::Shed : WorkOutcome::Completed;
}

} // namespace

/** Owns a ticket; releases its slot or its place in the queue when the call is cancelled. */
class TargetService::SlotGuard
{
public:
    SlotGuard(TargetService &service, Ticket ticket, const CallMessage &call)
        : m_service(service)
        , m_ticket(ticket)
        , m_requestId(call.context.requestId)
        , m_route(call.route)
        , m_arrivedAt(steadyNow())
    {
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;
    ~SlotGuard()
    {
        m_service.m_waitingCalls.erase(m_ticket);
        if (!m_token.empty())
            m_service.m_calls.end(steadyNow(), m_token);
        if (m_completed)
            return;
        m_service.m_decisions.record(
            m_requestId, "place",
            {{"route", m_route},
             {"outcome", std::string(responseFor(ErrorKind::Cancelled).name)},
             {"ms", fmt::format("{:.1f}", inSeconds(steadyNow() - m_arrivedAt) * 1000)},
             {"reason",
              m_started ? "the caller disconnected while the call was running"
                        : "the caller disconnected before a slot was free"}});
        m_service.m_admission.abandon(m_ticket);
        Duration held = m_started ? steadyNow() - m_startedAt : Duration {};
        finish({WorkOutcome::Failed, held, {}, true});
    }

    void onStarted(std::string token)
    {
        m_started = true;
        m_startedAt = steadyNow();
        m_token = std::move(token);
    }
    CallTable::CallSummary endCall()
    {
        CallTable::CallSummary summary = m_service.m_calls.end(steadyNow(), m_token);
        m_token.clear();
        return summary;
    }
    void finish(const WorkResult &result)
    {
        m_completed = true;
        m_service.apply(m_service.m_admission.finish(steadyNow(), m_ticket, result));
    }
    void markCompleted() { m_completed = true; }
    TimePoint startedAt() const { return m_startedAt; }

private:
    TargetService &m_service;
    Ticket m_ticket;
    std::string m_requestId;
    std::string m_route;
    TimePoint m_arrivedAt;
    bool m_started = false;
    bool m_completed = false;
    TimePoint m_startedAt;
    std::string m_token;
};

TargetService::TargetService(Kernel &kernel, asio::io_context &context)
    : m_context(context)
    , m_node(kernel.get<NodeState>("node"))
    , m_dialect(kernel.get<Dialect>("dialect"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_admission(kernel.get<TargetAdmission>("admission"))
    , m_paths(kernel.get<PathTable>("paths"))
    , m_calls(kernel.get<CallTable>("calls"))
    , m_retries(kernel.get<RetryPolicy>("retries"))
    , m_gate(kernel.find<TargetGate>("target-gate"))
    , m_downstreamSaturation(kernel.find<DownstreamSaturation>("broken-calls"))
    , m_downstreamCapacity(kernel.find<DownstreamCapacity>("downstream-capacity"))
    , m_inheritedRetries(kernel.find<InheritedRetries>("inherited-retries"))
    , m_decisions(kernel.get<DecisionLog>("decisions"))
    , m_log(kernel.get<Log>("log"))
    , m_backend(m_node.settings.backend,
                optionsFor(m_dialect, kernel.get<BufferBudget>("body-buffers")))
{
}

std::optional<Refusal> TargetService::refuseEarly(const CallMessage &call) const
{
    if (!m_policy.isReady())
        return notRun(ErrorKind::NodeNotReady, "the node has no policy yet");
    if (call.service != m_node.settings.service)
        return notRun(ErrorKind::TargetLeaving,
                      fmt::format("the target of this node belongs to service \"{}\"",
                                  m_node.settings.service));
    if (m_node.stopping)
        return notRun(ErrorKind::NodeStopping, "the node is stopping");
    if (m_node.backendUnavailable)
        return notRun(ErrorKind::TargetLeaving, "the backend server takes no new work");
    if (m_gate && !m_gate->isOpen())
        return m_gate->refusal();
    // After the zone's return, the gate holds work back until the cold start is paced.
    bool isZoneOut = m_policy.isZoneOut(m_node.settings.zone) || (m_gate && m_gate->isZoneOut());
    if (isZoneOut)
        return notRun(ErrorKind::ZoneOut,
                      fmt::format("zone \"{}\" is out of service", m_node.settings.zone));
    return std::nullopt;
}

Task<ResponseMessage> TargetService::run(CallMessage call, const CallerConnection &caller)
{
    CallTable::CallSummary summary;
    summary.remainingRetries = call.context.remainingRetries;
    if (std::optional<Refusal> refusal = refuseEarly(call))
        co_return makeResponse(call, *refusal, summary);
    TimePoint arrivedAt = steadyNow();
    double weight = m_policy.policy().team(call.context.team).weight;
    Arrival arrival {call.route, call.context, weight,
                     m_paths.fraction(arrivedAt, downstreamPathKey(call))};
    call.context.admittedFraction = m_admission.forwardedFraction(arrival);
    std::vector<AdmissionEffect> effects = m_admission.arrive(arrivedAt, arrival);
    AdmissionEffect arrivalEffect = effects.front();
    effects.erase(effects.begin());
    apply(effects);
    if (const RefuseCall *refused = std::get_if<RefuseCall>(&arrivalEffect)) {
        Refusal refusal =
            notRun(refused->kind,
                   fmt::format("concurrency limit {}, {} calls in flight, {} queued",
                               m_admission.limit(), inFlight(), m_admission.queued()));
        co_return makeResponse(call, refusal, summary);
    }
    Ticket ticket = std::visit([](const auto &effect) { return effect.ticket; }, arrivalEffect);
    SlotGuard slot(*this, ticket, call);
    if (std::holds_alternative<QueueCall>(arrivalEffect)) {
        std::optional<Refusal> refusal = co_await awaitSlot(ticket);
        if (refusal) {
            slot.markCompleted();
            co_return makeResponse(call, *refusal, summary);
        }
        if (m_gate && !m_gate->isOpen()) {
            slot.finish({WorkOutcome::Failed, {}, {}, true});
            co_return makeResponse(call, *m_gate->refusal(), summary);
        }
        call.context.remainingTime -= steadyNow() - arrivedAt;
    }
    CallResult result = co_await callBackend(call, caller, slot, summary);
    std::string saturatedService = recordDownstreamEnd(result, slot.startedAt());
    ResponseMessage message = makeResponse(call, std::move(result), summary);
    message.saturatedService = std::move(saturatedService);
    co_return message;
}

std::string TargetService::recordDownstreamEnd(const CallResult &result, TimePoint startedAt)
{
    const HttpResponse *response = std::get_if<HttpResponse>(&result);
    if (!m_downstreamSaturation || !response)
        return {};
    bool hasFailed = response->status >= statusServerError;
    if (m_downstreamCapacity) {
        bool lackedCapacity =
            hasFailed && m_downstreamSaturation->wasCalledServiceSaturatedSince(startedAt);
        m_downstreamCapacity->onEnd(steadyNow(), lackedCapacity);
    }
    return hasFailed ? m_downstreamSaturation->saturatedServiceSince(startedAt) : std::string();
}

Task<std::optional<Refusal>> TargetService::awaitSlot(Ticket ticket)
{
    asio::steady_timer timer(m_context, std::chrono::steady_clock::time_point::max());
    auto [it, inserted] =
        m_waitingCalls.try_emplace(ticket, WaitingCall {std::move(timer), std::nullopt});
    WaitingCall &waitingCall = it->second;
    while (!waitingCall.decision)
        co_await waitingCall.timer.async_wait(asResult);
    AdmissionEffect decision = *waitingCall.decision;
    m_waitingCalls.erase(ticket);
    if (const RefuseCall *refused = std::get_if<RefuseCall>(&decision))
        co_return notRun(refused->kind, "refused while waiting for a slot");
    co_return std::nullopt;
}

Task<CallResult> TargetService::callBackend(CallMessage &call, const CallerConnection &caller,
                                            SlotGuard &slot, CallTable::CallSummary &summary)
{
    std::string token = m_node.makeId();
    m_calls.start(steadyNow(), token, call.context);
    slot.onStarted(token);
    if (m_downstreamCapacity)
        m_downstreamCapacity->onRun(steadyNow());
    if (m_inheritedRetries)
        m_inheritedRetries->onCall(steadyNow(), call.context.inheritedRetryShare);
    HttpRequest request = makeBackendRequest(call, token);
    auto exchanging = m_backend.exchange(std::move(request), call.context.remainingTime, &caller);
    CallResult backendResult = co_await std::move(exchanging);
    CallResult result = interpret(std::move(backendResult));
    summary = slot.endCall();
    if (summary.downstreamCalls > 0)
        m_paths.onResponse(steadyNow(), downstreamPathKey(call), summary.pathFraction);
    Duration slotTime = steadyNow() - slot.startedAt();
    WorkOutcome outcome = outcomeOf(result);
    slot.finish(
        {outcome, slotTime, summary.downstreamWait,
         isCancelled(result) || (summary.downstreamCalls > 0 && outcome == WorkOutcome::Shed)});
    bool signalledByStatus =
        std::holds_alternative<HttpResponse>(result) && m_dialect.names.notExecuted.empty();
    bool shedByBackend = outcome == WorkOutcome::Shed && summary.downstreamCalls == 0;
    if (shedByBackend && signalledByStatus)
        result = Refusal {ErrorKind::BackendShed, "the backend server shed the request",
                          Execution::Unknown};
    co_return result;
}

CallResult TargetService::interpret(CallResult result)
{
    const HeaderNames &names = m_dialect.names;
    if (const Refusal *refusal = std::get_if<Refusal>(&result)) {
        if (m_gate && refusal->kind == ErrorKind::ConnectFailed)
            m_gate->onUnreachable();
        return result;
    }
    const HttpResponse &response = std::get<HttpResponse>(result);
    if (isMisdirected(names, response)) {
        m_gate->onUnreachable();
        return notRun(ErrorKind::TargetReplaced, "another instance uses the address");
    }
    if (m_gate)
        applyStatement(response);
    if (isNotExecuted(names, response))
        return notRun(
            ErrorKind::BackendShed,
            fmt::format("the backend server did not run the request: status {}", response.status));
    bool success = response.status >= 200 && response.status < 300;
    if (success && !names.signature.empty() && !response.hasHeader(names.signature))
        return Refusal {ErrorKind::ResponseTruncated, "the response is not signed",
                        Execution::Unknown};
    return result;
}

void TargetService::applyStatement(const HttpResponse &response)
{
    TargetStatement statement;
    std::string_view stated = response.header(m_dialect.names.admittedRate);
    statement.requestsPerSecond = readDecimal(stated);
    if (!stated.empty() && !statement.requestsPerSecond) {
        m_log.write(steadyNow(), LogLevel::Warning, "target-statement-unreadable",
                    {{"instance", m_gate->instance()},
                     {"field", m_dialect.names.admittedRate},
                     {"value", std::string(stated)}});
        statement.requestsPerSecond = m_gate->statedRate();
    }
    statement.leaving = response.hasHeader(m_dialect.names.leaving);
    bool changed = statement.requestsPerSecond != m_gate->statedRate()
        || (statement.leaving && m_gate->isOpen());
    m_gate->onStatement(statement);
    m_admission.setStatedRate(statement.requestsPerSecond);
    if (!changed)
        return;
    std::string rate =
        statement.requestsPerSecond ? fmt::to_string(*statement.requestsPerSecond) : "";
    m_log.write(steadyNow(), LogLevel::Info, "target-statement",
                {{"instance", m_gate->instance()},
                 {"requests_per_s", std::move(rate)},
                 {"leaving", statement.leaving ? "yes" : "no"}});
}

HttpRequest TargetService::makeBackendRequest(CallMessage &call, const std::string &token) const
{
    HttpRequest request = std::move(call.request);
    const CallContext &context = call.context;
    const HeaderNames &names = m_dialect.names;
    auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(context.remainingTime);
    auto set = [&](const std::string &name, std::string value) {
        if (name.empty())
            return;
        request.removeHeader(name);
        if (!value.empty())
            request.headers.push_back({name, std::move(value)});
    };
    set(names.requestId, context.requestId);
    set(names.callToken, token);
    set(names.team, context.team);
    set(names.callerService, context.callerService);
    set(names.expectedInstance, m_gate ? m_gate->instance() : "");
    set(names.deadline, fmt::to_string(std::max<std::int64_t>(1, milliseconds.count())));
    return request;
}

ResponseMessage TargetService::makeResponse(const CallMessage &call, CallResult result,
                                            const CallTable::CallSummary &summary) const
{
    ResponseMessage message;
    message.callId = call.callId;
    message.load = m_admission.report(call.context.priority, call.context.team);
    message.load.pathFraction = std::min({message.load.pathFraction, summary.pathFraction,
                                          m_paths.fraction(steadyNow(), downstreamPathKey(call))});
    if (m_downstreamCapacity) {
        TimePoint now = steadyNow();
        message.load.completableFraction = m_downstreamCapacity->fraction(now);
        message.load.retryHeadroom =
            m_retries.downstreamHeadroom(now, m_downstreamCapacity->callsPerRun());
    }
    message.remainingRetries = summary.remainingRetries;
    const Refusal *refusal = std::get_if<Refusal>(&result);
    if (!refusal && !m_decisions.recordsEachStep()) {
        message.result = std::move(result);
        return message; // the entry node records the response
    }
    std::string outcome = refusal ? std::string(responseFor(refusal->kind).name) : "answered";
    std::string reason = refusal ? refusal->detail : "a slot was free";
    m_decisions.record(call.context.requestId, "place",
                       {{"team", call.context.team},
                        {"class", std::string(toString(call.context.priority))},
                        {"route", call.route},
                        {"depth", fmt::to_string(call.context.depth)},
                        {"outcome", outcome},
                        {"limit", fmt::to_string(message.load.limit)},
                        {"in_flight", fmt::to_string(message.load.inFlight)},
                        {"path_fraction", fmt::format("{:.3f}", message.load.pathFraction)},
                        {"reason", reason}});
    message.result = std::move(result);
    return message;
}

void TargetService::apply(const std::vector<AdmissionEffect> &effects)
{
    for (const AdmissionEffect &effect : effects) {
        Ticket ticket = std::visit([](const auto &e) { return e.ticket; }, effect);
        auto found = m_waitingCalls.find(ticket);
        if (found == m_waitingCalls.end())
            continue;
        found->second.decision = effect;
        found->second.timer.cancel();
    }
}

Task<void> TargetService::expireWaitingCalls()
{
    for (;;) {
        co_await sleepFor(expiryInterval);
        apply(m_admission.tick(steadyNow()));
    }
}

Task<bool> TargetService::isBackendReady()
{
    HttpRequest request {"GET", "/health", {}, {}};
    CallResult result = co_await m_backend.exchange(request, healthTimeout);
    if (const Refusal *refusal = std::get_if<Refusal>(&result))
        co_return refusal->kind != ErrorKind::ConnectFailed;
    co_return std::get<HttpResponse>(result).body.find("\"draining\"") == std::string::npos;
}

} // namespace ibiswell
