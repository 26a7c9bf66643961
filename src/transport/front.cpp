#include "front.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

namespace ibiswell {

namespace {

constexpr std::string_view controlPrefix = "/-/";

HttpAnswer refusalAnswer(const std::string &requestId, const Refusal &refusal)
{
    const ErrorAnswer &answer = answerFor(refusal.kind);
    boost::json::object body;
    body["error"] = std::string(answer.name);
    body["execution"] = std::string(toString(refusal.execution));
    body["request"] = requestId;
    body["detail"] = refusal.detail;
    HttpAnswer http;
    http.status = answer.httpStatus;
    http.headers = {{"content-type", "application/json"},
                    {std::string(headers::execution), std::string(toString(refusal.execution))},
                    {std::string(headers::requestId), requestId}};
    http.body = boost::json::serialize(body) + "\n";
    return http;
}

HttpServerLimits limitsFrom(const NodeSettings &settings)
{
    HttpServerLimits limits;
    limits.headerBytes = static_cast<std::size_t>(settings.headerBytes);
    limits.bodyBytes = static_cast<std::size_t>(settings.bodyBytes);
    limits.connections = settings.connections;
    limits.slowClient = settings.slowClient;
    return limits;
}

} // namespace

Front::Front(Kernel &kernel, asio::io_context &context)
    : m_node(kernel.get<NodeState>("node"))
    , m_entry(kernel.get<EntryAdmission>("entry"))
    , m_calls(kernel.get<CallTable>("calls"))
    , m_path(kernel.get<CallPath>("call-path"))
    , m_rates(kernel.get<RateService>("rates"))
    , m_keys(kernel.get<KeyService>("keys"))
    , m_decisions(kernel.get<DecisionLog>("decisions"))
    , m_metrics(kernel.get<Metrics>("metrics"))
    , m_status(kernel.get<StatusPage>("status"))
    , m_server(context, limitsFrom(m_node.settings),
               [this](HttpRequest request) { return handle(std::move(request)); })
{
}

Task<HttpAnswer> Front::handle(HttpRequest request)
{
    if (request.path.starts_with(controlPrefix))
        co_return m_status.answer(request);
    std::string token {request.header(headers::call)};
    if (!token.empty())
        co_return co_await handleBelow(std::move(request), std::move(token));
    co_return co_await handleCaller(std::move(request));
}

Task<HttpAnswer> Front::handleCaller(HttpRequest request)
{
    TimePoint start = steadyNow();
    std::string requestId {request.header(headers::requestId)};
    if (requestId.empty())
        requestId = m_node.makeId();
    EntryVerdict verdict = m_entry.admit(start, std::move(request), requestId, m_node.random);
    if (Refusal *refusal = std::get_if<Refusal>(&verdict))
        co_return finish(requestId, nullptr, start, std::move(*refusal));
    Entered entered = std::move(std::get<Entered>(verdict));
    CallOutcome outcome = co_await runEntered(entered);
    co_return finish(requestId, &entered, start, std::move(outcome.result));
}

/** Asks for the rate and, where the request must run once, for the right to run it. */
Task<CallOutcome> Front::runEntered(Entered entered)
{
    if (!entered.route.open) {
        std::optional<Refusal> refusal = co_await m_rates.pass(entered.context.team);
        if (refusal)
            co_return CallOutcome {std::move(*refusal)};
    }
    bool claims = !entered.route.idempotent && !entered.idempotencyKey.empty();
    if (!claims)
        co_return co_await m_path.run(std::move(entered));
    KeyClaimAnswer claimed = co_await m_keys.claim(entered);
    if (KeyDone *done = std::get_if<KeyDone>(&claimed.verdict))
        co_return CallOutcome {std::move(done->answer)};
    if (Refusal *refusal = std::get_if<Refusal>(&claimed.verdict))
        co_return CallOutcome {std::move(*refusal)};
    CallOutcome outcome = co_await m_path.run(entered);
    m_keys.settle(entered, outcome.result);
    co_return outcome;
}

Task<HttpAnswer> Front::handleBelow(HttpRequest request, std::string token)
{
    TimePoint start = steadyNow();
    std::optional<CallContext> inherited = m_calls.beginBelow(start, token);
    if (!inherited) {
        Refusal refusal {ErrorKind::Cancelled, "the call that this one belongs to has ended",
                         Execution::NotRun};
        co_return finish(m_node.makeId(), nullptr, start, std::move(refusal));
    }
    struct BelowGuard
    {
        CallTable &calls;
        std::string token;
        std::uint8_t retriesLeft = 0;
        double pathFraction = 1;
        ~BelowGuard() { calls.endBelow(steadyNow(), token, retriesLeft, pathFraction); }
    } guard {m_calls, token, inherited->retriesLeft};
    std::string requestId = inherited->requestId;
    EntryVerdict verdict = m_entry.admitBelow(std::move(request), std::move(*inherited));
    if (Refusal *refusal = std::get_if<Refusal>(&verdict))
        co_return finish(requestId, nullptr, start, std::move(*refusal));
    Entered entered = std::move(std::get<Entered>(verdict));
    CallOutcome outcome = co_await m_path.run(entered);
    guard.retriesLeft = outcome.retriesLeft;
    guard.pathFraction = outcome.pathFraction;
    co_return finish(requestId, &entered, start, std::move(outcome.result));
}

HttpAnswer Front::finish(const std::string &requestId, const Entered *entered, TimePoint start,
                         CallResult result)
{
    std::string team = entered ? entered->context.team : "";
    PriorityClass priority = entered ? entered->context.priority : PriorityClass::Normal;
    if (HttpAnswer *answer = std::get_if<HttpAnswer>(&result)) {
        m_metrics.answered(entered ? entered->route.name : "", team, priority, steadyNow() - start);
        answer->headers.push_back({std::string(headers::requestId), requestId});
        return std::move(*answer);
    }
    const Refusal &refusal = std::get<Refusal>(result);
    m_metrics.refused(refusal.kind, team, priority);
    m_decisions.note(requestId, "refuse",
                     {{"team", team},
                      {"class", std::string(toString(priority))},
                      {"error", std::string(answerFor(refusal.kind).name)},
                      {"execution", std::string(toString(refusal.execution))},
                      {"reason", refusal.detail}});
    return refusalAnswer(requestId, refusal);
}

} // namespace ibiswell
