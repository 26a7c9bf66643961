#include "target_service.h"

#include "ibiswell/decisions/entry_admission.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration expiryInterval = 10ms;
constexpr Duration healthLimit = 1s;
constexpr int statusServerError = 500; // and above: the backend server failed
constexpr int statusUnavailable = 503;
constexpr int statusTooMany = 429;
constexpr int statusMisdirected = 421;

Refusal notRun(ErrorKind kind, std::string detail)
{
    return {kind, std::move(detail), Execution::NotRun};
}

PathKey keyBelow(const CallMessage &call)
{
    return {pathBelow(call.route), call.context.team, call.context.priority};
}

HttpClientOptions optionsFor(const Dialect &dialect)
{
    HttpClientOptions options;
    options.echoedField = dialect.answersEchoId ? dialect.names.requestId : "";
    options.keepHost = std::holds_alternative<HostAndPrefix>(dialect.routeNaming);
    options.unframedAnswers = options.keepHost;
    return options;
}

WorkOutcome outcomeOf(const CallResult &result)
{
    const HttpAnswer *answer = std::get_if<HttpAnswer>(&result);
    if (!answer) {
        bool shed = std::get<Refusal>(result).kind == ErrorKind::BackendShed;
        return shed ? WorkOutcome::Shed : WorkOutcome::Failed;
    }
    bool shed = answer->status == statusUnavailable || answer->status == statusTooMany;
    return shed ? WorkOutcome::Shed : WorkOutcome::Completed;
}

} // namespace

/** Holds a ticket; gives the slot or the place in the queue back when the call goes away. */
class TargetService::SlotGuard
{
public:
    SlotGuard(TargetService &service, Ticket ticket, const CallMessage &call)
        : m_service(service)
        , m_ticket(ticket)
        , m_requestId(call.context.requestId)
        , m_route(call.route)
    {
    }
    SlotGuard(const SlotGuard &) = delete;
    SlotGuard &operator=(const SlotGuard &) = delete;
    ~SlotGuard()
    {
        m_service.m_waiters.erase(m_ticket);
        if (!m_token.empty())
            m_service.m_calls.end(steadyNow(), m_token);
        if (m_settled)
            return;
        m_service.m_decisions.note(m_requestId, "place",
                                   {{"route", m_route},
                                    {"outcome", std::string(answerFor(ErrorKind::Cancelled).name)},
                                    {"reason",
                                     m_started ? "the caller went away during the work"
                                               : "the caller went away before a slot was free"}});
        m_service.m_admission.abandon(m_ticket);
        Duration held = m_started ? steadyNow() - m_startedAt : Duration {};
        finish({WorkOutcome::Failed, held, {}, true});
    }

    void started(std::string token)
    {
        m_started = true;
        m_startedAt = steadyNow();
        m_token = std::move(token);
    }
    CallTable::Ended endCall()
    {
        CallTable::Ended ended = m_service.m_calls.end(steadyNow(), m_token);
        m_token.clear();
        return ended;
    }
    void finish(const WorkEnd &end)
    {
        m_settled = true;
        m_service.apply(m_service.m_admission.finish(steadyNow(), m_ticket, end));
    }
    void settled() { m_settled = true; }
    TimePoint startedAt() const { return m_startedAt; }

private:
    TargetService &m_service;
    Ticket m_ticket;
    std::string m_requestId;
    std::string m_route;
    bool m_started = false;
    bool m_settled = false;
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
    , m_gate(kernel.find<TargetGate>("target-gate"))
    , m_brokenCalls(kernel.find<BrokenCalls>("broken-calls"))
    , m_decisions(kernel.get<DecisionLog>("decisions"))
    , m_backend(m_node.settings.backend, optionsFor(m_dialect))
{
}

std::optional<Refusal> TargetService::refuseEarly(const CallMessage &call) const
{
    if (!m_policy.isReady())
        return notRun(ErrorKind::NodeNotReady, "the node has no policy yet");
    if (call.service != m_node.settings.service)
        return notRun(ErrorKind::TargetLeaving,
                      fmt::format("the target here is of service \"{}\"", m_node.settings.service));
    if (m_node.stopping)
        return notRun(ErrorKind::NodeStopping, "the node stops");
    if (m_node.backendUnavailable)
        return notRun(ErrorKind::TargetLeaving, "the backend server takes no new work");
    if (m_gate && !m_gate->isOpen())
        return m_gate->refusal();
    if (m_policy.isZoneOut(m_node.settings.zone))
        return notRun(ErrorKind::ZoneOut,
                      fmt::format("zone \"{}\" is out of service", m_node.settings.zone));
    return std::nullopt;
}

Task<AnswerMessage> TargetService::run(CallMessage call)
{
    CallTable::Ended ended;
    ended.retriesLeft = call.context.retriesLeft;
    if (std::optional<Refusal> refusal = refuseEarly(call))
        co_return answer(call, *refusal, ended);
    TimePoint arrivedAt = steadyNow();
    double weight = m_policy.policy().team(call.context.team).weight;
    Arrival arrival {call.route, call.context, weight, m_paths.fraction(arrivedAt, keyBelow(call))};
    call.context.admittedFraction = m_admission.fractionHandedOn(arrival);
    std::vector<AdmissionEffect> effects = m_admission.arrive(arrivedAt, arrival);
    AdmissionEffect own = effects.front();
    effects.erase(effects.begin());
    apply(effects);
    if (const RefuseCall *refused = std::get_if<RefuseCall>(&own)) {
        Refusal refusal =
            notRun(refused->kind,
                   fmt::format("limit {}, {} in flight, {} queued", m_admission.limit(), inFlight(),
                               m_admission.queued()));
        co_return answer(call, refusal, ended);
    }
    Ticket ticket = std::visit([](const auto &effect) { return effect.ticket; }, own);
    SlotGuard slot(*this, ticket, call);
    if (std::holds_alternative<QueueCall>(own)) {
        std::optional<Refusal> refusal = co_await awaitSlot(ticket);
        if (refusal) {
            slot.settled();
            co_return answer(call, *refusal, ended);
        }
        if (m_gate && !m_gate->isOpen()) {
            slot.finish({WorkOutcome::Failed, {}, {}, true});
            co_return answer(call, *m_gate->refusal(), ended);
        }
        call.context.timeLeft -= steadyNow() - arrivedAt;
    }
    CallResult result = co_await work(call, slot, ended);
    std::string shortService = shortServiceBelow(result, slot.startedAt());
    AnswerMessage message = answer(call, std::move(result), ended);
    message.shortService = std::move(shortService);
    co_return message;
}

std::string TargetService::shortServiceBelow(const CallResult &result, TimePoint startedAt) const
{
    const HttpAnswer *failure = std::get_if<HttpAnswer>(&result);
    if (!m_brokenCalls || !failure || failure->status < statusServerError)
        return {};
    return m_brokenCalls->since(startedAt);
}

Task<std::optional<Refusal>> TargetService::awaitSlot(Ticket ticket)
{
    asio::steady_timer timer(m_context, std::chrono::steady_clock::time_point::max());
    auto [it, isNew] = m_waiters.try_emplace(ticket, Waiter {std::move(timer), std::nullopt});
    Waiter &waiter = it->second;
    while (!waiter.verdict)
        co_await waiter.timer.async_wait(asResult);
    AdmissionEffect verdict = *waiter.verdict;
    m_waiters.erase(ticket);
    if (const RefuseCall *refused = std::get_if<RefuseCall>(&verdict))
        co_return notRun(refused->kind, "refused while it waited for a slot");
    co_return std::nullopt;
}

Task<CallResult> TargetService::work(CallMessage &call, SlotGuard &slot, CallTable::Ended &ended)
{
    std::string token = m_node.makeId();
    m_calls.start(steadyNow(), token, call.context);
    slot.started(token);
    HttpRequest request = backendRequest(call, token);
    auto exchanging = m_backend.exchange(std::move(request), call.context.timeLeft);
    CallResult told = co_await std::move(exchanging);
    CallResult result = interpret(std::move(told));
    ended = slot.endCall();
    if (ended.callsBelow > 0)
        m_paths.onAnswer(steadyNow(), keyBelow(call), ended.pathFraction);
    Duration slotTime = steadyNow() - slot.startedAt();
    WorkOutcome outcome = outcomeOf(result);
    slot.finish({outcome, slotTime, ended.waitedBelow,
                 ended.callsBelow > 0 && outcome == WorkOutcome::Shed});
    bool toldByStatus =
        std::holds_alternative<HttpAnswer>(result) && m_dialect.names.notExecuted.empty();
    bool ownShedding = outcome == WorkOutcome::Shed && ended.callsBelow == 0;
    if (ownShedding && toldByStatus)
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
    const HttpAnswer &answer = std::get<HttpAnswer>(result);
    if (!names.expectedInstance.empty() && answer.status == statusMisdirected) {
        m_gate->onUnreachable();
        return notRun(ErrorKind::TargetReplaced, "another instance has the address");
    }
    if (!names.notExecuted.empty() && answer.hasHeader(names.notExecuted))
        return notRun(ErrorKind::BackendShed,
                      fmt::format("the backend server did not run it: {}", answer.status));
    bool success = answer.status >= 200 && answer.status < 300;
    if (success && !names.signature.empty() && !answer.hasHeader(names.signature))
        return Refusal {ErrorKind::AnswerTruncated, "the answer is not signed", Execution::Unknown};
    return result;
}

HttpRequest TargetService::backendRequest(CallMessage &call, const std::string &token) const
{
    HttpRequest request = std::move(call.request);
    const CallContext &context = call.context;
    const HeaderNames &names = m_dialect.names;
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(context.timeLeft);
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

AnswerMessage TargetService::answer(const CallMessage &call, CallResult result,
                                    const CallTable::Ended &ended) const
{
    AnswerMessage message;
    message.callId = call.callId;
    message.load = m_admission.report(call.context.priority, call.context.team);
    message.load.pathFraction = std::min({message.load.pathFraction, ended.pathFraction,
                                          m_paths.fraction(steadyNow(), keyBelow(call))});
    message.retriesLeft = ended.retriesLeft;
    const Refusal *refusal = std::get_if<Refusal>(&result);
    if (!refusal && !m_decisions.tellsEachStep()) {
        message.result = std::move(result);
        return message; // the entry node's line tells of it
    }
    std::string outcome = refusal ? std::string(answerFor(refusal->kind).name) : "answered";
    std::string reason = refusal ? refusal->detail : "a slot was free";
    m_decisions.note(call.context.requestId, "place",
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
        auto found = m_waiters.find(ticket);
        if (found == m_waiters.end())
            continue;
        found->second.verdict = effect;
        found->second.timer.cancel();
    }
}

Task<void> TargetService::expireWaiting()
{
    for (;;) {
        co_await sleepFor(expiryInterval);
        apply(m_admission.tick(steadyNow()));
    }
}

Task<bool> TargetService::isBackendReady()
{
    HttpRequest request {"GET", "/health", {}, {}};
    CallResult result = co_await m_backend.exchange(request, healthLimit);
    if (const Refusal *refusal = std::get_if<Refusal>(&result))
        co_return refusal->kind != ErrorKind::ConnectFailed;
    co_return std::get<HttpAnswer>(result).body.find("\"draining\"") == std::string::npos;
}

} // namespace ibiswell
